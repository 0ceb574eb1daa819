package routesync

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/gossip"
	"lynxhill.example/lynxhill/internal/store"
)

// digestInterval is the time between two digests from one instance to another.
const digestInterval = 500 * time.Millisecond

// exchangeDigests sends digests between all pairs of instances for the duration d.
func (w *world) exchangeDigests(d time.Duration) {
	for ; d > 0; d -= digestInterval {
		for from := range w.instances {
			for to := range w.instances {
				if from != to {
					w.sendDigest(from, to)
				}
			}
		}
		time.Sleep(digestInterval)
	}
}

// Guards against an instance that starts after the store was restored from a backup and
// serves the backup's older table although its peers hold a newer one.
func TestInstanceStartedAfterStoreReturnAdoptsNewerPeerTable(t *testing.T) {
	for _, up := range []bool{true, false} {
		inWorld(t, func(w *world) {
			n := w.start("x", true)
			copied := w.store.Snapshot()
			w.put(TableKey, "2")
			w.put(TableKey, "3")
			w.wantState(n, "before", "3: a b")
			w.storeOutage(func() { w.store.Restore(copied) })
			fresh := w.start("fresh", up)
			w.exchangeDigests(2 * time.Second)
			w.wantState(fresh, fmt.Sprintf("store reached: %v", up), "3: a b")
			w.wantState(n, "peer that held the newer table", "3: a b")
			w.put(TableKey, "4")
			w.exchangeDigests(2 * time.Second)
			w.wantState(fresh, "next table written", "4: a b")
		})
	}
}

// Guards against an unreadable table in the store preventing an instance from
// pulling the last valid table from its peers.
func TestUnreadableTableDoesNotBlockPullOfValidTable(t *testing.T) {
	for name, setup := range map[string]func(w *world) *testInstance{
		"started after the unreadable table": func(w *world) *testInstance {
			w.put(TableKey, "2")
			synctest.Wait()
			w.put(TableKey, "bad")
			return w.start("late", true)
		},
		"cut off during the valid table": func(w *world) *testInstance {
			late := w.start("late", true)
			late.link.cut()
			time.Sleep(time.Second)
			w.put(TableKey, "2")
			synctest.Wait()
			w.put(TableKey, "bad")
			late.link.restore()
			time.Sleep(3 * time.Second)
			return late
		},
	} {
		inWorld(t, func(w *world) {
			n := w.start("x", true)
			late := setup(w)
			w.exchangeDigests(2 * time.Second)
			w.wantState(n, name+", peer that held the valid table", "2: a b")
			w.wantState(late, name, "2: a b")
			w.put(TableKey, "3")
			w.wantState(late, name+", next valid table", "3: a b")
		})
	}
}

// Guards against a digest for a table that the peer no longer holds blocking later
// pulls of that table, and against repeated pulls of an unreadable table.
func TestAnnouncedTableIsPulledOncePeerHoldsIt(t *testing.T) {
	inWorld(t, func(w *world) {
		x, n := w.start("x", true), w.start("y", false)
		n.Absorb(gossip.Digest{From: "x", Profiles: []gossip.ProfileVersion{{Name: RoutesPrefix, Version: 4}}})
		w.wantState(n, "announced table not held by the peer", "1: ")
		for _, announced := range []uint64{8, 9} {
			n.adopt(RoutesPrefix, answer{objects: []store.Object{{Key: TableKey, Version: 50, Value: []byte("bad")}}, version: 50, peer: "z", digestVersion: announced})
			if n.needsPull(RoutesPrefix, announced) || !n.needsPull(RoutesPrefix, announced+1) {
				t.Error("unreadable table is pulled again, or the next table is not pulled")
			}
		}
		w.put(TableKey, "3")
		w.wantState(x, "announced table held by the peer", "3: a b")
		w.sendDigest("x", "y")
		w.wantState(n, "after the peer's digest", "3: a b")
	})
}

// Guards against tables that revert to an older version or fail to converge under
// random sequences of writes, invalid tables, store restores, restarts and link cuts.
func TestTableInForceConvergesUnderRandomEvents(t *testing.T) {
	for seed := range uint64(40) {
		inWorld(t, func(w *world) {
			rng := rand.New(rand.NewPCG(35, seed))
			names := []string{"x", "y", "z", "u"}
			for _, id := range names {
				w.start(id, true)
			}
			newest, copied := 1, w.store.Snapshot()
			var steps []string
			for range 30 {
				id := names[rng.IntN(len(names))]
				step := rng.IntN(9)
				switch step {
				case 0, 1:
					newest++
					w.put(TableKey, fmt.Sprint(newest))
				case 2:
					w.put(TableKey, "bad")
				case 3: // an older table, or the newest one again
					w.put(TableKey, fmt.Sprint(max(newest-rng.IntN(3), 1)))
				case 4:
					copied = w.store.Snapshot()
				case 5:
					w.store.Restore(copied)
				case 6:
					w.start(id, rng.IntN(2) == 0)
				case 7:
					w.instances[id].link.cut()
				case 8:
					w.instances[id].link.restore()
				}
				steps = append(steps, fmt.Sprint(step, id))
				time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
				if rng.IntN(2) == 0 {
					w.sendDigest(id, names[rng.IntN(len(names))])
				}
			}
			newestHeld := int64(1)
			for _, n := range w.instances {
				if table := n.Table(); table != nil {
					newestHeld = max(newestHeld, table.Version)
				}
				n.link.restore()
			}
			w.exchangeDigests(12 * time.Second)
			for id, n := range w.instances {
				if table := n.Table(); table == nil || table.Version < newestHeld {
					t.Errorf("seed %d: %s has table %v, want version %d or higher; steps: %v", seed, id, table, newestHeld, steps)
				}
				n.mu.Lock()
				for k := 1; k < len(n.tables); k++ {
					if n.tables[k] <= n.tables[k-1] {
						t.Errorf("seed %d: %s adopted versions %v, want increasing versions", seed, id, n.tables)
					}
				}
				n.mu.Unlock()
			}
		})
		if t.Failed() {
			return
		}
	}
}

// Guards against an instance that starts after the store was restored from a backup and
// sends work to targets in a zone that is evacuated according to its peers.
func TestInstanceStartedAfterStoreReturnHeedsPeersOrders(t *testing.T) {
	for _, rewritten := range []bool{true, false} {
		withOrders(t, func(w *world) {
			w.put("targets/b", "1:2@north")
			w.put("evacuations/west", "{}")
			n := w.start("x", true)
			copied := w.store.Snapshot()
			w.put("evacuations/north", "{}")
			w.wantState(n, "before", "1: a -b")
			w.storeOutage(func() { w.store.Restore(copied) })
			fresh := w.start("fresh", true)
			w.exchangeDigests(2 * time.Second)
			w.wantState(fresh, "instance started after the restore", "1: a -b")
			if rewritten {
				w.put("evacuations/north", "{}")
			}
			w.exchangeDigests(2 * lostOrderGrace)
			want := map[bool]string{true: "1: a -b", false: "1: a b"}[rewritten]
			for _, instance := range []*testInstance{n, fresh} {
				w.wantState(instance, "after the grace period", want)
			}
			if rewritten {
				w.remove("evacuations/north")
			}
			w.exchangeDigests(2 * time.Second)
			for _, instance := range []*testInstance{n, fresh} {
				w.wantState(instance, "after the end of the order", "1: a b")
				if got := instance.evacuated(); got != "[west]" {
					t.Errorf("evacuated zones: %s, want [west]", got)
				}
			}
		})
	}
}
