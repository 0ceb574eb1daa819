//go:build linux

package crowdtest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

// exchange sends a request on a new connection and returns the status of its answer; 0 =
// none.
func (e *edge) exchange(send func(ctx context.Context, m member) error) int {
	conn, err := net.DialTimeout("tcp", e.callers, time.Second)
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	m := member{Conn: conn, id: fmt.Sprintf("e%015x", e.asked.Add(1))}
	_ = send(context.Background(), m) // it fails if the request was refused half-way
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// Guards against limits that turn away a single request that is as large as the
// configuration allows.
func TestRequestsAtTheLimitsAreServed(t *testing.T) {
	fields := shortFields(60 << 10)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 16, largeBody[:16])
	e := startEdge(t)
	for name, send := range map[string]func(ctx context.Context, m member) error{
		"a head of short fields": func(ctx context.Context, m member) error {
			return m.send(ctx, 0, m.head("GET", "/idem/x")+fields+"\r\n")
		},
		"a body": func(ctx context.Context, m member) error {
			return m.send(ctx, 0, m.postHead("/idem/x", len(largeBody)), largeBody)
		},
		"a body in chunks": func(ctx context.Context, m member) error {
			return m.send(ctx, 0, m.head("POST", "/idem/x", "Transfer-Encoding: chunked")+"\r\n", strings.Repeat(chunk, len(largeBody)/16), "0\r\n\r\n")
		},
		"both": func(ctx context.Context, m member) error {
			return m.send(ctx, 0, m.head("POST", "/once/x", fmt.Sprintf("Content-Length: %d", len(largeBody)))+fields+"\r\n", largeBody)
		},
	} {
		t.Run(name, func(t *testing.T) {
			if status := e.exchange(send); status != http.StatusOK {
				t.Errorf("status %d, want 200", status)
			}
		})
	}
	e.checkBounds()
}

// Guards against a limit on heads that is not that of the configuration in force, before or
// after a change.
func TestLimitOfHeadsFollowsTheConfiguration(t *testing.T) {
	e := startEdge(t)
	status := func(head int) int {
		return e.exchange(func(ctx context.Context, m member) error {
			return m.send(ctx, 0, m.head("GET", "/idem/x", "Long: "+strings.Repeat("x", head))+"\r\n")
		})
	}
	for _, c := range []struct{ limit, within, above int }{{16 << 10, 15 << 10, 20 << 10}, {128 << 10, 100 << 10, 140 << 10}, {8 << 10, 7 << 10, 12 << 10}} {
		if _, err := e.world.Change(func(c2 *emulator.Config) { c2.Limits.MaxHeaderBytes = c.limit }); err != nil {
			t.Fatal(err)
		}
		eventually(t, fmt.Sprintf("heads of %d bytes are refused with a limit of %d", c.above, c.limit), func() bool {
			return status(c.above) == http.StatusRequestHeaderFieldsTooLarge
		})
		eventually(t, fmt.Sprintf("heads of %d bytes are served with a limit of %d", c.within, c.limit), func() bool {
			return status(c.within) == http.StatusOK
		})
	}
}

// Guards against eviction of a sound caller on a slow link for a crowd that holds all
// connections and sends nothing more.
func TestSlowCallerBesideACrowdIsServed(t *testing.T) {
	const slices, slice, pause = 14, 2 << 10, 200 * time.Millisecond
	e := startEdge(t)
	started := make(chan struct{})
	var status int
	var asking sync.WaitGroup
	asking.Go(func() {
		status = e.exchange(func(ctx context.Context, m member) error {
			parts := []string{m.postHead("/idem/x", slices*slice)}
			for range slices {
				parts = append(parts, largeBody[:slice])
			}
			err := m.send(ctx, 0, parts[0])
			close(started)
			if err != nil {
				return err
			}
			return m.send(ctx, pause, parts[1:]...)
		})
	})
	<-started
	bodies := crowd{address: e.callers, members: 150, behave: func(ctx context.Context, m member) error {
		return m.send(ctx, 0, m.postHead("/idem/x", 100), largeBody[:50])
	}}.start(t)
	heads := crowd{address: e.callers, members: 150, behave: func(ctx context.Context, m member) error {
		return m.send(ctx, 0, m.head("GET", "/idem/x"))
	}}.start(t)
	asking.Wait()
	bodies.stop()
	heads.stop()
	if status != http.StatusOK {
		t.Errorf("status %d, want 200", status)
	}
	e.checkBounds()
}

// Guards against limits that keep a burst of sound callers with large bodies from ever
// being served.
func TestBurstOfLargeBodiesIsServed(t *testing.T) {
	const callers = 60
	e := startEdge(t)
	var asking sync.WaitGroup
	for range callers {
		asking.Go(func() {
			eventually(t, "a caller of the burst is served", func() bool {
				return e.answers("POST", "/idem/x", strings.NewReader(largeBody)) == http.StatusOK
			})
		})
	}
	asking.Wait()
	e.checkBounds()
}
