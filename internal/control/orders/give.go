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

// Results of orders in the metric.
const (
	resultTaken    = "taken"
	resultFailed   = "failed"
	resultOldFence = "old_fence"
)

// give gives one order if the lease still covers it.
func (c *Controller) give(ctx context.Context, s *service, facts Facts, step Step) {
	t, there := c.opts.Board.Targets.Get(step.Engine)
	if !there || t.Leaving || ctx.Err() != nil || c.opts.Clock.Now().Before(s.engines[step.Engine].retryAt) {
		return
	}
	if step.Order.Kind == targetapi.OrderUnload && !c.confirmed(ctx, s, facts, step) {
		c.opts.Metrics.Counter(metricHeldBack).Add(1)
		c.log(event.OrderHeldBack, s, step, nil)
		return
	}
	if takesWeights(step.Order.Kind) && !s.loads.AllowN(c.opts.Clock.Now(), 1) {
		return
	}
	c.send(ctx, s, t, step)
}

func takesWeights(kind string) bool {
	return kind == targetapi.OrderLoad || kind == targetapi.OrderLoadAdapter
}

// send checks the lease and sends the order. Nothing that can take time stands
// between the check and the call; the call's context ends by the boot clock, so
// that an order that was held up by a suspended machine is not sent later.
func (c *Controller) send(ctx context.Context, s *service, t board.Target, step Step) {
	timeout := c.opts.Lease.OrderTimeout()
	callCtx, cancel := loop.WithTimeout(ctx, c.opts.Clock, timeout)
	defer cancel()
	order := step.Order
	order.Giver = c.opts.Self
	state := s.engines[t.ID]
	grant, ok := c.opts.Lease.Check(s.name, timeout, t.ChecksFence && !needsQuiet(order.Kind))
	if !ok {
		c.opts.Metrics.Counter(metricNoLease).Add(1)
		return
	}
	order.Fence = grant.Fence
	now := c.opts.Boot.SinceBoot()
	c.opts.Checker.Check(now < grant.Until, invariant.OneOrderGiver,
		"order to %s of %s with fence %d after the lease's end", t.ID, s.name, grant.Fence)
	callCtx = loop.WithBootDeadline(callCtx, c.opts.Boot, now+timeout)
	err := c.opts.Caller.Order(callCtx, stagecall.Target{ID: t.ID, Address: t.Address}, order)
	state.dirty = true // also after a failure: it may have been carried out
	step.Order = order
	s.noteUnload(step)
	c.record(s, step, err)
}

// needsQuiet reports whether an order has to wait until the orders of the
// order-giver before have run out, also for an engine that checks fences. Two
// unloads of one model version, each given because the other engine still had
// it, would take it away everywhere; and an engine learns of the new fence only
// by the first order that it gets.
func needsQuiet(kind string) bool { return kind == targetapi.OrderUnload }

// Waits after orders that were not taken.
const (
	firstBackoff = 2 * time.Second
	lastBackoff  = time.Minute
)

// backoff is the wait after the order that follows so many failed ones. Without
// it an engine that takes no orders would get one a second for good.
func backoff(failures int) time.Duration {
	return min(lastBackoff, firstBackoff<<min(failures, maxDoublings))
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
		state.retryAt = c.opts.Clock.Now().Add(c.rand.Spread(backoff(state.failures), jitter))
		state.failures++
	}
	c.opts.Metrics.Labelled(metricOrders).Add(step.Order.Kind+"_"+result, 1)
	c.log(id, s, step, err)
}

// confirmed asks another engine whether it has the model version ready before
// an unload of it.
//
// The plan rests on states that are some seconds old. If the other engine died
// or dropped the model meanwhile, the unload would take the last ready one
// away: requests for the model would find no target until a load is done.
func (c *Controller) confirmed(ctx context.Context, s *service, facts Facts, step Step) bool {
	v := ModelVersion{Model: step.Order.Model, Version: step.Order.Version}
	// Orders before this one may have taken long: what is in force now counts.
	_, wanted := inForce(s.name, c.opts.Board.Profiles.Snapshot(), s.plan, c.opts.MinReady)[v]
	if !wanted {
		return true // nobody needs it
	}
	own, _ := s.engines[step.Engine].model(v)
	if !own.Ready {
		return true // it is not ready here: nothing is taken away
	}
	for _, e := range facts.Engines {
		if e.ID != step.Engine && e.readyOn(v) && c.stillReady(ctx, s, e.ID, v) {
			return true
		}
	}
	return false
}

func (c *Controller) stillReady(ctx context.Context, s *service, id string, v ModelVersion) bool {
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
