package edge

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/store"
)

// eraWithin is the time within which all instances have to be in the new era, from the store's return.
const eraWithin = 2 * time.Second

// Symptom: after the store came back from an older copy, parts of the fleet go on by the old order of changes for minutes.
// Events: 200 changes are lost, those of the newest target among them; a third of the instances don't reach the store
// meanwhile; the target writes again and another one comes. Cause: revisions were held to rise for ever.
func TestAFleetIsInTheNewEraAtOnce(t *testing.T) {
	for _, n := range noticeFleets() {
		inFleet(t, n, func(f *fleetOf) {
			time.Sleep(8 * time.Second)
			copied := f.store.Copy()
			f.put("targets/b", "10.0.0.2:1")
			for k := range 200 {
				f.put(fmt.Sprint("others/", k), "x")
			}
			f.until(2*time.Second, "all know the target", func(m *member) bool { return m.routes.Targets().Usable("b") })
			for k, m := range f.all {
				if k%3 == 0 {
					m.socket.strike(&m.socket.noStore)
				}
			}
			before := f.calls()["all"]
			f.store.Return(copied)
			f.put("targets/c", "10.0.0.3:1")
			took := f.until(eraWithin, "all are in the new era and know what came in it", func(m *member) bool {
				return m.routes.Era() == 1 && m.routes.Targets().Usable("c")
			})
			calls := f.calls()["all"] - before
			f.put("targets/b", "10.0.0.2:1")
			time.Sleep(4 * time.Second)
			for _, m := range f.all {
				if v := m.routes.Targets(); !v.Usable("a") || !v.Usable("b") || !v.Usable("c") {
					t.Errorf("%s: a %v, b %v, c %v", m.id(), v.Usable("a"), v.Usable("b"), v.Usable("c"))
				}
			}
			// Each of the few that watch lists and watches anew, what it keeps.
			if most := int64(12 * 4); calls > most {
				t.Errorf("%d instances: the return cost %d calls of the store, %d would do", n, calls, most)
			}
			t.Logf("%d instances: in the new era after %v, with %d calls of the store", n, took, calls)
		})
	}
}

// Guards against an instance whose entry the store has lost staying off the
// platform's list: those that start later would not find it.
func TestEntriesOfInstancesOutlastTheStoresReturn(t *testing.T) {
	inFleet(t, 8, func(f *fleetOf) {
		time.Sleep(8 * time.Second)
		copied := f.store.Copy()
		f.all = append(f.all, f.start(8))
		time.Sleep(12 * time.Second)
		f.store.Return(copied)
		if f.listed("i-008") {
			t.Fatal("the entry is not lost")
		}
		took := f.until(listEvery*3/2+2*time.Second, "listed again", func(*member) bool { return f.listed("i-008") })
		t.Logf("listed again after %v", took)
	})
}

// listed reports whether the platform's list has the instance.
func (f *fleetOf) listed(id string) bool {
	f.t.Helper()
	instances, err := f.store.Instances(f.t.Context())
	if err != nil {
		f.t.Fatal(err)
	}
	return slices.ContainsFunc(instances, func(i store.Instance) bool { return i.ID == id })
}
