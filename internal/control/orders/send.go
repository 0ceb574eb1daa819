package orders

import (
	"context"
	"errors"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/invariant"
	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// Results of orders in metricOrders.
const (
	resultTaken    = "taken"
	resultFailed   = "failed"
	resultOldFence = "old_fence"
)

// execute sends the order of one step, unless the engine is gone or backing off,
// the order is an unload without confirmation from another engine, or the rate
// limit of the weight store or the lease does not allow it.
func (c *Controller) execute(ctx context.Context, s *service, input PlanInput, step Step) {
	t, there := c.opts.Board.Targets.Get(step.Engine)
	if !there || t.Leaving || ctx.Err() != nil || c.opts.Clock.Now().Before(s.engines[step.Engine].retryAt) {
		return
	}
	if step.Order.Kind == targetapi.OrderUnload && !c.confirmed(ctx, s, input, step) {
		c.opts.Metrics.Counter(metricHeldBack).Add(1)
		c.log(event.OrderHeldBack, s, step, nil)
		return
	}
	if loadsWeights(step.Order.Kind) && !s.loads.AllowN(c.opts.Clock.Now(), 1) {
		return
	}
	c.send(ctx, s, t, step)
}

func loadsWeights(kind string) bool {
	return kind == targetapi.OrderLoad || kind == targetapi.OrderLoadAdapter
}

// send checks the lease and sends the order. Nothing that can take time happens
// between the check and the call. The call's deadline is measured by the boot
// clock, so that an order delayed by a suspension of the process or host is not
// sent afterwards.
func (c *Controller) send(ctx context.Context, s *service, t board.Target, step Step) {
	timeout := c.opts.Lease.OrderTimeout()
	callCtx, cancel := loop.WithTimeout(ctx, c.opts.Clock, timeout)
	defer cancel()
	order := step.Order
	order.Giver = c.opts.Self
	state := s.engines[t.ID]
	grant, ok := c.opts.Lease.Check(s.name, timeout, t.ChecksFence && !waitsForOldOrders(order.Kind))
	if !ok {
		c.opts.Metrics.Counter(metricNoLease).Add(1)
		return
	}
	order.Fence = grant.Fence
	now := c.opts.Boot.SinceBoot()
	c.opts.Checker.Check(now < grant.Until, invariant.OrdersUnderLease,
		"order to %s of %s with fence %d after the lease's end", t.ID, s.name, grant.Fence)
	callCtx = loop.WithBootDeadline(callCtx, c.opts.Boot, now+timeout)
	err := c.opts.Caller.Order(callCtx, stagecall.Target{ID: t.ID, Address: t.Address}, order)
	state.dirty = true // also after a failure, since the order may have been carried out
	step.Order = order
	s.recordUnload(step)
	c.record(s, step, err)
}

// waitsForOldOrders reports whether an order must wait until the orders of the
// previous lease holder have expired, even for an engine that checks fencing
// tokens. Two unloads of one model version, each sent because the other engine
// still had it, would remove it everywhere, and an engine learns of the new
// fencing token only by the first order with it.
func waitsForOldOrders(kind string) bool { return kind == targetapi.OrderUnload }

// Bounds of the backoff after failed orders.
const (
	initialBackoff = 2 * time.Second
	maxBackoff     = time.Minute
)

// backoff returns the delay after a failed order that follows the given number of
// consecutive failures. Without it, an engine that rejects all orders would be sent
// one per second indefinitely.
func backoff(failures int) time.Duration {
	return min(maxBackoff, initialBackoff<<min(failures, maxDoublings))
}

const maxDoublings = 5

func (c *Controller) record(s *service, step Step, err error) {
	result, id := resultTaken, event.OrderGiven
	state := s.engines[step.Engine]
	var failure *stagecall.Failure
	switch {
	case err == nil:
		state.failures = 0
	case errors.As(err, &failure) && failure.Code == targetapi.CodeOldFence:
		result, id = resultOldFence, event.OrderOldFence
	default:
		result, id = resultFailed, event.OrderFailed
		state.retryAt = c.opts.Clock.Now().Add(c.rand.Jitter(backoff(state.failures), jitter))
		state.failures++
	}
	c.opts.Metrics.Labelled(metricOrders).Add(step.Order.Kind+"_"+result, 1)
	c.log(id, s, step, err)
}

// confirmed reports whether the unload of a model version may be sent. If the
// version is in force and ready on the engine, it reads the state of other engines
// until one confirms that it has the version ready.
//
// The plan is based on states that are some seconds old. If the other engine died
// or unloaded the model in the meantime, the unload would remove the last ready
// one: requests for the model would find no target until a load has finished.
func (c *Controller) confirmed(ctx context.Context, s *service, input PlanInput, step Step) bool {
	v := ModelVersion{Model: step.Order.Model, Version: step.Order.Version}
	// Earlier orders may have taken long, so the versions in force are read again.
	_, wanted := inForce(s.name, c.opts.Board.Profiles.Snapshot(), s.plan, c.opts.MinReady)[v]
	if !wanted {
		return true // it is no longer in force
	}
	own, _ := s.engines[step.Engine].model(v)
	if !own.Ready {
		return true // the engine is not ready for it, so no ready engine is lost
	}
	for _, e := range input.Engines {
		if e.ID != step.Engine && e.readyOn(v) && c.confirmReady(ctx, s, e.ID, v) {
			return true
		}
	}
	return false
}

func (c *Controller) confirmReady(ctx context.Context, s *service, id string, v ModelVersion) bool {
	t, there := c.opts.Board.Targets.Get(id)
	if !there || t.Leaving {
		return false
	}
	state := s.engines[id]
	c.readOne(ctx, t, state)
	m, found := state.model(v)
	return !state.at.IsZero() && !state.report.Leaving && found && m.Ready
}

func (s *engineState) model(v ModelVersion) (targetapi.LoadedModel, bool) {
	return Engine{Models: s.report.Models}.model(v)
}
