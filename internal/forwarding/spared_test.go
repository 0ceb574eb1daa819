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

// asked is what targets ask, by id.
type asked struct {
	limits map[string]float64
	pauses map[string]time.Time
}

func (a asked) Limit(target string) (float64, bool) {
	rate, named := a.limits[target]
	return rate, named
}

func (a asked) Pause(target string) time.Time {
	if end := a.pauses[target]; time.Now().Before(end) {
		return end
	}
	return time.Time{}
}

// TestWhatTargetsAskIsHeeded. Symptom: a target gets requests that it has asked not to get. Events: of two targets one names
// a limit, or has turned this instance away for a time; or both have. Cause: one of the ways to a target does not ask. A
// caller that is told to come back is told when the first pause ends.
func TestWhatTargetsAskIsHeeded(t *testing.T) {
	const requests = 12
	pause := 3 * time.Second
	for _, c := range []struct {
		name           string
		limited, still []string // targets that name a limit of one request in 4 s, or want nothing
		status         int
		retryAfter     time.Duration
		most           int // requests at m0
	}{
		{"none", nil, nil, 200, 0, requests},
		{"one is limited", []string{"m0"}, nil, 200, 0, 1},
		{"one wants nothing", nil, []string{"m0"}, 200, 0, 0},
		{"both are limited", []string{"m0", "m1"}, nil, 503, comeBack, 1},
		{"both want nothing", nil, []string{"m0", "m1"}, 503, pause, 0},
	} {
		for _, kind := range []route.Kind{route.Idempotent, route.NonIdempotent, route.Streaming} {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 2, func(_ *machine, conn net.Conn, _ string) { _, _ = io.WriteString(conn, wholeAnswer) })
				asks := asked{limits: make(map[string]float64), pauses: make(map[string]time.Time)}
				r.o.Asks = asks
				r.o.Limited = allowance.NewAllowance(allowance.Options{
					Self: "i", Instances: func() []string { return []string{"i"} }, Clock: quartz.NewReal(), Bound: allowance.Named(),
				})
				time.Sleep(r.o.Limited.Span())
				for _, id := range c.limited {
					asks.limits[id] = 0.1
				}
				for _, id := range c.still {
					asks.pauses[id] = time.Now().Add(pause)
				}
				last := 0
				for n := range requests {
					w, cut := r.call(t.Context(), inbound(kind, kind == route.Streaming, kind == route.Streaming), strconv.Itoa(n), 2*time.Second)
					last = w.Code
					if cut {
						t.Fatalf("%s, %v: request %d is cut", c.name, kind, n)
					}
					if after := w.Header().Get("Retry-After"); n == requests-1 && c.retryAfter > 0 && kind != route.Streaming && after != c.retryAfter.String() {
						t.Errorf("%s, %v: come back after %q, want %v", c.name, kind, after, c.retryAfter)
					}
				}
				if last != c.status || len(r.machines["m0"].got) > c.most {
					t.Errorf("%s, %v: the last is answered %d, want %d; m0 got %d, %d allowed", c.name, kind, last, c.status, len(r.machines["m0"].got), c.most)
				}
			})
		}
	}
}
