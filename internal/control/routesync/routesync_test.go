package routesync

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/gossip"
	"lynxhill.example/lynxhill/internal/store"
)

func TestFollowsTheStore(t *testing.T) {
	inWorld(t, func(w *world) {
		n := w.start("x", true)
		w.wantState(n, "start", "1: a b")
		w.put(TableKey, "2")
		synctest.Wait()
		w.put("targets/c", "1:3")
		synctest.Wait()
		w.put("targets/a", "-1:1")
		w.wantState(n, "after changes", "2: -a b c")
		wantViews := []string{" > a b", "a b > a b c", "a b c > -a b c"}
		if !n.Synced() || !slices.Equal(n.tables, []int64{1, 2}) || !slices.Equal(n.views, wantViews) {
			t.Errorf("known %v, tables %v, views %q", n.Synced(), n.tables, n.views)
		}
		time.Sleep(time.Hour) // watches without changes log nothing
		w.wantEvents(n, event.RoutesAdopted, 2)
		w.wantEvents(n, event.TargetsChanged, 3)
		if age := n.ConfirmedAge(); age > 15*time.Second {
			t.Errorf("confirmed %v ago", age)
		}
	})
}

// Guards against requests, for two more seconds, to a target whose entry was deleted
// while the store was available: the grace period for expired entries must apply only
// after failures of the store.
func TestDeletionInCalmTimesIsImmediate(t *testing.T) {
	inWorld(t, func(w *world) {
		n := w.start("x", true)
		w.remove("targets/a")
		w.wantState(n, "at once", "1: b")
	})
}

// Guards against requests that are routed by withdrawn routes: the store's history was
// compacted during a watch, the following list came from a lagging replica, and the
// latest answer was adopted instead of the highest version.
func TestStaleListTakesNothingBack(t *testing.T) {
	inWorld(t, func(w *world) {
		n := w.start("x", true)
		stale, at, _ := w.store.List(context.Background(), "")
		w.put(TableKey, "2")
		w.put("targets/a", "-1:1")
		w.remove("targets/b")
		w.put("targets/c", "1:3")
		w.wantState(n, "before", "2: -a c")
		n.link.set(func() { n.link.list = func() ([]store.Object, uint64, error) { return stale, at, nil } })
		n.listAgain()
		w.wantState(n, "after the stale list", "2: -a c")
		w.wantEvents(n, event.RoutesNotNewer, 1)
		time.Sleep(2 * tombstoneTTL)
		w.put("targets/d", "1:4") // the tombstone of b expires with this merge
		n.listAgain()
		w.wantState(n, "after the tombstone's expiry", "2: -a c d")
		w.put(TableKey, "1") // an old file of an operator, under a new version of the store
		w.wantState(n, "after an old table", "2: -a c d")
		w.wantEvents(n, event.RoutesNotNewer, 2)
	})
}

// Guards against a deleted target that stays in use until a restart: its deletion was
// compacted away before this instance's watch received it, the watch got a 410, and
// was resumed from the new version without a list.
func TestCompactedWatchLists(t *testing.T) {
	inWorld(t, func(w *world) {
		n := w.start("x", true)
		n.link.set(func() { n.link.dropChanges = true })
		time.Sleep(20 * time.Second) // all pending watches drop changes now
		w.remove("targets/a")
		w.store.Compact()
		n.link.set(func() { n.link.dropChanges = false })
		w.wantState(n, "watches still drop changes", "1: a b")
		time.Sleep(16 * time.Second)
		w.wantState(n, "after the 410", "1: b")
		w.wantEvents(n, event.RouteStoreLost, 0)
	})
}

// Guards against failures of all requests of a service for two seconds after an outage
// of the platform: the entries of its targets expired during the outage and were
// written again after the recovery, but the first list was applied at once.
func TestLapsedEntriesAreKeptForTheGrace(t *testing.T) {
	inWorld(t, func(w *world) {
		n := w.start("x", true)
		peer := w.start("y", true)
		n.link.cut()
		time.Sleep(10 * time.Second)
		w.remove("targets/a")
		w.remove("targets/b")
		w.put("targets/c", "-1:3")
		n.link.restore()
		time.Sleep(1100 * time.Millisecond) // the longest pause between two retries
		w.wantState(n, "at the recovery", "1: a b -c")
		w.put("targets/b", "1:2")
		w.wantState(n, "entry of b written again", "1: a b -c")
		w.wantState(peer, "instance for which the store never failed", "1: b -c")
		time.Sleep(2 * time.Second)
		w.wantState(n, "after the grace period", "1: b -c")
		w.wantEvents(n, event.RouteStoreLost, 1)
		w.wantEvents(n, event.RouteStoreRegained, 1)
		for _, change := range n.views[1:] {
			if change != "a b > a b -c" && change != "a b -c > b -c" {
				t.Errorf("change %q", change)
			}
		}
	})
}

// Guards against the removal of live targets during an outage: the store recovered,
// returned a list without them, and became unavailable again within the grace period;
// or a peer reported their deletion while the store's list contained them. The end of
// the grace period must not decide without the store.
func TestTheListAfterAnOutageDecides(t *testing.T) {
	inWorld(t, func(w *world) {
		n := w.start("x", true)
		n.link.cut()
		time.Sleep(10 * time.Second)
		w.remove("targets/a")
		n.link.restore()
		time.Sleep(1100 * time.Millisecond)
		n.link.cut()
		time.Sleep(5 * time.Second)
		w.wantState(n, "store unavailable again", "1: a b")
		w.put("targets/a", "1:1")
		wrong := store.Object{Key: "targets/b", Version: 4, Deleted: true}
		n.adopt(TargetsPrefix, answer{objects: []store.Object{wrong}, version: 4, peer: "y"})
		n.link.restore()
		time.Sleep(10 * time.Second)
		w.wantState(n, "store recovered", "1: a b")
	})
}

// Guards against an instance that pulls from a peer and keeps a dead target forever:
// the peer deferred the deletion while its digests listed newer versions, and applied
// it two seconds later, when the deletion's version was below the one up to which the
// puller already held everything.
func TestDeferredDeletionReachesPullersAfterTheGrace(t *testing.T) {
	inWorld(t, func(w *world) {
		n, puller := w.start("x", true), w.start("y", false)
		n.link.cut()
		time.Sleep(minOutage + time.Second)
		w.remove("targets/a")
		w.put("targets/c", "1:3")
		n.link.restore()
		time.Sleep(1100 * time.Millisecond)
		w.sendDigest("x", "y")
		w.wantState(puller, "in the grace period", "1: a b c")
		time.Sleep(2 * time.Second)
		w.sendDigest("x", "y")
		w.wantState(n, "the peer after the grace period", "1: b c")
		time.Sleep(2 * time.Second) // the puller has no link to the store: it defers the deletion for the grace period only
		w.wantState(puller, "after the grace period", "1: b c")
	})
}

// Guards against instances without access to the store that do not use their peers'
// state: an instance started during an outage refused all requests, and one that the
// platform throttled sent requests to a draining target or by withdrawn routes.
func TestPeersAreTheSourceWhileTheStoreIsAway(t *testing.T) {
	table := []struct {
		name   string
		before bool // the instance reached the store before the change
		change func(w *world)
		want   string
		later  string // two seconds later
	}{
		{"new instance", false, func(*world) {}, "1: a b", "1: a b"},
		{"draining", true, func(w *world) { w.put("targets/a", "-1:1") }, "1: -a b", "1: -a b"},
		{"table and target", true, func(w *world) { w.put(TableKey, "3"); w.put("targets/c", "1:3") }, "3: a b c", "3: a b c"},
		{"deletion", true, func(w *world) { w.remove("targets/b") }, "1: a", "1: a"},
		{"deletion of which the answer is old", true, func(w *world) { w.remove("targets/b"); time.Sleep(minOutage) }, "1: a b", "1: a"},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			inWorld(t, func(w *world) {
				w.start("peer", true)
				n := w.start("x", row.before)
				n.link.cut()
				time.Sleep(time.Second)
				row.change(w)
				synctest.Wait()
				w.sendDigest("peer", "x")
				w.wantState(n, "after one exchange", row.want)
				if !n.Synced() || n.exchanges == 0 {
					t.Errorf("known %v, exchanges requested %d times", n.Synced(), n.exchanges)
				}
				if age := n.ConfirmedAge(); (age == math.MaxInt64) == row.before {
					t.Errorf("confirmed %v ago", age)
				}
				w.sendDigest("peer", "x") // a repeated digest does not extend the grace period
				time.Sleep(1990 * time.Millisecond)
				w.wantState(n, "in the grace period", row.want)
				time.Sleep(10 * time.Millisecond)
				w.wantState(n, "later", row.later)
			})
		})
	}
}

// Guards against a deleted target that comes back when an instance that had been cut
// off sends digests again: its older objects were pulled and merged.
func TestPeerThatIsBehindTakesNothingBack(t *testing.T) {
	inWorld(t, func(w *world) {
		old, n := w.start("old", true), w.start("x", true)
		old.link.cut()
		synctest.Wait()
		w.put(TableKey, "2")
		w.remove("targets/a")
		w.put("targets/b", "-1:2")
		w.wantState(n, "before", "2: -b")
		for range 2 {
			w.sendDigest("old", "x")
			n.Absorb(gossip.Digest{From: "old", Profiles: []gossip.ProfileVersion{{Name: RoutesPrefix, Version: 99}, {Name: TargetsPrefix, Version: 99}}})
			objects, version, _ := old.Since(TargetsPrefix, 0)
			n.adopt(TargetsPrefix, answer{objects: objects, version: version, peer: "old"})
			n.adopt(RoutesPrefix, answer{objects: []store.Object{{Key: TableKey, Version: 2, Value: []byte("1")}}, version: 2, peer: "old"})
			w.wantState(n, "after the older objects", "2: -b")
			time.Sleep(2 * tombstoneTTL)
		}
	})
}

// Guards against an instance without routes after an operator's mistake: a table that
// cannot be decoded was written, and later the object was deleted; either replaced
// the table in force. A target whose entry cannot be decoded gets no new work.
func TestUnreadableObjectsKeepWhatIsInForce(t *testing.T) {
	inWorld(t, func(w *world) {
		n, peer := w.start("x", true), w.start("y", true)
		w.put(TableKey, "bad")
		w.put("targets/a", "bad")
		w.wantState(n, "unreadable", "1: -a b")
		w.sendDigest("y", "x")
		n.Refresh()
		synctest.Wait()
		w.wantEvents(n, event.RoutesUnreadable, 1)
		w.wantEvents(n, event.TargetUnreadable, 1)
		w.remove(TableKey)
		w.wantState(n, "deleted", "1: -a b")
		w.put(TableKey, "2")
		w.put("targets/a", "-1:1")
		w.wantState(n, "mended", "2: -a b")
		w.wantState(peer, "mended at the peer", "2: -a b")
	})
}

// Guards against an instance that uses stale routes for the whole wait of a watch after
// its host was suspended: the connection died during the suspension, and nothing ended
// the watch on it.
func TestRefreshReadsChangesAtOnce(t *testing.T) {
	inWorld(t, func(w *world) {
		n := w.start("x", true)
		n.link.set(func() { n.link.dropChanges = true })
		time.Sleep(20 * time.Second)
		w.put(TableKey, "2")
		w.remove("targets/a")
		w.wantState(n, "deaf", "1: a b")
		n.link.set(func() { n.link.dropChanges = false }) // new connections work
		n.Refresh()
		w.wantState(n, "rechecked", "2: b")
		w.wantEvents(n, event.RouteStoreLost, 0)
		if age := n.ConfirmedAge(); age != 0 || n.exchanges != 1 {
			t.Errorf("confirmed %v ago, exchanges requested %d times", age, n.exchanges)
		}
	})
}

// Guards against thousands of calls to the platform per second, a flooded log, and dead
// targets that are kept forever, when the store answers every watch at once with an
// error or without a change: every such call must be followed by a pause, the log
// entries must be bounded, and repeated failures must not defer the removal of targets
// indefinitely.
func TestFaultyStoreIsCalledInMeasure(t *testing.T) {
	type reply func(after uint64) ([]store.Object, uint64, bool, error)
	table := []struct {
		name  string
		watch reply
	}{
		{"refused", func(uint64) ([]store.Object, uint64, bool, error) { return nil, 0, false, store.ErrThrottled }},
		{"compacted", func(uint64) ([]store.Object, uint64, bool, error) { return nil, 0, true, nil }},
		{"conflict", func(uint64) ([]store.Object, uint64, bool, error) { return nil, 0, false, store.ErrConflict }},
		{"empty", func(after uint64) ([]store.Object, uint64, bool, error) { return nil, after, false, nil }},
		{"the same", func(after uint64) ([]store.Object, uint64, bool, error) {
			return []store.Object{{Key: "targets/b", Version: 3, Value: []byte("1:2")}}, after, false, nil
		}},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			inWorld(t, func(w *world) {
				n := w.start("x", true)
				n.link.set(func() { n.link.watch = row.watch })
				time.Sleep(time.Minute)
				w.remove("targets/a")
				time.Sleep(time.Minute)
				synctest.Wait()
				if n.link.calls > 2*120*10+50 { // two loops, each at most one call every RetryMin
					t.Errorf("%d calls in two minutes", n.link.calls)
				}
				if lines := n.events[event.RouteStoreLost]; lines > 13 {
					t.Errorf("%d log entries about the loss of the store", lines)
				}
				if row.name != "empty" && row.name != "the same" {
					w.wantState(n, "lists continue", "1: b")
				}
			})
		})
	}
}

// Guards against a new instance that knows only the first 256 targets: it pulled them
// from a peer and did not pull the further pages, or regarded the list as complete
// when the pull failed part-way.
func TestLongListsArePulledInPages(t *testing.T) {
	inWorld(t, func(w *world) {
		for i := range 600 {
			w.put(fmt.Sprintf("targets/n%d", i), fmt.Sprintf("2:%d", i))
		}
		peer, n := w.start("y", true), w.start("x", false)
		page, version, more := peer.Since(TargetsPrefix, 0)
		if len(page) != maxPageObjects || !more || version != page[maxPageObjects-1].Version {
			t.Errorf("%d objects up to %d, more %v", len(page), version, more)
		}
		n.adopt(TargetsPrefix, answer{objects: page, peer: "y"}) // a pull that failed after its first page
		if n.Synced() || n.resumeVersion(TargetsPrefix) != 0 {
			t.Error("one page was regarded as the complete list")
		}
		w.sendDigest("y", "x")
		if got := len(n.Targets().All()); got != 602 || !n.Synced() {
			t.Errorf("%d targets, known %v", got, n.Synced())
		}
	})
}

// TestRandomHistoriesConverge checks that three instances converge after losing and
// regaining the store and exchanging digests at random while the store's objects change.
func TestRandomHistoriesConverge(t *testing.T) {
	for seed := range uint64(20) {
		inWorld(t, func(w *world) {
			rng := rand.New(rand.NewPCG(seed, 7))
			ids := []string{"x", "y", "z"}
			for _, id := range ids {
				w.start(id, rng.IntN(2) == 0)
			}
			version := 1
			for range 300 {
				n := w.instances[ids[rng.IntN(3)]]
				key := fmt.Sprintf("targets/%c", 'a'+rng.IntN(5))
				switch rng.IntN(7) {
				case 0:
					n.link.cut()
				case 1:
					n.link.restore()
				case 2:
					version++
					w.put(TableKey, fmt.Sprint(version))
				case 3:
					w.put(key, []string{"", "-"}[rng.IntN(2)]+"1:1")
				case 4:
					if _, err := w.store.Get(context.Background(), key); err == nil {
						w.remove(key)
					}
				case 5:
					w.store.Compact()
				default:
					w.sendDigest(ids[rng.IntN(3)], ids[rng.IntN(3)])
				}
				time.Sleep(time.Duration(rng.IntN(700)) * time.Millisecond)
			}
			want := fmt.Sprintf("%d: %s", version, describe(w.reconnectAll().Targets()))
			for id, n := range w.instances {
				w.wantState(n, fmt.Sprintf("seed %d, %s", seed, id), want)
				if !slices.IsSorted(n.tables) {
					t.Errorf("seed %d, %s: tables %v", seed, id, n.tables)
				}
			}
		})
	}
}
