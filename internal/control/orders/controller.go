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

// Controller sends orders to the engines of the services whose lease this instance
// holds.
type Controller struct {
	opts Options
	rand *loop.Rand

	mu       sync.Mutex // guards services
	services map[string]*service
}

// service is the state of one service while this instance holds its lease. Only
// one goroutine uses it at a time.
type service struct {
	name    string
	memory  *memory
	loads   *rate.Limiter
	plan    lynxapi.ModelPlan
	planned uint64 // version of the plan object read last
	engines map[string]*engineState
	guard   lastReady
}

// engineState is the state of an engine as it last reported it.
type engineState struct {
	report      targetapi.LoadReport
	at          time.Time // when report was read; zero if the last read failed
	lastAttempt time.Time
	dirty       bool // an order was sent since the last read
	// failures is the number of consecutive failed orders; no other order is
	// sent before retryAt.
	failures int
	retryAt  time.Time
}

// New returns a controller.
func New(opts Options) *Controller {
	return &Controller{opts: opts.withDefaults(), rand: loop.NewRand(opts.Rand), services: make(map[string]*service)}
}

// Run plans and sends orders until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	loop.Run(ctx, loop.Options{
		Clock: c.opts.Clock, Rand: c.rand, Period: c.opts.Period, Jitter: jitter,
	}, c.Step)
}

// Step runs one planning round for every service whose lease is held.
func (c *Controller) Step(ctx context.Context) {
	var running sync.WaitGroup
	for _, s := range c.heldServices() {
		running.Go(func() { c.stepService(ctx, s) })
	}
	running.Wait()
}

// heldServices returns the services whose lease is held, and discards the state of
// the others, so that a later lease starts from what the engines report then.
func (c *Controller) heldServices() []*service {
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

// newService returns a service whose rate limiter has no tokens: the previous
// lease holder may just have used up the weight store's rate.
func (c *Controller) newService(name string, services int) *service {
	limiter := rate.NewLimiter(rate.Limit(c.opts.WeightRate/float64(max(1, services))), c.opts.WeightBurst)
	limiter.AllowN(c.opts.Clock.Now(), c.opts.WeightBurst)
	return &service{
		name: name, memory: newMemory(c.opts.Scaling), loads: limiter,
		plan: lynxapi.ModelPlan{Service: name}, engines: make(map[string]*engineState),
	}
}

// stepService reads the state of the engines, plans, and sends the orders.
func (c *Controller) stepService(ctx context.Context, s *service) {
	c.readPlan(s)
	targets := serviceTargets(c.opts.Board, s.name)
	c.readBack(ctx, s, targets)
	engines := c.engines(s, targets)
	c.checkLastReady(s, engines)
	now := c.opts.Clock.Now()
	wanted := inForce(s.name, c.opts.Board.Profiles.Snapshot(), s.plan, c.opts.MinReady)
	if len(wanted) == 0 {
		return // profiles and plan may not be known yet, so nothing is unloaded
	}
	input := s.memory.input(c.opts, now, engines, wanted)
	input.Roles = s.plan.Roles
	input.Loads = int(s.loads.TokensAt(now))
	s.guard.snapshot(input)
	plan := MakePlan(input)
	c.opts.Metrics.Counter(metricUnmet).Set(int64(len(plan.Unmet)))
	c.publish(engines, plan)
	for _, step := range plan.Steps {
		c.execute(ctx, s, input, step)
	}
}

// engines converts the reported states to the planner's input.
func (c *Controller) engines(s *service, targets []board.Target) []Engine {
	now := c.opts.Clock.Now()
	var engines []Engine
	for _, t := range targets {
		state := s.engines[t.ID]
		e := Engine{ID: t.ID, Zone: t.Zone}
		if state != nil && !state.at.IsZero() {
			r := state.report
			e.Models, e.Role, e.Running, e.Queued, e.Slots = r.Models, r.Role, r.Running, r.Queued, r.Slots
			fresh := now.Sub(state.at) <= 2*c.opts.ReadInterval
			e.Refuses = now.Before(state.retryAt)
			e.Usable = fresh && !t.Leaving && !r.Leaving && !c.opts.Board.TargetDrained(t)
		}
		engines = append(engines, e)
	}
	return engines
}

// readBack reads the state of the engines that are due for it, and discards the
// state of engines that are no longer targets of the service.
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

// due reports whether an engine's state is to be read: in every round while orders
// or loads are pending, otherwise once per ReadInterval.
func (c *Controller) due(state *engineState) bool {
	if state.dirty || (Engine{Models: state.report.Models}).loading() {
		return true
	}
	return c.opts.Clock.Now().Sub(state.lastAttempt) >= c.opts.ReadInterval
}

func (c *Controller) readOne(ctx context.Context, t board.Target, state *engineState) {
	state.lastAttempt = c.opts.Clock.Now()
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

// publish writes to the board which models and role each engine should have.
func (c *Controller) publish(engines []Engine, plan Plan) {
	for _, e := range applyPlan(engines, plan) {
		c.opts.Board.Placements.Put(e.ID, board.Placement{Models: e.Models, Role: e.Role})
	}
}

func (c *Controller) log(id event.ID, s *service, step Step, err error) {
	c.opts.Logger.Log(id, "service", s.name, "target", step.Engine, "kind", step.Order.Kind, "model", step.Order.Model,
		"version", step.Order.Version, "adapter", step.Order.Adapter, "role", step.Order.Role, "fence", step.Order.Fence, "error", err)
}
