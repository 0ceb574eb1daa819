package slotqueue

import (
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
)

// Guards against slots that stay used for ever, or are free at once, when their owner
// dies: its requests still run.
func TestOwnerThatDiesWithSlots(t *testing.T) {
	r := newRig(t, Bounds{}, listed("t", 1))
	r.granted(r.submit(ownerA, nil), "t")
	r.waits(r.submit(ownerA, nil))
	r.waits(r.submit(ownerB, nil))
	if held := r.q.closeOwner(ownerA, r.now); held != 1 {
		t.Fatalf("%d slots held, want 1", held)
	}
	if got := r.wait(r.q.work.meanTook() - time.Millisecond); len(got) != 0 {
		t.Fatalf("%+v while the request of the dead owner runs", got)
	}
	got := r.wait(time.Millisecond)
	if len(got) != 1 || got[0].ID != 3 || got[0].Target != "t" {
		t.Fatalf("%+v, want the slot for the other owner's request", got)
	}
}

// Guards against slots that are counted twice when an owner connects again, and against
// their loss when the old session is closed late.
func TestOwnerThatConnectsAgain(t *testing.T) {
	again := owner{ownerA.instance, 9}
	for _, closeFirst := range []bool{true, false} {
		r := newRig(t, Bounds{}, listed("t", 2))
		r.granted(r.submit(ownerA, nil), "t")
		if closeFirst {
			r.q.closeOwner(ownerA, r.now)
		}
		if r.q.adopt(again, HeldSlot{ID: 1, Service: fakeService, Target: "t"}, r.now) {
			t.Fatal("a slot that is known was adopted")
		}
		if !closeFirst {
			r.q.closeOwner(ownerA, r.now)
		}
		r.wait(time.Second)
		if n := r.q.targets["t"].used; n != 1 {
			t.Fatalf("closed first: %v: %d slots used, want 1", closeFirst, n)
		}
		if r.release(again, 1, Answered, nil); r.q.targets["t"].used != 0 {
			t.Fatal("the slot was not released")
		}
	}
}

// Guards against a successor that grants slots which its predecessor's requests use.
func TestAdoptedSlotsAreUsed(t *testing.T) {
	r := newRig(t, Bounds{}, listed("t", 1))
	if !r.q.adopt(ownerA, HeldSlot{ID: 70, Service: fakeService, Target: "t"}, r.now) {
		t.Fatal("not adopted")
	}
	r.waits(r.submit(ownerB, nil))
	if got := r.release(ownerA, 70, Answered, nil); len(got) != 1 || got[0].Target != "t" {
		t.Fatalf("%+v, want the adopted slot for the waiting request", got)
	}
	if r.q.adopt(ownerA, HeldSlot{ID: 71, Target: "unknown"}, r.now) {
		t.Fatal("a slot of an unknown target was adopted")
	}
}

// Guards against slots that are lost to grants whose release never arrives.
func TestGrantWithoutReleaseExpires(t *testing.T) {
	r := newRig(t, Bounds{}, listed("t", 1))
	r.granted(r.submit(ownerA, nil), "t")
	r.wait(fakeDeadline + leaseGrace)
	if n := r.q.targets["t"].used; n != 0 {
		t.Fatalf("%d slots used after the deadline", n)
	}
}

// Guards against slots for requests that have been cancelled, waiting or granted.
func TestCancel(t *testing.T) {
	r := newRig(t, Bounds{}, listed("t", 1))
	r.granted(r.submit(ownerA, nil), "t")
	r.waits(r.submit(ownerA, nil))
	r.waits(r.submit(ownerA, nil))
	r.q.cancel(ownerA.instance, 2, r.now)
	r.q.cancel(ownerA.instance, 1, r.now)
	if got := r.answers(); len(got) != 1 || got[0].ID != 3 {
		t.Fatalf("%+v, want the slot for request 3", got)
	}
}

// Guards against requests that wait in vain when the targets are gone, and against slots
// of a target that is gone for a moment.
func TestTargetThatLeavesTheList(t *testing.T) {
	r := newRig(t, Bounds{}, listed("t", 1))
	r.granted(r.submit(ownerA, nil), "t")
	r.waits(r.submit(ownerA, nil))
	r.q.setTargets(nil, r.now)
	got := r.wait(waitingInterval)
	if len(got) != 1 || got[0].Refusal == nil || got[0].Refusal.Reason != ReasonNoTarget {
		t.Fatalf("%+v, want a refusal", got)
	}
	r.q.setTargets([]fleet.Target{listed("t", 1)}, r.now)
	r.waits(r.submit(ownerA, nil)) // the slot of request 1 is still used
}

// Guards against requests and backoffs of an earlier start of a target that use up the
// slots of the next one, and against the end of the former that removes the latter.
func TestTargetThatStartsAgain(t *testing.T) {
	first := listed("t", 1)
	first.Started = 100
	r := newRig(t, Bounds{}, first)
	r.granted(r.submit(ownerA, nil), "t")
	again := first
	again.Started = 200
	r.q.setTargets([]fleet.Target{again}, r.now)
	r.granted(r.submit(ownerA, nil), "t")
	r.release(ownerA, 1, NoResponse, nil)
	if n := r.q.targets["t"].used; n != 1 || !r.q.targets["t"].usable(r.now) {
		t.Fatalf("%d slots used, usable %v; want the request of the new start only", n, r.q.targets["t"].usable(r.now))
	}
}
