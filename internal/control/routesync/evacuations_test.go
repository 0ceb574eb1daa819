package routesync

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/event"
)

// withOrders is inWorld with nodes that watch orders to evacuate places.
func withOrders(t *testing.T, fn func(w *world)) {
	inWorld(t, func(w *world) {
		w.orders = true
		fn(w)
	})
}

// evacuated returns the node's places that are evacuated, in order.
func (n *node) evacuated() string {
	n.Manager.mu.Lock()
	defer n.Manager.mu.Unlock()
	return fmt.Sprint(n.evacuations.places())
}

// Symptom: targets of a zone that operators had evacuated got work all the
// while.
// Events: the order is written while the instance watches; it is taken back.
// Cause: nobody read the orders.
func TestTargetsOfAnEvacuatedPlaceTakeNoWork(t *testing.T) {
	withOrders(t, func(w *world) {
		n := w.node("x", true)
		w.put("targets/b", "1:2@north")
		w.want(n, "before", "1: a b")
		w.put("evacuations/north", "{}")
		w.want(n, "ordered", "1: a -b")
		w.put("targets/c", "1:3@north")
		w.want(n, "one that comes meanwhile", "1: a -b -c")
		w.remove("evacuations/north")
		w.want(n, "taken back", "1: a b c")
		w.count(n, event.PlacesEvacuated, 2)
	})
}

// Symptom: an instance that has just started sends requests to an evacuated
// zone.
// Events: two zones are evacuated, an instance starts, once with the store
// and once without it.
// Cause: it takes itself for complete before it has read the orders.
func TestOrdersAreKnownBeforeAnythingIsServed(t *testing.T) {
	withOrders(t, func(w *world) {
		w.put("targets/b", "1:2@north")
		w.put("evacuations/north", "{}")
		w.put("evacuations/south", "{}")
		n := w.node("x", true)
		w.want(n, "with the store", "1: a -b")
		other := w.node("y", false)
		if other.Known() {
			t.Error("an instance that has heard of nobody takes itself for complete")
		}
		w.tell("x", "y")
		w.want(other, "from a peer", "1: a -b")
		if !other.Known() || other.evacuated() != "[north south]" {
			t.Errorf("known %v, evacuated %s", other.Known(), other.evacuated())
		}
	})
}

// Symptom: an order that was taken back returns, or one is never taken back.
// Events: the order goes and comes while an instance has no store, hears from
// peers that lag, and while histories are dropped.
// Cause: older word goes before newer, or what a list lacks is kept.
func TestOlderWordOfAnOrderTakesNothingBack(t *testing.T) {
	withOrders(t, func(w *world) {
		w.put("targets/b", "1:2@north")
		x, y, z := w.node("x", true), w.node("y", true), w.node("z", true)
		w.put("evacuations/north", "{}")
		synctest.Wait()
		y.link.cut()
		z.link.cut()
		w.remove("evacuations/north")
		w.want(x, "with the store", "1: a b")
		w.want(y, "without", "1: a -b")
		w.tell("z", "x")
		w.want(x, "told by one that lags", "1: a b")
		w.tell("x", "y")
		w.want(y, "told by one that knows", "1: a b")
		w.tell("z", "y")
		w.want(y, "told by one that lags", "1: a b")
	})
}

// Symptom: targets crash in the moment in which their zone is given back.
// Events: a zone is evacuated and given back; its targets became cold meanwhile
// and tell that a heartbeat later.
// Cause: they are held for warm.
func TestAPlaceThatIsGivenBackCountsAsCold(t *testing.T) {
	withOrders(t, func(w *world) {
		n := w.node("x", true)
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
		w.put("targets/b", "1:2@north*4s") // a heartbeat tells more
		synctest.Wait()
		if b, _ = n.Targets().Get("b"); !b.Cold(now.Add(4 * time.Second)) {
			t.Errorf("b is cold until %v", b.ColdUntil)
		}
	})
}

// Symptom: each heartbeat of a cold target is passed on through the fleet as
// news.
// Events: a target tells with each of three heartbeats how long it stays cold.
// Cause: the moment until which it is cold is worked out anew each time.
func TestHeartbeatsOfAColdTargetAreNoNews(t *testing.T) {
	withOrders(t, func(w *world) {
		n := w.node("x", true)
		for left := 3000 * time.Millisecond; left > 0; left -= 1200 * time.Millisecond {
			w.put("targets/b", fmt.Sprintf("1:2*%v", left))
			time.Sleep(1210 * time.Millisecond)
		}
		w.count(n, event.TargetsChanged, 2) // the start, and the first word
	})
}

// TestRandomOrdersConverge has three instances lose and regain the store and
// hear of each other at random while orders come and go.
func TestRandomOrdersConverge(t *testing.T) {
	for seed := range uint64(20) {
		withOrders(t, func(w *world) {
			rng := rand.New(rand.NewPCG(seed, 9))
			ids := []string{"x", "y", "z"}
			for _, id := range ids {
				w.node(id, rng.IntN(2) == 0)
			}
			for range 200 {
				key := fmt.Sprintf("evacuations/%c", 'a'+rng.IntN(3))
				switch rng.IntN(6) {
				case 0:
					w.nodes[ids[rng.IntN(3)]].link.cut()
				case 1:
					w.nodes[ids[rng.IntN(3)]].link.restore()
				case 2:
					w.put(key, "{}")
				case 3:
					if _, err := w.store.Get(t.Context(), key); err == nil {
						w.remove(key)
					}
				case 4:
					w.store.Compact()
				default:
					w.tell(ids[rng.IntN(3)], ids[rng.IntN(3)])
				}
				time.Sleep(time.Duration(rng.IntN(700)) * time.Millisecond)
			}
			want := w.settle().evacuated()
			for id, n := range w.nodes {
				if got := n.evacuated(); got != want {
					t.Errorf("seed %d, %s: %s, want %s", seed, id, got, want)
				}
			}
		})
	}
}

// Where a platform has no such orders, nothing is asked of its store for them.
func TestWithoutEvacuationsNothingIsWatched(t *testing.T) {
	if prefixes := (Options{}).prefixes(); len(prefixes) != 2 {
		t.Errorf("watched: %v", prefixes)
	}
}
