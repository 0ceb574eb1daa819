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

// The history of a lease: taking it, or passing the check before an order.
type leaseOp struct {
	node string
	take bool
}

// leaseModel is a lease with one holder: a check passes only for the instance
// that took it last.
var leaseModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, _ any) (bool, any) {
		op := input.(leaseOp)
		if op.take {
			return true, op.node
		}
		return state.(string) == op.node, state
	},
	DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
}

// longestWrite bounds when a write whose reply was lost takes effect.
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

// recordedStore is one node's way to the store: it pauses with the node and
// records what the node took.
type recordedStore struct {
	Store
	pause   *virtualtest.Pause
	history *history
	client  int
	node    string
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
		s.history.add(s.client, leaseOp{s.node, true}, call, end)
	case errors.Is(err, store.ErrUnknown):
		s.history.add(s.client, leaseOp{s.node, true}, call, end+longestWrite)
	}
	return object, err
}

// randomNode is a manager under faults.
type randomNode struct {
	*node
	pause *virtualtest.Pause
}

func startRandom(i, n int, s Store, h *history, rng *rand.Rand) *randomNode {
	id := ids(n)[i]
	p := &virtualtest.Pause{}
	drift := 1 + 0.04*(rng.Float64()-0.5)
	began := time.Now()
	b := board.New()
	nd := &node{id: id, board: b, done: make(chan struct{})}
	nd.manager = NewManager(Options{
		Store: &recordedStore{Store: s, pause: p, history: h, client: i, node: id},
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
	return &randomNode{node: nd, pause: p}
}

// seeMembers gives the node a view in which some of the others are missing.
func (n *randomNode) seeMembers(all []string, rng *rand.Rand, missing float64) {
	for _, id := range all {
		state := board.MemberAlive
		if rng.Float64() < missing {
			state = board.MemberDead
		}
		n.board.Members.Put(id, board.Member{ID: id, State: state})
	}
}

// Symptom: two instances give orders to the engines of a service.
// Events: holders are paused for longer than their lease, the store goes away
// and comes back, replies are lost after or before the write takes effect,
// clocks run at different rates and instances disagree on who is alive.
// Cause: any one of them alone would make an instance believe in a lease that
// another one has taken.
func TestOneHolderUnderRandomFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandom(t, seed) })
		})
	}
}

func runRandom(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 99))
	n := 3 + rng.IntN(48)
	s := memstore.New(memstore.Options{Seed: seed})
	h := &history{began: time.Now()}
	var nodes []*randomNode
	for i := range n {
		nodes = append(nodes, startRandom(i, n, s, h, rng))
		nodes[i].seeMembers(ids(n), rng, 0.3)
	}
	held := 0
	orders := &underWay{until: make(map[string]time.Time)}
	for range 1200 { // five minutes
		time.Sleep(250 * time.Millisecond)
		held += sample(nodes, h)
		orders.give(t, nodes)
		disturb(nodes, n, s, rng)
	}
	s.SetFaults(memstore.Faults{})
	for _, nd := range nodes {
		nd.seeMembers(ids(n), rng, 0)
		nd.board.Self.Delete(board.SelfRow)
	}
	time.Sleep(2 * time.Minute)
	if last := sample(nodes, h); last != 1 {
		t.Errorf("seed %d, %d instances: %d holders two minutes after the last fault", seed, n, last)
	}
	if held < 200 {
		t.Errorf("seed %d: the lease was held in only %d of 1200 samples", seed, held)
	}
	for _, nd := range nodes {
		nd.finish()
	}
	if !porcupine.CheckOperations(leaseModel, h.ops) {
		t.Errorf("seed %d, %d instances: the history of %d operations has two holders", seed, n, len(h.ops))
	}
}

// sample records the checks that pass now and returns their number.
func sample(nodes []*randomNode, h *history) int {
	held := 0
	for i, nd := range nodes {
		if _, ok := nd.manager.Check(service, 0, true); ok {
			h.add(i, leaseOp{nd.id, false}, h.now(), h.now()+1)
			held++
		}
	}
	return held
}

// underWay is until when orders of each instance to engines that ignore fences
// may be under way.
type underWay struct {
	until map[string]time.Time
}

// give lets every instance that may give such an order give one. No order of
// another instance may be under way.
func (u *underWay) give(t *testing.T, nodes []*randomNode) {
	for _, nd := range nodes {
		if _, ok := nd.manager.Check(service, nd.manager.OrderTimeout(), false); !ok {
			continue
		}
		for other, until := range u.until {
			if other != nd.id && until.After(time.Now()) {
				t.Errorf("%s may order while an order of %s is under way for %v more", nd.id, other, time.Until(until))
			}
		}
		u.until[nd.id] = time.Now().Add(nd.manager.OrderTimeout())
	}
}

// disturb changes the faults now and then.
func disturb(nodes []*randomNode, n int, s *memstore.Store, rng *rand.Rand) {
	if rng.Float64() < 0.05 {
		f := memstore.Faults{LoseReply: rng.Float64() * 0.8, Jitter: time.Duration(rng.Int64N(int64(4 * time.Second)))}
		f.Outage = rng.Float64() < 0.25
		if rng.Float64() < 0.4 {
			f = memstore.Faults{}
		}
		s.SetFaults(f)
	}
	if rng.Float64() < 0.02 {
		pauseOne(nodes, rng)
	}
	if rng.Float64() < 0.02 { // the holder gives its lease back
		for _, nd := range nodes {
			nd.board.Self.Put(board.SelfRow, board.Self{Draining: nd.manager.Holds(service)})
		}
	}
	if rng.Float64() < 0.02 {
		nodes[rng.IntN(n)].seeMembers(ids(n), rng, rng.Float64())
	}
}

// pauseOne pauses the holder if there is one, else any instance.
func pauseOne(nodes []*randomNode, rng *rand.Rand) {
	chosen := nodes[rng.IntN(len(nodes))]
	for _, nd := range nodes {
		if nd.manager.Holds(service) {
			chosen = nd
		}
	}
	chosen.pause.For(time.Duration(rng.Int64N(int64(40 * time.Second))))
}

// waitFor returns how long it takes until an instance other than the old holder
// may give orders.
func waitFor(nodes []*randomNode, old string, checksFence bool) time.Duration {
	began := time.Now()
	for time.Since(began) < 2*time.Minute {
		for _, nd := range nodes {
			if _, ok := nd.manager.Check(service, nd.manager.OrderTimeout(), checksFence); ok && nd.id != old {
				return time.Since(began)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 2 * time.Minute
}

func TestTakeOverTimes(t *testing.T) {
	for name, end := range map[string]func(*randomNode){
		"died":    func(nd *randomNode) { nd.pause.For(time.Hour) },
		"drained": func(nd *randomNode) { nd.board.Self.Put(board.SelfRow, board.Self{Draining: true}) },
	} {
		var worst [2]time.Duration
		for seed := range uint64(10) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 3))
				h := &history{began: time.Now()}
				s := memstore.New(memstore.Options{Seed: seed})
				var nodes []*randomNode
				for i := range 8 {
					nodes = append(nodes, startRandom(i, 8, s, h, rng))
					nodes[i].seeMembers(ids(8), rng, 0)
				}
				time.Sleep(time.Minute + time.Duration(rng.Int64N(int64(10*time.Second))))
				for _, nd := range nodes {
					if nd.manager.Holds(service) {
						end(nd)
						first := waitFor(nodes, nd.id, true)
						worst[0] = max(worst[0], first)
						worst[1] = max(worst[1], first+waitFor(nodes, nd.id, false))
						break
					}
				}
				for _, nd := range nodes {
					nd.finish()
				}
			})
		}
		t.Logf("holder %s: next one for engines that check fences after %v, for all after %v", name, worst[0], worst[1])
		if worst[0] > 30*time.Second || worst[1] > 40*time.Second || name == "drained" && worst[0] > 10*time.Second {
			t.Errorf("holder %s: next one after %v and %v", name, worst[0], worst[1])
		}
	}
}
