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
	"sync/atomic"
	"testing"
	"time"
)

// crowdTime is the shortest time for which a crowd is there.
const crowdTime = 5 * time.Second

// member is one client of a crowd on one connection.
type member struct {
	net.Conn
	id string // of its first request
}

// send writes all parts, with a pause between them. It returns the first error.
func (m member) send(ctx context.Context, pause time.Duration, parts ...string) error {
	for n, part := range parts {
		if n > 0 && pause > 0 && !sleep(ctx, pause) {
			return ctx.Err()
		}
		if _, err := io.WriteString(m, part); err != nil {
			return err
		}
	}
	return nil
}

// lastID numbers the requests of all crowds.
var lastID atomic.Int64

// crowd is a number of clients that do the same, each again on a new connection when the
// one before is closed.
type crowd struct {
	address string
	members int
	// behave does what a member does on a connection. The member then stays until the
	// connection is closed.
	behave func(ctx context.Context, m member) error
	// unread: the answers are not read and counted here; behave may read them.
	unread bool
}

// runningCrowd is a crowd whose members are connected.
type runningCrowd struct {
	cancel  context.CancelFunc
	members sync.WaitGroup
	dialed  atomic.Int64

	mu      sync.Mutex
	refused map[string]int // status by request, of those that promise that it has not run
	answers map[int]int    // number of answers by status
}

// redialPause keeps members that are turned away at once from using up the processor.
const redialPause = 20 * time.Millisecond

// start connects the members. They stay until stop is called, at most until the end of the test.
func (c crowd) start(t *testing.T) *runningCrowd {
	ctx, cancel := context.WithCancel(context.Background())
	g := &runningCrowd{cancel: cancel, refused: make(map[string]int), answers: make(map[int]int)}
	t.Cleanup(g.stop)
	for range c.members {
		g.members.Go(func() {
			for ctx.Err() == nil {
				g.connect(ctx, c)
				sleep(ctx, redialPause)
			}
		})
	}
	return g
}

// stop closes all connections of the crowd and returns when all members have ended.
func (g *runningCrowd) stop() {
	g.cancel()
	g.members.Wait()
}

// connect is one connection of a member, from its beginning to its end.
func (g *runningCrowd) connect(ctx context.Context, c crowd) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", c.address)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	g.dialed.Add(1)
	m := member{Conn: conn, id: fmt.Sprintf("c%015x", lastID.Add(1))}
	closed := make(chan struct{})
	if c.unread {
		close(closed)
	} else {
		go func() {
			defer close(closed)
			g.read(m)
			_ = conn.Close() // ends behave
		}()
	}
	err = c.behave(ctx, m)
	if c.unread && err == nil {
		<-ctx.Done()
	}
	<-closed
}

// read counts the answers until the connection ends.
func (g *runningCrowd) read(m member) {
	from := bufio.NewReader(m)
	for {
		response, err := http.ReadResponse(from, nil)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		g.mu.Lock()
		g.answers[response.StatusCode]++
		switch response.StatusCode {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			g.refused[m.id] = response.StatusCode
		}
		g.mu.Unlock()
	}
}

// readAnswer reads one answer to its end.
func (m member) readAnswer() error {
	response, err := http.ReadResponse(bufio.NewReader(m), nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// sleep pauses. It reports false if ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// checkUnder connects the crowds to the instance, and checks that it stays within its bounds
// and answers an ordinary request beside them and after them.
func (e *edge) checkUnder(crowds ...crowd) {
	e.Helper()
	var all []*runningCrowd
	for _, c := range crowds {
		all = append(all, c.start(e.T))
	}
	time.Sleep(crowdTime)
	e.checkAnswers("beside the crowd")
	for _, g := range all {
		g.stop()
	}
	e.checkAnswers("after the crowd")
	e.checkBounds()
	for n, g := range all {
		e.Logf("crowd %d: %d connections, answers by status: %v", n, g.dialed.Load(), g.answers)
		e.checkNotRun(g.refused)
	}
}

// checkAnswers fails the test if one of the listeners answers nobody new.
func (e *edge) checkAnswers(when string) {
	e.Helper()
	eventually(e.T, "an ordinary request is answered "+when, e.answersOrdinary)
	eventually(e.T, "the readiness check is answered "+when, e.ready)
	eventually(e.T, "an address query is answered "+when, e.resolves)
}

// head returns the beginning of a request, without the empty line at its end.
func (m member) head(method, path string, fields ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nCredential: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 4000\r\n%s",
		method, path, host, key, m.id, joinFields(fields))
}

func joinFields(fields []string) string {
	var b strings.Builder
	for _, field := range fields {
		b.WriteString(field + "\r\n")
	}
	return b.String()
}

// shortFields returns header fields of the shortest names there are, of at most that many
// bytes in all.
func shortFields(bytes int) string {
	var b strings.Builder
	for n := 0; ; n++ {
		field := fmt.Sprintf("%x:\r\n", n)
		if b.Len()+len(field) > bytes {
			return b.String()
		}
		b.WriteString(field)
	}
}
