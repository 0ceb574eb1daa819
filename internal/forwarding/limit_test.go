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

// neverPlaced is a dispatcher that takes jobs and decides nothing.
type neverPlaced struct {
	Worker
	stagework.Assignment
	ended int
}

func (n *neverPlaced) Submit(context.Context, stagework.Job) (stagework.Assignment, *stagework.Refusal, error) {
	return n, nil, nil
}
func (n *neverPlaced) Decisions() <-chan stagework.Decision { return nil }
func (n *neverPlaced) Dispatcher() string                   { return "" }
func (n *neverPlaced) End()                                 { n.ended++ }

// Symptom: a request is held beyond its route's time limit, or is told that it did not run though it may have. Events: the target is
// silent, not reached, its queue does not move, or its answer goes on beyond the limit. Cause: the limit does not end a
// wait, or the work behind it, or what the caller is told does not depend on whether the request was sent.
func TestRouteTimeLimit(t *testing.T) {
	const limit = 600 * time.Millisecond
	silent := func(*machine, net.Conn, string) {}
	endless := func(_ *machine, conn net.Conn, _ string) {
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Signed: 1\r\nContent-Length: 1000000\r\n\r\n")
		for err == nil {
			_, err = io.WriteString(conn, "id: 1\nx\n\n")
			time.Sleep(50 * time.Millisecond)
		}
	}
	cases := []struct {
		name   string
		treat  func(*machine, net.Conn, string)
		apart  bool
		stuck  bool // no placement
		engine bool
		status int // 0 = cut
	}{
		{"silent", silent, false, false, false, 504},
		{"silent engine", silent, false, false, true, 504},
		{"not reached", silent, true, false, false, 503},
		{"engine not reached", silent, true, false, true, 503},
		{"never placed", silent, false, true, true, 503},
		{"plain answer goes on", endless, false, false, false, 504}, // nothing of it was passed on
		{"stream goes on", endless, false, false, true, 0},
	}
	for _, c := range cases {
		for _, kind := range []route.Kind{route.Idempotent, route.NonIdempotent, route.Streaming} {
			if c.engine != (kind == route.Streaming) {
				continue
			}
			synctest.Test(t, func(t *testing.T) {
				r, stuck := newRig(t, 1, c.treat), &neverPlaced{}
				r.machines["m0"].apart = c.apart
				if c.stuck {
					r.o.Work = stuck
				}
				in, began := inbound(kind, false, c.engine), time.Now()
				in.Route.Timeout = limit
				w, cut := r.call(t.Context(), in, "x", time.Minute)
				took, comeBack := time.Since(began), w.Header().Get("Retry-After") != ""
				if early, late := limit-2*answerMargin, limit+2*answerMargin; took < early || took > late {
					t.Errorf("%s: ended after %v", c.name, took)
				}
				if cut != (c.status == 0) || !cut && (w.Code != c.status || comeBack != (c.status == 503)) {
					t.Errorf("%s: cut %v, answered %d, to come back: %v", c.name, cut, w.Code, comeBack)
				}
				time.Sleep(100 * time.Millisecond)
				synctest.Wait()
				m := r.machines["m0"]
				if m.ended != len(m.conns) || c.stuck && stuck.ended != 1 || len(m.got) != map[bool]int{false: 1, true: 0}[c.apart || c.stuck] {
					t.Errorf("%s: %d of %d connections ended, the job %d times, %d requests arrived", c.name, m.ended, len(m.conns), stuck.ended, len(m.got))
				}
				if jobs := r.dispatcher.Jobs(); jobs != 0 {
					t.Errorf("%s: %d jobs are left at the dispatcher", c.name, jobs)
				}
			})
		}
	}
}
