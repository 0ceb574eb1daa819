package edge

import (
	"slices"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
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
