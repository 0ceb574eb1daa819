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

// Symptom: a harmless request is refused for ten callers' attempts, with "targets died while running this request".
// Events: one request kills each target that runs it; its neighbours there break off with it, are sent on, meet it on
// the next target, and on the third.
// Cause: each death is blamed on all that ran there, and those that are blamed are not kept apart, so that the innocent
// ones come to the limit with the guilty one. A crash after the answer has begun was not noticed at all.
func TestOneCrashingRequestAmongInnocentOnes(t *testing.T) {
	// As many break off with the first target as can be kept apart on the others, which are busy.
	const neighbours, innocents, machines, limit = 6, 46, 8, 3
	cases := map[string]struct {
		in     func() Inbound
		before string // what the crashing request's target writes before it dies
	}{
		"plain":                      {func() Inbound { return inbound(route.Idempotent, false, false) }, ""},
		"plain, head out":            {func() Inbound { return inbound(route.Idempotent, false, false) }, wholeAnswer[:58]},
		"engine":                     {func() Inbound { return inbound(route.Streaming, true, true) }, ""},
		"engine, stream has begun":   {func() Inbound { return inbound(route.Streaming, true, true) }, wholeAnswer[:58]},
		"engine, cannot be repeated": {func() Inbound { return inbound(route.Streaming, false, true) }, ""},
	}
	const rounds = 12 // who meets whom differs
	for n := range rounds * len(cases) {
		name := slices.Sorted(maps.Keys(cases))[n%len(cases)]
		c := cases[name]
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, machines, func(m *machine, conn net.Conn, body string) {
					if body == "crash" {
						_, _ = io.WriteString(conn, c.before)
						time.Sleep(50 * time.Millisecond)
						m.die()
						return
					}
					time.Sleep(300 * time.Millisecond)
					_, _ = io.WriteString(conn, wholeAnswer)
				})
				in := c.in()
				in.Route.MaxAttempts = maxSends // one more than targets may die
				var callers sync.WaitGroup
				r.list(0, 1)
				callers.Go(func() {
					for range 20 {
						_, _ = r.call(t.Context(), in, "crash", 5*time.Second)
						time.Sleep(20 * time.Millisecond)
					}
				})
				answered := make([]bool, innocents)
				for n := range innocents {
					if n == neighbours {
						time.Sleep(10 * time.Millisecond)
						r.list(1, machines)
					}
					callers.Go(func() {
						for try := 0; try < 10 && !answered[n]; try++ {
							w, cut := r.call(t.Context(), in, fmt.Sprint(n), 5*time.Second)
							answered[n] = !cut && w.Code == 200
							time.Sleep(20 * time.Millisecond) // callers come back
						}
					})
				}
				callers.Wait()
				for n := range innocents {
					if !answered[n] || r.guard.Refused(crashguard.Fingerprint("h/\x00", fmt.Append(nil, n))) {
						t.Errorf("innocent request %d: answered %v, guard refuses it: %v", n, answered[n], r.guard.Refused(crashguard.Fingerprint("h/\x00", fmt.Append(nil, n))))
					}
				}
				if arrivals := r.arrived("crash"); arrivals != limit {
					t.Errorf("the crashing request came to targets %d times", arrivals)
				}
			})
		})
	}
}

// Symptom, cause: as above. Events: two requests are suspected, and the target that looks best is the same for both.
func TestSuspectsGoToTargetsOfTheirOwn(t *testing.T) {
	for n := range 4 {
		engine, together := n%2 == 1, n/2 == 1
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, 2, func(_ *machine, conn net.Conn, _ string) {
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
					r.guard.TargetDied(crashguard.Fingerprint("h/\x00", []byte(body)), "gone")
				} else {
					time.Sleep(100 * time.Millisecond) // a target that was passed over gets no work for a moment
				}
				call(body)
			}
			synctest.Wait()
			for id, want := range map[string]string{"m0": "harmless", "m1": "busy busy busy busy busy busy"} {
				got := strings.ReplaceAll(strings.ReplaceAll(" "+strings.Join(slices.Sorted(slices.Values(r.machines[id].got)), " "), " first", ""), " second", "")
				if len(r.machines[id].got) != strings.Count(want, " ")+2 || strings.TrimSpace(got) != want {
					t.Errorf("engine %v, together %v: %s got %q", engine, together, id, r.machines[id].got)
				}
			}
		})
	}
}
