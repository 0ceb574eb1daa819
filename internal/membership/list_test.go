package membership_test

import (
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/membership"
	"lynxhill.example/lynxhill/internal/store"
)

// listEvery is the pace of readings that a large fleet uses.
const listEvery = time.Minute

func (l *list) change(change func(map[string]store.Instance)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l.entries)
}

// Symptom: two fleets under one name, each of which schedules for all targets.
// Events: instances start while the list of instances is down; the seeds of one
// half name the first, those of the other half the last; the list comes back.
// Cause: neither half knows of the other, so that no digest and no contact of
// the dead brings them together.
func TestHalvesThatNeverMetMeetByTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 16
		f := newFleet(t, 0, membership.Options{ListEvery: listEvery})
		f.list.set(true)
		for i := range n {
			f.declare(i)
			seed := f.nodes[i/(n/2)*(n/2)].addr
			f.options.Seeds = func() []string { return []string{seed} }
			f.start(i)
		}
		defer f.stop()
		f.until(20*time.Second, "each half has met", func() bool { return f.agree(upTo(n/2)) && f.agree(span(n/2, n)) })
		time.Sleep(2 * listEvery)
		f.list.set(false)
		f.until(listEvery*3/2+5*time.Second, "all have met", func() bool { return f.agree(upTo(n)) })
	})
}

// Symptom: an instance is missing in the platform's list for as long as it runs,
// and those that start later never contact it.
// Events: its life before asked for the removal of its entry, the answer was
// lost, and the removal is carried out after the new life wrote its entry.
// Cause: an entry that does not lapse is written once.
func TestAnEntryThatIsLostIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, membership.Options{ListEvery: listEvery, RegisterEvery: time.Hour})
		defer f.stop()
		f.until(10*time.Second, "all see all", func() bool { return f.agree(upTo(3)) })
		time.Sleep(5 * time.Minute)
		lost := f.nodes[1].id
		f.list.change(func(entries map[string]store.Instance) { delete(entries, lost) })
		f.until(listEvery*3/2+5*time.Second, "the entry is back", func() bool {
			found := false
			f.list.change(func(entries map[string]store.Instance) { _, found = entries[lost] })
			return found
		})
	})
}

// Symptom: callers are named addresses of instances that ended long ago.
// Events: an instance starts alone in its place; the list still has entries of
// instances that are gone for good.
// Cause: listed instances count as alive without end.
func TestListedInstancesThatAreNotMetAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0, membership.Options{ListEvery: listEvery})
		for i := range 3 {
			f.declare(i)
		}
		f.list.entries["gone"] = store.Instance{ID: "gone", Service: "lynxhill", Peer: "10.9.9.9:1", State: "live"}
		f.start(0)
		defer f.stop()
		time.Sleep(500 * time.Millisecond)
		if m, ok := f.nodes[0].board.Members.Get("gone"); !ok || m.State != board.MemberAlive || m.PeerAddr == "" {
			t.Errorf("half a second after the start: %+v, %v", m, ok)
		}
		time.Sleep(6 * time.Second)
		if m, ok := f.nodes[0].board.Members.Get("gone"); ok {
			t.Errorf("after 6 s it is still there: %+v", m)
		}
	})
}

// Symptom: an instance that starts in a running fleet hands its work to one that
// is dead.
// Events: an instance dies and its entry stays; another one starts.
// Cause: the list goes before what the others know.
func TestWhatOthersKnowGoesBeforeTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8, membership.Options{ListEvery: listEvery})
		defer f.stop()
		f.until(20*time.Second, "all see all", func() bool { return f.agree(upTo(8)) })
		f.crash(3)
		f.crash(7)
		among := []int{0, 1, 2, 4, 5, 6}
		f.until(30*time.Second, "both are held for dead", func() bool { return f.agree(among) })
		f.start(7)
		time.Sleep(3 * time.Second)
		if m, _ := f.nodes[7].board.Members.Get(f.nodes[3].id); m.State == board.MemberAlive {
			t.Errorf("the one that started holds a dead one for alive: %+v", m)
		}
	})
}
