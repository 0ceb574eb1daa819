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

// giver is an instance with its lease manager and orders controller.
type giver struct {
	board *board.Board
	lease *lease.Manager
	pause *virtualtest.Pause
}

// trial is one random run.
type trial struct {
	engines   *fakeEngines
	store     *memstore.Store
	givers    []*giver
	broken    *invariant.Collector
	rng       *rand.Rand
	inForceAt map[string]time.Time // when each version came into force on all boards
	wasReady  map[string]bool
	running   sync.WaitGroup
	stop      context.CancelFunc
}

func newTrial(seed uint64, instances int) *trial {
	x := &trial{
		engines: newEngines(6, true), store: memstore.New(memstore.Options{Seed: seed}), broken: &invariant.Collector{},
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
		x.givers = append(x.givers, x.startGiver(ctx, i, instances))
	}
	return x
}

func (x *trial) startGiver(ctx context.Context, i, instances int) *giver {
	g := &giver{board: boardWith(x.engines), pause: &virtualtest.Pause{}}
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
		Clock: quartz.NewReal(), Self: self, WeightRate: 1, Checker: invariant.New(x.broken),
		Rand: rand.New(rand.NewPCG(x.rng.Uint64(), 2)), ReadEvery: 3 * time.Second, KeepAfter: 20 * time.Second,
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
	for _, g := range x.givers {
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

// settled is how long a version has to be in force until orders that were
// under way before have run out.
const settled = 10 * time.Second

// lastReady reports a version in force that was ready and no longer is.
func (x *trial) lastReady(t *testing.T) {
	for v, at := range x.inForceAt {
		if time.Since(at) < settled {
			continue
		}
		ready := x.engines.ready(ModelVersion{"lynx", v}) > 0
		if x.wasReady[v] && !ready {
			t.Errorf("version %s is in force and ready nowhere any more", v)
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
	chosen := x.givers[x.rng.IntN(len(x.givers))]
	for _, g := range x.givers {
		if g.lease.Holds(pool) {
			chosen = g
		}
	}
	chosen.pause.For(time.Duration(x.rng.Int64N(int64(40 * time.Second))))
}

// drainHolder makes the holder give its lease back with orders under way.
func (x *trial) drainHolder() {
	for _, g := range x.givers {
		g.board.Self.Put(board.SelfRow, board.Self{Draining: g.lease.Holds(pool)})
	}
}

// overlaps counts the orders to engines that ignore fences which were sent
// while an order of another giver was under way, or arrived after one that was
// sent later.
func overlaps(all []done) int {
	var unchecked []done
	for _, d := range all {
		if !d.checksFence {
			unchecked = append(unchecked, d)
		}
	}
	slices.SortFunc(unchecked, func(a, b done) int { return a.sent.Compare(b.sent) })
	n := 0
	arrived := make(map[string]time.Time) // latest arrival by giver
	for _, d := range unchecked {
		for giver, at := range arrived {
			if giver != d.order.Giver && at.After(d.sent) {
				n++
			}
		}
		if d.at.After(arrived[d.order.Giver]) {
			arrived[d.order.Giver] = d.at
		}
	}
	return n
}

// fencesFall counts the orders that an engine that checks fences took after
// one with a higher fence, and fences used by two givers.
func fencesFall(all []done) int {
	n := 0
	highest := make(map[string]uint64)
	givers := make(map[uint64]string)
	for _, d := range all {
		if d.checksFence && d.order.Fence < highest[d.engine] {
			n++
		}
		highest[d.engine] = max(highest[d.engine], d.order.Fence)
		if giver, used := givers[d.order.Fence]; used && giver != d.order.Giver {
			n++
		}
		givers[d.order.Fence] = d.order.Giver
	}
	return n
}

// Symptom: engines hold the wrong models, or a model is ready nowhere.
// Events: the order-giver is paused for longer than its lease and wakes in the
// middle of giving orders; the store goes away and loses replies; orders are
// under way for seconds and arrive after the giver stopped waiting; profiles
// change meanwhile. Cause: orders of two givers reached engines in turn.
func TestOneOrderGiverUnderRandomFaults(t *testing.T) {
	orders, givers := 0, 0
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newTrial(seed, 3+int(seed)*5)
				n, g := x.run(t)
				orders, givers = orders+n, givers+g
			})
		})
	}
	if orders < 400 || givers < 25 {
		t.Errorf("only %d orders of %d givers in all: the runs show little", orders, givers)
	}
}

func (x *trial) run(t *testing.T) (orders, givers int) {
	x.inForce("v0", "v1")
	for range 2400 { // ten minutes
		time.Sleep(250 * time.Millisecond)
		x.lastReady(t)
		x.disturb()
	}
	x.store.SetFaults(memstore.Faults{})
	x.inForce("v9")
	for _, g := range x.givers {
		g.board.Self.Delete(board.SelfRow)
	}
	time.Sleep(4 * time.Minute)
	if n := x.engines.ready(ModelVersion{"lynx", "v9"}); n < DefaultMinReady {
		t.Errorf("four minutes after the last fault %d engines have the version in force", n)
	}
	x.stop()
	x.running.Wait()
	all := x.engines.done()
	if n := overlaps(all); n > 0 {
		t.Errorf("%d orders to engines that ignore fences overlap with another giver's", n)
	}
	if n := fencesFall(all); n > 0 {
		t.Errorf("%d orders with an older fence were taken, or one fence by two givers", n)
	}
	if broken := x.broken.Violations(); len(broken) > 0 {
		t.Errorf("%d broken invariants, first: %v", len(broken), broken[0])
	}
	seen := make(map[string]bool)
	for _, d := range all {
		seen[d.order.Giver] = true
	}
	return len(all), len(seen)
}
