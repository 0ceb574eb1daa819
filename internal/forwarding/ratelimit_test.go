package forwarding

import (
	"io"
	"net"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/allowance"
	"lynxhill.example/lynxhill/internal/route"
)

// fixedNotices implements TargetNotices with fixed limits and pauses, by target id.
type fixedNotices struct {
	limits map[string]float64
	pauses map[string]time.Time
}

func (a fixedNotices) Limit(target string) (float64, bool) {
	rate, named := a.limits[target]
	return rate, named
}

func (a fixedNotices) Pause(target string) time.Time {
	if end := a.pauses[target]; time.Now().Before(end) {
		return end
	}
	return time.Time{}
}

// Guards against a target that gets requests it has asked not to get: one or both of two targets state a limit or have
// paused this instance, and one of the code paths that send requests does not check that. If all targets are paused, the
// caller's retry delay is the time until the first pause ends.
func TestWhatTargetsAskIsHeeded(t *testing.T) {
	const requests = 12
	pause := 3 * time.Second
	for _, c := range []struct {
		name            string
		limited, paused []string // targets that state a limit of one request in 4 s, or have paused this instance
		status          int
		retryAfter      time.Duration
		most            int // maximum number of requests at m0
	}{
		{"none", nil, nil, 200, 0, requests},
		{"one is limited", []string{"m0"}, nil, 200, 0, 1},
		{"one is paused", nil, []string{"m0"}, 200, 0, 0},
		{"both are limited", []string{"m0", "m1"}, nil, 503, defaultRetryAfter, 1},
		{"both are paused", nil, []string{"m0", "m1"}, 503, pause, 0},
	} {
		for n, kind := range []route.Kind{route.Idempotent, route.NonIdempotent, route.Streaming, route.Idempotent, route.NonIdempotent} {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 2, func(_ *memoryTarget, conn net.Conn, _ string) { _, _ = io.WriteString(conn, wholeAnswer) })
				if n >= 3 { // with the slot queue
					r.enableSlots(t)
				}
				asks := fixedNotices{limits: make(map[string]float64), pauses: make(map[string]time.Time)}
				r.o.Notices = asks
				r.o.StatedLimits = allowance.NewAllowance(allowance.Options{
					Self: "i", Instances: func() []string { return []string{"i"} }, Clock: quartz.NewReal(), Bound: allowance.Stated(),
				})
				time.Sleep(r.o.StatedLimits.Span())
				for _, id := range c.limited {
					asks.limits[id] = 0.1
				}
				for _, id := range c.paused {
					asks.pauses[id] = time.Now().Add(pause)
				}
				last := 0
				for n := range requests {
					w, cut := r.call(t.Context(), inbound(kind, kind == route.Streaming, kind == route.Streaming), strconv.Itoa(n), 2*time.Second)
					last = w.Code
					if cut {
						t.Fatalf("%s, %v: request %d is cut off", c.name, kind, n)
					}
					if after := w.Header().Get("Retry-After"); n == requests-1 && c.retryAfter > 0 && kind != route.Streaming && after != c.retryAfter.String() {
						t.Errorf("%s, %v: Retry-After %q, want %v", c.name, kind, after, c.retryAfter)
					}
				}
				if last != c.status || len(r.targets["m0"].received) > c.most {
					t.Errorf("%s, %v: last status %d, want %d; m0 got %d requests, %d allowed", c.name, kind, last, c.status, len(r.targets["m0"].received), c.most)
				}
			})
		}
	}
}
