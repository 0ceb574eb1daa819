package forwarding

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/exchange"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
	"lynxhill.example/lynxhill/internal/slotqueue"
)

const (
	// maxGrantsPassedOver bounds how many grants one attempt rejects because this instance
	// must not send the request to the target now.
	maxGrantsPassedOver = 4
	// maxSuspectGrants bounds how many of them are rejected because the target runs another
	// suspected request.
	maxSuspectGrants = 2
)

// SlotQueue acquires slots of plain targets; slotqueue.Client implements Acquire.
type SlotQueue interface {
	// Enabled reports whether requests of the service need a slot.
	Enabled(service string) bool
	// Acquire waits for a slot. A slot without a target leaves the choice to the caller. The
	// error is that of ctx.
	Acquire(ctx context.Context, r slotqueue.Request) (*slotqueue.Slot, *slotqueue.Refusal, error)
}

// noTarget says why there is no target for the next attempt.
type noTarget struct {
	err        error // nil = the caller has left, or its time has passed
	retryAfter time.Duration
	// afterRefusals: the caller gets this reason also if targets have refused the request
	// before, without running it.
	afterRefusals bool
}

// nextTarget returns the target for the next attempt and a function that reports its end
// to the crash guard. If the service has a slot queue, it acquires a slot first.
func (fl *flight) nextTarget(ctx context.Context, acquired *slotUses) (fleet.Target, func(), *noTarget) {
	if fl.o.Slots == nil || !fl.o.Slots.Enabled(fl.service) {
		acquired.add(nil)
		target, endSuspect, ok := fl.chooseTarget(fl.o.Loads.Choose)
		if !ok {
			return target, nil, fl.noTarget()
		}
		return target, endSuspect, nil
	}
	began := fl.o.Clock.Now()
	defer func() { fl.placementWait += fl.o.Clock.Now().Sub(began) }()
	return fl.acquireTarget(ctx, acquired)
}

func (fl *flight) noTarget() *noTarget {
	return &noTarget{err: errkind.New(errkind.NoTarget, "service %s", fl.service), retryAfter: fl.retryAfterPause()}
}

// acquireTarget acquires a slot at a target to which this instance may send the request.
// What the coordinator does not know - this instance's share of rate limits, pauses, the
// isolation of suspected requests - is checked when the slot has been granted; a slot that
// can't be used is released.
func (fl *flight) acquireTarget(ctx context.Context, acquired *slotUses) (fleet.Target, func(), *noTarget) {
	var passedOver []string
	for len(passedOver) < maxGrantsPassedOver {
		request, ok := fl.slotRequest(passedOver)
		if !ok {
			break
		}
		slot, refusal, err := fl.o.Slots.Acquire(ctx, request)
		if slot != nil {
			fl.dispatcher, fl.slotID = slot.Coordinator(), slot.ID()
		}
		if err != nil || refusal != nil {
			return fleet.Target{}, nil, fl.slotRefused(refusal)
		}
		if !fl.trial && fl.refusedByGuard() { // since it was admitted; it has waited
			slot.Release(slotqueue.Unknown, 0, nil)
			return fleet.Target{}, nil, fl.guardRefusal()
		}
		if fl.o.Reachable != nil && !fl.o.Reachable() {
			slot.Release(slotqueue.Unknown, 0, nil)
			return fleet.Target{}, nil, &noTarget{err: errkind.New(errkind.NoTarget, "no target can be reached"), retryAfter: unreachableRetryAfter, afterRefusals: true}
		}
		if slot.Target() == "" {
			return fl.chooseForSlot(slot, acquired)
		}
		target, endSuspect, ok := fl.takeGrant(slot, len(passedOver))
		if ok {
			acquired.add(slot)
			return target, endSuspect, nil
		}
		slot.Release(slotqueue.Unknown, 0, nil)
		passedOver = append(passedOver, slot.Target())
	}
	return fleet.Target{}, nil, fl.noTarget()
}

// slotRequest returns the request for a slot; ok is false if this instance must not send
// the request to any target now.
func (fl *flight) slotRequest(passedOver []string) (r slotqueue.Request, ok bool) {
	excluded, limited := slices.Concat(fl.triedTargets, passedOver), 0
	targets := fl.o.Targets().Ready(fl.service)
	for _, t := range targets {
		if !fl.mayRunAt(t) || fl.limited(t) {
			excluded = append(excluded, t.ID)
			limited++
		} else if fl.o.Loads.InBackoff(t) {
			excluded = append(excluded, t.ID)
		}
	}
	if limited == len(targets) {
		return r, false
	}
	if fl.suspectedAs() != "" {
		excluded = append(excluded, fl.excludedTargets()...)
	}
	r = slotqueue.Request{
		Service: fl.service, Shard: fl.shards.pick(fl.o.Targets(), fl.service, fl.randFloat()),
		Organisation: fl.organisation(), Route: fl.Route.Name, Zone: fl.o.Zone, Priority: route.CombinedPriority(fl.priority(), fl.Route.Priority),
		Deadline: fl.firstResponseDeadline().Add(-responseMargin),
		Excluded: excluded, CallerKey: fl.identity().exact, BodyBytes: int64(len(fl.Request.Body)),
	}
	r.OnTimeUntil = r.Deadline
	if fl.Route.LatencyObjective > 0 {
		r.OnTimeUntil = fl.Arrived.Add(fl.Route.LatencyObjective)
	}
	return r, true
}

// slotRefused returns the reason for a request that gets no slot: the coordinator refuses
// it, or its time has passed.
func (fl *flight) slotRefused(r *slotqueue.Refusal) *noTarget {
	if r == nil {
		return &noTarget{}
	}
	n := &noTarget{retryAfter: r.RetryAfter, afterRefusals: true}
	kind := errkind.DeadlineUnreachable
	switch r.Reason {
	case slotqueue.ReasonNoTarget:
		kind = errkind.NoTarget
	case slotqueue.ReasonTooLarge:
		kind, n.retryAfter = errkind.TooLarge, -1
	}
	n.err = errkind.New(kind, "service %s: %s", fl.service, r.Reason)
	return n
}

// guardRefusal returns the reason for a request that the crash guard refuses by now.
func (fl *flight) guardRefusal() *noTarget {
	return &noTarget{
		err:        errkind.New(errkind.RefusedAfterCrashes, "targets crashed while running such requests"),
		retryAfter: fl.o.CrashGuard.RetryAfter(fl.guardKeys()...), afterRefusals: true,
	}
}

// takeGrant begins the use of the granted slot; ok is false if this instance must not send
// the request to the target now. passedOver is the number of grants rejected before.
func (fl *flight) takeGrant(slot *slotqueue.Slot, passedOver int) (target fleet.Target, endSuspect func(), ok bool) {
	view := fl.o.Targets()
	target, listed := view.Get(slot.Target())
	if !listed || target.Service != fl.service || !view.Usable(target.ID) || !fl.mayRunAt(target) {
		return target, nil, false
	}
	suspected := fl.suspectedAs()
	if suspected != "" {
		fl.suspectMu.Lock()
		defer fl.suspectMu.Unlock()
		if passedOver < maxSuspectGrants && slices.Contains(fl.excludedTargets(), target.ID) {
			return target, nil, false
		}
	}
	if slot.Use() != nil || !fl.take(target.ID) {
		return target, nil, false
	}
	fl.o.Loads.Begin(target)
	return target, fl.o.CrashGuard.Begin(suspected, target.Run()), true
}

// chooseForSlot chooses the target for a slot that names none.
func (fl *flight) chooseForSlot(slot *slotqueue.Slot, acquired *slotUses) (fleet.Target, func(), *noTarget) {
	target, endSuspect, ok := fl.chooseTarget(fl.o.Loads.ChooseOfTwo)
	if !ok {
		return target, nil, fl.noTarget()
	}
	slot.Chosen(target.ID, fl.shards.of(fl.o.Targets(), target))
	acquired.add(slot)
	return target, endSuspect, nil
}

// slotUses are the slots of one request, those of earlier attempts first.
type slotUses []*slotUse

// add adds the slot of the next attempt; nil = it has none.
func (u *slotUses) add(slot *slotqueue.Slot) { *u = append(*u, &slotUse{slot: slot}) }

// current returns the slot of the attempt that begins.
func (u slotUses) current() *slotUse { return u[len(u)-1] }

// end releases the slots that are still held.
func (u *slotUses) end() {
	for _, use := range *u {
		use.end()
	}
}

// slotUse is the use of a slot by one attempt.
type slotUse struct {
	slot    *slotqueue.Slot // nil = the attempt has none
	outcome slotqueue.Outcome
	took    time.Duration
	load    *relay.Load
}

// slotOutcomes maps the outcome of an attempt to what the coordinator is told.
var slotOutcomes = map[Outcome]slotqueue.Outcome{
	Answered: slotqueue.Answered, ServerError: slotqueue.ServerError, NoResponse: slotqueue.NoResponse,
	Abandoned: slotqueue.Unknown, Refused: slotqueue.Refused,
}

// record sets what the release will state.
func (u *slotUse) record(outcome Outcome, took time.Duration, a *attemptResult) {
	u.outcome, u.took, u.load = slotOutcomes[outcome], took, a.head.Load
	if outcome == NoResponse && !shownByTarget(a.err) {
		u.outcome = slotqueue.Unknown
	}
}

// shownByTarget reports whether the target itself shows that it failed: it refuses
// connections, or broke one off. The coordinator keeps such a target from the requests of
// all instances. What only shows that nothing arrived here in time may be the fault of
// this instance or of its way to the target, and keeps it from this instance's requests
// (Loads.InBackoff): otherwise one instance that is cut off from the targets would take
// them from all others.
func shownByTarget(err error) bool {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return true
	}
	return wasSent(err) && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, exchange.ErrUnacknowledged)
}

// end releases the slot. Further calls have no effect.
func (u *slotUse) end() {
	if u.slot != nil {
		u.slot.Release(u.outcome, u.took, u.load)
	}
}
