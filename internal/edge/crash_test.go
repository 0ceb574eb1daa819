package edge

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/crashguard"
	"lynxhill.example/lynxhill/internal/store/memstore"
)

// crashTargets records that targets crashed under the request, each seen by another instance.
func (f *testFleet) crashTargets(fingerprint string, count int) {
	for n := range count {
		f.all[n%len(f.all)].guard.RecordCrash(fingerprint, crashguard.Crash{Target: fmt.Sprint("t", n)})
	}
}

// Guards against a request that crashes more targets after all instances lost power, since
// the new ones do not know that it is refused.
func TestRefusalOutlivesAllInstances(t *testing.T) {
	for _, n := range fleetSizes() {
		runFleet(t, n, func(f *testFleet) {
			time.Sleep(14 * time.Second)
			f.crashTargets("fp", crashLimit)
			f.until(3*time.Second, "all refuse the request", func(m *member) bool { return m.guard.Refused("fp") })
			time.Sleep(time.Second)
			f.losePower()
			time.Sleep(700 * time.Millisecond)
			for i := range n {
				f.all = append(f.all, f.start(i))
			}
			unaware := make(map[string]bool)
			for range 500 {
				time.Sleep(10 * time.Millisecond)
				for _, m := range f.all {
					unaware[m.id()] = unaware[m.id()] || m.serving() && !m.guard.Refused("fp")
				}
			}
			for id, is := range unaware {
				if is {
					t.Errorf("%d instances: %s served and did not refuse the request", n, id)
				}
			}
			f.until(time.Second, "all serve", func(m *member) bool { return m.serving() })
		})
	}
}

// Guards against the same at an instance that joins others, with the store and without.
func TestJoiningInstanceKnowsRefusals(t *testing.T) {
	for _, storeAway := range []bool{false, true} {
		runFleet(t, 8, func(f *testFleet) {
			time.Sleep(14 * time.Second)
			f.crashTargets("fp", crashLimit)
			time.Sleep(3 * time.Second)
			f.store.SetFaults(memstore.Faults{Outage: storeAway})
			joining := f.start(8)
			f.all = append(f.all, joining)
			served, unaware := false, false
			for range 600 {
				time.Sleep(10 * time.Millisecond)
				served = served || joining.serving()
				unaware = unaware || joining.serving() && !joining.guard.Refused("fp")
			}
			if !served || unaware {
				t.Errorf("store away %v: served within 6 s %v, without refusing the request %v", storeAway, served, unaware)
			}
		})
	}
}

// partCrash records at an instance that a target crashed under a part.
func (m *member) partCrash(part, target string) {
	now := time.Now()
	m.guard.RecordPartCrash(crashguard.PartKeys("s", "o", part), "o", crashguard.Crash{Target: target, Sent: now.Add(-100 * time.Millisecond), Broke: now})
}

func (m *member) refusesPart(part string) bool {
	return slices.ContainsFunc(crashguard.PartKeys("s", "o", part), m.guard.Refused)
}

// Guards against a part that some instances refuse and others send on: its crashes are seen
// at different instances. After a power loss of all, it is refused from the start.
func TestCrashingPartIsRefusedEverywhereAndAfterPowerLoss(t *testing.T) {
	for _, n := range fleetSizes() {
		runFleetWithBounds(t, n, false, boundsAt(n), func(f *testFleet) {
			time.Sleep(14 * time.Second)
			bytes := f.net.bytes.Load()
			time.Sleep(5 * time.Second)
			calm := f.net.bytes.Load() - bytes
			bytes = f.net.bytes.Load()
			for crash := range 3 {
				f.all[(crash*7+1)%n].partCrash("bad", fmt.Sprint("t", crash))
				for i := range min(n, 12) { // requests of other sessions wait there too
					f.all[(crash+i)%n].partCrash(fmt.Sprint("session", crash, i), fmt.Sprint("t", crash))
				}
				time.Sleep(200 * time.Millisecond)
			}
			took := f.until(f.bounds.touch, "all refuse the part", func(m *member) bool { return m.refusesPart("bad") })
			time.Sleep(5*time.Second - took)
			t.Logf("%d instances: all refuse the part after %v; %d bytes between instances in 5 s with three crashes, %d without", n, took, f.net.bytes.Load()-bytes, calm)
			f.losePower()
			time.Sleep(700 * time.Millisecond)
			for i := range n {
				f.all = append(f.all, f.start(i))
			}
			unaware := 0
			for range 300 {
				time.Sleep(10 * time.Millisecond)
				for _, m := range f.all {
					if m.serving() && !m.refusesPart("bad") {
						unaware++
					}
				}
			}
			if unaware > 0 {
				t.Errorf("%d instances: instances served without refusing the part", n)
			}
			f.until(time.Second, "all serve", func(m *member) bool { return m.serving() })
		})
	}
}
