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
			address := serveTCP(t, func(p *peer) { p.answers(c.answer, c.answer, c.answer) })
			p := New(Options{})
			for range 2 {
				wantBody(t, p, Request{Address: address, Method: c.method, Header: c.header}, c.body)
			}
			wantBody(t, p, Request{Address: address, Method: c.method, Header: c.header, Fresh: true}, c.body)
			if c.kept {
				wantStats(t, p, Stats{Dialed: 2, Reused: 1})
			} else {
				wantStats(t, p, Stats{Dialed: 3})
			}
		})
	}
}

func TestDeadKeptConnection(t *testing.T) {
	// Symptom: a request is carried out twice, or lost without need.
	// Events: (a) the target closes a connection while it is idle; (b) it
	// closes it after it has read the next request.
	// Cause: (a) is seen before the reuse; (b) must be told as sent, and a
	// transport that sends it again by itself would repeat it.
	var requests atomic.Int32
	idleClosed := make(chan struct{})
	address := serveTCP(t, func(p *peer) {
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
	time.Sleep(20 * time.Millisecond) // the end crosses the loopback
	wantBody(t, p, Request{Address: address}, "ok")
	wantStats(t, p, Stats{Dialed: 2, Stale: 1})
	_, err := get(t, p, Request{Address: address, Method: "POST", Body: []byte("pay")})
	wantSent(t, err, true)
	if requests.Load() != 3 {
		t.Fatalf("target saw %d requests, want 3", requests.Load())
	}
	wantStats(t, p, Stats{Dialed: 2, Reused: 1, Stale: 1})
}

func TestSilentMachine(t *testing.T) {
	// Symptom: a request is repeated though its target is only slow, or waits
	// for its whole time on a connection that is cut off.
	// Events: the target's machine acknowledges nothing; or the target reads
	// nothing for long, of a short or a long body, or answers late.
	// Cause: told by the time to the answer, or by bytes that wait here.
	slow := func(p *peer) {
		time.Sleep(300 * time.Millisecond)
		p.answers(okAnswer)
	}
	for _, size := range []int{10, 100_000, 1_000_000, 4_000_000} {
		r := Request{Address: serveTCP(t, slow), Method: "POST", Body: make([]byte, size), SilentAfter: 50 * time.Millisecond}
		wantBody(t, New(Options{}), r, "ok")
	}
	for unacked, silentAfter := range map[int]time.Duration{0: 0, 40: 2 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			p := serveMemory(t, Options{Unacked: func(net.Conn) int { return unacked }}, func(p *peer) {
				p.request()
				p.request() // until the other side closes
			})
			start := time.Now()
			_, err := get(t, p, Request{SilentAfter: 2 * time.Second})
			wantSent(t, err, true)
			if errors.Is(err, ErrSilent) != (silentAfter > 0) || silentAfter > 0 && time.Since(start) != silentAfter {
				t.Errorf("%d bytes not acknowledged: %v after %v", unacked, err, time.Since(start))
			}
		})
	}
}

func TestDialFailureIsNotSent(t *testing.T) {
	// Symptom: a request that no target has seen isn't tried elsewhere.
	// Events: the dial is refused; the dial gets no answer.
	// Cause: told like a lost answer. The dial's own end of time mustn't look
	// like the end of the caller's context, who would give up.
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

func TestIdleConnectionsEnd(t *testing.T) {
	// Symptom: connections pile up, or a request meets the target's close.
	// Events: connections aren't used for long; there are more than MaxIdle;
	// the target is gone.
	// Cause: idle connections that nothing closes.
	synctest.Test(t, func(t *testing.T) {
		var open atomic.Int32
		p := serveMemory(t, Options{MaxIdle: 2}, func(p *peer) {
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
			wantBody(t, p, Request{Fresh: true}, "ok")
		}
		want(2)
		time.Sleep(6 * time.Second)
		wantBody(t, p, Request{}, "ok") // the last one lives on
		time.Sleep(6 * time.Second)
		want(1)
		p.CloseIdle("target:1")
		want(0)
		wantStats(t, p, Stats{Dialed: 3, Reused: 1})
	})
}

func TestManyAtOnce(t *testing.T) {
	// Symptom: under load a caller gets another caller's body.
	// Events: many exchanges with bodies of all lengths, some given up midway.
	// Cause: a connection shared or kept too early. Run with -race.
	address := serveTCP(t, func(p *peer) {
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
