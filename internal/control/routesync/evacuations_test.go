package routesync

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/event"
)

// withOrders is inWorld with instances that watch evacuation orders.
func withOrders(t *testing.T, fn func(w *world)) {
	inWorld(t, func(w *world) {
		w.orders = true
		fn(w)
	})
}

// evacuated returns the zones that are evacuated as known to the instance, sorted.
func (n *testInstance) evacuated() string {
	n.Manager.mu.Lock()
	defer n.Manager.mu.Unlock()
	return fmt.Sprint(n.evacuations.zones())
}

// Guards against targets that get work although operators have evacuated their zone:
// the order is written, and later deleted, while the instance watches.
func TestTargetsOfAnEvacuatedPlaceTakeNoWork(t *testing.T) {
	withOrders(t, func(w *world) {
		n := w.start("x", true)
		w.put("targets/b", "1:2@north")
		w.wantState(n, "before", "1: a b")
		w.put("evacuations/north", "{}")
		w.wantState(n, "ordered", "1: a -b")
		w.put("targets/c", "1:3@north")
		w.wantState(n, "target registered during the evacuation", "1: a -b -c")
		w.remove("evacuations/north")
		w.wantState(n, "order deleted", "1: a b c")
		w.wantEvents(n, event.ZonesEvacuated, 2)
	})
}

// Guards against an instance that has just started and sends requests to an evacuated
// zone because it reports its configuration as known before it has read the orders.
// The test starts one instance with and one without a link to the store.
func TestInstanceIsNotCompleteBeforeOrdersAreKnown(t *testing.T) {
	withOrders(t, func(w *world) {
		w.put("targets/b", "1:2@north")
		w.put("evacuations/north", "{}")
		w.put("evacuations/south", "{}")
		n := w.start("x", true)
		w.wantState(n, "with the store", "1: a -b")
		other := w.start("y", false)
		if other.Synced() {
			t.Error("known is true on an instance without any source")
		}
		w.sendDigest("x", "y")
		w.wantState(other, "from a peer", "1: a -b")
		if !other.Synced() || other.evacuated() != "[north south]" {
			t.Errorf("known %v, evacuated %s", other.Synced(), other.evacuated())
		}
	})
}

// Guards against a deleted order that comes into force again, and an order that never
// ends: the order is written and deleted while instances have no link to the store and
// receive digests from peers that lag, and an older state replaces a newer one.
func TestOutdatedOrderDoesNotOverrideNewerState(t *testing.T) {
	withOrders(t, func(w *world) {
		w.put("targets/b", "1:2@north")
		x, y, z := w.start("x", true), w.start("y", true), w.start("z", true)
		w.put("evacuations/north", "{}")
		synctest.Wait()
		y.link.cut()
		z.link.cut()
		w.remove("evacuations/north")
		w.wantState(x, "with the store", "1: a b")
		w.wantState(y, "without", "1: a -b")
		w.sendDigest("z", "x")
		w.wantState(x, "digest of a peer that lags", "1: a b")
		w.sendDigest("x", "y")
		w.wantState(y, "digest of a peer that is up to date", "1: a b")
		w.sendDigest("z", "y")
		w.wantState(y, "digest of a peer that lags", "1: a b")
	})
}

// Guards against targets that crash at the end of their zone's evacuation: they became
// cold during the evacuation, report it only with their next heartbeat, and are
// assumed to be warm until then.
func TestTargetsCountAsColdAfterEvacuationEnds(t *testing.T) {
	withOrders(t, func(w *world) {
		n := w.start("x", true)
		w.put("targets/b", "1:2@north")
		w.put("evacuations/north", "{}")
		synctest.Wait()
		w.remove("evacuations/north")
		synctest.Wait()
		now := time.Now()
		b, _ := n.Targets().Get("b")
		a, _ := n.Targets().Get("a")
		if !b.Cold(now) || b.Cold(now.Add(coldTime)) || a.Cold(now) {
			t.Errorf("b is cold until %v, a until %v, %v after the start", b.ColdUntil, a.ColdUntil, now)
		}
		w.put("targets/b", "1:2@north*4s") // a heartbeat reports a longer time
		synctest.Wait()
		if b, _ = n.Targets().Get("b"); !b.Cold(now.Add(4 * time.Second)) {
			t.Errorf("b is cold until %v", b.ColdUntil)
		}
	})
}

// Guards against every heartbeat of a cold target being propagated through the fleet
// as a change: the target reports the remaining cold time with each of three
// heartbeats, and the end of the cold time is computed anew from each.
func TestHeartbeatsOfColdTargetCauseNoChanges(t *testing.T) {
	withOrders(t, func(w *world) {
		n := w.start("x", true)
		for left := 3000 * time.Millisecond; left > 0; left -= 1200 * time.Millisecond {
			w.put("targets/b", fmt.Sprintf("1:2*%v", left))
			time.Sleep(1210 * time.Millisecond)
		}
		w.wantEvents(n, event.TargetsChanged, 2) // the start, and the first heartbeat
	})
}

// TestRandomOrdersConverge checks that three instances converge after losing and
// regaining the store and exchanging digests at random while orders are written and
// deleted.
func TestRandomOrdersConverge(t *testing.T) {
	for seed := range uint64(20) {
		withOrders(t, func(w *world) {
			rng := rand.New(rand.NewPCG(seed, 9))
			ids := []string{"x", "y", "z"}
			for _, id := range ids {
				w.start(id, rng.IntN(2) == 0)
			}
			for range 200 {
				key := fmt.Sprintf("evacuations/%c", 'a'+rng.IntN(3))
				switch rng.IntN(6) {
				case 0:
					w.instances[ids[rng.IntN(3)]].link.cut()
				case 1:
					w.instances[ids[rng.IntN(3)]].link.restore()
				case 2:
					w.put(key, "{}")
				case 3:
					if _, err := w.store.Get(t.Context(), key); err == nil {
						w.remove(key)
					}
				case 4:
					w.store.Compact()
				default:
					w.sendDigest(ids[rng.IntN(3)], ids[rng.IntN(3)])
				}
				time.Sleep(time.Duration(rng.IntN(700)) * time.Millisecond)
			}
			want := w.reconnectAll().evacuated()
			for id, n := range w.instances {
				if got := n.evacuated(); got != want {
					t.Errorf("seed %d, %s: %s, want %s", seed, id, got, want)
				}
			}
		})
	}
}

// Guards against calls to the store for evacuation orders on a platform without them.
func TestWithoutEvacuationsNothingIsWatched(t *testing.T) {
	if prefixes := (Options{}).prefixes(); len(prefixes) != 2 {
		t.Errorf("watched: %v", prefixes)
	}
}
