package forwarding

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/exchange"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/stagework"
)

// engineFlight is a request for a model engine.
type engineFlight struct {
	*flight
	work   stagework.Assignment
	stream stream
	avoid  []string
	lost   int              // dispatchers that were lost
	skips  int              // engines that were not tried
	passed int              // engines that were passed over since they run another suspected request
	made   []stagework.Made // what the dispatcher before had made
}

// maxLost bounds how many dispatchers are tried for one request.
const maxLost = 3

// serveEngine carries a request whose service is model engines: the dispatcher
// has its stages done and names an engine, which is sent the request.
func (fl *flight) serveEngine(ctx context.Context) {
	ef := &engineFlight{flight: fl}
	ef.stream = newStream(fl)
	defer ef.endWork()
	for {
		decision, err := ef.decide(ctx)
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

// endWork gives the assignment back.
func (ef *engineFlight) endWork() {
	if ef.work != nil {
		ef.work.End()
		ef.work = nil
	}
}

// moveWork takes the results of a dispatcher that is lost along to the next.
func (ef *engineFlight) moveWork() {
	ef.made = ef.work.Made()
	ef.work.Moved()
	ef.work = nil
}

// decide waits for the dispatcher's next decision. A dispatcher that is lost is
// replaced.
func (ef *engineFlight) decide(ctx context.Context) (stagework.Decision, error) {
	began := ef.o.Clock.Now()
	defer func() { ef.waited += ef.o.Clock.Now().Sub(began) }()
	for {
		if ef.work == nil {
			a, refusal, err := ef.o.Work.Submit(ctx, ef.job())
			if err != nil {
				return stagework.Decision{}, err
			}
			if refusal != nil {
				ef.dispatcher = refusal.Dispatcher
				return stagework.Decision{Refusal: refusal}, nil
			}
			ef.work = a
			ef.dispatcher = a.Dispatcher()
		}
		select {
		case d := <-ef.work.Decisions():
			switch {
			case d.Lost != "":
				ef.o.Work.Lost(d.Lost)
			case d.Next != "":
				ef.o.Work.Reached(d.Next)
			default:
				return d, nil
			}
			ef.moveWork()
			if ef.lost++; ef.lost > maxLost {
				return d, errNoTarget
			}
		case <-ctx.Done():
			return stagework.Decision{}, ctx.Err()
		}
	}
}

// job is the request as the dispatcher gets it.
func (ef *engineFlight) job() stagework.Job {
	aim, deadline := ef.nextEventBy()
	j := stagework.Job{
		ID: ef.Request.ID, Key: ef.Request.PieceKey, Route: ef.Route.Name, Priority: ef.priority(),
		Aim: aim, Deadline: deadline,
		Stages: ef.Route.Stages, Pieces: ef.Request.Pieces, Service: ef.service,
		Prompt: ef.Request.Prompt, Place: ef.o.Place, Made: ef.made,
		Avoid: slices.Concat(ef.avoid, ef.keptOff(), ef.pausedTargets()),
	}
	if ef.Organisation != nil {
		j.Organisation = ef.Organisation.Name
	}
	return j
}

// nextEventBy returns when the caller's next event is on time, and when the caller
// is gone without it. Both count from the arrival until the answer has begun.
func (ef *engineFlight) nextEventBy() (aim, deadline time.Time) {
	if !ef.stream.begun() {
		return ef.Arrived.Add(ef.aim()), ef.firstBy()
	}
	now := ef.o.Clock.Now()
	deadline = ef.until
	if ef.Route.FirstWait > 0 && now.Add(ef.Route.FirstWait).Before(deadline) {
		deadline = now.Add(ef.Route.FirstWait)
	}
	return now.Add(ef.aim()), deadline
}

// aim is the time within which the first event is on time.
func (fl *flight) aim() time.Duration {
	if fl.Route.TargetLatency > 0 {
		return fl.Route.TargetLatency
	}
	return fl.patience()
}

// attempt sends the request to the engine. It returns true if the caller has
// its final answer, false if another engine is to be asked for.
func (ef *engineFlight) attempt(ctx context.Context, p stagework.Placement) bool {
	target := fleet.Target{ID: p.Target, Address: p.Address, Service: ef.service}
	if !ef.o.Targets().Usable(p.Target) {
		return ef.skipped(ctx)
	}
	endSuspect, ok := ef.beginAt(p.Target)
	if !ok {
		ef.work.Rejected(false, false)
		return false
	}
	defer endSuspect()
	if !ef.take(p.Target) {
		return ef.skipped(ctx)
	}
	sending, headOut, cancel := ef.untilHead(ctx)
	defer cancel()
	resp, head, err := ef.send(sending, ef.call(target, p.Inputs, ef.stream.resumeAt()))
	switch {
	case err != nil && !wasSent(err):
		return ef.failed(ctx, target, false, err)
	case err != nil:
		ef.suspectCrash(target, err)
		return ef.failed(ctx, target, true, err)
	case head.NotRun:
		_ = drain(resp.Body)
		gone := resp.Status == http.StatusConflict || resp.Status == http.StatusBadRequest
		return ef.rejected(ctx, target, gone, errFaulty)
	case resp.Status/100 == 2 && !head.Signed:
		_ = resp.Body.Close()
		return ef.failed(ctx, target, true, errUnsigned)
	case resp.Status/100 != 2:
		return ef.failedAnswer(ctx, target, resp, head)
	}
	ef.ran = true
	ef.work.Begun()
	headOut()
	err = ef.stream.pass(sending, resp)
	if err == nil {
		ef.o.Crashes.Survived(ef.fingerprint())
		return true
	}
	if errors.Is(err, errCallerLeft) {
		ef.outcome = "caller left"
		panic(http.ErrAbortHandler)
	}
	return ef.broke(ctx, target, err)
}

// maxSkips bounds how often the dispatcher is asked for another engine since
// the one that it named takes no work.
const maxSkips = 5

// skipped asks for another engine instead of one that leaves or is gone, of
// which the dispatcher has not heard yet, that is not known here yet, or of whose
// bounds this instance has no share left.
func (ef *engineFlight) skipped(ctx context.Context) bool {
	if ef.skips++; ef.skips > maxSkips {
		ef.failStream(ctx, errNoTarget)
		return true
	}
	ef.work.Rejected(false, false)
	return false
}

// rejected asks for another engine after one that did not run the request.
func (ef *engineFlight) rejected(ctx context.Context, target fleet.Target, gone bool, err error) bool {
	if ctx.Err() != nil || ef.sends >= maxSends || !ef.mayRepeat(false) {
		ef.failStream(ctx, err)
		return true
	}
	ef.work.Rejected(gone, false)
	return false
}

// failed asks for another engine after one that gave no usable answer, if the
// request may be repeated.
func (ef *engineFlight) failed(ctx context.Context, target fleet.Target, ran bool, err error) bool {
	ef.ran = ef.ran || ran
	if ctx.Err() != nil || ef.sends >= maxSends || !ef.mayRepeat(ran) {
		if ctx.Err() == nil {
			ef.work.Broke()
		}
		ef.failStream(ctx, err)
		return true
	}
	ef.work.Rejected(false, true)
	return false
}

// failedAnswer handles a failure that the engine answered itself.
func (ef *engineFlight) failedAnswer(ctx context.Context, target fleet.Target, resp *exchange.Response, head relay.Answer) bool {
	a := &answer{target: target, resp: resp, head: head}
	ef.readAnswer(a)
	if promises(resp.Status) && !ef.Route.Repeatable() {
		a.err = errFaulty
	}
	if ef.stream.begun() || a.err != nil || resp.Status >= http.StatusInternalServerError && ef.Route.Repeatable() && ef.sends < ef.attempts() {
		return ef.failed(ctx, target, true, errFaulty)
	}
	ef.work.Broke()
	ef.deliver(ctx, a)
	return true
}

// broke handles a stream that broke off: it goes on at another engine if it may
// be resumed.
func (ef *engineFlight) broke(ctx context.Context, target fleet.Target, err error) bool {
	ef.work.Broke()
	ef.logBroke(target, err)
	ef.avoid = append(ef.avoid, target.ID)
	if ef.base.Err() == nil {
		ef.suspectCrash(target, err)
	}
	if ctx.Err() != nil || !ef.Route.Resumable || !ef.mayResume(ctx) {
		ef.failStream(ctx, err)
		return true
	}
	// The results were given up when the answer began: a new job makes them
	// again.
	ef.endWork()
	ef.made = nil
	return false
}

// refused gives the caller the dispatcher's refusal.
func (ef *engineFlight) refused(ctx context.Context, r *stagework.Refusal) {
	if ef.ran {
		ef.failStream(ctx, errFaulty)
		return
	}
	kind := errkind.DeadlineUnreachable
	switch r.Reason {
	case stagework.ReasonNoTarget:
		kind = errkind.NoTarget
	case stagework.ReasonAlone:
		kind = errkind.Isolated
	}
	ef.refuse(errkind.New(kind, "%s", r.Reason), r.RetryAfter)
}

// failStream ends a request that no engine finished. A stream that has begun is
// cut, since a clean end would make it look complete.
func (ef *engineFlight) failStream(ctx context.Context, err error) {
	if ef.stream.begun() {
		ef.outcome = "stream broke off: " + err.Error()
		panic(http.ErrAbortHandler)
	}
	ef.fail(ctx, err)
}
