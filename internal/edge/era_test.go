package edge

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/store"
)

// maxEraDelay is the time from the store's return within which all instances have to be in the new era (store epoch).
const maxEraDelay = 2 * time.Second

// Guards against parts of the fleet that rely for minutes on the old order of revisions after the store was restored from
// an older copy, because they assume that revisions only increase. 200 changes are lost, among them those of the newest
// target; a third of the instances do not reach the store meanwhile; the target writes its entry again and another target
// is added.
func TestAFleetIsInTheNewEraAtOnce(t *testing.T) {
	for _, n := range noticeFleetSizes() {
		runFleet(t, n, func(f *testFleet) {
			time.Sleep(8 * time.Second)
			copied := f.store.Snapshot()
			f.put("targets/b", "10.0.0.2:1")
			for k := range 200 {
				f.put(fmt.Sprint("others/", k), "x")
			}
			f.until(2*time.Second, "all know the target", func(m *member) bool { return m.routes.Targets().Usable("b") })
			for k, m := range f.all {
				if k%3 == 0 {
					m.socket.injectFault(&m.socket.storeUnreachable)
				}
			}
			before := f.calls()["all"]
			f.store.Restore(copied)
			f.put("targets/c", "10.0.0.3:1")
			took := f.until(maxEraDelay, "all are in the new era and know the target added in it", func(m *member) bool {
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
			// Each of the few watchers lists again, and watches again, every kind of object that it keeps.
			if most := int64(12 * 4); calls > most {
				t.Errorf("%d instances: the return cost %d calls of the store, want %d at most", n, calls, most)
			}
			t.Logf("%d instances: in the new era after %v, with %d calls of the store", n, took, calls)
		})
	}
}

// Guards against an instance that remains missing from the platform's list after the store
// has lost its entry: instances that start later would not find it.
func TestEntriesOfInstancesOutlastTheStoresReturn(t *testing.T) {
	runFleet(t, 8, func(f *testFleet) {
		time.Sleep(8 * time.Second)
		copied := f.store.Snapshot()
		f.all = append(f.all, f.start(8))
		time.Sleep(12 * time.Second)
		f.store.Restore(copied)
		if f.listed("i-008") {
			t.Fatal("the entry is not lost")
		}
		took := f.until(listEvery*3/2+2*time.Second, "listed again", func(*member) bool { return f.listed("i-008") })
		t.Logf("listed again after %v", took)
	})
}

// listed reports whether the platform's list contains the instance.
func (f *testFleet) listed(id string) bool {
	f.t.Helper()
	instances, err := f.store.Instances(f.t.Context())
	if err != nil {
		f.t.Fatal(err)
	}
	return slices.ContainsFunc(instances, func(i store.Instance) bool { return i.ID == id })
}
