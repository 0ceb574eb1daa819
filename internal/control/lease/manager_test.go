package lease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/store/memstore"
)

const service = "lynx-pool"

// node is one instance of the test: a manager with a boot clock that a
// suspension moves on.
type node struct {
	id        string
	board     *board.Board
	manager   *Manager
	suspended atomic.Int64 // nanoseconds that only the boot clock counts
	stop      context.CancelFunc
	done      chan struct{}
}

func startNode(id string, ids []string, s Store, seed uint64) *node {
	n := &node{id: id, board: board.New(), done: make(chan struct{})}
	for _, other := range ids {
		n.board.Members.Put(other, board.Member{ID: other, State: board.MemberAlive})
	}
	began := time.Now()
	n.manager = NewManager(Options{
		Store: s, Board: n.board, Clock: quartz.NewReal(), Self: id,
		Boot: clock.BootFunc(func() time.Duration {
			return time.Since(began) + time.Duration(n.suspended.Load())
		}),
		Rand:     rand.New(rand.NewPCG(seed, 1)),
		Services: func() []string { return []string{service} },
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() {
		defer close(n.done)
		n.manager.Run(ctx)
	}()
	return n
}

func (n *node) finish() {
	n.stop()
	<-n.done
}

func ids(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("i-%02d", i)
	}
	return all
}

func holders(nodes []*node, checksFence bool) []string {
	var all []string
	for _, n := range nodes {
		if _, ok := n.manager.Check(service, time.Second, checksFence); ok {
			all = append(all, n.id)
		}
	}
	return all
}

func TestOneHolderAndHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{Seed: 1})
		var nodes []*node
		for i, id := range ids(5) {
			nodes = append(nodes, startNode(id, ids(5), s, uint64(i)))
		}
		time.Sleep(time.Minute)
		first := holders(nodes, false)
		if len(first) != 1 {
			t.Fatalf("holders after a minute: %v", first)
		}
		for _, n := range nodes {
			if n.id == first[0] {
				n.finish()
			}
		}
		time.Sleep(20 * time.Second)
		second := holders(nodes, false)
		if len(second) != 1 || second[0] == first[0] {
			t.Fatalf("holders after %s stopped: %v", first[0], second)
		}
		for _, n := range nodes {
			n.finish()
		}
	})
}

// Symptom: an instance gives orders although another one holds the lease.
// Events: the holder's machine is suspended for longer than its lease; another
// instance takes the lease; the first one wakes and goes on where it was.
// Cause: its own timers did not run meanwhile, so only the boot clock tells.
func TestSuspendedHolderFailsCheckAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startNode("i-00", ids(1), memstore.New(memstore.Options{Seed: 1}), 1)
		defer n.finish()
		time.Sleep(time.Minute)
		if !n.manager.Holds(service) {
			t.Fatal("the only instance does not hold the lease")
		}
		n.suspended.Add(int64(time.Minute))
		if n.manager.Holds(service) {
			t.Fatal("still holds the lease after a suspension longer than it")
		}
	})
}

// Symptom: nobody gives orders although the store works.
// Events: every reply to a write is lost after the write took effect.
// Cause: the instance that holds the lease does not know it, and waits its own
// lease out again and again.
func TestLostRepliesAreReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{Seed: 1})
		s.SetFaults(memstore.Faults{LoseReply: 1})
		n := startNode("i-00", ids(1), s, 1)
		defer n.finish()
		time.Sleep(5 * time.Second)
		for range 120 {
			if !n.manager.Holds(service) {
				t.Fatal("the lease is not held although every write took effect")
			}
			time.Sleep(time.Second)
		}
	})
}

func TestServicesWithModelsHaveLeases(t *testing.T) {
	b := board.New()
	b.Targets.Put("a", board.Target{ID: "a", Service: "lynx-pool", Kind: profile.KindGenerate})
	b.Targets.Put("b", board.Target{ID: "b", Service: "encoders", Kind: profile.KindEncode})
	b.Targets.Put("c", board.Target{ID: "c", Service: "booking", Kind: profile.KindService})
	stage := profile.Stage{Providers: []profile.Provider{{Service: "encoders", Model: "curve"}, {Service: "booking"}, {Service: "gone", Model: "x"}}}
	b.Profiles.Put("p", profile.Versioned{Profile: profile.Profile{Stages: []profile.Stage{stage}}})
	if got := fmt.Sprint(engineServices(b)); got != "[encoders lynx-pool]" {
		t.Errorf("services %s", got)
	}
}
