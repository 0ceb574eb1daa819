package routesync

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/event"
)

// timesOfThree returns the times of a fleet in which a change has to be in force within
// 3 s.
func timesOfThree() Times { return TimesOf(3*time.Second, time.Hour) }

// Guards against routes that count as confirmed because a watch of another prefix was
// answered.
func TestWhatOneWatchHearsDoesNotConfirmAnother(t *testing.T) {
	inWorld(t, func(w *world) {
		w.adjust = func(o *Options) { o.Times = timesOfThree }
		n := w.start("a", true)
		time.Sleep(20 * time.Second)
		n.link.set(func() { n.link.silentPrefix = RoutesPrefix })
		for age := time.Second; age > 50*time.Millisecond; age, _ = n.RoutesConfirmed() {
			time.Sleep(50 * time.Millisecond) // until the pending watch has ended
		}
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			w.put("targets/c", "1:9")
			w.remove("targets/c")
		}
		synctest.Wait()
		if age := n.ConfirmedAge(); age < time.Second {
			t.Errorf("confirmed %v ago although the watch of the routes got no answer for at least %v", age, time.Second)
		}
	})
}

// Guards against 404 responses based on stale routes, and against one read of the store
// for each of several concurrent callers.
func TestConcurrentRefreshesShareOneStoreRead(t *testing.T) {
	inWorld(t, func(w *world) {
		var othersAsk atomic.Bool // other instances call the store in place of this one
		w.adjust = func(o *Options) {
			o.Times = timesOfThree
			o.CallsStore = func(time.Duration) bool { return !othersAsk.Load() }
		}
		n := w.start("a", true)
		time.Sleep(20 * time.Second)
		othersAsk.Store(true)
		n.Refresh()
		time.Sleep(10 * time.Second)
		before := n.link.shortWatchCount() // those of Refresh
		w.put(TableKey, "2")
		var asking sync.WaitGroup
		for range 5 {
			asking.Go(func() {
				if age, source := n.RefreshRoutes(w.t.Context()); age > time.Second || source != fromStore || n.Table().Version != 2 {
					t.Errorf("confirmed %v ago by %q, table version %d", age, source, n.Table().Version)
				}
			})
		}
		asking.Wait()
		if reads := n.link.shortWatchCount() - before; reads != 1 {
			t.Errorf("%d reads for five concurrent callers, want 1", reads)
		}
		time.Sleep(4 * time.Second)
		n.link.cut() // the store throttles the instance
		asked := time.Now()
		for time.Since(asked) < 3*time.Second {
			started := time.Now()
			if age, _ := n.RefreshRoutes(w.t.Context()); age < 4*time.Second || time.Since(started) > refreshTimeout {
				t.Errorf("confirmed %v ago, after a wait of %v", age, time.Since(started))
			}
			time.Sleep(50 * time.Millisecond)
		}
		if reads := n.link.shortWatchCount() - before - 1; reads > 5 {
			t.Errorf("%d reads in 3 s of a store that fails, want at most one every 0.75 s", reads)
		}
	})
}

// Guards against watches that keep waiting on a connection that a probe has found to
// be silent.
func TestAFailedProbeRenewsTheWatches(t *testing.T) {
	inWorld(t, func(w *world) {
		var probing atomic.Bool
		w.adjust = func(o *Options) {
			o.ProbeKey = "instances/a"
			o.Probes = func(time.Duration) bool { return probing.Load() }
		}
		n := w.start("a", true)
		time.Sleep(20 * time.Second)
		n.link.set(func() {
			n.link.get = func(ctx context.Context) error { return waitUnanswered(ctx, time.Hour) }
			n.link.dropChanges = true // for watches that start from now on
		})
		n.Refresh()
		time.Sleep(time.Second)
		n.link.set(func() { n.link.dropChanges = false })
		w.put(TableKey, "2")
		probing.Store(true)
		time.Sleep(3 * time.Second)
		n.mu.Lock()
		losses := n.events[event.RouteStoreSilent]
		n.mu.Unlock()
		if n.Table().Version != 2 || losses != 1 {
			t.Errorf("table version %d, %d reported losses", n.Table().Version, losses)
		}
	})
}
