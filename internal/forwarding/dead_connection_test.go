package forwarding

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/route"
)

// Guards against requests that time out with 504 at a target that responds to others: pooled connections to it have become
// dead without a reset, and requests are sent on them. The missing acknowledgements must be detected before the request's
// deadline, and the retry must not be sent on another dead connection.
func TestSilentKeptConnections(t *testing.T) {
	const wait = 6 * time.Second
	cases := []struct {
		name          string
		in            Inbound
		unacked, slow int // unacknowledged bytes; seconds to the response on a live connection
		muted         bool
		status, sends int
	}{
		{"plain", inbound(route.Idempotent, false, false), 100, 0, true, 200, 2},
		{"plain, not idempotent", inbound(route.NonIdempotent, false, false), 100, 0, true, 504, 1},
		{"engine, resumable", inbound(route.Streaming, true, true), 100, 0, true, 200, 2},
		{"engine", inbound(route.Streaming, false, true), 100, 0, true, 504, 1},
		{"slow engine", inbound(route.Streaming, true, true), 0, 5, false, 200, 1},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			slow := time.Duration(0)
			r := newRig(t, 1, func(_ *memoryTarget, conn net.Conn, _ string) {
				time.Sleep(10*time.Millisecond + slow)
				_, _ = io.WriteString(conn, wholeAnswer)
			})
			for range 3 {
				go r.call(t.Context(), c.in, "before", wait)
			}
			time.Sleep(time.Second)
			synctest.Wait()
			m := r.targets["m0"]
			if c.muted {
				m.mutedConns = len(m.conns)
			}
			r.unacked.Store(int64(c.unacked))
			slow = time.Duration(c.slow) * time.Second
			began := time.Now()
			w, cut := r.call(t.Context(), c.in, "x", wait)
			if took := time.Since(began); cut || w.Code != c.status || r.arrived("x") != c.sends || took > wait || c.sends == 2 && took > wait/2 {
				t.Errorf("%s: cut off %v, status %d after %v, sent %d times", c.name, cut, w.Code, took, r.arrived("x"))
			}
			if kept := m.closedConns; c.sends == 2 && kept < 1 {
				t.Errorf("%s: the dead connection was not closed", c.name)
			}
		})
	}
}
