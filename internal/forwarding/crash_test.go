package forwarding

import (
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/crashguard"
	"lynxhill.example/lynxhill/internal/route"
)

// Guards against harmless requests that are refused, for ten attempts of their callers, with "targets died while running
// this request". One request crashes each target that runs it. The other requests at that target are lost too, are
// retried, and run beside it at the second target and at the third. Each death counts for all requests at the target. If
// suspected requests are not isolated from each other, the harmless ones reach the limit together with the one that
// crashes targets. Before this test, a crash after the response had begun was not detected at all.
func TestOneCrashingRequestAmongInnocentOnes(t *testing.T) {
	// As many requests are lost with the first target as can be isolated on the others, which are busy.
	const neighbours, harmless, targets, limit = 6, 46, 8, 3
	cases := map[string]struct {
		in     func() Inbound
		before string // what the target of the crashing request writes before it dies
		slots  bool   // with the slot queue
	}{
		"plain, slots":               {func() Inbound { return inbound(route.Idempotent, false, false) }, "", true},
		"plain":                      {func() Inbound { return inbound(route.Idempotent, false, false) }, "", false},
		"plain, head sent":           {func() Inbound { return inbound(route.Idempotent, false, false) }, wholeAnswer[:58], false},
		"engine":                     {func() Inbound { return inbound(route.Streaming, true, true) }, "", false},
		"engine, stream has begun":   {func() Inbound { return inbound(route.Streaming, true, true) }, wholeAnswer[:58], false},
		"engine, cannot be repeated": {func() Inbound { return inbound(route.Streaming, false, true) }, "", false},
	}
	const rounds = 12 // which requests share a target differs between rounds
	for n := range rounds * len(cases) {
		name := slices.Sorted(maps.Keys(cases))[n%len(cases)]
		c := cases[name]
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, targets, func(m *memoryTarget, conn net.Conn, body string) {
					if body == "crash" {
						_, _ = io.WriteString(conn, c.before)
						time.Sleep(50 * time.Millisecond)
						m.die()
						return
					}
					time.Sleep(300 * time.Millisecond)
					_, _ = io.WriteString(conn, wholeAnswer)
				})
				if c.slots {
					r.enableSlots(t)
				}
				in := c.in()
				in.Route.MaxAttempts = maxTotalAttempts // one more than the limit of deaths
				var callers sync.WaitGroup
				r.list(0, 1)
				callers.Go(func() {
					for range 20 {
						_, _ = r.call(t.Context(), in, "crash", 5*time.Second)
						time.Sleep(20 * time.Millisecond)
					}
				})
				answered := make([]bool, harmless)
				for n := range harmless {
					if n == neighbours {
						time.Sleep(10 * time.Millisecond)
						r.list(1, targets)
					}
					callers.Go(func() {
						for try := 0; try < 10 && !answered[n]; try++ {
							w, cut := r.call(t.Context(), in, fmt.Sprint(n), 5*time.Second)
							answered[n] = !cut && w.Code == 200
							time.Sleep(20 * time.Millisecond) // callers retry
						}
					})
				}
				callers.Wait()
				for n := range harmless {
					if !answered[n] || r.guard.Refused(crashguard.Fingerprint("h/\x00", fmt.Append(nil, n))) {
						t.Errorf("harmless request %d: answered %v, guard refuses it: %v", n, answered[n], r.guard.Refused(crashguard.Fingerprint("h/\x00", fmt.Append(nil, n))))
					}
				}
				if arrivals := r.arrived("crash"); arrivals != limit {
					t.Errorf("the crashing request reached targets %d times", arrivals)
				}
			})
		})
	}
}

// Guards against the same failure if two requests are suspected and the best target is the same for both.
func TestSuspectsGoToTargetsOfTheirOwn(t *testing.T) {
	for n := range 4 {
		engine, together := n%2 == 1, n/2 == 1
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, 2, func(_ *memoryTarget, conn net.Conn, _ string) {
				time.Sleep(time.Second)
				_, _ = io.WriteString(conn, wholeAnswer)
			})
			in := inbound(map[bool]route.Kind{false: route.Idempotent, true: route.Streaming}[engine], engine, engine)
			call := func(body string) {
				go r.call(t.Context(), in, body, 5*time.Second)
				if !together || body == "busy" {
					synctest.Wait()
				}
			}
			r.list(1, 2)
			for range 6 {
				call("busy")
			}
			r.list(0, 2)
			for _, body := range []string{"first", "second", "harmless"} {
				if body != "harmless" {
					r.guard.RecordCrash(crashguard.Fingerprint("h/\x00", []byte(body)), crashguard.Crash{Target: "gone"})
				} else {
					time.Sleep(100 * time.Millisecond) // a target whose placement was rejected gets no work for a moment
				}
				call(body)
			}
			synctest.Wait()
			for id, want := range map[string]string{"m0": "harmless", "m1": "busy busy busy busy busy busy"} {
				got := strings.ReplaceAll(strings.ReplaceAll(" "+strings.Join(slices.Sorted(slices.Values(r.targets[id].received)), " "), " first", ""), " second", "")
				if len(r.targets[id].received) != strings.Count(want, " ")+2 || strings.TrimSpace(got) != want {
					t.Errorf("engine %v, together %v: %s got %q", engine, together, id, r.targets[id].received)
				}
			}
		})
	}
}
