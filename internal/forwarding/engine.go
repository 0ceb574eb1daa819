package forwarding

import (
	"context"
	"errors"
	"net/http"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/exchange"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/stagework"
)

// engineFlight is the state of one request in flight for a model engine.
type engineFlight struct {
	*flight
	assignment        stagework.Assignment
	stream            stream
	brokenEngines     []string              // ids of engines whose stream broke off
	lostDispatchers   int                   // number of dispatchers that were lost
	skippedPlacements int                   // number of placements rejected because the engine takes no work from here
	passedOver        int                   // number of placements rejected because the engine runs another suspected request
	earlierResults    []stagework.ResultRef // stage results of the previous dispatcher
}

// maxLostDispatchers bounds how many dispatchers may be lost during one request.
const maxLostDispatchers = 3

// serveEngine forwards a request to a service of model engines: the dispatcher
// has the request's stages run and places the request on an engine, to which it
// is then sent.
func (fl *flight) serveEngine(ctx context.Context) {
	ef := &engineFlight{flight: fl}
	ef.stream = newStream(fl)
	defer ef.endAssignment()
	for {
		decision, err := ef.decide(ctx)
		if errors.Is(err, errRefusedByGuard) {
			ef.failAfterCrashes(ctx)
			return
		}
		if err != nil {
			ef.failStream(ctx, err)
			return
		}
		if decision.Refusal != nil {
			ef.refused(ctx, decision.Refusal)
			return
		}
		if ef.attempt(ctx, decision.Placement) {
			return
		}
	}
}

// endAssignment ends the assignment at the dispatcher.
func (ef *engineFlight) endAssignment() {
	if ef.assignment != nil {
		ef.assignment.End()
		ef.assignment = nil
	}
}

// moveAssignment ends the assignment at a lost dispatcher and keeps its stage results
// for the next one.
func (ef *engineFlight) moveAssignment() {
	ef.earlierResults = ef.assignment.Results()
	ef.assignment.Transferred()
	ef.assignment = nil
}

// decide waits for the dispatcher's next decision. If the dispatcher is lost, the
// job is submitted to another one.
func (ef *engineFlight) decide(ctx context.Context) (stagework.Decision, error) {
	began := ef.o.Clock.Now()
	defer func() { ef.placementWait += ef.o.Clock.Now().Sub(began) }()
	for {
		refusals := ef.o.CrashGuard.RefusalsChanged()
		if !ef.trial && ef.refusedByGuard() { // since it was admitted; it has waited
			return stagework.Decision{}, errRefusedByGuard
		}
		if ef.assignment == nil {
			a, refusal, err := ef.o.Scheduler.Submit(ctx, ef.job())
			if err != nil {
				return stagework.Decision{}, err
			}
			if refusal != nil {
				ef.dispatcher = refusal.Dispatcher
				return stagework.Decision{Refusal: refusal}, nil
			}
			ef.assignment = a
			ef.dispatcher = a.Dispatcher()
		}
		select {
		case <-refusals:
		case d := <-ef.assignment.Decisions():
			switch {
			case d.LostDispatcher != "":
				ef.o.Scheduler.MarkLost(d.LostDispatcher)
			case d.NextDispatcher != "":
				ef.o.Scheduler.MarkReachable(d.NextDispatcher)
			case !ef.trial && ef.refusedByGuard():
				return d, errRefusedByGuard
			default:
				return d, nil
			}
			ef.moveAssignment()
			if ef.lostDispatchers++; ef.lostDispatchers > maxLostDispatchers {
				return d, errNoTarget
			}
		case <-ctx.Done():
			return stagework.Decision{}, ctx.Err()
		}
	}
}

// attempt sends the request to the engine of the placement. It returns true if
// the request is finished, false if the dispatcher has to choose another engine.
func (ef *engineFlight) attempt(ctx context.Context, p stagework.Placement) bool {
	target, listed := ef.o.Targets().Get(p.Target)
	if !listed || target.Draining || !ef.mayRunAt(target) {
		return ef.skipped(ctx)
	}
	target.Address, target.Service = p.Address, ef.service
	endSuspect, ok := ef.beginAttempt(target)
	if !ok {
		ef.assignment.Rejected(false, false)
		return false
	}
	defer endSuspect()
	if !ef.take(p.Target) {
		return ef.skipped(ctx)
	}
	sending, headForwarded, cancel := ef.untilHead(ctx)
	defer cancel()
	resp, head, err := ef.send(sending, ef.call(target, p.Inputs, ef.stream.resumeAt()))
	switch {
	case errors.Is(err, exchange.ErrTargetLeft):
		return ef.skipped(ctx)
	case err != nil && !wasSent(err):
		return ef.failed(ctx, target, false, err)
	case err != nil:
		ef.suspectCrash(target, err)
		return ef.failed(ctx, target, true, err)
	case head.NotRun:
		ef.endAttempt(resp.Status, endRefused, nil)
		_ = drain(resp.Body)
		gone := resp.Status == http.StatusConflict || resp.Status == http.StatusBadRequest
		return ef.rejected(ctx, target, gone, errFaulty)
	case resp.Status/100 == 2 && !head.Signed:
		ef.endAttempt(resp.Status, endUnsigned, nil)
		_ = resp.Body.Close()
		return ef.failed(ctx, target, true, errUnsigned)
	case resp.Status/100 != 2:
		return ef.failedResponse(ctx, target, resp, head)
	}
	if !headForwarded() {
		ef.endAttempt(resp.Status, endGivenUp, ctx.Err())
		_ = resp.Body.Close()
		return ef.failed(ctx, target, true, ctx.Err())
	}
	ef.mayHaveRun = true
	ef.assignment.AnswerStarted(head.Load)
	ef.logResumed(target)
	err = ef.stream.forward(sending, resp, target)
	if err == nil {
		ef.endAttempt(resp.Status, endAnswered, nil)
		ef.recordSuccess()
		return true
	}
	ef.endAttempt(resp.Status, endOfBody(err), err)
	if errors.Is(err, errCallerLeft) {
		ef.outcome = "caller left"
		panic(http.ErrAbortHandler)
	}
	return ef.broke(ctx, target, err)
}

// maxSkips bounds how often one request rejects a placement because the engine
// takes no work from this instance.
const maxSkips = 5

// skipped asks the dispatcher for another engine because this instance can't use
// the one that was chosen: the engine is leaving or gone and the dispatcher does
// not know that yet, this instance does not know the engine yet, the engine has
// paused this instance, or this instance has used up its share of the engine's
// rate limit.
func (ef *engineFlight) skipped(ctx context.Context) bool {
	if ef.skippedPlacements++; ef.skippedPlacements > maxSkips {
		ef.failStream(ctx, errNoTarget)
		return true
	}
	ef.assignment.Rejected(false, false)
	return false
}

// rejected asks the dispatcher for another engine after one that did not run the
// request. gone reports that inputs no longer existed.
func (ef *engineFlight) rejected(ctx context.Context, target fleet.Target, gone bool, err error) bool {
	if ctx.Err() != nil || ef.attempts >= maxTotalAttempts || !ef.mayRetry(false) {
		ef.failStream(ctx, err)
		return true
	}
	ef.assignment.Rejected(gone, false)
	return false
}

// failed asks the dispatcher for another engine after one that returned no usable
// response, if the request may be retried.
func (ef *engineFlight) failed(ctx context.Context, target fleet.Target, ran bool, err error) bool {
	ef.mayHaveRun = ef.mayHaveRun || ran
	if ctx.Err() != nil || ef.attempts >= maxTotalAttempts || !ef.mayRetry(ran) {
		if ctx.Err() == nil {
			ef.assignment.EngineFailed()
		}
		ef.failStream(ctx, err)
		return true
	}
	ef.assignment.Rejected(false, true)
	return false
}

// failedResponse handles an error response of the engine.
func (ef *engineFlight) failedResponse(ctx context.Context, target fleet.Target, resp *exchange.Response, head relay.ResponseHead) bool {
	a := &attemptResult{target: target, resp: resp, head: head}
	ef.readResponse(a)
	if ef.stream.begun() && a.err == nil {
		ef.endAttempt(resp.Status, endFailed, nil)
	}
	ef.endPlain(a)
	if impliesNotRun(resp.Status) && !ef.Route.Repeatable() {
		a.err = errFaulty
	}
	if ef.stream.begun() || a.err != nil || resp.Status >= http.StatusInternalServerError && ef.Route.Repeatable() && ef.attempts < ef.maxAttempts() {
		a.release()
		return ef.failed(ctx, target, true, errFaulty)
	}
	ef.assignment.EngineFailed()
	ef.deliver(ctx, a)
	return true
}

// broke handles a stream that broke off: it is resumed at another engine if the
// route allows that.
func (ef *engineFlight) broke(ctx context.Context, target fleet.Target, err error) bool {
	ef.assignment.EngineFailed()
	ef.logStreamBroken(target, err)
	ef.brokenEngines = append(ef.brokenEngines, target.ID)
	if ef.base.Err() == nil {
		ef.suspectCrash(target, err)
	}
	if ctx.Err() != nil || !ef.Route.Resumable || !ef.mayResume(ctx) {
		ef.failStream(ctx, err)
		return true
	}
	// The stage results were released when the response began, so a new job has
	// to compute them again.
	ef.endAssignment()
	ef.earlierResults = nil
	return false
}

// refused ends a request that the dispatcher refused.
func (ef *engineFlight) refused(ctx context.Context, r *stagework.Refusal) {
	if r.Reserved && ef.assignment != nil {
		ef.o.Scheduler.KeepReservation(ef.job(), ef.assignment.Dispatcher(), r)
	}
	if ef.mayHaveRun {
		ef.failStream(ctx, errFaulty)
		return
	}
	if r.Reason == stagework.ReasonNoBuild {
		ef.refuse(errkind.New(errkind.StreamVersionGone, "%s", r.Reason), -1)
		return
	}
	kind := errkind.DeadlineUnreachable
	switch r.Reason {
	case stagework.ReasonCrashes:
		kind = errkind.RefusedAfterCrashes
	case stagework.ReasonNoTarget:
		kind = errkind.NoTarget
	case stagework.ReasonIsolated:
		kind = errkind.Isolated
	case stagework.ReasonPiecesFull:
		kind = errkind.Overloaded
	}
	ef.refuse(errkind.New(kind, "%s", r.Reason), r.RetryAfter)
}

// failAfterCrashes ends a request that the crash guard refuses by now.
func (ef *engineFlight) failAfterCrashes(ctx context.Context) {
	if ef.mayHaveRun {
		ef.failStream(ctx, errFaulty)
		return
	}
	ef.refuseAfterCrashes(ef.o.CrashGuard.RetryAfter(ef.guardKeys()...))
}

// failStream ends a request that no engine completed. A stream that has begun is
// ended by closing the connection, since a regular end would make it look
// complete.
func (ef *engineFlight) failStream(ctx context.Context, err error) {
	if ef.stream.begun() {
		ef.outcome = "stream broke off: " + err.Error()
		panic(http.ErrAbortHandler)
	}
	ef.fail(ctx, err)
}
