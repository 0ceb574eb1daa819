package discovery

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/gossip"
	"lynxhill.example/lynxhill/internal/store"
	"lynxhill.example/lynxhill/internal/store/memstore"
	"lynxhill.example/lynxhill/internal/wire/platformapi"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

const lag = 5 * time.Second

func engine(id, state string) store.Instance {
	return store.Instance{ID: id, Service: "lynx-pool", Kind: "generate", Address: id + ":1", Zone: "lac-a", State: state}
}

func start(s *memstore.Store, b *board.Board, self string) (*Controller, func()) {
	c := New(Options{
		Store: s, Board: b, Clock: quartz.NewReal(), Rand: rand.New(rand.NewPCG(3, 4)),
		Self: self, Zone: "lac-a",
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.Run(ctx)
	}()
	return c, func() {
		cancel()
		<-ended
	}
}

// withTargets runs a test in virtual time in which the controller of instance
// i-0 has read a list with the given live targets.
func withTargets(t *testing.T, ids []string, body func(t *testing.T, s *memstore.Store, b *board.Board, c *Controller)) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{})
		for _, id := range ids {
			s.SetInstance(engine(id, platformapi.StateLive))
		}
		b := board.New()
		c, stop := start(s, b, "i-0")
		defer stop()
		time.Sleep(5 * time.Second)
		body(t, s, b, c)
	})
}

func leaving(b *board.Board, id string) bool {
	t, _ := b.Targets.Get(id)
	return t.Leaving
}

// report puts a load report of the target on the board every second, with the
// leaving flag that says returns, until stop is called.
func report(b *board.Board, id string, says func() bool) (stop func()) {
	done := make(chan struct{})
	go func() {
		for seq := uint64(1); ; seq++ {
			now := time.Now()
			b.Loads.Put(id, board.Load{At: now, Received: now, Report: targetapi.LoadReport{Target: id, Seq: seq, Leaving: says()}})
			select {
			case <-done:
				return
			case <-time.After(time.Second):
			}
		}
	}()
	return func() { close(done) }
}

// Guards against sending work to a target that has said it is leaving. The target
// rejects work because it is leaving; the list lags, still shows it as live, and
// is read after the rejection. The old live entry must not count as newer.
func TestLaggingListDoesNotBringBackALeavingTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{InstanceLag: lag})
		s.SetInstance(engine("t-1", platformapi.StateLive))
		time.Sleep(2 * lag)
		b := board.New()
		c, stop := start(s, b, "i-0")
		defer stop()
		time.Sleep(time.Second)
		stopReports := report(b, "t-1", func() bool { return false }) // its reports lag, too
		defer stopReports()
		c.Refused("t-1")
		for range 20 {
			if !leaving(b, "t-1") {
				t.Fatal("a live entry within the list's lag cleared the mark")
			}
			time.Sleep(time.Second)
		}
		time.Sleep(time.Minute)
		if leaving(b, "t-1") {
			t.Fatal("list and reports say live long after the mark, and it is still there")
		}
	})
}

func TestEverySignMarks(t *testing.T) {
	signs := map[string]func(*memstore.Store, *board.Board, *Controller){
		"list": func(s *memstore.Store, _ *board.Board, _ *Controller) {
			s.SetInstance(engine("t-1", platformapi.StateLeaving))
		},
		"refusal": func(_ *memstore.Store, _ *board.Board, c *Controller) { c.Refused("t-1") },
		"report": func(_ *memstore.Store, b *board.Board, _ *Controller) {
			b.Loads.Put("t-1", board.Load{At: time.Now(), Report: targetapi.LoadReport{Seq: 9, Leaving: true}})
		},
		"peer": func(_ *memstore.Store, _ *board.Board, c *Controller) {
			c.Absorb(gossip.Digest{Loads: []gossip.Load{{Target: "t-1", Leaving: true}}})
		},
	}
	for name, sign := range signs {
		t.Run(name, func(t *testing.T) {
			withTargets(t, []string{"t-1"}, func(t *testing.T, s *memstore.Store, b *board.Board, c *Controller) {
				time.Sleep(time.Minute)
				if leaving(b, "t-1") {
					t.Fatal("marked before the sign")
				}
				sign(s, b, c)
				time.Sleep(3 * time.Second)
				if !leaving(b, "t-1") {
					t.Fatal("not marked 3 s after the sign")
				}
			})
		})
	}
}

// Guards against all work stopping although every target is healthy, when the
// platform comes back from an outage with an empty list.
func TestEmptyListKeepsTargetsThatAnswer(t *testing.T) {
	withTargets(t, []string{"t-1", "t-2"}, func(t *testing.T, s *memstore.Store, b *board.Board, _ *Controller) {
		defer report(b, "t-1", func() bool { return false })()
		s.RemoveInstance("t-1")
		s.RemoveInstance("t-2")
		time.Sleep(20 * time.Minute)
		if _, there := b.Targets.Get("t-1"); !there {
			t.Error("a target that answers was forgotten")
		}
		if _, there := b.Targets.Get("t-2"); there {
			t.Error("a target that does not answer was kept")
		}
	})
}

// Guards against sending work again and again to a leaving target. The target
// reports that it is leaving, while the platform does not know and goes on listing
// it as live. The list alone must not clear the mark.
func TestListAloneDoesNotClear(t *testing.T) {
	withTargets(t, []string{"t-1"}, func(t *testing.T, _ *memstore.Store, b *board.Board, _ *Controller) {
		defer report(b, "t-1", func() bool { return true })()
		time.Sleep(2 * time.Second)
		for range 1200 {
			time.Sleep(100 * time.Millisecond)
			if !leaving(b, "t-1") {
				t.Fatal("cleared while the target says that it is leaving")
			}
		}
	})
}

// Guards against a target that is live again being excluded once more. The mark is
// cleared; a delayed digest, or a peer that has not yet seen the target come back,
// then delivers the old mark, which must not count as a new sign.
func TestOldMarkOfPeerIsIgnoredAfterReturn(t *testing.T) {
	withTargets(t, []string{"t-1"}, func(t *testing.T, _ *memstore.Store, b *board.Board, c *Controller) {
		defer report(b, "t-1", func() bool { return false })()
		c.Refused("t-1")
		given := time.Now()
		time.Sleep(time.Minute)
		if leaving(b, "t-1") {
			t.Fatal("not cleared a minute after the mark")
		}
		c.Absorb(gossip.Digest{Loads: []gossip.Load{{Target: "t-1", Leaving: true, Age: time.Since(given)}}})
		if leaving(b, "t-1") {
			t.Error("the old mark counts again")
		}
		c.Absorb(gossip.Digest{Loads: []gossip.Load{{Target: "t-1", Leaving: true, Age: time.Second}}})
		if !leaving(b, "t-1") {
			t.Error("a new mark does not count")
		}
	})
}

// peerPull is a Puller that answers from another controller.
type peerPull struct{ from *Controller }

func (p peerPull) Pull(_ context.Context, _, prefix string, after uint64) ([]store.Object, uint64, bool, error) {
	if prefix != PullPrefix {
		return nil, 0, false, store.ErrNotFound
	}
	objects, mark, more := p.from.TargetsSince(after)
	return objects, mark, more, nil
}

// Guards against an instance refusing every request for lack of targets. It starts
// while the platform is unavailable, and its peers know 2000 targets.
func TestTargetsComeFromPeersWhilePlatformIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{})
		s.SetFaults(memstore.Faults{Outage: true})
		neighbour := New(Options{Board: board.New(), Clock: quartz.NewReal()})
		var list []store.Instance
		for i := range 2000 {
			list = append(list, engine(fmt.Sprintf("t-%04d", i), platformapi.StateLive))
		}
		neighbour.Merge(list, time.Now())
		neighbour.Refused("t-0007")
		b := board.New()
		b.Members.Put("i-1", board.Member{ID: "i-1", State: board.MemberAlive})
		c := New(Options{
			Store: s, Board: b, Clock: quartz.NewReal(), Self: "i-0", Zone: "lac-a", Peers: peerPull{neighbour},
		})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			c.Run(ctx)
		}()
		time.Sleep(time.Minute)
		if n := b.Targets.Len(); n != 2000 {
			t.Errorf("%d targets after a minute, want 2000", n)
		}
		if got, _ := b.Targets.Get("t-0042"); got.Address != "t-0042:1" || got.Service != "lynx-pool" || got.Leaving {
			t.Errorf("target as learned: %+v", got)
		}
		if !leaving(b, "t-0007") {
			t.Error("a leaving target was learned as live")
		}
		cancel()
		<-ended
	})
}
