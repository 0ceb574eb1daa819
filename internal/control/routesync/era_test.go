package routesync

import (
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/store"
)

// storeOutage cuts the links of all instances to the store, calls during, and restores
// the links.
func (w *world) storeOutage(during func()) {
	for _, n := range w.instances {
		n.link.cut()
	}
	time.Sleep(300 * time.Millisecond)
	during()
	for _, n := range w.instances {
		n.link.restore()
	}
	time.Sleep(time.Second)
	synctest.Wait()
}

// All tests below guard against instances that, after the store has been restored from
// an older backup, revert to the state before, or ignore changes while the store's
// revisions are below those that were lost. This happens if revisions are assumed
// never to decrease, and the restored state is assumed to be the newest.

// TestTheTableInForceOutlastsTheStoresReturn: instances ignore the backup's table and
// adopt at once the tables that the operator writes after the restore.
func TestTheTableInForceOutlastsTheStoresReturn(t *testing.T) {
	inWorld(t, func(w *world) {
		n := w.start("x", true)
		copied := w.store.Snapshot()
		for range 50 {
			w.put("others/x", time.Now().String())
			w.put(TableKey, "2")
			w.put(TableKey, "3")
		}
		w.wantState(n, "before", "3: a b")
		w.storeOutage(func() { w.store.Restore(copied) })
		w.wantState(n, "store restored", "3: a b")
		w.wantEvents(n, event.StoreEraRose, 1)
		fresh := w.start("fresh", true)
		w.sendDigest("x", "fresh")
		w.wantState(fresh, "new instance after the peer's digest", "3: a b")
		w.put(TableKey, "3")
		w.wantState(n, "same table written again", "3: a b")
		w.wantState(fresh, "new instance, same table written again", "3: a b")
		w.put(TableKey, "4")
		w.wantState(n, "next table written", "4: a b")
	})
}

// TestTargetsOutlastTheStoresReturn: the deletion of an entry that the backup lacks is
// deferred for the grace period, and a target's sequence numbers tell which of its
// entries is newer.
func TestTargetsOutlastTheStoresReturn(t *testing.T) {
	inWorld(t, func(w *world) {
		w.put("targets/a", "1:1#5")
		w.put("targets/b", "1:2#5")
		w.put("targets/d", "1:4")
		n := w.start("x", true)
		copied := w.store.Snapshot()
		for range 50 {
			w.put("others/x", time.Now().String())
		}
		w.put("targets/a", "-1:1#6") // it drains
		w.put("targets/d", "-1:4")   // so does a target that does not number its writes
		w.remove("targets/b")        // it is deleted, and its entry is in the backup
		w.put("targets/c", "1:3#1")  // it is not in the backup
		w.wantState(n, "before", "1: -a c -d")
		w.storeOutage(func() { w.store.Restore(copied) })
		w.wantState(n, "store restored", "1: -a c -d")
		w.put("targets/c", "1:3#2")
		w.put("targets/a", "-1:1#7")
		time.Sleep(defaultRecoveryGrace)
		w.wantState(n, "entries written again", "1: -a c -d")
		w.remove("targets/b")
		w.put("targets/e", "1:5#1")
		w.wantState(n, "entry of the deleted target expires, new target registers", "1: -a c -d e")
		w.put("targets/b", "1:2#9")
		w.wantState(n, "deleted target writes again", "1: -a b c -d e")
		w.remove("targets/c")
		w.remove("targets/a")
		time.Sleep(defaultRecoveryGrace)
		w.wantState(n, "targets are deleted in the new era", "1: b -d e")
	})
}

// TestAMissingTargetIsGoneAfterTheGrace: a target that does not write its entry again
// is removed after the grace period, on all instances.
func TestAMissingTargetIsGoneAfterTheGrace(t *testing.T) {
	inWorld(t, func(w *world) {
		n, other := w.start("x", true), w.start("y", false)
		w.sendDigest("x", "y")
		copied := w.store.Snapshot()
		w.put("targets/c", "1:3#1")
		w.sendDigest("x", "y")
		w.wantState(other, "by a peer's digest", "1: a b c")
		n.link.cut()
		time.Sleep(300 * time.Millisecond)
		w.store.Restore(copied)
		n.link.restore()
		time.Sleep(time.Second)
		w.wantState(n, "store restored", "1: a b c")
		time.Sleep(2 * defaultRecoveryGrace)
		w.wantState(n, "entry not written again", "1: a b")
		w.sendDigest("x", "y")
		time.Sleep(2 * defaultRecoveryGrace)
		w.wantState(other, "by a peer's digest", "1: a b")
	})
}

// TestOrdersOutlastTheStoresReturn: an order that the backup lacks stays in force for
// lostOrderGrace, also on an instance that learns of the restore only from a peer. An
// order that is written again stays in force and can be deleted as usual.
func TestOrdersOutlastTheStoresReturn(t *testing.T) {
	for _, again := range []bool{true, false} {
		withOrders(t, func(w *world) {
			w.put("evacuations/west", "{}")
			w.put("targets/b", "1:2@north")
			n, other := w.start("x", true), w.start("y", false)
			copied := w.store.Snapshot()
			for range 50 {
				w.put("others/x", time.Now().String())
			}
			w.put("evacuations/north", "{}")
			w.sendDigest("x", "y")
			w.wantState(other, "by a peer's digest", "1: a -b")
			n.link.cut()
			time.Sleep(300 * time.Millisecond)
			w.store.Restore(copied)
			n.link.restore()
			time.Sleep(time.Second)
			w.sendDigest("x", "y")
			for _, one := range []*testInstance{n, other} {
				w.wantState(one, "store restored", "1: a -b")
			}
			if again {
				w.put("evacuations/north", "{}")
			}
			time.Sleep(2 * lostOrderGrace)
			w.sendDigest("x", "y")
			want := map[bool]string{true: "1: a -b", false: "1: a b"}[again]
			for _, one := range []*testInstance{n, other} {
				w.wantState(one, "after the grace period", want)
			}
			if again {
				w.remove("evacuations/north")
			}
			w.put("evacuations/north", "{}")
			w.remove("evacuations/north")
			w.put("evacuations/south", "{}")
			w.sendDigest("x", "y")
			for _, one := range []*testInstance{n, other} {
				w.wantState(one, "order deleted", "1: a b")
				if got := one.evacuated(); got != "[south west]" {
					t.Errorf("evacuated zones: %s", got)
				}
			}
		})
	}
}

// TestAnInstanceLearnsOfTheEraFromAnother: an instance that has not reached the store
// adopts a peer's objects of the new era although their revisions are lower.
func TestAnInstanceLearnsOfTheEraFromAnother(t *testing.T) {
	inWorld(t, func(w *world) {
		w.start("x", true)
		y := w.start("y", false)
		copied := w.store.Snapshot()
		for range 50 {
			w.put("targets/a", time.Now().String())
			w.put(TableKey, "2")
		}
		w.sendDigest("x", "y")
		w.instances["x"].link.cut()
		time.Sleep(300 * time.Millisecond)
		w.store.Restore(copied)
		w.instances["x"].link.restore()
		w.put(TableKey, "3")
		w.put("targets/c", "1:3")
		time.Sleep(time.Second)
		w.sendDigest("x", "y")
		w.wantState(y, "told", "3: a b c")
		w.wantEvents(y, event.StoreEraRose, 1)
		if y.Era() != 1 || store.EraOf(y.resumeVersion(TargetsPrefix)) != 1 {
			t.Errorf("era %d", y.Era())
		}
	})
}

// TestMissingEntryIsKeptForTheGraceThoughNoCallFailed: the store was unavailable for so
// short a time that no call failed; only the era shows that it was restored.
func TestMissingEntryIsKeptForTheGraceThoughNoCallFailed(t *testing.T) {
	inWorld(t, func(w *world) {
		n := w.start("x", true)
		copied := w.store.Snapshot()
		w.put("targets/c", "1:3#1")
		w.wantState(n, "before", "1: a b c")
		w.store.Restore(copied)
		time.Sleep(time.Second)
		w.wantState(n, "store restored", "1: a b c")
		w.put("targets/c", "1:3#2")
		time.Sleep(2 * defaultRecoveryGrace)
		w.wantState(n, "entry written again", "1: a b c")
		w.wantEvents(n, event.RouteStoreLost, 0)
	})
}
