// Package forwarding carries one plain HTTP request from its caller to a target
// and the answer back: it chooses, repeats what may be repeated, resumes
// streams, and gives the final answer when nothing more can be done.
//
// Two promises hold on every path. An answer that says "not run" is given only
// if no byte of the request reached a target, or every target that was reached
// said that it did not run it. A request that is not repeatable is sent again
// only under the same condition.
package forwarding

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"lynxhill.example/lynxhill/internal/allowance"
	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/crashguard"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/exchange"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
	"lynxhill.example/lynxhill/internal/stagework"
)

// Worker hands work to the dispatcher; stagework.Finder implements it.
type Worker interface {
	Submit(ctx context.Context, job stagework.Job) (stagework.Assignment, *stagework.Refusal, error)
	// Reached tells that an instance that was lost is to be asked again.
	Reached(instance string)
	// Lost tells that the dispatcher of an instance was lost while it had a job.
	Lost(instance string)
}

// Asks tells what targets ask of all that send them requests; notice.Keeper
// implements it.
type Asks interface {
	// Limit returns how many requests a second the target takes from all
	// instances together. named is false if it names no limit.
	Limit(target string) (rate float64, named bool)
	// Pause returns until when the target wants nothing from this instance; zero
	// = it does not say.
	Pause(target string) time.Time
}

// Options configure a Forwarder.
type Options struct {
	Codec    relay.Codec
	Exchange *exchange.Pool
	Targets  func() *fleet.View
	Work     Worker
	Budget   *Budget
	Loads    *Loads
	Crashes  *crashguard.Guard
	Cold     *allowance.Allowance // nil = cold targets are not spared
	Limited  *allowance.Allowance // of targets that name a limit; nil with Asks
	Asks     Asks                 // nil = targets ask nothing
	Place    string
	Clock    clock.Clock
	Rand     *rand.Rand
	Logger   *event.Logger
}

// Forwarder carries requests. It is safe for concurrent use.
type Forwarder struct {
	o Options

	mu sync.Mutex // guards the source of random numbers

	apart  sync.Mutex         // held while a suspected request is given a target
	deaths singleflight.Group // questions whether a target died, by its id

	lateLines lateLines
}

// New returns a forwarder.
func New(o Options) *Forwarder { return &Forwarder{o: o} }

// Inbound is a request with what the configuration says of it.
type Inbound struct {
	Request      *relay.Request
	Table        *route.Table
	Route        *route.Route
	Organisation *route.Organisation // nil = none
	Arrived      time.Time
}

// flight is one request on its way.
type flight struct {
	*Forwarder
	Inbound
	w        http.ResponseWriter
	begun    time.Time       // when the request was read
	base     context.Context // lasts a little longer than until
	service  string
	until    time.Time // when the final answer is due
	sends    int       // targets that the request was sent to
	ran      bool      // a target may have run it
	tried    []string  // ids of targets
	last     string    // id of the last one
	status   int       // of the answer
	outcome  string    // for the log
	headSent bool
	print    string          // fingerprint, once it was needed
	fresh    bool            // a connection gave no answer: another kept one may be as silent
	verdict  <-chan struct{} // closed once it is known whether the last target died; nil = nobody asked
	// For the line that tells how the request ended.
	dispatcher string        // instance that scheduled it; "" = none, or it is not known
	waited     time.Duration // in wait of placements
	first      time.Duration // from the arrival to the first bytes of the answer; 0 = there were none
}

// answerMargin is how long before its time is up a request gets its answer.
const answerMargin = 15 * time.Millisecond

// Serve carries the request and writes its answer. It ends the connection by
// panicking with http.ErrAbortHandler if an answer that has begun can't be
// ended as it should.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, in Inbound) {
	fl := &flight{Forwarder: f, Inbound: in, w: w, service: in.Route.Pick(f.float())}
	fl.begun = f.o.Clock.Now()
	fl.until = in.Arrived.Add(fl.patience())
	defer fl.logEnd()
	if f.o.Crashes.Refused(fl.fingerprint()) {
		fl.refuse(errkind.New(errkind.Overloaded, "targets died while running this request"), time.Second)
		return
	}
	base, end := context.WithDeadline(ctx, fl.until.Add(2*answerMargin))
	defer end()
	fl.base = base
	ctx, cancel := context.WithDeadline(base, fl.until.Add(-answerMargin))
	defer cancel()
	f.o.Budget.Request(fl.service)
	if s := in.Table.Services[fl.service]; s != nil && s.Engine != nil {
		fl.serveEngine(ctx)
		return
	}
	fl.servePlain(ctx)
}

func (f *Forwarder) float() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.o.Rand.Float64()
}

// longestWait bounds requests that say nothing of time.
const longestWait = time.Minute

// patience is how long the request may take: as long as its caller waits and
// the route allows.
func (fl *flight) patience() time.Duration {
	wait := longestWait
	if fl.Request.Wait > 0 {
		wait = min(wait, fl.Request.Wait)
	}
	if fl.Route.Timeout > 0 {
		wait = min(wait, fl.Route.Timeout)
	}
	return wait
}

// firstBy is when the caller is gone if nothing of the answer has come.
func (fl *flight) firstBy() time.Time {
	if fl.Route.FirstWait > 0 {
		if by := fl.Arrived.Add(fl.Route.FirstWait - answerMargin); by.Before(fl.until) {
			return by
		}
	}
	return fl.until
}

// left is what remains of the caller's own time, for targets. 0 = not bounded.
func (fl *flight) left() time.Duration {
	if fl.Request.Wait <= 0 {
		return 0
	}
	return max(fl.Arrived.Add(fl.Request.Wait).Sub(fl.o.Clock.Now()), time.Millisecond)
}

// fingerprint identifies the request whatever its id: path, caller and body.
func (fl *flight) fingerprint() string {
	if fl.print != "" {
		return fl.print
	}
	organisation := ""
	if fl.Organisation != nil {
		organisation = fl.Organisation.Name
	}
	fl.print = crashguard.Fingerprint(fl.Request.Host+fl.Request.URI+"\x00"+organisation, fl.Request.Body)
	return fl.print
}

// attempts is how many targets the request may be sent to.
func (fl *flight) attempts() int { return max(fl.Route.MaxAttempts, 1) }

// mayRepeat reports whether the request may be sent to one more target, and
// takes that from the budget. ranHere says that the last target may have run it.
func (fl *flight) mayRepeat(ranHere bool) bool {
	return fl.repeatable(ranHere) && fl.o.Budget.Spend(fl.service)
}

// resumeWait is how long a stream that broke off waits for the budget. Its
// caller has a part of the answer and no promise, and bears a pause better than
// a cut.
const resumeWait = time.Second

// mayResume is mayRepeat for a stream that has begun.
func (fl *flight) mayResume(ctx context.Context) bool {
	return fl.repeatable(true) && fl.o.Budget.SpendWithin(ctx, fl.service, resumeWait)
}

// repeatable reports whether anything but the budget keeps the request from
// being sent to one more target.
func (fl *flight) repeatable(ranHere bool) bool {
	if ranHere {
		fl.ran = true
		if !fl.Route.Repeatable() || fl.sends >= fl.attempts() {
			return false
		}
	}
	fl.awaitVerdict()
	return !fl.o.Crashes.Refused(fl.fingerprint())
}

// maxSends bounds how often a request is sent when every target refuses it.
const maxSends = 4

// call is what is added to the request for the target.
func (fl *flight) call(t fleet.Target, inputs []string, resumeAt string) relay.Call {
	c := relay.Call{Target: t, Left: fl.left(), Inputs: inputs, Priority: -1, ResumeAt: resumeAt}
	if fl.Organisation != nil {
		c.Organisation = fl.Organisation.Name
	}
	if fl.Table.Services[fl.service] != nil && fl.Table.Services[fl.service].Engine != nil {
		c.Priority = min(max(route.Priority(fl.Route, fl.Organisation), 0), 9)
	}
	return c
}

// untilHead returns the context for an exchange whose answer is passed on as it
// comes: up to the head it ends in time for an answer of our own. Call headOut
// once the head was passed on.
//
// What goes wrong without it: a stream that comes to its end in its last
// milliseconds is torn by the margin, which is of no use any more. One notices
// it by streams that break off just before their deadline at sound targets.
//
// It follows ctx and has no timer of its own: of two timers for one moment
// either may be first, and a request whose exchange had ended while its time
// seemed not to be over was answered 502 instead of 504, or sent once more.
func (fl *flight) untilHead(ctx context.Context) (sending context.Context, headOut func(), cancel func()) {
	sending, cancelCause := context.WithCancelCause(fl.base)
	stop := context.AfterFunc(ctx, func() { cancelCause(ctx.Err()) })
	return sending, func() { stop() }, func() {
		stop()
		cancelCause(nil)
	}
}

// send makes one exchange with the target.
func (fl *flight) send(ctx context.Context, c relay.Call) (*exchange.Response, relay.Answer, error) {
	fl.sends++
	fl.last = c.Target.ID
	fl.tried = append(fl.tried, c.Target.ID)
	resp, err := fl.o.Exchange.Do(ctx, exchange.Request{
		Fresh: fl.fresh, SilentAfter: fl.silentAfter(),
		Address: c.Target.Address,
		Target:  c.Target.ID,
		Method:  fl.Request.Method,
		URI:     fl.Request.URI,
		Host:    fl.Request.Host,
		ID:      fl.Request.ID,
		Header:  fl.o.Codec.Outgoing(fl.Request, c),
		Body:    fl.Request.Body,
	})
	if err != nil {
		fl.fresh = true
		fl.logAttempt(c, 0, err)
		return nil, relay.Answer{}, err
	}
	a := fl.o.Codec.Answer(&http.Response{StatusCode: resp.Status, Header: resp.Header})
	if a.NotRun || resp.Status >= http.StatusInternalServerError {
		fl.logAttempt(c, resp.Status, nil)
	}
	return resp, a, nil
}

// silentMost is how long a target's machine may acknowledge nothing of a request
// that may be sent to another. On a link that loses packets the kernel has sent
// it four times by then.
const silentMost = 2 * time.Second

// silentAfter is silentMost, or less if the rest of the request's time would not
// do for another attempt. 0 = there is no other attempt: a machine that comes
// back may still answer.
func (fl *flight) silentAfter() time.Duration {
	if !fl.Route.Repeatable() || fl.sends >= fl.attempts() {
		return 0
	}
	return min(silentMost, fl.until.Sub(fl.o.Clock.Now())/2)
}

// wasSent reports whether a byte of the request may have reached the target.
func wasSent(err error) bool {
	var e *exchange.Error
	return !errors.As(err, &e) || e.Sent
}

// fail gives the final answer for a request that no target answered.
func (fl *flight) fail(ctx context.Context, cause error) {
	now := fl.o.Clock.Now()
	switch {
	case ctx.Err() != nil && now.Before(fl.until.Add(-2*answerMargin)):
		fl.outcome = "caller left"
		panic(http.ErrAbortHandler)
	case ctx.Err() != nil && fl.ran:
		fl.refuse(errkind.New(errkind.DeadlineAfterRun, "no answer in time"), -1)
	case ctx.Err() != nil:
		fl.refuse(errkind.New(errkind.DeadlineUnreachable, "no target in time"), comeBack)
	case fl.ran:
		fl.refuse(errkind.Wrap(cause, errkind.TargetFailed, "the target failed"), -1)
	default:
		fl.refuse(errkind.Wrap(cause, errkind.TargetRefused, "no target took the request"), comeBack)
	}
}

// comeBack is when a caller may come back if nothing better is known.
const comeBack = 150 * time.Millisecond

// refuse writes an answer of our own. A status that promises that the request
// was not run is given only if it wasn't.
func (fl *flight) refuse(err error, retryAfter time.Duration) {
	fl.status = WriteError(fl.w, fl.o.Codec, fl.Request, err, retryAfter)
	if fl.outcome == "" {
		fl.outcome = err.Error()
	}
}

// WriteError writes an answer of our own and returns its status.
func WriteError(w http.ResponseWriter, codec relay.Codec, req *relay.Request, err error, retryAfter time.Duration) int {
	body := errkind.BodyOf(err, "")
	if req != nil {
		body = errkind.BodyOf(err, req.ID)
	}
	status := errkind.Of(err).Answer().Status
	codec.Own(w.Header(), req, retryAfter)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	text, err := json.Marshal(body)
	if err == nil {
		_, _ = w.Write(text)
	}
	return status
}
