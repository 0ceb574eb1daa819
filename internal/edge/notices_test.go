package edge

import (
	"slices"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/store/memstore"
	"lynxhill.example/lynxhill/internal/virtualtest"
)

// noticeFleetSizes returns the fleet sizes of the tests of targets' notices.
func noticeFleetSizes() []int { return virtualtest.Sizes(8, 78) }

// receiveNotice makes the instance receive a response with the notice from the target.
func (m *member) receiveNotice(target string, n fleet.Notice) {
	m.notices.BeginRequest(target).ResponseReceived(n, true)
}

// Guards against a target that states a limit of requests per second but gets that rate from
// each instance, or the old rate from instances that have not received the limit. One
// instance receives the limit; a third of the others are cut off from all instances, and one
// crashes and restarts, while all have work for the target. Another instance then receives
// the end of the limit. The limit must be gossiped, and its shares must not depend on each
// instance's own count alone or on which instances it considers alive.
func TestALimitIsKeptByAll(t *testing.T) {
	const (
		rate    = 2.0
		within  = 4 * time.Second
		allowed = 1.5*rate*4 + 5
		known   = 2 * time.Second
	)
	for _, n := range noticeFleetSizes() {
		runFleet(t, n, func(f *testFleet) {
			time.Sleep(8 * time.Second)
			limit := rate
			f.all[1].receiveNotice("a", fleet.Notice{Limit: &limit})
			knownAfter := f.until(known, "all know the limit", func(m *member) bool {
				is, named := m.notices.Limit("a")
				return named && is == rate
			})
			for k, m := range f.all {
				if k%3 == 2 {
					m.socket.injectFault(&m.socket.isolated)
				}
			}
			var sent []time.Time
			for step := range 700 {
				time.Sleep(20 * time.Millisecond)
				if step == 200 {
					f.crashAndRestart(3)
				}
				for _, m := range f.all {
					if !m.serving() {
						continue
					}
					if is, named := m.notices.Limit("a"); !named || m.limited.Take("a", is) {
						sent = append(sent, time.Now())
						m.receiveNotice("a", fleet.Notice{Limit: &limit})
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
			f.all[4].receiveNotice("a", fleet.Notice{})
			f.until(known, "all that are not isolated know that the limit has ended", func(m *member) bool {
				_, named := m.notices.Limit("a")
				return !named || m.socket.has(&m.socket.isolated)
			})
			t.Logf("%d instances: limit known after %v, %d requests in %v at most", n, knownAfter, most, within)
		})
	}
}

// crashAndRestart cuts the power of the i-th instance and starts it again.
func (f *testFleet) crashAndRestart(i int) {
	old := f.all[i]
	old.socket.losePower()
	f.dead = append(f.dead, old)
	f.all[i] = f.start(i)
}

// Guards against requests to a target seconds after it has announced in responses that it leaves. No instance reaches the
// store; one instance receives the announcement, and so does another one that is cut off from all others; an instance
// starts meanwhile; the store returns with an unchanged entry. The announcement must not depend on the store's entries, and
// a newer entry must not cancel it.
func TestLeavingIsKnownToAllWithoutTheStore(t *testing.T) {
	const known = 2 * time.Second
	for _, n := range noticeFleetSizes() {
		runFleet(t, n, func(f *testFleet) {
			f.put("targets/b", "10.0.0.2:1@p")
			f.until(8*time.Second, "all know the target", func(m *member) bool { return m.routes.Targets().Usable("b") })
			time.Sleep(8 * time.Second)
			f.store.SetFaults(memstore.Faults{Outage: true})
			alone := f.all[2]
			alone.socket.injectFault(&alone.socket.isolated)
			for _, m := range []*member{f.all[1], alone} {
				m.receiveNotice("b", fleet.Notice{Leaving: true})
				if m.routes.Targets().Usable("b") {
					t.Error("an instance gives work to a target after it has received that the target leaves")
				}
			}
			knownAfter := f.until(known, "all know that it leaves", func(m *member) bool { return !m.routes.Targets().Usable("b") })
			late := f.start(n)
			f.all = append(f.all, late)
			virtualtest.Until(t, 10*time.Millisecond, 5*time.Second, "the new instance serves", late.serving)
			if late.routes.Targets().Usable("b") {
				t.Errorf("%d instances: a new instance serves without knowing that the target leaves", n)
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
			t.Logf("%d instances: known after %v", n, knownAfter)
		})
	}
}
