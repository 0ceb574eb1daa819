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

// testInstance is a manager with a boot clock that can be advanced to simulate a
// suspension of the host.
type testInstance struct {
	id        string
	board     *board.Board
	manager   *Manager
	suspended atomic.Int64 // nanoseconds that only the boot clock counts
	stop      context.CancelFunc
	done      chan struct{}
}

func startInstance(id string, ids []string, s Store, seed uint64) *testInstance {
	n := &testInstance{id: id, board: board.New(), done: make(chan struct{})}
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

func (n *testInstance) finish() {
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

func holders(instances []*testInstance, checksFence bool) []string {
	var all []string
	for _, n := range instances {
		if _, ok := n.manager.Check(service, time.Second, checksFence); ok {
			all = append(all, n.id)
		}
	}
	return all
}

func TestReleasedLeaseIsAcquiredByAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{Seed: 1})
		var instances []*testInstance
		for i, id := range ids(5) {
			instances = append(instances, startInstance(id, ids(5), s, uint64(i)))
		}
		time.Sleep(time.Minute)
		first := holders(instances, false)
		if len(first) != 1 {
			t.Fatalf("holders after a minute: %v", first)
		}
		for _, n := range instances {
			if n.id == first[0] {
				n.finish()
			}
		}
		time.Sleep(20 * time.Second)
		second := holders(instances, false)
		if len(second) != 1 || second[0] == first[0] {
			t.Fatalf("holders after %s stopped: %v", first[0], second)
		}
		for _, n := range instances {
			n.finish()
		}
	})
}

// Guards against an instance that gives orders although another one holds the
// lease. The holder's host is suspended for longer than the lease, and another
// instance acquires it. The timers of the first instance did not run during the
// suspension, so after resuming only its boot clock shows that the lease has
// expired.
func TestSuspendedHolderFailsCheckAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startInstance("i-00", ids(1), memstore.New(memstore.Options{Seed: 1}), 1)
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

// Guards against a service without orders although the store works. Every reply to
// a write is lost after the write has taken effect; without reading the object
// back, the instance would not recognise its own lease and would repeatedly wait
// for it to expire.
func TestLostRepliesAreReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{Seed: 1})
		s.SetFaults(memstore.Faults{LoseReply: 1})
		n := startInstance("i-00", ids(1), s, 1)
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
