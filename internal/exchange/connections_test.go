package exchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/memnet"
)

func TestWhichConnectionsAreKept(t *testing.T) {
	for _, c := range []struct {
		name, method, answer, body string
		header                     http.Header
		kept                       bool
	}{
		{"length", "POST", okAnswer, "ok", nil, true},
		{"chunks", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: y\r\n\r\n", "ok", nil, true},
		{"no content", "GET", "HTTP/1.1 204 No\r\n\r\n", "", nil, true},
		{"not modified", "GET", "HTTP/1.1 304 No\r\nContent-Length: 9\r\n\r\n", "", nil, true},
		{"HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", "", nil, true},
		{"interim heads", "GET", "HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" + okAnswer, "ok", nil, true},
		{"target closes", "GET", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", "ok", nil, false},
		{"caller closes", "GET", okAnswer, "ok", http.Header{"connection": {"x, Close"}}, false},
		{"HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok", "ok", nil, false},
		{"no idle time", "GET", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", "ok", nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := serveTCP(t, func(p *targetConn) { p.answers(c.answer, c.answer, c.answer) })
			p := New(Options{})
			for range 2 {
				wantBody(t, p, Request{Address: address, Method: c.method, Header: c.header}, c.body)
			}
			wantBody(t, p, Request{Address: address, Method: c.method, Header: c.header, NewConnection: true}, c.body)
			if c.kept {
				wantStats(t, p, Stats{Dialed: 2, Reused: 1})
			} else {
				wantStats(t, p, Stats{Dialed: 3})
			}
		})
	}
}

func TestDeadKeptConnection(t *testing.T) {
	// Guards against a request that runs twice, or fails without need. If the target
	// closes a connection while it is idle, that must be detected before the reuse.
	// If it closes the connection after it has read the next request, the request
	// must be reported as sent, and must not be retried by the pool itself.
	var requests atomic.Int32
	idleClosed := make(chan struct{})
	address := serveTCP(t, func(p *targetConn) {
		p.answers(okAnswer)
		if requests.Add(1) == 1 {
			p.Close()
			close(idleClosed)
			return
		}
		if p.request() {
			requests.Add(1)
		}
		p.reset()
	})
	p := New(Options{})
	wantBody(t, p, Request{Address: address}, "ok")
	<-idleClosed
	time.Sleep(20 * time.Millisecond) // until the end of the connection has arrived
	wantBody(t, p, Request{Address: address}, "ok")
	wantStats(t, p, Stats{Dialed: 2, Stale: 1})
	_, err := get(t, p, Request{Address: address, Method: "POST", Body: []byte("pay")})
	wantSent(t, err, true)
	if requests.Load() != 3 {
		t.Fatalf("target got %d requests, want 3", requests.Load())
	}
	wantStats(t, p, Stats{Dialed: 2, Reused: 1, Stale: 1})
}

func TestSilentMachine(t *testing.T) {
	// Guards against a request that is retried although its target is only slow, and
	// against one that waits until its deadline on a connection without
	// acknowledgements. Neither the time to the response nor the number of bytes
	// that wait in the local socket may decide: a target may respond late, or read
	// nothing of a short or a long body for a while.
	slow := func(p *targetConn) {
		time.Sleep(300 * time.Millisecond)
		p.answers(okAnswer)
	}
	for _, size := range []int{10, 100_000, 1_000_000, 4_000_000} {
		r := Request{Address: serveTCP(t, slow), Method: "POST", Body: make([]byte, size), AckTimeout: 50 * time.Millisecond}
		wantBody(t, New(Options{}), r, "ok")
	}
	for unacked, failsAfter := range map[int]time.Duration{0: 0, 40: 2 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			p := serveMemory(t, Options{Unacked: func(net.Conn) int { return unacked }}, func(p *targetConn) {
				p.request()
				p.request() // blocks until the other side closes
			})
			start := time.Now()
			_, err := get(t, p, Request{AckTimeout: 2 * time.Second})
			wantSent(t, err, true)
			if errors.Is(err, ErrUnacknowledged) != (failsAfter > 0) || failsAfter > 0 && time.Since(start) != failsAfter {
				t.Errorf("%d bytes not acknowledged: %v after %v", unacked, err, time.Since(start))
			}
		})
	}
}

func TestDialFailureIsNotSent(t *testing.T) {
	// Guards against a request that no target has seen and that isn't retried
	// elsewhere: the dial is refused or times out, and the error is reported like a
	// lost response. The timeout of the dial must not look like the end of the
	// caller's context, since the caller would then give up.
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	_, err = get(t, New(Options{}), Request{Address: l.Addr().String()})
	wantSent(t, err, false)
	synctest.Test(t, func(t *testing.T) {
		p, start := New(Options{Dial: memnet.Listen().Dial}), time.Now()
		_, err := get(t, p, Request{})
		wantSent(t, err, false)
		if time.Since(start) != DefaultDialTimeout || !errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("after %v: %v", time.Since(start), err)
		}
	})
}

func TestIdleTime(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"": 10 * time.Second, "max=5": 10 * time.Second, "timeout=x": 10 * time.Second, "timeout=99": 10 * time.Second,
		"timeout=5, max=9": 4 * time.Second, "max=9, Timeout=\"3\"": 2 * time.Second, "timeout=2": time.Second, "timeout=1": time.Second / 2,
		"timeout=0": 0,
	} {
		if got := idleTime(http.Header{"Keep-Alive": {value}}, 10*time.Second); got != want {
			t.Errorf("%q: %v, want %v", value, got, want)
		}
	}
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	// Guards against idle connections that nothing closes: they would accumulate, or
	// a request would be sent just as the target closes one. Connections must be
	// closed if they are idle for too long, if there are more than MaxIdle, and if
	// the target is gone.
	synctest.Test(t, func(t *testing.T) {
		var open atomic.Int32
		p := serveMemory(t, Options{MaxIdle: 2}, func(p *targetConn) {
			open.Add(1)
			defer open.Add(-1)
			p.answers(okAnswer, okAnswer, okAnswer, okAnswer)
		})
		want := func(n int32) {
			t.Helper()
			synctest.Wait()
			if open.Load() != n {
				t.Fatalf("%d connections open, want %d", open.Load(), n)
			}
		}
		for range 3 {
			wantBody(t, p, Request{NewConnection: true}, "ok")
		}
		want(2)
		time.Sleep(6 * time.Second)
		wantBody(t, p, Request{}, "ok") // the last one stays open
		time.Sleep(6 * time.Second)
		want(1)
		p.CloseIdle("target:1")
		want(0)
		wantStats(t, p, Stats{Dialed: 3, Reused: 1})
	})
}

func TestConcurrentExchanges(t *testing.T) {
	// Guards against a caller that gets another caller's body under load, because a
	// connection is shared or returned to the pool too early: many exchanges with
	// bodies of different lengths, some of them closed before the end. Run with
	// -race.
	address := serveTCP(t, func(p *targetConn) {
		for {
			req, err := http.ReadRequest(p.br)
			if err != nil {
				return
			}
			b, _ := io.ReadAll(req.Body)
			fmt.Fprintf(p, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
		}
	})
	p := New(Options{MaxIdle: 8})
	errs := make(chan error, 16)
	for g := range cap(errs) {
		go func() {
			errs <- func() error {
				for i := range 100 {
					want := bytes.Repeat([]byte{byte('a' + g)}, g*i*20)
					resp, err := p.Do(t.Context(), Request{Address: address, Method: "POST", URI: "/", Body: want})
					if err != nil {
						return err
					}
					if i%10 == 3 {
						resp.Body.Close()
						continue
					}
					if got, err := io.ReadAll(resp.Body); err != nil || !bytes.Equal(got, want) {
						return fmt.Errorf("%d bytes of %d: %v", len(got), len(want), err)
					}
				}
				return nil
			}()
		}()
	}
	for range cap(errs) {
		if err := <-errs; err != nil {
			t.Error(err)
		}
	}
	if s := p.Stats(); s.Reused == 0 || s.Dialed+s.Reused != 1600 {
		t.Errorf("stats %+v", s)
	}
}
