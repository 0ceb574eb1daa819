package forwarding

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/route"
)

// Guards against second attempts beside the retry budget: a target that refuses the request
// without running it may be followed by another only if the budget allows, and a slot that
// this instance can't use costs no retry.
func TestRetryBudgetWithSlots(t *testing.T) {
	for _, c := range []struct {
		ratio   float64
		arrived int
	}{{0, 1}, {100, maxTotalAttempts}} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, maxTotalAttempts, func(_ *memoryTarget, conn net.Conn, _ string) {
				_, _ = io.WriteString(conn, "HTTP/1.1 503 S\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			})
			r.o.Budget = NewRetryBudget(RetryBudgetOptions{Ratio: c.ratio, Window: time.Minute, Instances: func() int { return 1 }, Clock: quartz.NewReal()})
			slots := r.enableSlots(t)
			if w, cut := r.call(t.Context(), inbound(route.NonIdempotent, false, false), "b", time.Second); cut || w.Code != 503 {
				t.Errorf("ratio %v: status %d", c.ratio, w.Code)
			}
			if got := r.arrived("b"); got != c.arrived || slots.asked.Load() != int64(c.arrived) {
				t.Errorf("ratio %v: sent %d times with %d slots, want %d", c.ratio, got, slots.asked.Load(), c.arrived)
			}
		})
	}
}
