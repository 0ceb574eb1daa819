package lease

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/store"
	"lynxhill.example/lynxhill/internal/store/memstore"
	"lynxhill.example/lynxhill/internal/virtualtest"
)

// leaseOp is an operation in the history of a lease: an acquisition (or renewal),
// or a check before an order that passed.
type leaseOp struct {
	instance string
	acquire  bool
}

// leaseModel is the sequential specification of a lease: a check passes only for
// the instance that acquired the lease last.
var leaseModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, _ any) (bool, any) {
		op := input.(leaseOp)
		if op.acquire {
			return true, op.instance
		}
		return state.(string) == op.instance, state
	},
	DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
}

// longestWrite is the maximum time after which a write whose reply was lost takes
// effect.
const longestWrite = 10 * time.Second

// history records operations.
type history struct {
	mu    sync.Mutex // guards ops
	began time.Time
	ops   []porcupine.Operation
}

func (h *history) add(client int, op leaseOp, call, end time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: op, Call: int64(call), Return: int64(end)})
}

func (h *history) now() time.Duration { return time.Since(h.began) }

// recordedStore is the store as used by one instance. Its calls block while the
// instance is paused, and it records the instance's acquisitions.
type recordedStore struct {
	Store
	pause    *virtualtest.Pause
	history  *history
	client   int
	instance string
}

func (s *recordedStore) Get(ctx context.Context, key string) (store.Object, error) {
	s.pause.Wait()
	object, err := s.Store.Get(ctx, key)
	s.pause.Wait()
	return object, err
}

func (s *recordedStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (store.Object, error) {
	s.pause.Wait()
	call := s.history.now()
	object, err := s.Store.Put(ctx, key, value, ifVersion)
	end := s.history.now()
	s.pause.Wait()
	taken, _ := parse(value, 0, 0)
	switch {
	case taken.Released:
	case err == nil:
		s.history.add(s.client, leaseOp{s.instance, true}, call, end)
	case errors.Is(err, store.ErrUnknown):
		s.history.add(s.client, leaseOp{s.instance, true}, call, end+longestWrite)
	}
	return object, err
}

// faultyInstance is an instance that can be paused.
type faultyInstance struct {
	*testInstance
	pause *virtualtest.Pause
}

func startFaulty(i, n int, s Store, h *history, rng *rand.Rand) *faultyInstance {
	id := ids(n)[i]
	p := &virtualtest.Pause{}
	drift := 1 + 0.04*(rng.Float64()-0.5)
	began := time.Now()
	b := board.New()
	nd := &testInstance{id: id, board: b, done: make(chan struct{})}
	nd.manager = NewManager(Options{
		Store: &recordedStore{Store: s, pause: p, history: h, client: i, instance: id},
		Board: b, Clock: quartz.NewReal(), Self: id, Rand: rand.New(rand.NewPCG(rng.Uint64(), 1)),
		Boot: clock.BootFunc(func() time.Duration {
			return time.Duration(float64(time.Since(began)) * drift)
		}),
		Services: func() []string { return []string{service} },
	})
	ctx, cancel := context.WithCancel(context.Background())
	nd.stop = cancel
	go func() {
		defer close(nd.done)
		nd.manager.Run(ctx)
	}()
	return &faultyInstance{testInstance: nd, pause: p}
}

// seeMembers sets the instance's membership view, in which each instance is dead
// with probability missing.
func (n *faultyInstance) seeMembers(all []string, rng *rand.Rand, missing float64) {
	for _, id := range all {
		state := board.MemberAlive
		if rng.Float64() < missing {
			state = board.MemberDead
		}
		n.board.Members.Put(id, board.Member{ID: id, State: state})
	}
}

// Guards against two instances that give orders to the engines of a service.
// Holders are paused for longer than their lease, the store has outages, replies
// are lost before or after the write takes effect, clocks run at different rates,
// and instances disagree on which of them are alive. Each of these faults alone
// could make an instance rely on a lease that another one has acquired.
func TestOneHolderUnderRandomFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandomFaults(t, seed) })
		})
	}
}

func runRandomFaults(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 99))
	n := 3 + rng.IntN(48)
	s := memstore.New(memstore.Options{Seed: seed})
	h := &history{began: time.Now()}
	var instances []*faultyInstance
	for i := range n {
		instances = append(instances, startFaulty(i, n, s, h, rng))
		instances[i].seeMembers(ids(n), rng, 0.3)
	}
	held := 0
	orders := &outstandingOrders{until: make(map[string]time.Time)}
	for range 1200 { // five minutes
		time.Sleep(250 * time.Millisecond)
		held += sample(instances, h)
		orders.give(t, instances)
		disturb(instances, n, s, rng)
	}
	s.SetFaults(memstore.Faults{})
	for _, nd := range instances {
		nd.seeMembers(ids(n), rng, 0)
		nd.board.Self.Delete(board.SelfRow)
	}
	time.Sleep(2 * time.Minute)
	if last := sample(instances, h); last != 1 {
		t.Errorf("seed %d, %d instances: %d holders two minutes after the last fault", seed, n, last)
	}
	if held < 200 {
		t.Errorf("seed %d: the lease was held in only %d of 1200 samples", seed, held)
	}
	for _, nd := range instances {
		nd.finish()
	}
	if !porcupine.CheckOperations(leaseModel, h.ops) {
		t.Errorf("seed %d, %d instances: the history of %d operations has two holders", seed, n, len(h.ops))
	}
}

// sample records the checks that pass now and returns their number.
func sample(instances []*faultyInstance, h *history) int {
	held := 0
	for i, nd := range instances {
		if _, ok := nd.manager.Check(service, 0, true); ok {
			h.add(i, leaseOp{nd.id, false}, h.now(), h.now()+1)
			held++
		}
	}
	return held
}

// outstandingOrders records, for each instance, until when its orders to engines that
// do not check fencing numbers may be in progress.
type outstandingOrders struct {
	until map[string]time.Time
}

// give makes every instance that may give such an order give one. No order of
// another instance may be in progress.
func (u *outstandingOrders) give(t *testing.T, instances []*faultyInstance) {
	for _, nd := range instances {
		if _, ok := nd.manager.Check(service, nd.manager.OrderTimeout(), false); !ok {
			continue
		}
		for other, until := range u.until {
			if other != nd.id && until.After(time.Now()) {
				t.Errorf("%s may give orders while an order of %s is in progress for another %v", nd.id, other, time.Until(until))
			}
		}
		u.until[nd.id] = time.Now().Add(nd.manager.OrderTimeout())
	}
}

// disturb randomly changes the faults.
func disturb(instances []*faultyInstance, n int, s *memstore.Store, rng *rand.Rand) {
	if rng.Float64() < 0.05 {
		f := memstore.Faults{LoseReply: rng.Float64() * 0.8, Jitter: time.Duration(rng.Int64N(int64(4 * time.Second)))}
		f.Outage = rng.Float64() < 0.25
		if rng.Float64() < 0.4 {
			f = memstore.Faults{}
		}
		s.SetFaults(f)
	}
	if rng.Float64() < 0.02 {
		pauseOne(instances, rng)
	}
	if rng.Float64() < 0.02 { // the holder releases its lease
		for _, nd := range instances {
			nd.board.Self.Put(board.SelfRow, board.Self{Draining: nd.manager.Holds(service)})
		}
	}
	if rng.Float64() < 0.02 {
		instances[rng.IntN(n)].seeMembers(ids(n), rng, rng.Float64())
	}
}

// pauseOne pauses the holder if there is one, otherwise a random instance.
func pauseOne(instances []*faultyInstance, rng *rand.Rand) {
	chosen := instances[rng.IntN(len(instances))]
	for _, nd := range instances {
		if nd.manager.Holds(service) {
			chosen = nd
		}
	}
	chosen.pause.For(time.Duration(rng.Int64N(int64(40 * time.Second))))
}

// waitFor returns the time until an instance other than the old holder may give
// orders, at most two minutes.
func waitFor(instances []*faultyInstance, old string, checksFence bool) time.Duration {
	began := time.Now()
	for time.Since(began) < 2*time.Minute {
		for _, nd := range instances {
			if _, ok := nd.manager.Check(service, nd.manager.OrderTimeout(), checksFence); ok && nd.id != old {
				return time.Since(began)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 2 * time.Minute
}

func TestTakeOverTimes(t *testing.T) {
	for name, end := range map[string]func(*faultyInstance){
		"died":    func(nd *faultyInstance) { nd.pause.For(time.Hour) },
		"drained": func(nd *faultyInstance) { nd.board.Self.Put(board.SelfRow, board.Self{Draining: true}) },
	} {
		var worst [2]time.Duration
		for seed := range uint64(10) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 3))
				h := &history{began: time.Now()}
				s := memstore.New(memstore.Options{Seed: seed})
				var instances []*faultyInstance
				for i := range 8 {
					instances = append(instances, startFaulty(i, 8, s, h, rng))
					instances[i].seeMembers(ids(8), rng, 0)
				}
				time.Sleep(time.Minute + time.Duration(rng.Int64N(int64(10*time.Second))))
				for _, nd := range instances {
					if nd.manager.Holds(service) {
						end(nd)
						first := waitFor(instances, nd.id, true)
						worst[0] = max(worst[0], first)
						worst[1] = max(worst[1], first+waitFor(instances, nd.id, false))
						break
					}
				}
				for _, nd := range instances {
					nd.finish()
				}
			})
		}
		t.Logf("holder %s: next holder for engines that check fences after %v, for all engines after %v", name, worst[0], worst[1])
		if worst[0] > 30*time.Second || worst[1] > 40*time.Second || name == "drained" && worst[0] > 10*time.Second {
			t.Errorf("holder %s: next holder after %v and %v", name, worst[0], worst[1])
		}
	}
}
