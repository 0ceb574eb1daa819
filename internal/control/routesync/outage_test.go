package routesync

import (
	"testing"
	"time"
)

// maxDepartureDelay is the time within which a departure has to be in force.
const maxDepartureDelay = 3 * time.Second

// inTimelyWorld is inWorld with instances whose changes have to be in force within 3 s.
func inTimelyWorld(t *testing.T, fn func(w *world)) {
	inWorld(t, func(w *world) {
		w.adjust = func(o *Options) {
			o.Times = func() Times { return TimesOf(maxDepartureDelay, 4*time.Second) }
		}
		fn(w)
	})
}

// repeat calls fn again and again until the test ends.
func (w *world) repeat(every time.Duration, fn func()) {
	go func() {
		for waitUnanswered(w.t.Context(), every) == nil {
			fn()
		}
	}()
}

// exchange has the two instances exchange digests until the test ends.
func (w *world) exchange(a, b string) {
	w.repeat(500*time.Millisecond, func() {
		w.deliver(a, b)
		w.deliver(b, a)
	})
}

// setCallsStore sets Options.CallsStore of an instance that starts later.
func (w *world) setCallsStore(id string, callsStore func(age time.Duration) bool) {
	before := w.adjust
	w.adjust = func(o *Options) {
		before(o)
		if o.Self == id {
			o.CallsStore = callsStore
		}
	}
}

// failCalls has the calls in progress of the instance fail at once.
func (n *testInstance) failCalls() {
	n.link.cut()
	n.link.restore()
}

// checkGone checks that the instance does not use target a any more, at the latest
// maxDepartureDelay after its removal.
func (n *testInstance) checkGone(t *testing.T, what string, removed time.Time) {
	t.Helper()
	for n.Targets().Usable("a") {
		if took := time.Since(removed); took > maxDepartureDelay {
			t.Errorf("%s: the target is in use %v after its removal", what, took)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against requests to a target that was removed long ago at an instance some of
// whose calls fail, although the store answers the others.
func TestFailedCallsDoNotDeferARemoval(t *testing.T) {
	for _, every := range []time.Duration{700 * time.Millisecond, 1500 * time.Millisecond, 1900 * time.Millisecond, 2500 * time.Millisecond} {
		inTimelyWorld(t, func(w *world) {
			n := w.start("n", true)
			time.Sleep(3 * time.Second)
			w.repeat(every, n.failCalls)
			time.Sleep(5130 * time.Millisecond)
			w.remove("targets/a")
			n.checkGone(t, "a call fails every "+every.String(), time.Now())
		})
	}
}

// Guards against the same after the watches heard nothing for a second, in which the target
// was removed, and were cut, as when a store discards its history.
func TestCutWatchesDoNotDeferARemoval(t *testing.T) {
	inTimelyWorld(t, func(w *world) {
		n, peer := w.start("n", true), w.start("peer", true)
		w.exchange("n", "peer")
		time.Sleep(5 * time.Second)
		for _, each := range []*testInstance{n, peer} {
			each.link.set(func() { each.link.dropChanges = true })
			each.Refresh()
		}
		time.Sleep(100 * time.Millisecond)
		w.remove("targets/a")
		removed := time.Now()
		time.Sleep(950 * time.Millisecond)
		for _, each := range []*testInstance{n, peer} {
			each.link.set(func() { each.link.dropChanges = false })
			each.failCalls()
		}
		n.checkGone(t, "watches are cut", removed)
	})
}

// Guards against a removal that is never in force at an instance that heard of it shortly
// after an outage, failed to call the store again, and relies on its peers since.
func TestDeferredRemovalEndsThoughTheInstanceReliesOnPeers(t *testing.T) {
	inTimelyWorld(t, func(w *world) {
		calls := true
		w.setCallsStore("n", func(time.Duration) bool { return calls })
		peer, n := w.start("peer", true), w.start("n", true)
		w.exchange("n", "peer")
		time.Sleep(5 * time.Second)
		for _, each := range []*testInstance{n, peer} {
			each.link.cut()
		}
		time.Sleep(4 * time.Second)
		for _, each := range []*testInstance{n, peer} {
			each.link.restore()
		}
		time.Sleep(1100 * time.Millisecond)
		w.remove("targets/a")
		removed := time.Now()
		time.Sleep(200 * time.Millisecond)
		calls = false
		n.link.cut()
		n.checkGone(t, "relies on peers", removed)
	})
}

// Guards against a removal that is deferred because a call failed long before, at an
// instance that has relied on its peers since then.
func TestRemovalIsNotDeferredForAnOldFailure(t *testing.T) {
	inTimelyWorld(t, func(w *world) {
		calls := true
		w.setCallsStore("n", func(time.Duration) bool { return calls })
		w.start("peer", true)
		n := w.start("n", true)
		w.exchange("n", "peer")
		time.Sleep(5 * time.Second)
		calls = false
		n.failCalls()
		time.Sleep(50 * time.Second)
		w.remove("targets/a")
		time.Sleep(time.Second)
		w.wantState(n, "a second later", "1: b")
	})
}

// Guards against the loss of all targets at once: their entries lapsed during an outage that
// an instance did not notice, as it began to call the store only when the outage ended.
func TestLapsedEntriesAreKeptByAnInstanceThatDidNotCall(t *testing.T) {
	inTimelyWorld(t, func(w *world) {
		calls := false
		w.setCallsStore("n", func(age time.Duration) bool { return calls || age > 20*time.Second })
		peer, n := w.start("peer", true), w.start("n", true)
		w.exchange("n", "peer")
		time.Sleep(5 * time.Second)
		peer.link.cut()
		time.Sleep(8 * time.Second)
		w.remove("targets/a")
		calls = true
		time.Sleep(500 * time.Millisecond)
		w.wantState(n, "the first list after the outage", "1: a b")
		w.put("targets/a", "1:1")
		time.Sleep(5 * time.Second)
		w.wantState(n, "later", "1: a b")
	})
}
