package drain

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/gossip"
	"lynxhill.example/lynxhill/internal/store/memstore"
)

type node struct {
	board *board.Board
	drain *Controller
	stop  context.CancelFunc
	done  chan struct{}
}

func start(i, n int, s Store) *node {
	b := board.New()
	for j := range n {
		id := fmt.Sprintf("i-%d", j)
		b.Members.Put(id, board.Member{ID: id, State: board.MemberAlive, Place: "lac-a"})
	}
	ctx, cancel := context.WithCancel(context.Background())
	node := &node{board: b, stop: cancel, done: make(chan struct{}), drain: New(Options{
		Store: s, Board: b, Clock: quartz.NewReal(), Rand: rand.New(rand.NewPCG(uint64(i), 1)),
		Self: fmt.Sprintf("i-%d", i), Place: "lac-a", KeepCleared: time.Hour,
	})}
	go func() {
		defer close(node.done)
		node.drain.Run(ctx)
	}()
	return node
}

func (n *node) finish() {
	n.stop()
	<-n.done
}

func (n *node) draining() bool {
	self, _ := n.board.Self.Get(board.SelfRow)
	return self.Draining
}

// Symptom: a drained instance takes callers again after its restart.
// Events: an operator drains it; its process is replaced while the platform
// is up. Cause: the order was kept only in memory.
func TestDrainOutlastsRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{})
		n := start(0, 1, s)
		if err := n.drain.Drain(t.Context(), "instance/i-0", "amal"); err != nil {
			t.Fatal(err)
		}
		if !n.draining() {
			t.Fatal("not draining directly after the order")
		}
		n.finish()
		n = start(0, 1, s)
		defer func() { n.finish() }()
		time.Sleep(time.Second)
		if !n.draining() {
			t.Fatal("not draining after the restart")
		}
		if err := n.drain.Undrain(t.Context(), "instance/i-0"); err != nil {
			t.Fatal(err)
		}
		if n.draining() {
			t.Fatal("still draining after the drain was taken back")
		}
	})
}

func TestSubjectIsChecked(t *testing.T) {
	c := New(Options{Store: memstore.New(memstore.Options{}), Board: board.New(), Clock: quartz.NewReal()})
	for _, subject := range []string{"", "instance/", "i-0", "rack/1", "place/a/b"} {
		if err := c.Drain(t.Context(), subject, "amal"); !errkind.Is(err, errkind.BadRequest) {
			t.Errorf("subject %q: error %v, want bad_request", subject, err)
		}
	}
}

// gossipAll hands every instance's digest to every other once a second.
func gossipAll(nodes []*node, budget int) (stop func()) {
	done := make(chan struct{})
	go func() {
		for {
			for i, from := range nodes {
				for j, to := range nodes {
					if i != j {
						var d gossip.Digest
						from.drain.Fill(&d, "", budget)
						to.drain.Absorb(d)
					}
				}
			}
			select {
			case <-done:
				return
			case <-time.After(time.Second):
			}
		}
	}()
	return func() { close(done) }
}

// Symptom: callers are sent to a place that was drained minutes ago, or not to
// one whose drain was taken back.
// Events: only two of eight instances read the drains often; a drain is
// ordered and taken back; the store goes away in between.
// Cause: the others did not hear, or believed an older word of a peer.
func TestOrdersReachAllByGossip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{})
		var nodes []*node
		for i := range 8 {
			nodes = append(nodes, start(i, 8, s))
			defer nodes[i].finish()
		}
		defer gossipAll(nodes, 64)()
		time.Sleep(10 * time.Second)
		expect := func(want bool, when string) {
			t.Helper()
			time.Sleep(8 * time.Second)
			for i, n := range nodes {
				if n.draining() != want {
					t.Errorf("%s: instance %d draining %v, want %v", when, i, n.draining(), want)
				}
			}
		}
		if err := nodes[3].drain.Drain(t.Context(), "place/lac-a", "amal"); err != nil {
			t.Fatal(err)
		}
		expect(true, "after the order")
		s.SetFaults(memstore.Faults{Outage: true})
		time.Sleep(time.Hour)
		expect(true, "after an hour without the store")
		if err := nodes[3].drain.Undrain(t.Context(), "place/lac-a"); !errkind.Is(err, errkind.StoreUnavailable) {
			t.Fatalf("taking back without the store: %v", err)
		}
		s.SetFaults(memstore.Faults{LoseReply: 1})
		if err := nodes[3].drain.Undrain(t.Context(), "place/lac-a"); err != nil {
			t.Fatalf("taking back with lost replies: %v", err)
		}
		expect(false, "after the drain was taken back")
		time.Sleep(2 * time.Hour)
		if objects, _, _ := s.List(t.Context(), KeyPrefix); len(objects) != 0 {
			t.Errorf("%d cleared objects are left after two hours", len(objects))
		}
		expect(false, "two hours later")
	})
}
