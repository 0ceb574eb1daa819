package forwarding

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/crashguard"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
)

// Guards against a target that has started again under its id and gets no requests because the earlier start failed, was slow
// or full, and against an attempt at the earlier start that ends later and counts for the new one.
func TestLoadsOfANewStart(t *testing.T) {
	for name, learn := range map[string]func(*loadsRig){
		"broken": func(r *loadsRig) { r.endFirst(NoResponse, nil) },
		"faulty": func(r *loadsRig) { r.endFirst(ServerError, nil) },
		"loaded": func(r *loadsRig) { r.endFirst(Answered, &relay.Load{Running: 4, Waiting: 9, Slots: 4}) },
		"slow":   (*loadsRig).slowFirst,
		"in flight": func(r *loadsRig) {
			for range 20 {
				r.Choose(r.targets[:1], nil)
			}
		},
	} {
		r := newLoads(t)
		r.targets[0].Started = 100
		earlier := r.targets[0]
		learn(r)
		if n := r.shareOfFirst(); n > 30 {
			t.Errorf("%s: %d of 300 before the new start", name, n)
		}
		r.targets[0].Started = 200
		if n := r.shareOfFirst(); n < 60 || n > 140 {
			t.Errorf("%s: %d of 300 at the new start", name, n)
		}
		for range 10 {
			r.Done(earlier, NoResponse, time.Second, nil)
		}
		if n := r.shareOfFirst(); n < 60 || n > 140 {
			t.Errorf("%s: %d of 300 after attempts at the earlier start ended", name, n)
		}
	}
}

// Guards against a crash that is not counted because the target is back under its id, and at its address, before anyone looks:
// the request reaches one target after the other, or the same one again and again. A target that announced its end, or whose
// entries state no start, has not crashed.
func TestTargetThatStartsAgainUnderItsIDHasCrashed(t *testing.T) {
	for _, c := range []struct {
		name        string
		first, step int64 // starts that the target's entries state
		draining    bool
		arrivals    int
		refused     bool
	}{{"crashed", 100, 100, false, 3, true}, {"left as announced", 100, 100, true, 5, false}, {"states no start", 0, 0, false, 5, false}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 1, func(_ *memoryTarget, conn net.Conn, _ string) { _ = conn.Close() })
				in := inbound(route.NonIdempotent, false, false)
				target := fleet.Target{ID: "m0", Service: "s", Address: "m0", Slots: 8, Started: c.first}
				for range 5 {
					r.view.Store(fleet.NewView(1, []fleet.Target{target}))
					_, _ = r.call(t.Context(), in, "crash", 500*time.Millisecond)
					time.Sleep(500 * time.Millisecond)
					if c.draining {
						leaving := target
						leaving.Draining = true
						r.view.Store(fleet.NewView(2, []fleet.Target{leaving}))
						time.Sleep(500 * time.Millisecond)
					}
					target.Started += c.step
					r.view.Store(fleet.NewView(3, []fleet.Target{target}))
					time.Sleep(2 * time.Second)
				}
				refused := r.guard.Refused(crashguard.Fingerprint("h/\x00", []byte("crash")))
				if got := r.arrived("crash"); got != c.arrivals || refused != c.refused {
					t.Errorf("reached the target %d times, want %d; refused: %v", got, c.arrivals, refused)
				}
			})
		})
	}
}

// Guards against suspected requests that share a target because the crash guard is told its id instead of its start when the
// target was granted by the slot queue.
func TestSuspectsAtGrantedTargetsThatStateTheirStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2, func(_ *memoryTarget, conn net.Conn, _ string) {
			time.Sleep(time.Second)
			_, _ = io.WriteString(conn, wholeAnswer)
		})
		slots := r.enableSlots(t)
		var listed []fleet.Target
		list := func(id string) {
			listed = append(listed, fleet.Target{ID: id, Service: "s", Address: id, Slots: 8, Started: 100})
			r.view.Store(fleet.NewView(uint64(len(listed)), listed))
			slots.coordinator.TargetsChanged()
		}
		call := func(body string) {
			go r.call(t.Context(), inbound(route.Idempotent, false, false), body, 5*time.Second)
			synctest.Wait()
		}
		list("m1")
		for range 6 {
			call("busy")
		}
		list("m0")
		for _, body := range []string{"first", "second"} {
			r.guard.RecordCrash(crashguard.Fingerprint("h/\x00", []byte(body)), crashguard.Crash{Target: "gone"})
			call(body)
		}
		if a, b := len(r.targets["m0"].received), len(r.targets["m1"].received); a != 1 || b != 7 {
			t.Errorf("two suspects, six others at m1: m0 got %d requests, m1 %d", a, b)
		}
	})
}

// Guards against a new start of a target that is avoided because the earlier one did not respond.
func TestBackoffEndsWithTheStart(t *testing.T) {
	r := newLoads(t)
	r.targets[0].Started = 100
	r.endFirst(NoResponse, nil)
	before := r.InBackoff(r.targets[0])
	r.targets[0].Started = 200
	if after := r.InBackoff(r.targets[0]); !before || after {
		t.Errorf("in backoff: earlier start %v, new start %v", before, after)
	}
}
