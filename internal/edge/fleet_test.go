package edge

import (
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/store/memstore"
	"lynxhill.example/lynxhill/internal/virtualtest"
)

// fleetSizes are the sizes that are tested; 295 takes a minute of real time and
// is run with -measure-size.
func fleetSizes() []int { return virtualtest.Sizes(8, 58) }

// Symptom: calls of the store grow with the fleet and are refused when it is
// largest: 58 instances that list every 10 s and ask for themselves once the
// store is away made 512, 430 and 1,418 calls in the three parts of this test, 295
// made 2,457, 1,547 and 6,912.
// Events: a fleet starts, lives through 35 quiet seconds with one new target,
// and the store is then away for 9 s.
// Cause: what each instance reads for itself again and again.
func TestCallsOfTheStoreAtSize(t *testing.T) {
	for _, n := range fleetSizes() {
		inFleet(t, n, func(f *fleetOf) {
			time.Sleep(14 * time.Second)
			started := f.calls()
			f.put("targets/b", "10.0.0.2:1")
			told := f.until(2*time.Second, "all know the target", func(m *member) bool { return len(m.routes.Targets().All()) == 2 })
			oldest := time.Duration(0)
			for range 35 {
				time.Sleep(time.Second)
				for _, m := range f.all {
					oldest = max(oldest, m.routes.ConfirmedAge())
				}
			}
			calm := f.calls()
			f.store.SetFaults(memstore.Faults{Outage: true})
			time.Sleep(9 * time.Second)
			away := f.calls()
			f.store.SetFaults(memstore.Faults{})
			f.until(3*time.Second, "all are confirmed", (*member).confirmedNow)
			t.Logf("%d instances: told %v, oldest word %v; calls: start %v, calm %v, outage %v, return %v",
				n, told, oldest, started, less(calm, started), less(away, calm), less(f.calls(), away))
			if oldest > 6*time.Second {
				t.Errorf("%d instances: word of the store was %v old while all was well", n, oldest)
			}
			dear := func(calls map[string]int64) int64 { return calls["all"] - calls["list instances"] }
			checkCalls(t, n, "start", dear(started), 3*int64(n)+100)
			checkCalls(t, n, "calm", dear(less(calm, started)), 200)
			checkCalls(t, n, "outage", dear(less(away, calm)), 600)
			checkCalls(t, n, "old lists", f.calls()["list instances"], 6*int64(n))
		})
	}
}

// confirmedNow reports whether the instance has heard of the store's return.
func (m *member) confirmedNow() bool { return m.routes.ConfirmedAge() < 2*time.Second }

func checkCalls(t *testing.T, n int, when string, got, most int64) {
	t.Helper()
	if got > most {
		t.Errorf("%d instances: %d calls of the store (%s), want %d at most", n, got, when, most)
	}
}

// Symptom: for seconds after a loss of power calls find targets full and pieces
// are refused for room, though all instances are back.
// Events: all instances lose power and start again within 0.3 s.
// Cause: each knows the few others that it has met, so that 6 to 10 of them
// schedule for the same targets in the first second.
func TestInstancesThatLostPowerAgreeAtOnce(t *testing.T) {
	for _, n := range fleetSizes() {
		inFleet(t, n, func(f *fleetOf) {
			time.Sleep(20 * time.Second)
			f.losePower()
			time.Sleep(700 * time.Millisecond)
			for i := range n {
				f.all = append(f.all, f.start(i))
				time.Sleep(300 * time.Millisecond / time.Duration(n))
			}
			time.Sleep(100 * time.Millisecond)
			named := maxAddresses
			for _, m := range f.all {
				named = min(named, len(m.addresses("place-1")))
			}
			if got := len(f.dispatchers()); got != 1 || named != min(n, maxAddresses) {
				t.Errorf("%d instances, 0.1 s after the last started: %d dispatchers, %d addresses named", n, got, named)
			}
			time.Sleep(6 * time.Second)
			if got := len(f.dispatchers()); got != 1 {
				t.Errorf("%d instances, 6 s later: %d dispatchers", n, got)
			}
			for _, m := range f.all {
				if got := m.instances(); got != n {
					t.Errorf("%s knows %d of %d instances", m.id(), got, n)
				}
			}
		})
	}
}

// losePower ends all instances without a word.
func (f *fleetOf) losePower() {
	for _, m := range f.all {
		m.socket.losePower()
	}
	f.dead, f.all = append(f.dead, f.all...), nil
}

// less returns the calls that came after others.
func less(now, before map[string]int64) map[string]int64 {
	d := make(map[string]int64)
	for k, v := range now {
		if v -= before[k]; v > 0 {
			d[k] = v
		}
	}
	return d
}
