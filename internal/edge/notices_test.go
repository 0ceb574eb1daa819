package edge

import (
	"slices"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/store/memstore"
	"lynxhill.example/lynxhill/internal/virtualtest"
)

// noticeFleets are the sizes at which what targets ask is tested.
func noticeFleets() []int { return virtualtest.Sizes(8, 78) }

// heard has the instance get an answer of the target.
func (m *member) heard(target string, n fleet.Notice) {
	m.notices.Sent(target).Answered(n, true)
}

// Symptom: a target that names how many requests a second it takes gets as many
// from each instance, or as many as before from those that it has not told.
// Events: one instance hears the limit; a third of the others lose touch with
// everybody, and one dies and starts again while all have work for the target.
// Another hears that the limit has ended. Cause: what one instance hears is not
// told, or each counts by itself, or by whom it holds for alive.
func TestALimitIsKeptByAll(t *testing.T) {
	const (
		rate    = 2.0
		within  = 4 * time.Second
		allowed = 1.5*rate*4 + 5
		known   = 2 * time.Second
	)
	for _, n := range noticeFleets() {
		inFleet(t, n, func(f *fleetOf) {
			time.Sleep(8 * time.Second)
			limit := rate
			f.all[1].heard("a", fleet.Notice{Limit: &limit})
			told := f.until(known, "all know the limit", func(m *member) bool {
				is, named := m.notices.Limit("a")
				return named && is == rate
			})
			for k, m := range f.all {
				if k%3 == 2 {
					m.socket.strike(&m.socket.alone)
				}
			}
			var sent []time.Time
			for step := range 700 {
				time.Sleep(20 * time.Millisecond)
				if step == 200 {
					f.dieAndStart(3)
				}
				for _, m := range f.all {
					if !m.serving() {
						continue
					}
					if is, named := m.notices.Limit("a"); !named || m.limited.Take("a", is) {
						sent = append(sent, time.Now())
						m.heard("a", fleet.Notice{Limit: &limit})
					}
				}
			}
			most := 0
			for k, at := range sent {
				first, _ := slices.BinarySearchFunc(sent, at.Add(-within), time.Time.Compare)
				most = max(most, k-first+1)
			}
			if float64(most) > allowed || most == 0 {
				t.Errorf("%d instances sent %d requests in %v, %v allowed", n, most, within, allowed)
			}
			f.all[4].heard("a", fleet.Notice{})
			f.until(known, "all that reach others know that it has ended", func(m *member) bool {
				_, named := m.notices.Limit("a")
				return !named || m.socket.has(&m.socket.alone)
			})
			t.Logf("%d instances: told after %v, %d requests in %v at most", n, told, most, within)
		})
	}
}

// dieAndStart has the i-th instance lose power and start again.
func (f *fleetOf) dieAndStart(i int) {
	old := f.all[i]
	old.socket.losePower()
	f.dead = append(f.dead, old)
	f.all[i] = f.start(i)
}

// Symptom: requests reach a target seconds after it has said in answers that it leaves.
// Events: no instance reaches the store; one instance hears the word, another one is cut off from all others and hears it
// too; an instance starts meanwhile; the store returns with the entry as it was. Cause: only entries told that targets
// leave, or a newer entry takes the word back.
func TestLeavingIsKnownToAllWithoutTheStore(t *testing.T) {
	const known = 2 * time.Second
	for _, n := range noticeFleets() {
		inFleet(t, n, func(f *fleetOf) {
			f.put("targets/b", "10.0.0.2:1@p")
			f.until(8*time.Second, "all know the target", func(m *member) bool { return m.routes.Targets().Usable("b") })
			time.Sleep(8 * time.Second)
			f.store.SetFaults(memstore.Faults{Outage: true})
			alone := f.all[2]
			alone.socket.strike(&alone.socket.alone)
			for _, m := range []*member{f.all[1], alone} {
				m.heard("b", fleet.Notice{Leaving: true})
				if m.routes.Targets().Usable("b") {
					t.Error("an instance gives a target work after it was told that it leaves")
				}
			}
			told := f.until(known, "all know that it leaves", func(m *member) bool { return !m.routes.Targets().Usable("b") })
			late := f.start(n)
			f.all = append(f.all, late)
			virtualtest.Until(t, 10*time.Millisecond, 5*time.Second, "the new instance serves", late.serving)
			if late.routes.Targets().Usable("b") {
				t.Errorf("%d instances: one that serves does not know that the target leaves", n)
			}
			f.store.SetFaults(memstore.Faults{})
			f.remove("targets/b")
			f.put("targets/b", "10.0.0.2:1@p")
			time.Sleep(8 * time.Second)
			for _, m := range f.all {
				if m.routes.Targets().Usable("b") || !m.routes.Targets().Usable("a") {
					t.Errorf("%s after the store's return: b %v, a %v", m.id(), m.routes.Targets().Usable("b"), m.routes.Targets().Usable("a"))
				}
			}
			t.Logf("%d instances: told after %v", n, told)
		})
	}
}
