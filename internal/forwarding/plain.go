package forwarding

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/exchange"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
)

// Bounds of answers and attempts.
const (
	// bufferLimit is the largest answer that is read whole before its caller
	// gets the head, so that one that breaks off can be asked for again.
	bufferLimit = 256 << 10
	// A repeatable request is sent to a second target when the first takes
	// patienceFactor times as long as most, and at least patienceMin.
	patienceFactor = 4
	patienceMin    = 150 * time.Millisecond
	// An attempt is cut only if the next one has repeatFactor times the mean left.
	repeatFactor = 1.5
)

var (
	errNoTarget  = errors.New("no target takes work")
	errUnsigned  = errors.New("the answer is not the target's own")
	errTruncated = errors.New("the answer broke off")
	errFaulty    = errors.New("the target failed the request")
)

// servePlain carries a request to a plain service.
func (fl *flight) servePlain(ctx context.Context) {
	var last *answer
	for {
		target, endSuspect, ok := fl.choose()
		if !ok {
			if last == nil && !fl.ran {
				fl.refuse(errkind.New(errkind.NoTarget, "service %s", fl.service), fl.nextPauseEnd())
				return
			}
			break
		}
		a := fl.attemptPlain(ctx, target, endSuspect)
		if a.final(fl) {
			fl.deliver(ctx, a)
			return
		}
		if last == nil || a.resp != nil || last.resp == nil {
			last = a
		}
		ran := !a.notRun
		fl.ran = fl.ran || ran
		if ctx.Err() != nil || fl.sends >= maxSends || !fl.mayRepeat(ran) {
			break
		}
	}
	if last != nil && last.passable() {
		fl.deliver(ctx, last)
		return
	}
	var cause error = errNoTarget
	if last != nil && last.err != nil {
		cause = last.err
	}
	fl.fail(ctx, cause)
}

// answer is what one attempt at a plain target came to.
type answer struct {
	target fleet.Target
	resp   *exchange.Response
	head   relay.Answer
	body   []byte
	rest   io.ReadCloser // of an answer too large to be kept
	notRun bool
	err    error
	cancel context.CancelFunc // ends the attempt
}

// final reports whether the answer goes to the caller whatever else might be
// tried.
func (a *answer) final(fl *flight) bool {
	if a.err != nil || a.notRun {
		return false
	}
	if promises(a.resp.Status) && !fl.Route.Repeatable() {
		// The target does not say that it did not run the request; the caller
		// would take the status for that.
		a.err = errFaulty
		return false
	}
	return a.resp.Status < http.StatusInternalServerError || !fl.Route.Repeatable()
}

// promises reports whether callers take the status for the promise that the
// request was not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// passable reports whether the answer can be given to the caller: it is whole,
// and the target's own.
func (a *answer) passable() bool { return a.err == nil && !a.notRun && a.resp != nil }

// attemptPlain sends the request to the target and reads the answer. onEnd is
// called once the target has no more to do with the request.
func (fl *flight) attemptPlain(ctx context.Context, target fleet.Target, onEnd func()) *answer {
	began := fl.o.Clock.Now()
	a := &answer{target: target}
	outer := ctx
	ctx, cancel := context.WithCancel(ctx)
	if patience := fl.attemptTime(); patience > 0 {
		ctx, cancel = context.WithTimeout(ctx, patience)
	}
	a.cancel = func() {
		cancel()
		onEnd()
	}
	a.resp, a.head, a.err = fl.send(ctx, fl.call(target, nil, ""))
	if a.err == nil {
		fl.readAnswer(a)
	} else {
		a.notRun = !wasSent(a.err)
	}
	if a.err != nil && ctx.Err() == nil {
		fl.suspectCrash(target, a.err)
	}
	if a.rest == nil {
		a.cancel()
	}
	fl.o.Loads.Done(target, outcomeOf(outer, a), fl.o.Clock.Now().Sub(began), a.head.Load)
	return a
}

// attemptTime bounds one attempt, if another may follow and would have time to be
// answered; 0 = not bounded.
func (fl *flight) attemptTime() time.Duration {
	if !fl.Route.Repeatable() || fl.sends+1 >= fl.attempts() {
		return 0
	}
	mean := fl.o.Loads.Mean(fl.service)
	if mean == 0 {
		return 0
	}
	left := fl.until.Sub(fl.o.Clock.Now())
	patience := min(max(patienceFactor*mean, patienceMin), left/2)
	if float64(left-patience) < repeatFactor*float64(mean) {
		return 0
	}
	return patience
}

// readAnswer reads the body, as far as it is to be kept, and judges the answer.
func (fl *flight) readAnswer(a *answer) {
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
	body, err := io.ReadAll(io.LimitReader(a.resp.Body, bufferLimit+1))
	if err != nil {
		a.err = errTruncated
		_ = a.resp.Body.Close()
		return
	}
	a.body = body
	if len(body) > bufferLimit {
		a.rest = a.resp.Body
		return
	}
	_ = a.resp.Body.Close()
}

// drain reads a small body to its end, so that the connection can be kept.
func drain(body io.ReadCloser) error {
	_, err := io.Copy(io.Discard, io.LimitReader(body, bufferLimit))
	return errors.Join(err, body.Close())
}

// outcomeOf says what the attempt tells about the target.
func outcomeOf(ctx context.Context, a *answer) Outcome {
	switch {
	case a.err != nil && ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return Abandoned
	case a.notRun && a.err == nil:
		return Refused
	case a.err != nil:
		return Broken
	case a.resp.Status >= http.StatusInternalServerError:
		return Faulty
	default:
		return Answered
	}
}

// deliver passes a target's answer on.
func (fl *flight) deliver(ctx context.Context, a *answer) {
	fl.ran = true
	h := fl.w.Header()
	for name, values := range fl.o.Codec.AnswerHeader(a.resp.Header) {
		h[name] = values
	}
	fl.status = a.resp.Status
	fl.headSent = true
	fl.noteFirst()
	fl.w.WriteHeader(a.resp.Status)
	if _, err := fl.w.Write(a.body); err != nil {
		fl.outcome = "caller left"
	}
	if a.rest == nil {
		fl.o.Crashes.Survived(fl.fingerprint())
		return
	}
	defer a.cancel()
	defer a.rest.Close()
	if _, err := io.Copy(fl.w, a.rest); err != nil || ctx.Err() != nil {
		// The caller must not take a part for the whole.
		fl.outcome = "answer broke off"
		panic(http.ErrAbortHandler)
	}
}

// priority of the request, for logs.
func (fl *flight) priority() int { return route.Priority(fl.Route, fl.Organisation) }
