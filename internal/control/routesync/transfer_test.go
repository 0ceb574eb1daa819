package routesync

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/store"
	"lynxhill.example/lynxhill/internal/store/memstore"
)

// slowPeers delays each page that is pulled, and fails when told.
type slowPeers struct {
	*world
	delay time.Duration
	mu    sync.Mutex // guards the fields below
	pages int
	fail  func(instance string, page int) bool
}

func (p *slowPeers) Pull(ctx context.Context, instance, prefix string, after uint64) ([]store.Object, uint64, bool, error) {
	if prefix == TargetsPrefix {
		p.mu.Lock()
		p.pages++
		failed := p.fail != nil && p.fail(instance, p.pages)
		p.mu.Unlock()
		if err := waitUnanswered(ctx, p.delay); failed || ctx.Err() != nil {
			return nil, 0, false, fmt.Errorf("instance %s: %w", instance, err)
		}
	}
	return p.world.Pull(ctx, instance, prefix, after)
}

// withTargets adds n targets to those that the world begins with.
func (w *world) withTargets(n int) {
	for i := range n {
		w.put(fmt.Sprintf("targets/t%05d", i), fmt.Sprintf("1:%d", i+10))
	}
}

// Guards against a pull that never ends: all pages together took longer than the timeout, and
// the next pull began with the first page again. 10,000 and 20,000 targets, 60 ms a page.
func TestPullsOfManyTargetsEnd(t *testing.T) {
	for _, n := range []int{10000, 20000} {
		inWorld(t, func(w *world) {
			w.withTargets(n)
			peers := &slowPeers{world: w, delay: 60 * time.Millisecond}
			w.adjust = func(o *Options) { o.Puller = peers }
			w.start("a", true)
			b := w.start("b", false)
			began := time.Now()
			for !b.Synced() && time.Since(began) < 30*time.Second {
				w.sendDigest("a", "b")
				time.Sleep(500 * time.Millisecond)
			}
			t.Logf("%d targets: %d known after %v, %d pages", n, b.Targets().Len(), time.Since(began), peers.pages)
			if most := (n+2)/maxPageObjects + 2; b.Targets().Len() != n+2 || peers.pages > most {
				t.Errorf("%d targets: %d known, %d pages asked for, want %d at most", n, b.Targets().Len(), peers.pages, most)
			}
		})
	}
}

// Guards against a pull that begins anew, or that misses what changed, when its source dies
// in the middle and targets are changed, added and deleted during the transfer.
func TestPullContinuesWithAnotherSource(t *testing.T) {
	inWorld(t, func(w *world) {
		const n = 5000
		w.withTargets(n)
		peers := &slowPeers{world: w, delay: 50 * time.Millisecond}
		peers.fail = func(instance string, page int) bool { return instance == "a" && page > 8 }
		w.adjust = func(o *Options) { o.Puller = peers }
		w.start("a", true)
		c := w.start("c", true)
		b := w.start("b", false)
		w.sendDigest("a", "b")
		time.Sleep(200 * time.Millisecond)
		w.remove("targets/t00010") // already pulled
		w.remove("targets/t04990") // not yet
		w.put("targets/t00020", "-1:30")
		time.Sleep(800 * time.Millisecond)
		if b.Synced() {
			t.Fatal("synced although the source died")
		}
		w.put("targets/new", "1:9")
		for range 6 {
			w.sendDigest("c", "b")
			time.Sleep(time.Second)
		}
		if got, want := describe(b.Targets()), describe(c.Targets()); !b.Synced() || got != want {
			t.Errorf("synced %v, %d targets, want %d as the source has them", b.Synced(), b.Targets().Len(), c.Targets().Len())
		}
		if most := n/maxPageObjects + 6; peers.pages > most {
			t.Errorf("%d pages asked for, want %d at most", peers.pages, most)
		}
	})
}

// Guards against a source that serves every puller at once, and none of them in time.
func TestTransfersAtOneSourceAreBounded(t *testing.T) {
	inWorld(t, func(w *world) {
		w.withTargets(1000)
		w.adjust = func(o *Options) { o.MaxTransfers = 2 }
		a := w.start("a", true)
		accepted := func(instance string, after uint64) bool {
			_, _, _, err := a.Serve(instance, TargetsPrefix, after)
			return err == nil
		}
		_, mark, _, _ := a.Serve("p1", TargetsPrefix, 0)
		if !accepted("p2", 0) || accepted("p3", 0) || !accepted("p1", mark) {
			t.Error("want two transfers at once, and those continued")
		}
		if !accepted("p3", a.Targets().Revision) {
			t.Error("a pull of one page is refused")
		}
		time.Sleep(transferIdle + time.Millisecond)
		if !accepted("p3", 0) {
			t.Error("refused although the other transfers have ended")
		}
	})
}

// Guards against a list that begins anew after each failed page, and so never ends while
// every tenth call fails.
func TestListContinuesAfterAFailedPage(t *testing.T) {
	inWorld(t, func(w *world) {
		w.store = memstore.New(memstore.Options{Seed: 1, PageObjects: 50})
		w.put(TableKey, "1")
		w.withTargets(2000)
		w.store.SetFaults(memstore.Faults{Throttle: 0.1})
		a := w.start("a", true)
		time.Sleep(20 * time.Second)
		if !a.Synced() || a.Targets().Len() != 2000 {
			t.Errorf("synced %v, %d of 2000 targets", a.Synced(), a.Targets().Len())
		}
		if a.link.calls > 100 {
			t.Errorf("%d calls for 41 pages", a.link.calls)
		}
	})
}

// Guards against instances that all read a long list when they start together: those that are
// not to read it whole wait for a peer after the first page.
func TestLongListIsLeftToPeers(t *testing.T) {
	inWorld(t, func(w *world) {
		w.store = memstore.New(memstore.Options{Seed: 1, PageObjects: 50})
		w.put(TableKey, "1")
		w.withTargets(2000)
		w.start("a", true)
		w.adjust = func(o *Options) { o.ListsWhole = func() bool { return false } }
		b := w.start("b", true)
		time.Sleep(time.Second)
		if b.Synced() || b.link.calls > 3 {
			t.Errorf("before a digest: synced %v, %d calls", b.Synced(), b.link.calls)
		}
		w.sendDigest("a", "b")
		time.Sleep(time.Second)
		if !b.Synced() || b.Targets().Len() != 2000 {
			t.Errorf("after a digest: synced %v, %d targets", b.Synced(), b.Targets().Len())
		}
		w.put("targets/late", "1:8")
		w.wantEvents(b, event.RouteStoreLost, 0)
		synctest.Wait()
		if _, known := b.Targets().Get("late"); !known {
			t.Error("the watch from the peer's version misses a change")
		}
	})
}

// Guards against an instance that keeps deleted targets for good after the store's history
// was lost: a long list was broken off after its first page since targets were known.
func TestLongListAfterLostHistoryIsReadWhole(t *testing.T) {
	inWorld(t, func(w *world) {
		w.store = memstore.New(memstore.Options{Seed: 1, PageObjects: 50})
		w.put(TableKey, "1")
		w.withTargets(300)
		a := w.start("a", true)
		a.link.set(func() { a.link.dropChanges = true })
		time.Sleep(20 * time.Second)
		w.remove("targets/t00200")
		if a.Targets().Len() != 300 {
			t.Fatalf("%d targets", a.Targets().Len())
		}
		w.store.Compact()
		a.link.set(func() { a.link.dropChanges = false })
		a.Refresh()
		time.Sleep(10 * time.Second)
		if _, known := a.Targets().Get("t00200"); known || a.Targets().Len() != 299 {
			t.Errorf("%d targets, the deleted one known: %v", a.Targets().Len(), known)
		}
	})
}

// BenchmarkPage serves a page to a peer that pulls all targets.
func BenchmarkPage(b *testing.B) {
	for _, n := range []int{300, 3000, 10000, 20000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := New(Options{Decoder: testDecoder{}, Clock: quartz.NewReal(), Boot: clock.BootFunc(func() time.Duration { return 0 })})
			var objects []store.Object
			for i := range n {
				objects = append(objects, store.Object{Key: fmt.Sprintf("%st%05d", TargetsPrefix, i), Version: uint64(n - i), Value: []byte("1:1@z")})
			}
			m.targets.known = true
			for _, object := range objects {
				m.targets.set(object.Key, entry{object: object})
			}
			b.ReportAllocs()
			for b.Loop() {
				m.Since(TargetsPrefix, uint64(n/2))
			}
		})
	}
}
