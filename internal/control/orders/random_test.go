package orders

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/control/lease"
	"lynxhill.example/lynxhill/internal/invariant"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/store"
	"lynxhill.example/lynxhill/internal/store/memstore"
	"lynxhill.example/lynxhill/internal/virtualtest"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

type pausedStore struct {
	lease.Store
	pause *virtualtest.Pause
}

func (s pausedStore) Get(ctx context.Context, key string) (store.Object, error) {
	s.pause.Wait()
	object, err := s.Store.Get(ctx, key)
	s.pause.Wait()
	return object, err
}

func (s pausedStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (store.Object, error) {
	s.pause.Wait()
	object, err := s.Store.Put(ctx, key, value, ifVersion)
	s.pause.Wait()
	return object, err
}

type pausedCaller struct {
	*fakeEngines
	pause *virtualtest.Pause
}

func (c pausedCaller) Order(ctx context.Context, t stagecall.Target, o targetapi.Order) error {
	c.pause.Wait()
	err := c.fakeEngines.Order(ctx, t, o)
	c.pause.Wait()
	return err
}

func (c pausedCaller) State(ctx context.Context, t stagecall.Target) (targetapi.LoadReport, error) {
	c.pause.Wait()
	report, err := c.fakeEngines.State(ctx, t)
	c.pause.Wait()
	return report, err
}

// instance is a simulated instance with its lease manager and orders controller.
type instance struct {
	board *board.Board
	lease *lease.Manager
	pause *virtualtest.Pause
}

// trial is one randomised run.
type trial struct {
	engines    *fakeEngines
	store      *memstore.Store
	instances  []*instance
	violations *invariant.Collector
	rng        *rand.Rand
	inForceAt  map[string]time.Time // when each version came into force on all boards
	wasReady   map[string]bool
	running    sync.WaitGroup
	stop       context.CancelFunc
}

func newTrial(seed uint64, instances int) *trial {
	x := &trial{
		engines: newEngines(6, true), store: memstore.New(memstore.Options{Seed: seed}), violations: &invariant.Collector{},
		rng: rand.New(rand.NewPCG(seed, 17)), wasReady: make(map[string]bool), inForceAt: make(map[string]time.Time),
	}
	for i := range 3 {
		x.engines.engines[engineID(i)].checksFence = false
	}
	delays := rand.New(rand.NewPCG(seed, 18))
	x.engines.delay = func() time.Duration { return time.Duration(delays.Int64N(int64(3 * time.Second))) }
	ctx, cancel := context.WithCancel(context.Background())
	x.stop = cancel
	for i := range instances {
		x.instances = append(x.instances, x.startInstance(ctx, i, instances))
	}
	return x
}

func (x *trial) startInstance(ctx context.Context, i, instances int) *instance {
	g := &instance{board: boardWith(x.engines), pause: &virtualtest.Pause{}}
	for j := range instances {
		id := fmt.Sprintf("i-%02d", j)
		g.board.Members.Put(id, board.Member{ID: id, State: board.MemberAlive})
	}
	began, drift := time.Now(), 1+0.04*(x.rng.Float64()-0.5)
	boot := clock.BootFunc(func() time.Duration { return time.Duration(float64(time.Since(began)) * drift) })
	self, reached := fmt.Sprintf("i-%02d", i), pausedStore{x.store, g.pause}
	g.lease = lease.NewManager(lease.Options{
		Store: reached, Board: g.board, Clock: quartz.NewReal(), Boot: boot, Self: self,
		Rand: rand.New(rand.NewPCG(x.rng.Uint64(), 1)),
	})
	c := New(Options{
		Caller: pausedCaller{x.engines, g.pause}, Store: reached, Board: g.board, Lease: g.lease, Boot: boot,
		Clock: quartz.NewReal(), Self: self, WeightRate: 1, Checker: invariant.New(x.violations),
		Rand: rand.New(rand.NewPCG(x.rng.Uint64(), 2)), ReadInterval: 3 * time.Second, UnloadDelay: 20 * time.Second,
	})
	x.running.Go(func() { g.lease.Run(ctx) })
	x.running.Go(func() { c.Run(ctx) })
	return g
}

// inForce puts the versions in force on all boards.
func (x *trial) inForce(versions ...string) {
	var providers []profile.Provider
	for _, v := range versions {
		providers = append(providers, provider(v, ""))
	}
	for _, g := range x.instances {
		g.board.Profiles.Put("report", profileOf("report", providers...))
	}
	for v := range x.inForceAt {
		if !slices.Contains(versions, v) {
			delete(x.inForceAt, v)
			delete(x.wasReady, v)
		}
	}
	for _, v := range versions {
		if x.inForceAt[v].IsZero() {
			x.inForceAt[v] = time.Now()
		}
	}
}

// settleTime is how long a version must be in force until orders that were in
// transit before have expired.
const settleTime = 10 * time.Second

// checkLastReady fails the test if a version in force was ready and no longer is.
func (x *trial) checkLastReady(t *testing.T) {
	for v, at := range x.inForceAt {
		if time.Since(at) < settleTime {
			continue
		}
		ready := x.engines.ready(ModelVersion{"lynx", v}) > 0
		if x.wasReady[v] && !ready {
			t.Errorf("version %s is in force and no longer ready on any engine", v)
		}
		x.wasReady[v] = ready
	}
}

func (x *trial) disturb() {
	switch p := x.rng.Float64(); {
	case p < 0.01:
		x.store.SetFaults(memstore.Faults{LoseReply: x.rng.Float64() * 0.7, Jitter: time.Duration(x.rng.Int64N(int64(3 * time.Second)))})
	case p < 0.012:
		x.store.SetFaults(memstore.Faults{Outage: true})
	case p < 0.022:
		x.store.SetFaults(memstore.Faults{})
	case p < 0.028:
		x.pauseHolder()
	case p < 0.034:
		x.drainHolder()
	case p < 0.046:
		version := x.rng.IntN(4)
		x.inForce(fmt.Sprint("v", version), fmt.Sprint("v", version+1))
	}
}

func (x *trial) pauseHolder() {
	chosen := x.instances[x.rng.IntN(len(x.instances))]
	for _, g := range x.instances {
		if g.lease.Holds(pool) {
			chosen = g
		}
	}
	chosen.pause.For(time.Duration(x.rng.Int64N(int64(40 * time.Second))))
}

// drainHolder makes the holder release its lease while orders are in transit.
func (x *trial) drainHolder() {
	for _, g := range x.instances {
		g.board.Self.Put(board.SelfRow, board.Self{Draining: g.lease.Holds(pool)})
	}
}

// overlaps returns the number of orders to engines that ignore fencing tokens which
// were sent while an earlier order of another sender was in transit. This includes
// all cases in which an order arrives after one of another sender that was sent
// later.
func overlaps(all []executedOrder) int {
	var unchecked []executedOrder
	for _, d := range all {
		if !d.checksFence {
			unchecked = append(unchecked, d)
		}
	}
	slices.SortFunc(unchecked, func(a, b executedOrder) int { return a.sent.Compare(b.sent) })
	n := 0
	arrived := make(map[string]time.Time) // latest arrival by sender
	for _, d := range unchecked {
		for sender, at := range arrived {
			if sender != d.order.Giver && at.After(d.sent) {
				n++
			}
		}
		if d.at.After(arrived[d.order.Giver]) {
			arrived[d.order.Giver] = d.at
		}
	}
	return n
}

// staleFences returns the number of orders that an engine which checks fencing
// tokens accepted after one with a higher token, plus the number of orders whose
// token was used before by another sender.
func staleFences(all []executedOrder) int {
	n := 0
	highest := make(map[string]uint64)
	senders := make(map[uint64]string)
	for _, d := range all {
		if d.checksFence && d.order.Fence < highest[d.engine] {
			n++
		}
		highest[d.engine] = max(highest[d.engine], d.order.Fence)
		if sender, used := senders[d.order.Fence]; used && sender != d.order.Giver {
			n++
		}
		senders[d.order.Fence] = d.order.Giver
	}
	return n
}

// Guards against engines with the wrong models, or a model that is ready on no
// engine, because orders of two senders reach engines alternately. The lease holder
// is paused for longer than its lease and resumes while sending orders, the store
// has outages and loses replies, orders are in transit for seconds and arrive after
// the sender stopped waiting, and profiles change in the meantime.
func TestOneOrderGiverUnderRandomFaults(t *testing.T) {
	orders, senders := 0, 0
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newTrial(seed, 3+int(seed)*5)
				n, s := x.run(t)
				orders, senders = orders+n, senders+s
			})
		})
	}
	if orders < 400 || senders < 25 {
		t.Errorf("only %d orders of %d senders in total: too few for the test to be meaningful", orders, senders)
	}
}

func (x *trial) run(t *testing.T) (orders, senders int) {
	x.inForce("v0", "v1")
	for range 2400 { // ten minutes
		time.Sleep(250 * time.Millisecond)
		x.checkLastReady(t)
		x.disturb()
	}
	x.store.SetFaults(memstore.Faults{})
	x.inForce("v9")
	for _, g := range x.instances {
		g.board.Self.Delete(board.SelfRow)
	}
	time.Sleep(4 * time.Minute)
	if n := x.engines.ready(ModelVersion{"lynx", "v9"}); n < DefaultMinReady {
		t.Errorf("four minutes after the last fault only %d engines have the version in force ready", n)
	}
	x.stop()
	x.running.Wait()
	all := x.engines.executed()
	if n := overlaps(all); n > 0 {
		t.Errorf("%d orders to engines that ignore fencing tokens overlap with another sender's", n)
	}
	if n := staleFences(all); n > 0 {
		t.Errorf("%d orders with an older fencing token were accepted or had a token used by two senders", n)
	}
	if broken := x.violations.Violations(); len(broken) > 0 {
		t.Errorf("%d violated invariants, first: %v", len(broken), broken[0])
	}
	seen := make(map[string]bool)
	for _, d := range all {
		seen[d.order.Giver] = true
	}
	return len(all), len(seen)
}
