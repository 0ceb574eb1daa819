package slotqueue

import (
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
)

// Guards against requests in the queue of a target instead of the coordinator's.
func TestTargetGetsNoMoreRequestsThanSlots(t *testing.T) {
	r := newRig(t, Bounds{}, listed("t", 2))
	r.granted(r.submit(ownerA, nil), "t")
	r.granted(r.submit(ownerB, nil), "t")
	r.waits(r.submit(ownerA, nil))
	got := r.release(ownerA, 1, Answered, nil)
	if len(got) != 1 || got[0].ID != 3 || got[0].Target != "t" {
		t.Fatalf("after a release: %+v", got)
	}
	if r.release(ownerA, 1, Answered, nil); r.q.targets["t"].used != 2 {
		t.Fatalf("a second release of one slot was counted: %d used", r.q.targets["t"].used)
	}
}

// Guards against a request that takes the free slot of a slow target although one of a
// fast target is about to be free, and against one that waits for it in vain.
func TestSlowTargetIsPassedOverIfWaitingEndsSooner(t *testing.T) {
	for _, c := range []struct {
		name  string
		pace  float64
		waits bool
	}{{"2.5 times slower", 2.5, false}, {"6 times slower", 6, true}} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, Bounds{}, listed("fast", 1), listed("slow", 1))
			r.granted(r.submit(ownerA, nil), "fast")
			r.granted(r.submit(ownerA, nil), "slow")
			r.release(ownerA, 1, Answered, pace(1))
			r.release(ownerA, 2, Answered, pace(c.pace))
			r.granted(r.submit(ownerA, nil), "fast")
			a := r.submit(ownerA, nil)
			if !c.waits {
				r.granted(a, "slow")
				return
			}
			r.waits(a)
			if got := r.release(ownerA, 3, Answered, pace(1)); len(got) != 1 || got[0].Target != "fast" {
				t.Fatalf("%+v, want a slot of the fast target", got)
			}
		})
	}
}

// Guards against targets that get requests although they must not, or must get few.
func TestTargetsThatAreExcludedOrLimited(t *testing.T) {
	cold := fleet.Target{ID: "x", Slots: 9, ColdUntil: time.Unix(2000, 0)}
	perSecond := Bounds{ColdRate: func(string) float64 { return 10 }}
	stated := Bounds{TargetRate: func(id string) (float64, bool) { return 10, id == "x" }}
	for _, c := range []struct {
		name   string
		bounds Bounds
		x      fleet.Target
		most   int // of 20 requests at once
	}{
		{"draining", Bounds{}, fleet.Target{ID: "x", Slots: 9, Draining: true}, 0},
		{"without slots", Bounds{}, fleet.Target{ID: "x"}, 0},
		{"cold", perSecond, cold, 1},
		{"cold, no rate", Bounds{}, cold, 9},
		{"stated rate", stated, listed("x", 9), 1},
		{"ready", Bounds{}, listed("x", 9), 9},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, c.bounds, c.x, listed("other", 5))
			for range 20 {
				r.submit(ownerA, nil)
			}
			if n := r.q.targets["x"].used; n != c.most {
				t.Fatalf("%d requests at the target, want %d", n, c.most)
			}
		})
	}
}

// Guards against a cold target that gets more per second than its rate.
func TestColdRateOverTime(t *testing.T) {
	cold := fleet.Target{ID: "x", Slots: 100, ColdUntil: time.Unix(2000, 0)}
	r := newRig(t, Bounds{ColdRate: func(string) float64 { return 10 }}, cold)
	n := 0
	for range 100 {
		r.id++
		r.q.submit(ownerA, Request{ID: r.id, OnTimeUntil: r.now.Add(time.Minute), Deadline: r.now.Add(time.Minute)}, r.now)
		for _, a := range append(r.answers(), r.wait(20*time.Millisecond)...) {
			if a.Target != "" {
				n++
			}
		}
	}
	if n < 19 || n > 21 {
		t.Fatalf("%d requests in 2 s, want 20", n)
	}
}

// Guards against a second attempt at the target that failed the first, and against a
// request that waits for another target where there is none.
func TestExcludedTargets(t *testing.T) {
	exclude := func(q *Request) { q.Excluded = []string{"x"} }
	r := newRig(t, Bounds{}, listed("x", 5), listed("y", 1))
	r.granted(r.submit(ownerA, exclude), "y")
	r.waits(r.submit(ownerA, exclude))
	r.granted(r.submit(ownerA, nil), "x") // is not held up by one that can't use the target
	alone := newRig(t, Bounds{}, listed("x", 5))
	alone.granted(alone.submit(ownerA, exclude), "x")
}

// Guards against a target that crashes because the bodies of its requests exceed its
// memory.
func TestBodyBytesOfATarget(t *testing.T) {
	body := func(n int64) func(*Request) { return func(q *Request) { q.BodyBytes = n } }
	r := newRig(t, Bounds{TargetBodyBytes: 100}, listed("x", 5))
	r.granted(r.submit(ownerA, body(60)), "x")
	r.waits(r.submit(ownerA, body(60)))
	r.granted(r.submit(ownerA, body(40)), "x")
	if got := r.release(ownerA, 1, Answered, nil); len(got) != 1 || got[0].ID != 2 {
		t.Fatalf("%+v, want the slot for request 2", got)
	}
	if a := r.submit(ownerA, body(101)); a.Refusal == nil || a.Refusal.Reason != ReasonTooLarge {
		t.Fatalf("%+v, want a refusal of what never fits", a)
	}
}

// Guards against targets that others load, as with two coordinators, getting as many
// requests as if they were free; and against a grant on its way that counts as foreign.
func TestForeignLoadInWhatTargetsState(t *testing.T) {
	r := newRig(t, Bounds{}, listed("x", 4))
	for i := range 6 { // responses over 250 ms, in all of which four slots are used by others
		r.granted(r.submit(ownerA, nil), "x")
		r.wait(50 * time.Millisecond)
		r.release(ownerA, uint64(i+1), Answered, &relay.Load{Running: 4, Slots: 4, Pace: 1})
	}
	if n := r.q.targets["x"].foreign.slots(r.now); n != 3 {
		t.Fatalf("%d foreign slots, want 3", n)
	}
	r.granted(r.submit(ownerA, nil), "x")
	r.waits(r.submit(ownerA, nil))
	if got := r.wait(foreignForget + time.Millisecond); len(got) != 1 || got[0].Target != "x" {
		t.Fatalf("%+v, want a slot once the statement is old", got)
	}
}

// Guards against a target that does not respond, or refuses requests, taking those that
// others could answer; and against all of them going there when its backoff ends.
func TestBackoffOfTargets(t *testing.T) {
	for _, c := range []struct {
		outcome Outcome
		backoff time.Duration
	}{{NoResponse, firstBackoff}, {Refused, refusedBackoff}} {
		t.Run(c.outcome.String(), func(t *testing.T) {
			r := newRig(t, Bounds{}, listed("x", 5))
			r.granted(r.submit(ownerA, nil), "x")
			r.release(ownerA, r.id, c.outcome, nil)
			r.waits(r.submit(ownerA, nil))
			r.waits(r.submit(ownerA, nil))
			if got := r.wait(c.backoff - time.Millisecond); len(got) != 0 {
				t.Fatalf("%+v during the backoff", got)
			}
			got := r.wait(time.Millisecond)
			if len(got) != 1 || got[0].Target != "x" {
				t.Fatalf("%+v after the backoff, want one request as a probe", got)
			}
			if got := r.release(ownerA, got[0].ID, Answered, nil); len(got) != 1 {
				t.Fatalf("%+v after a response, want the other request", got)
			}
		})
	}
}

// Guards against a target that fails at once, and so always has free slots, taking the
// requests that others could answer; and against a caller whose requests fail anywhere
// and that makes all targets unavailable to the others.
func TestBackoffAfterServerErrors(t *testing.T) {
	for _, everywhere := range []bool{false, true} {
		r := newRig(t, Bounds{}, listed("x", 5), listed("y", 5))
		failed := 0
		for range 40 {
			a := r.submit(ownerA, nil)
			if a.Target == "" {
				t.Fatalf("everywhere: %v: no slot: %+v", everywhere, a)
			}
			outcome := Answered
			if everywhere || a.Target == "x" {
				outcome = ServerError
				failed++
			}
			r.release(ownerA, a.ID, outcome, &relay.Load{Slots: 5, Pace: 1})
		}
		x, y := r.q.targets["x"], r.q.targets["y"]
		if everywhere {
			r.wait(firstBackoff) // of the first one, until the other one has failed too
			for range 10 {
				r.release(ownerA, r.submit(ownerA, nil).ID, ServerError, nil)
			}
		}
		if everywhere && (x.free(r.now) != 5 || y.free(r.now) != 5) {
			t.Errorf("requests that fail at all targets left %d and %d of 5 slots", x.free(r.now), y.free(r.now))
		}
		if !everywhere && (x.usable(r.now) || failed > errorsInSequence) {
			t.Errorf("a failing target got %d requests, want %d", failed, errorsInSequence)
		}
	}
}
