package forwarding

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"lynxhill.example/lynxhill/internal/eventstream"
	"lynxhill.example/lynxhill/internal/exchange"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
)

// Limits of responses and attempts.
const (
	// bufferLimit is the largest response, in bytes, that is buffered whole before
	// its head is forwarded, so that the request can be retried if the response is
	// truncated.
	bufferLimit = 256 << 10
	// failureLimit is the largest response of a target that failed the request, in
	// bytes, that is forwarded. Without it a faulty target that sends bytes without end
	// uses the link until the deadline of each of its requests.
	failureLimit = 1 << 20
	// An attempt of an idempotent request times out, and the request is sent to a
	// second target, after attemptTimeoutFactor times the service's mean response
	// time, but not before minAttemptTimeout.
	attemptTimeoutFactor = 4
	minAttemptTimeout    = 150 * time.Millisecond
	// An attempt gets a timeout only if nextAttemptFactor times the mean response
	// time is then left for the next attempt.
	nextAttemptFactor = 1.5
)

var (
	errNoTarget       = errors.New("no target takes work")
	errUnsigned       = errors.New("the answer is not the target's own")
	errTruncated      = errors.New("the answer broke off")
	errTooLong        = errors.New("the answer of a failed request is too long")
	errRefusedByGuard = errors.New("targets crashed while running such requests")
	errFaulty         = errors.New("the target failed the request")
)

// servePlain forwards a request to a plain service.
func (fl *flight) servePlain(ctx context.Context) {
	var last *attemptResult
	var acquired slotUses
	defer acquired.end()
	for {
		target, endSuspect, refusal := fl.nextTarget(ctx, &acquired)
		if refusal != nil {
			if !fl.mayHaveRun && refusal.err != nil && (last == nil || refusal.afterRefusals) {
				fl.refuse(refusal.err, refusal.retryAfter)
				return
			}
			break
		}
		a := fl.attemptPlain(ctx, target, endSuspect, acquired.current())
		if a.final(fl) {
			fl.deliver(ctx, a)
			return
		}
		if errors.Is(a.err, exchange.ErrTargetLeft) && ctx.Err() == nil && fl.attempts < maxTotalAttempts {
			continue // nothing was sent, so that this is no retry
		}
		if last == nil || a.resp != nil || last.resp == nil {
			last = a
		}
		ran := !a.notRun
		fl.mayHaveRun = fl.mayHaveRun || ran
		if ctx.Err() != nil || fl.attempts >= maxTotalAttempts || !fl.mayRetry(ran) {
			break
		}
		a.release()
	}
	if last != nil && last.deliverable() {
		fl.deliver(ctx, last)
		return
	}
	var cause error = errNoTarget
	if last != nil && last.err != nil {
		cause = last.err
	}
	fl.fail(ctx, cause)
}

// attemptResult is the result of one attempt at a plain target.
type attemptResult struct {
	target fleet.Target
	resp   *exchange.Response
	head   relay.ResponseHead
	broke  error // why the response could not be read whole
	body   []byte
	rest   io.Reader // the unread rest of a response that exceeds bufferLimit, or for which there was no memory
	notRun bool
	err    error
	cancel context.CancelFunc // ends the attempt; nil = its exchange ends with the request's context
}

// release ends an attempt whose response has not been read to its end. The response is not
// deliverable any more.
func (a *attemptResult) release() {
	if a.rest == nil {
		return
	}
	_ = a.resp.Body.Close()
	if a.cancel != nil {
		a.cancel()
	}
	a.rest, a.err = nil, errTooLong
}

// final reports whether the response is forwarded to the caller without further
// attempts.
func (a *attemptResult) final(fl *flight) bool {
	if a.err != nil || a.notRun {
		return false
	}
	if impliesNotRun(a.resp.Status) && !fl.Route.Repeatable() {
		// The target does not state that it did not run the request, but the
		// caller would conclude that from the status.
		a.err = errFaulty
		return false
	}
	return a.resp.Status < http.StatusInternalServerError || !fl.Route.Repeatable()
}

// impliesNotRun reports whether callers conclude from the status that the request
// was not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// deliverable reports whether the response can be forwarded to the caller: it is
// complete and signed by the target.
func (a *attemptResult) deliverable() bool { return a.err == nil && !a.notRun && a.resp != nil }

// attemptPlain sends the request to the target and reads the response. It calls
// onEnd, now or later through attemptResult.cancel, once the attempt has ended, and then
// releases the slot, if it has one.
func (fl *flight) attemptPlain(ctx context.Context, target fleet.Target, onEnd func(), slot *slotUse) *attemptResult {
	began := fl.o.Clock.Now()
	a := &attemptResult{target: target}
	outer := ctx
	ctx, cancel := context.WithCancel(ctx)
	if timeout := fl.attemptTimeout(); timeout > 0 {
		ctx, cancel = context.WithTimeout(ctx, timeout)
	}
	a.cancel = func() {
		cancel()
		onEnd()
		slot.end()
	}
	a.resp, a.head, a.err = fl.send(ctx, fl.call(target, nil, ""))
	if a.err == nil {
		fl.readResponse(a)
		fl.endPlain(a)
	} else {
		a.notRun = !wasSent(a.err)
	}
	if a.err != nil {
		fl.suspectCrash(target, a.err)
	}
	outcome, took := outcomeOf(outer, a), fl.o.Clock.Now().Sub(began)
	slot.record(outcome, took, a)
	if a.rest == nil {
		a.cancel()
	}
	fl.o.Loads.Done(target, outcome, took, a.head.Load)
	return a
}

// attemptTimeout returns the timeout of the next attempt. It is 0 (no timeout) if
// no other attempt may follow, or if that one would not have enough time.
func (fl *flight) attemptTimeout() time.Duration {
	if !fl.Route.Repeatable() || fl.attempts+1 >= fl.maxAttempts() {
		return 0
	}
	mean := fl.o.Loads.Mean(fl.service)
	if mean == 0 {
		return 0
	}
	left := fl.deadline.Sub(fl.o.Clock.Now())
	timeout := min(max(attemptTimeoutFactor*mean, minAttemptTimeout), left/2)
	if float64(left-timeout) < nextAttemptFactor*float64(mean) {
		return 0
	}
	return timeout
}

// readResponse reads the body, up to bufferLimit, and sets the result's error,
// body and notRun.
func (fl *flight) readResponse(a *attemptResult) {
	if a.head.NotRun {
		a.notRun = true
		_ = drain(a.resp.Body)
		return
	}
	if a.resp.Status/100 == 2 && !a.head.Signed {
		a.err = errUnsigned
		_ = a.resp.Body.Close()
		return
	}
	var from io.Reader = a.resp.Body
	if fl.sendsEvents(a.resp.Header) {
		from = eventstream.NewReader(from, a.resp.Framing != exchange.FramedByConnection)
	}
	body, whole, err := fl.readWhole(from)
	if err != nil {
		a.err, a.broke = errTruncated, err
		_ = a.resp.Body.Close()
		return
	}
	a.body = body
	switch failed := a.resp.Status/100 != 2; {
	case !whole && failed && !a.head.Signed && len(body) > bufferLimit:
		a.err = errTooLong
	case !whole && failed:
		a.rest = &boundedReader{from, failureLimit - len(body)}
		return
	case !whole:
		a.rest = from
		return
	}
	_ = a.resp.Body.Close()
}

// endPlain records the end of an attempt whose response was read, up to bufferLimit. A
// longer one ends once its rest has been forwarded.
func (fl *flight) endPlain(a *attemptResult) {
	status := a.resp.Status
	switch {
	case a.notRun:
		fl.endAttempt(status, endRefused, nil)
	case a.broke != nil:
		fl.endAttempt(status, endOfBody(a.broke), a.broke)
	case errors.Is(a.err, errUnsigned):
		fl.endAttempt(status, endUnsigned, nil)
	case status >= http.StatusInternalServerError, a.err != nil, impliesNotRun(status) && !fl.Route.Repeatable():
		fl.endAttempt(status, endFailed, a.err)
	case a.rest == nil:
		fl.endAttempt(status, endAnswered, nil)
	}
}

// drain reads a small body to its end, so that the connection can be reused.
func drain(body io.ReadCloser) error {
	_, err := io.Copy(io.Discard, io.LimitReader(body, bufferLimit))
	return errors.Join(err, body.Close())
}

// outcomeOf returns what the attempt shows about the target.
func outcomeOf(ctx context.Context, a *attemptResult) Outcome {
	switch {
	case a.err != nil && ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return Abandoned
	case a.notRun && a.err == nil:
		return Refused
	case a.err != nil:
		return NoResponse
	case a.resp.Status >= http.StatusInternalServerError:
		return ServerError
	default:
		return Answered
	}
}

// deliver forwards a target's response to the caller.
func (fl *flight) deliver(ctx context.Context, a *attemptResult) {
	fl.mayHaveRun = true
	h := fl.w.Header()
	for name, values := range fl.o.Codec.ResponseHeader(a.resp.Header) {
		h[name] = values
	}
	if fl.Route.Kind == route.Streaming && a.resp.Status/100 == 2 {
		fl.bindTo(a.target)
	}
	fl.status = a.resp.Status
	fl.headSent = true
	fl.noteFirstByte()
	fl.w.WriteHeader(a.resp.Status)
	if err := fl.writeBlocks(a.body); err != nil {
		fl.outcome = "caller left"
	}
	if a.rest == nil {
		fl.recordSuccess()
		return
	}
	defer a.release()
	err := fl.copyBlocks(a.rest)
	if err != nil || ctx.Err() != nil {
		fl.endAttempt(a.resp.Status, endOfBody(errors.Join(err, ctx.Err())), err)
		// The caller must not take a truncated response for a complete one.
		fl.outcome = "answer broke off"
		panic(http.ErrAbortHandler)
	}
	fl.endAttempt(a.resp.Status, endAnswered, nil)
}

// priority returns the priority of the request.
func (fl *flight) priority() int { return route.Priority(fl.Route, fl.Organisation) }
