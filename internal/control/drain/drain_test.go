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
		Self: fmt.Sprintf("i-%d", i), Place: "lac-a",
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
