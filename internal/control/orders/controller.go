package orders

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

var (
	metricOrders   = metrics.Define("orders_given_total", "orders", "Orders given to engines, by kind and result.")
	metricHeldBack = metrics.Define("orders_held_back_total", "orders", "Unloads held back because no other engine confirmed the model.")
	metricNoLease  = metrics.Define("orders_without_lease_total", "orders", "Orders not given because the lease did not cover them.")
	metricUnmet    = metrics.Define("plan_unmet", "model versions", "Model versions below their minimum for which no engine has room.")
)

const jitter = 0.2

// Controller gives orders for the services whose lease this instance holds.
type Controller struct {
	opts Options
	rand *loop.Rand

	mu       sync.Mutex // guards services
	services map[string]*service
}

// service is the state of one service while this instance gives its orders.
// Only one goroutine at a time uses it.
type service struct {
	name    string
	memory  *memory
	loads   *rate.Limiter
	plan    lynxapi.ModelPlan
	planned uint64 // version of the plan object
	engines map[string]*engineState
	guard   lastReady
}

// engineState is an engine's state as read back.
type engineState struct {
	report targetapi.LoadReport
	at     time.Time // 0 if it could not be read
	tried  time.Time
	dirty  bool // an order was given since
	// failures counts the orders in a row that were not taken; no other is
	// given before retryAt.
	failures int
	retryAt  time.Time
}

// New returns a controller.
func New(opts Options) *Controller {
	return &Controller{opts: opts.withDefaults(), rand: loop.NewRand(opts.Rand), services: make(map[string]*service)}
}

// Run plans and gives orders until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	loop.Run(ctx, loop.Options{
		Clock: c.opts.Clock, Rand: c.rand, Period: c.opts.Period, Jitter: jitter,
	}, c.Step)
}

// Step does one round for every service whose lease is held.
func (c *Controller) Step(ctx context.Context) {
	var running sync.WaitGroup
	for _, s := range c.mine() {
		running.Go(func() { c.stepService(ctx, s) })
	}
	running.Wait()
}

// mine returns the services whose lease is held, and forgets the others, so
// that a later lease starts from what the engines then report.
func (c *Controller) mine() []*service {
	c.mu.Lock()
	defer c.mu.Unlock()
	var held []*service
	leases := c.opts.Board.Leases.Snapshot()
	for name, l := range leases {
		if !l.Mine {
			continue
		}
		if c.services[name] == nil {
			c.services[name] = c.newService(name, len(leases))
		}
		held = append(held, c.services[name])
	}
	for name := range c.services {
		if !leases[name].Mine {
			delete(c.services, name)
		}
	}
	return held
}

// newService starts with no loads to spare: the order-giver before may just
// have used the weight store's rate up.
func (c *Controller) newService(name string, services int) *service {
	limiter := rate.NewLimiter(rate.Limit(c.opts.WeightRate/float64(max(1, services))), c.opts.WeightBurst)
	limiter.AllowN(c.opts.Clock.Now(), c.opts.WeightBurst)
	return &service{
		name: name, memory: newMemory(c.opts.Scaling), loads: limiter,
		plan: lynxapi.ModelPlan{Service: name}, engines: make(map[string]*engineState),
	}
}

// stepService reads the engines back, plans, and gives the orders.
func (c *Controller) stepService(ctx context.Context, s *service) {
	c.readPlan(s)
	targets := serviceTargets(c.opts.Board, s.name)
	c.readBack(ctx, s, targets)
	engines := c.engines(s, targets)
	c.checkLastReady(s, engines)
	now := c.opts.Clock.Now()
	wanted := inForce(s.name, c.opts.Board.Profiles.Snapshot(), s.plan, c.opts.MinReady)
	if len(wanted) == 0 {
		return // nothing is known to be wanted: not the same as nothing wanted
	}
	facts := s.memory.facts(c.opts, now, engines, wanted)
	facts.Roles = s.plan.Roles
	facts.Loads = int(s.loads.TokensAt(now))
	s.guard.remember(facts)
	plan := Make(facts)
	c.opts.Metrics.Counter(metricUnmet).Set(int64(len(plan.Unmet)))
	c.publish(engines, plan)
	for _, step := range plan.Steps {
		c.give(ctx, s, facts, step)
	}
}

// engines turns the read-back states into the planner's facts.
func (c *Controller) engines(s *service, targets []board.Target) []Engine {
	now := c.opts.Clock.Now()
	var engines []Engine
	for _, t := range targets {
		state := s.engines[t.ID]
		e := Engine{ID: t.ID, Place: t.Place}
		if state != nil && !state.at.IsZero() {
			r := state.report
			e.Models, e.Role, e.Running, e.Queued, e.Slots = r.Models, r.Role, r.Running, r.Queued, r.Slots
			fresh := now.Sub(state.at) <= 2*c.opts.ReadEvery
			e.Refuses = now.Before(state.retryAt)
			e.Usable = fresh && !t.Leaving && !r.Leaving && !c.opts.Board.TargetDrained(t)
		}
		engines = append(engines, e)
	}
	return engines
}

// readBack reads the state of engines that are due.
func (c *Controller) readBack(ctx context.Context, s *service, targets []board.Target) {
	listed := make(map[string]bool)
	for _, t := range targets {
		listed[t.ID] = true
		state := s.engines[t.ID]
		if state == nil {
			state = &engineState{}
			s.engines[t.ID] = state
		}
	}
	for id := range s.engines {
		if !listed[id] {
			delete(s.engines, id)
		}
	}
	var reading sync.WaitGroup
	for _, t := range targets {
		state := s.engines[t.ID]
		if c.due(state) {
			reading.Go(func() { c.readOne(ctx, t, state) })
		}
	}
	reading.Wait()
}

// due is true for engines with pending orders or loads, and for the others
// every ReadEvery.
func (c *Controller) due(state *engineState) bool {
	if state.dirty || (Engine{Models: state.report.Models}).changing() {
		return true
	}
	return c.opts.Clock.Now().Sub(state.tried) >= c.opts.ReadEvery
}

func (c *Controller) readOne(ctx context.Context, t board.Target, state *engineState) {
	state.tried = c.opts.Clock.Now()
	report, err := c.state(ctx, t)
	if err != nil {
		state.at = time.Time{}
		return
	}
	state.report, state.at, state.dirty = report, c.opts.Clock.Now(), false
}

func (c *Controller) state(ctx context.Context, t board.Target) (targetapi.LoadReport, error) {
	callCtx, cancel := loop.WithTimeout(ctx, c.opts.Clock, c.opts.CallTimeout)
	defer cancel()
	return c.opts.Caller.State(callCtx, stagecall.Target{ID: t.ID, Address: t.Address})
}

// publish writes what each engine should hold to the board.
func (c *Controller) publish(engines []Engine, plan Plan) {
	for _, e := range after(engines, plan) {
		c.opts.Board.Placements.Put(e.ID, board.Placement{Models: e.Models, Role: e.Role})
	}
}

func (c *Controller) log(id event.ID, s *service, step Step, err error) {
	c.opts.Logger.Log(id, "service", s.name, "target", step.Engine, "kind", step.Order.Kind, "model", step.Order.Model,
		"version", step.Order.Version, "adapter", step.Order.Adapter, "role", step.Order.Role, "fence", step.Order.Fence, "error", err)
}
