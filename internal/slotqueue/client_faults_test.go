package slotqueue

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against requests that are lost with the coordinator, and against a successor that
// grants slots in use a second time.
func TestCoordinatorEndsOrIsSilent(t *testing.T) {
	for name, c := range map[string]struct {
		fault func(f *fakeCoordinator)
		limit time.Duration // until the waiting request is granted elsewhere
	}{
		"ends":   {(*fakeCoordinator).die, ms},
		"silent": {func(f *fakeCoordinator) { f.set(func() { f.silent = true }) }, silenceTimeout + 2*ms},
	} {
		withClient(t, func(r *clientRig) {
			first, next := r.ranked[0], r.ranked[1]
			inUse := r.wantSlot(name, first, 0)
			_ = inUse.Use()
			first.set(func() { first.queues = true })
			granted := make(chan time.Duration)
			go func() {
				slot, took := r.acquire()
				if slot.Target() != "t-"+next.name {
					t.Errorf("%s: the waiting request got %q", name, slot.Target())
				}
				slot.Release(Answered, 0, nil)
				granted <- took
			}()
			time.Sleep(100 * ms) // it has heard that it waits
			c.fault(first)
			began := time.Now()
			<-granted
			if took := time.Since(began); took > c.limit {
				t.Errorf("%s: granted by the next after %v", name, took)
			}
			synctest.Wait()
			if events, _ := next.seen(); len(events) < 2 || events[0] != "held 1 t-"+first.name {
				t.Errorf("%s: the next one was told %v", name, events)
			}
			r.wantSlot(name+", excluded", next, 0).Release(Unknown, 0, nil)
			inUse.Release(Answered, 0, nil)
			synctest.Wait()
			if _, held := next.seen(); held != 0 {
				t.Errorf("%s: the next one counts %d slots after all releases", name, held)
			}
			first.set(func() { first.queues, first.silent = false, false })
			time.Sleep(excludeFor)
			r.wantSlot(name+", probed", next, 0).Release(Unknown, 0, nil)
			synctest.Wait()
			r.wantSlot(name+", back", first, 0).Release(Unknown, 0, nil)
		})
	}
}

// Guards against requests that wait for a dead instance each time that its exclusion ends:
// members may count it in for longer.
func TestDeadInstanceIsTriedWithoutRequests(t *testing.T) {
	withClient(t, func(r *clientRig) {
		first, next := r.ranked[0], r.ranked[1]
		r.wantSlot("before", first, 0).Release(Unknown, 0, nil)
		first.set(func() { first.silent = true })
		r.wantSlot("unheard", nil, firstWordTimeout).Chosen("x", 0)
		time.Sleep(silenceTimeout)
		for range 100 {
			r.wantSlot("while it is dead", next, 0).Release(Unknown, 0, nil)
			time.Sleep(100 * ms)
		}
		if streams, _, _ := first.traffic(); streams < 4 || streams > 6 {
			t.Errorf("%d streams to the dead instance in 10 s", streams)
		}
	})
}

// Guards against slots that the successor does not know of because no further request comes.
func TestHeldSlotsAreStatedWithoutAFurtherRequest(t *testing.T) {
	withClient(t, func(r *clientRig) {
		slot := r.wantSlot("first", r.ranked[0], 0)
		_ = slot.Use()
		r.ranked[0].die()
		synctest.Wait()
		if _, held := r.ranked[1].seen(); held != 1 {
			t.Errorf("the successor counts %d slots, 1 is held", held)
		}
		slot.Release(Answered, 0, nil)
	})
}

// Guards against requests that wait for a coordinator that is too slow to decide on them:
// the first waits 80 ms, those after it not at all until it has sent something.
func TestCoordinatorIsSlow(t *testing.T) {
	withClient(t, func(r *clientRig) {
		f := r.ranked[0]
		f.set(func() { f.delay = 200 * ms })
		slot := r.wantSlot("slow", nil, firstWordTimeout)
		slot.Chosen("x", 0)
		r.wantSlot("while it is slow", nil, 0).Chosen("y", 0)
		time.Sleep(130 * ms)
		synctest.Wait()
		events, held := f.seen()
		slices.Sort(events) // the cancellation may come in a message of its own, before the held slots
		want := []string{"cancel 1", "held 2 x", "held 3 y", "release 1 0", "request 1"}
		if !slices.Equal(events, want) || held != 2 {
			t.Errorf("told %v, want %v; %d slots counted", events, want, held)
		}
		f.set(func() { f.delay = 0 })
		r.wantSlot("fast again", f, 0).Release(Unknown, 0, nil)
		slot.Release(Answered, 0, nil)
	})
}

// Guards against instances of an older build, which rank first and do not know the call:
// owners choose by themselves, at once, and try again 2 s later.
func TestOlderBuildRanksFirst(t *testing.T) {
	withClient(t, func(r *clientRig) {
		f := r.ranked[0]
		f.set(func() { f.unknown = true })
		r.wantSlot("older build", nil, 0)
		r.wantSlot("older build", nil, 0)
		first, _, _ := f.traffic()
		if next, _, _ := r.ranked[1].traffic(); first != 1 || next != 0 {
			t.Errorf("%d streams to it, %d to the next", first, next)
		}
		f.set(func() { f.unknown = false })
		time.Sleep(excludeFor)
		r.wantSlot("newer build, probed", nil, 0)
		synctest.Wait()
		r.wantSlot("newer build", f, 0).Release(Unknown, 0, nil)
	})
}

// Guards against slots that one of two coordinators does not count while views differ: the
// instance that joins and ranks first is told of the held slots, and both of the release.
func TestTwoCoordinators(t *testing.T) {
	withClient(t, func(r *clientRig) {
		first, second := r.ranked[0], r.ranked[1]
		all := r.members
		r.members = slices.DeleteFunc(slices.Clone(all), func(m string) bool { return m == first.name })
		slot := r.wantSlot("before", second, 0)
		_ = slot.Use()
		r.members = all
		r.wantSlot("after", first, 0).Release(Unknown, 0, nil)
		synctest.Wait()
		if _, held := first.seen(); held != 1 {
			t.Errorf("the first counts %d slots", held)
		}
		slot.Release(Answered, 0, nil)
		synctest.Wait()
		_, a := first.seen()
		_, b := second.seen()
		if a+b != 0 {
			t.Errorf("after the release, %d and %d slots are counted", a, b)
		}
	})
}

// Guards against requests that wait at an instance that is stopping.
func TestCoordinatorSendsElsewhere(t *testing.T) {
	withClient(t, func(r *clientRig) {
		first, next := r.ranked[0], r.ranked[1]
		first.set(func() { first.queues = true })
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.wantSlot("waiting", next, 50*ms).Release(Unknown, 0, nil)
		}()
		time.Sleep(50 * ms)
		synctest.Wait()
		first.streams[0].downs <- Down{Elsewhere: next.name}
		<-done
		r.wantSlot("after", next, 0).Release(Unknown, 0, nil)
		if n := first.open(); n != 0 {
			t.Errorf("%d streams to the stopping instance are open", n)
		}
	})
}

// Guards against an instance that knows no others yet and grants slots beside their
// coordinator, and against waiting while there is none.
func TestNoCoordinator(t *testing.T) {
	withClient(t, func(r *clientRig) {
		joining := true
		r.o.Joining = func() bool { return joining }
		r.wantSlot("joining", nil, 0)
		joining, r.members = false, nil
		r.wantSlot("no members", nil, 0)
	})
}
