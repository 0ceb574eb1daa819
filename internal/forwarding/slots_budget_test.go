package forwarding

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/fleet"
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

// Guards against an instance that is cut off from a target, or gives it too little time, and
// takes it from all others: the coordinator may be told only of failures that the target
// shows itself. Requests of this instance avoid the target all the same.
func TestWhatTheCoordinatorIsToldOfFailures(t *testing.T) {
	for name, c := range map[string]struct {
		fault func(m *memoryTarget)
		state string // of the target at the coordinator
	}{
		"can't be reached": {func(m *memoryTarget) { m.unreachable = true }, "ready"},
		"hangs":            {func(m *memoryTarget) { m.handle = func(*memoryTarget, net.Conn, string) {} }, "ready"},
		"has ended":        {(*memoryTarget).die, "backoff"},
		"breaks off":       {func(m *memoryTarget) { m.handle = func(_ *memoryTarget, conn net.Conn, _ string) { _ = conn.Close() } }, "backoff"},
	} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, 2, func(_ *memoryTarget, conn net.Conn, _ string) { _, _ = io.WriteString(conn, wholeAnswer) })
			slots := r.enableSlots(t)
			c.fault(r.targets["m0"])
			for len(r.o.Loads.backoffs()) == 0 { // until m0 got a request
				r.call(t.Context(), inbound(route.NonIdempotent, false, false), "b", 200*time.Millisecond)
			}
			synctest.Wait()
			for _, target := range slots.coordinator.Snapshot().Services[0].Targets {
				if want := map[string]string{"m0": c.state, "m1": "ready"}[target.ID]; target.State != want {
					t.Errorf("%s: %s is %q at the coordinator, want %q", name, target.ID, target.State, want)
				}
			}
			for range 10 {
				if w, cut := r.call(t.Context(), inbound(route.NonIdempotent, false, false), "after", 200*time.Millisecond); cut || w.Code != 200 {
					t.Errorf("%s: status %d after the failure", name, w.Code)
				}
			}
		})
	}
}

// backoffs returns the targets in their backoff.
func (l *Loads) backoffs() (ids []string) {
	for _, id := range []string{"m0", "m1"} {
		if l.InBackoff(fleet.Target{ID: id}) {
			ids = append(ids, id)
		}
	}
	return ids
}
