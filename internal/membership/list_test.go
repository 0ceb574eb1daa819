package membership_test

import (
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/membership"
	"lynxhill.example/lynxhill/internal/store"
)

// listEvery is the interval between reads of the list in a large fleet.
const listEvery = time.Minute

func (l *list) change(change func(map[string]store.Instance)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l.entries)
}

// Guards against two fleets under one name, each of which schedules for all targets.
// Instances start while the instance list is down; the seeds of one half name the
// first instance, those of the other half the last. Once the list is back, the halves
// have to find each other: neither has members of the other, so that no digest and no
// contact of dead members connects them.
func TestInstanceListJoinsDisjointHalves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 16
		f := newFleet(t, 0, membership.Options{ListEvery: listEvery})
		f.list.setDown(true)
		for i := range n {
			f.addStopped(i)
			seed := f.instances[i/(n/2)*(n/2)].addr
			f.options.Seeds = func() []string { return []string{seed} }
			f.start(i)
		}
		defer f.stop()
		f.until(20*time.Second, "each half agrees", func() bool { return f.agree(upTo(n/2)) && f.agree(span(n/2, n)) })
		time.Sleep(2 * listEvery)
		f.list.setDown(false)
		f.until(listEvery*3/2+5*time.Second, "all agree", func() bool { return f.agree(upTo(n)) })
	})
}

// Guards against an instance that is missing from the platform's list for as long as it
// runs, so that instances that start later never contact it. The previous run requested
// the removal of its entry and got no response, and the removal takes effect after the
// new run has written its entry. An entry that does not expire was written only once.
func TestLostListEntryIsRewritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, membership.Options{ListEvery: listEvery, RegisterEvery: time.Hour})
		defer f.stop()
		f.until(10*time.Second, "all see all", func() bool { return f.agree(upTo(3)) })
		time.Sleep(5 * time.Minute)
		lost := f.instances[1].id
		f.list.change(func(entries map[string]store.Instance) { delete(entries, lost) })
		f.until(listEvery*3/2+5*time.Second, "the entry is back", func() bool {
			found := false
			f.list.change(func(entries map[string]store.Instance) { _, found = entries[lost] })
			return found
		})
	})
}

// Guards against listed instances that count as alive without end, so that callers get
// addresses of instances that ended long ago. An instance starts alone in its zone while
// the list still has entries of instances that are gone for good.
func TestUnmetListedInstancesExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0, membership.Options{ListEvery: listEvery})
		for i := range 3 {
			f.addStopped(i)
		}
		f.list.entries["gone"] = store.Instance{ID: "gone", Service: "lynxhill", Peer: "10.9.9.9:1", State: "live"}
		f.start(0)
		defer f.stop()
		time.Sleep(500 * time.Millisecond)
		if m, ok := f.instances[0].board.Members.Get("gone"); !ok || m.State != board.MemberAlive || m.PeerAddr == "" {
			t.Errorf("half a second after the start: %+v, %v", m, ok)
		}
		time.Sleep(6 * time.Second)
		if m, ok := f.instances[0].board.Members.Get("gone"); ok {
			t.Errorf("still present after 6 s: %+v", m)
		}
	})
}

// Guards against an instance that starts in a running fleet and assigns work to a dead
// instance. An instance died and its list entry remains when another one starts; the
// reports of the members have to take precedence over the list.
func TestWhatOthersKnowGoesBeforeTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8, membership.Options{ListEvery: listEvery})
		defer f.stop()
		f.until(20*time.Second, "all see all", func() bool { return f.agree(upTo(8)) })
		f.crash(3)
		f.crash(7)
		live := []int{0, 1, 2, 4, 5, 6}
		f.until(30*time.Second, "both are considered dead", func() bool { return f.agree(live) })
		f.start(7)
		time.Sleep(3 * time.Second)
		if m, _ := f.instances[7].board.Members.Get(f.instances[3].id); m.State == board.MemberAlive {
			t.Errorf("the started instance considers a dead one alive: %+v", m)
		}
	})
}
