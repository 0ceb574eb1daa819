package forwarding

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/route"
	"lynxhill.example/lynxhill/internal/stagework"
)

// neverPlaced is a dispatcher that accepts jobs and never places them.
type neverPlaced struct {
	Scheduler
	stagework.Assignment
	ended int
}

func (n *neverPlaced) Submit(context.Context, stagework.Job) (stagework.Assignment, *stagework.Refusal, error) {
	return n, nil, nil
}
func (n *neverPlaced) Decisions() <-chan stagework.Decision { return nil }
func (n *neverPlaced) Dispatcher() string                   { return "" }
func (n *neverPlaced) End()                                 { n.ended++ }

// Guards against requests that exceed their route's timeout, or whose response says "not run" although they may have run.
// The target does not respond or can't be reached, the request is never placed, or the response does not end in time. The
// timeout must end each wait and the work behind it, and the response must depend on whether the request was sent.
func TestRouteTimeLimit(t *testing.T) {
	const limit = 600 * time.Millisecond
	silent := func(*memoryTarget, net.Conn, string) {}
	endless := func(_ *memoryTarget, conn net.Conn, _ string) {
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Signed: 1\r\nContent-Length: 1000000\r\n\r\n")
		for err == nil {
			_, err = io.WriteString(conn, "id: 1\nx\n\n")
			time.Sleep(50 * time.Millisecond)
		}
	}
	cases := []struct {
		name        string
		handle      func(*memoryTarget, net.Conn, string)
		unreachable bool
		stuck       bool // the request is never placed
		engine      bool
		status      int // 0 = the connection is closed
	}{
		{"silent", silent, false, false, false, 504},
		{"silent engine", silent, false, false, true, 504},
		{"unreachable target", silent, true, false, false, 503},
		{"unreachable engine", silent, true, false, true, 503},
		{"never placed", silent, false, true, true, 503},
		{"endless plain response", endless, false, false, false, 504}, // nothing of it was forwarded
		{"endless stream", endless, false, false, true, 0},
	}
	for _, c := range cases {
		for _, kind := range []route.Kind{route.Idempotent, route.NonIdempotent, route.Streaming} {
			if c.engine != (kind == route.Streaming) {
				continue
			}
			synctest.Test(t, func(t *testing.T) {
				r, stuck := newRig(t, 1, c.handle), &neverPlaced{}
				r.targets["m0"].unreachable = c.unreachable
				if c.stuck {
					r.o.Scheduler = stuck
				}
				in, began := inbound(kind, false, c.engine), time.Now()
				in.Route.Timeout = limit
				w, cut := r.call(t.Context(), in, "x", time.Minute)
				took, retryAfter := time.Since(began), w.Header().Get("Retry-After") != ""
				if early, late := limit-2*responseMargin, limit+2*responseMargin; took < early || took > late {
					t.Errorf("%s: ended after %v", c.name, took)
				}
				if cut != (c.status == 0) || !cut && (w.Code != c.status || retryAfter != (c.status == 503)) {
					t.Errorf("%s: cut off %v, status %d, Retry-After present: %v", c.name, cut, w.Code, retryAfter)
				}
				time.Sleep(100 * time.Millisecond)
				synctest.Wait()
				m := r.targets["m0"]
				if m.closedConns != len(m.conns) || c.stuck && stuck.ended != 1 || len(m.received) != map[bool]int{false: 1, true: 0}[c.unreachable || c.stuck] {
					t.Errorf("%s: %d of %d connections closed, job ended %d times, %d requests arrived", c.name, m.closedConns, len(m.conns), stuck.ended, len(m.received))
				}
				if jobs := r.dispatcher.Jobs(); jobs != 0 {
					t.Errorf("%s: %d jobs remain at the dispatcher", c.name, jobs)
				}
			})
		}
	}
}
