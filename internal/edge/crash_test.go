package edge

import (
	"fmt"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/store/memstore"
)

// crashTargets records that targets crashed under the request, each seen by another instance.
func (f *testFleet) crashTargets(fingerprint string, count int) {
	for n := range count {
		f.all[n%len(f.all)].guard.RecordCrash(fingerprint, fmt.Sprint("t", n))
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
