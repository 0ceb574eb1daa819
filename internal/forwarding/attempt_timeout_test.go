package forwarding

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/route"
)

// Guards against an attempt that is cut off half way to the deadline although the
// next one has less time left than the service needs.
func TestAnswerIsNotCutForAnAttemptThatCannotFinish(t *testing.T) {
	const usual, deadline = 1200 * time.Millisecond, 3 * time.Second
	for _, c := range []struct {
		name    string
		slow    time.Duration
		usual   time.Duration
		arrived int
	}{
		{"no time for another", 2 * time.Second, usual, 1},
		{"time for another", 2 * time.Second, usual / 10, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var once atomic.Bool
				r := newRig(t, 2, func(_ *memoryTarget, conn net.Conn, body string) {
					if body == "slow" && !once.Swap(true) {
						time.Sleep(c.slow)
					} else {
						time.Sleep(c.usual)
					}
					_, _ = io.WriteString(conn, wholeAnswer)
				})
				in := inbound(route.Idempotent, false, false)
				for range 3 {
					r.call(t.Context(), in, "usual", deadline)
				}
				w, cut := r.call(t.Context(), in, "slow", deadline)
				if cut || w.Code != http.StatusOK {
					t.Errorf("cut %v, status %d, body %q", cut, w.Code, w.Body)
				}
				if n := r.arrived("slow"); n != c.arrived {
					t.Errorf("sent %d times, want %d", n, c.arrived)
				}
			})
		})
	}
}
