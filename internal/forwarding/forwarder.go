// Package forwarding forwards plain HTTP requests from callers to targets and
// the responses back. For each request it chooses a target, retries what may be
// retried, resumes streams, and writes an error response when no attempt
// succeeds.
//
// Two guarantees hold on every path. A response that says "not run" is written
// only if no byte of the request reached a target, or if every target that was
// reached stated that it did not run the request. A request that is not
// idempotent is sent again only under the same condition.
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
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
	"lynxhill.example/lynxhill/internal/stagework"
	"lynxhill.example/lynxhill/internal/streamorigin"
)

// Scheduler submits jobs to the dispatcher; stagework.Finder implements it.
type Scheduler interface {
	Submit(ctx context.Context, job stagework.Job) (stagework.Assignment, *stagework.Refusal, error)
	// MarkReachable reports that an instance whose dispatcher was lost may be asked
	// again.
	MarkReachable(instance string)
	// MarkLost reports that the dispatcher of an instance was lost while it had a job.
	MarkLost(instance string)
	// KeepReservation reports that a job which the dispatcher of an instance had accepted
	// was refused, with a reservation for its caller.
	KeepReservation(job stagework.Job, instance string, r *stagework.Refusal)
}

// TargetNotices provides the rate limits and pauses that targets ask for;
// notice.Tracker implements it.
type TargetNotices interface {
	// Limit returns the number of requests per second that the target accepts
	// from all instances together. named is false if it states no limit.
	Limit(target string) (rate float64, named bool)
	// Pause returns the time until which the target wants no requests from this
	// instance; zero = it did not ask for a pause.
	Pause(target string) time.Time
}

// StreamOrigins keeps where streams began; streamorigin.Manager implements it.
type StreamOrigins interface {
	// Begin records that the stream of a query begins, before its first event is forwarded.
	// The caller may take it up within keep. Begin does not wait for other instances.
	Begin(q streamorigin.Query, origin streamorigin.Origin, keep time.Duration)
	// Find returns the origin of a stream. The error is streamorigin.ErrUnknown,
	// streamorigin.ErrUnconfirmed or that of ctx.
	Find(ctx context.Context, q streamorigin.Query) (streamorigin.Finding, error)
}

// Options configure a Forwarder.
type Options struct {
	Codec        relay.Codec
	Exchange     *exchange.Pool
	Targets      func() *fleet.View
	Scheduler    Scheduler
	Budget       *RetryBudget
	Loads        *Loads
	CrashGuard   *crashguard.Guard
	ColdLimits   *allowance.Allowance // rate limits of cold targets; nil = not limited
	StatedLimits *allowance.Allowance // rate limits stated by targets; nil if Notices is nil
	Notices      TargetNotices        // nil = targets ask for no limits or pauses
	Origins      StreamOrigins        // nil = no stream can be taken up
	Slots        SlotQueue            // nil = no service has a slot queue
	Reachable    func() bool          // whether any target can be reached; nil = always
	Zone         string
	Clock        clock.Clock
	Rand         *rand.Rand
	Logger       *event.Logger
	Metrics      *metrics.Registry // nil = attempts are not counted
}

// Forwarder forwards requests. It is safe for concurrent use.
type Forwarder struct {
	o Options

	mu sync.Mutex // guards o.Rand

	suspectMu   sync.Mutex         // held while a target is chosen for a suspected request
	crashChecks singleflight.Group // checks whether a target died, by fleet.Target.Run

	shards shardIndex

	verdictMu sync.Mutex            // guards all below
	undecided map[string]*undecided // by target id

	lateLines lateLines
}

// New returns a forwarder.
func New(o Options) *Forwarder { return &Forwarder{o: o} }

// Inbound is a request with the configuration that applies to it.
type Inbound struct {
	Request      *relay.Request
	Table        *route.Table
	Route        *route.Route
	Organisation *route.Organisation // nil = none
	Arrived      time.Time
	// Reserve counts bytes of the response that are held for the caller, until the end of
	// Serve, and reports whether there is memory for them. nil = not bounded.
	Reserve func(bytes int) bool
}

// flight is the state of one request in flight.
type flight struct {
	*Forwarder
	Inbound
	w              http.ResponseWriter
	readAt         time.Time       // when the request body had been read
	base           context.Context // ends a little later than until
	service        string
	build          *string   // the only software version whose targets may run the request; nil = any
	deadline       time.Time // deadline of the final response
	attempts       int       // number of attempts sent to targets
	mayHaveRun     bool      // a target may have run the request
	triedTargets   []string  // ids of the targets of all attempts
	lastTarget     string    // id of the target of the last attempt
	status         int       // status of the response
	outcome        string    // logged; "" = the request was answered
	headSent       bool
	sentAt         time.Time       // start of the last attempt
	cachedPartKeys []string        // cached result of partKeys; nil = not computed yet
	cachedPieceKey string          // cached key of pieceKeys; "" = not computed yet
	firstEvent     bool            // the target of the last attempt has brought an event, or a byte of another response
	trial          bool            // the crash guard refuses such requests and tries this one
	cachedIdentity *identity       // cached result of identity; nil = not computed yet
	newConnections bool            // use new connections: an attempt failed, and other idle connections may be dead too
	crashChecked   <-chan struct{} // closed once it is known whether the last target died; nil = no check is running
	// Logged at the end of the request.
	dispatcher     string        // instance that scheduled it, or decided about its slot; "" = none or not known
	slotID         uint64        // number of the last request for a slot, under which the coordinator logs it; 0 = none
	placementWait  time.Duration // time spent waiting for placements and slots
	firstByteAfter time.Duration // time from the arrival to the first bytes of the response; 0 = none were sent
	lastUse        exchange.Use  // of the connection of the last attempt
	ended          []attempt     // the attempts whose end is known, in their order
}

// responseMargin is how long before its deadline a request gets an error response
// from this instance, so that the response still reaches the caller in time.
const responseMargin = 15 * time.Millisecond

// unreachableRetryAfter is the retry delay given to callers while no target can be
// reached: about the time after which a path that is back is used again.
const unreachableRetryAfter = time.Second

// Serve forwards the request and writes its response. If a response that has
// begun can't be completed, it panics with http.ErrAbortHandler, which closes
// the connection.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, in Inbound) {
	fl := &flight{Forwarder: f, Inbound: in, w: w, service: in.Route.Pick(f.randFloat())}
	fl.readAt = f.o.Clock.Now()
	fl.deadline = in.Arrived.Add(fl.timeout())
	defer fl.logEnd()
	if !fl.admitted() {
		return
	}
	if f.o.Reachable != nil && !f.o.Reachable() {
		fl.refuse(errkind.New(errkind.NoTarget, "no target can be reached"), unreachableRetryAfter)
		return
	}
	base, end := context.WithDeadline(ctx, fl.deadline.Add(2*responseMargin))
	defer end()
	fl.base = base
	ctx, cancel := context.WithDeadline(base, fl.deadline.Add(-responseMargin))
	defer cancel()
	if fl.takesUpStream() && !fl.findOrigin(ctx) {
		return
	}
	f.o.Budget.Request(fl.service)
	if s := in.Table.Services[fl.service]; s != nil && s.Engine != nil {
		fl.serveEngine(ctx)
		return
	}
	fl.servePlain(ctx)
}

func (f *Forwarder) randFloat() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.o.Rand.Float64()
}

// maxTimeout bounds the time of every request, also of those without a timeout.
const maxTimeout = time.Minute

// timeout returns how long the request may take: the smallest of the caller's
// timeout, the route's timeout and maxTimeout.
func (fl *flight) timeout() time.Duration {
	wait := maxTimeout
	if fl.Request.Timeout > 0 {
		wait = min(wait, fl.Request.Timeout)
	}
	if fl.Route.Timeout > 0 {
		wait = min(wait, fl.Route.Timeout)
	}
	return wait
}

// firstResponseDeadline returns when the caller gives up if no byte of the
// response has arrived.
func (fl *flight) firstResponseDeadline() time.Time {
	if fl.Route.AbandonAfter > 0 {
		if by := fl.Arrived.Add(fl.Route.AbandonAfter - responseMargin); by.Before(fl.deadline) {
			return by
		}
	}
	return fl.deadline
}

// remaining returns the time left until the caller's own deadline, as it is sent
// to targets; 0 = no deadline.
func (fl *flight) remaining() time.Duration {
	if fl.Request.Timeout <= 0 {
		return 0
	}
	return max(fl.Arrived.Add(fl.Request.Timeout).Sub(fl.o.Clock.Now()), time.Millisecond)
}

// maxAttempts returns how many targets may run the request.
func (fl *flight) maxAttempts() int { return max(fl.Route.MaxAttempts, 1) }

// mayRetry reports whether the request may be sent to one more target, and if so
// takes a retry from the budget. ranHere says that the last target may have run it.
func (fl *flight) mayRetry(ranHere bool) bool {
	return fl.retryable(ranHere) && fl.o.Budget.Spend(fl.service)
}

// resumeBudgetWait is how long an interrupted stream waits for a retry from the
// budget. Its caller has received a part of the response and can't tell whether
// the request ran, so a pause is better than a truncated response.
const resumeBudgetWait = time.Second

// mayResume is mayRetry for a stream that has begun.
func (fl *flight) mayResume(ctx context.Context) bool {
	return fl.retryable(true) && fl.o.Budget.SpendWithin(ctx, fl.service, resumeBudgetWait)
}

// retryable reports whether the request may be sent to one more target, budget
// aside.
func (fl *flight) retryable(ranHere bool) bool {
	if ranHere {
		fl.mayHaveRun = true
		if !fl.Route.Repeatable() || fl.attempts >= fl.maxAttempts() {
			return false
		}
	}
	fl.awaitCrashCheck()
	return !fl.refusedByGuard()
}

// maxTotalAttempts bounds the number of attempts when every target refuses the request.
const maxTotalAttempts = 4

// call returns what the system adds to the request for the target.
func (fl *flight) call(t fleet.Target, inputs []string, resumeAt string) relay.Call {
	c := relay.Call{Target: t, Remaining: fl.remaining(), Inputs: inputs, Priority: -1, ResumeAfter: resumeAt}
	if fl.Organisation != nil {
		c.Organisation = fl.Organisation.Name
	}
	if fl.Table.Services[fl.service] != nil && fl.Table.Services[fl.service].Engine != nil {
		c.Priority = min(max(route.Priority(fl.Route, fl.Organisation), 0), 9)
	}
	return c
}

// untilHead returns the context for an exchange whose response is streamed to the
// caller. Until headForwarded is called, the context ends with ctx, which leaves
// responseMargin for an error response of this instance. Call headForwarded when
// the head is forwarded: from then on only fl.base ends the exchange. It returns
// false if the context has ended already: the head must not be forwarded then, since
// the rest of the response would not follow.
//
// Without it, a stream that completes in the last milliseconds of its time is cut
// off by the margin, although an error response can't be sent any more. The
// symptom is streams that break off just before their deadline at healthy
// targets.
//
// The context follows ctx and has no timer of its own. With two timers for the
// same moment either may fire first: a request whose exchange had ended before
// its own deadline was seen to pass was answered 502 instead of 504, or sent once
// more.
func (fl *flight) untilHead(ctx context.Context) (sending context.Context, headForwarded func() bool, cancel func()) {
	sending, cancelCause := context.WithCancelCause(fl.base)
	stop := context.AfterFunc(ctx, func() { cancelCause(ctx.Err()) })
	return sending, stop, func() {
		stop()
		cancelCause(nil)
	}
}

// send makes one attempt: it sends the request to the target and returns the
// response once its head has arrived. Unless it returns an error, the caller has to
// call endAttempt.
func (fl *flight) send(ctx context.Context, c relay.Call) (*exchange.Response, relay.ResponseHead, error) {
	fl.attempts++
	fl.firstEvent = false
	fl.sentAt = fl.o.Clock.Now()
	fl.lastTarget = c.Target.ID
	fl.triedTargets = append(fl.triedTargets, c.Target.ID)
	resp, err := fl.o.Exchange.Do(ctx, exchange.Request{
		NewConnection: fl.newConnections, AckTimeout: fl.unacknowledgedTimeout(),
		Address: c.Target.Address,
		Target:  c.Target.ID,
		Method:  fl.Request.Method,
		URI:     fl.Request.URI,
		Host:    fl.Request.Host,
		ID:      fl.Request.ID,
		Header:  fl.o.Codec.OutgoingHeader(fl.Request, c),
		Body:    fl.Request.Body,
	})
	fl.lastUse = useOf(resp, err)
	if err != nil {
		fl.newConnections = true
		fl.endAttempt(0, endOfError(err), err)
		return nil, relay.ResponseHead{}, err
	}
	return resp, fl.o.Codec.ParseResponse(&http.Response{StatusCode: resp.Status, Header: resp.Header}), nil
}

// useOf returns how an exchange with this result used its connection.
func useOf(resp *exchange.Response, err error) exchange.Use {
	var failure *exchange.Error
	switch {
	case resp != nil:
		return resp.Use
	case errors.As(err, &failure):
		return failure.Use
	}
	return exchange.Use{}
}

// maxUnacknowledged is how long the host of a target may leave a request without
// any TCP acknowledgement if the request may be retried at another target. On a
// link that loses packets the kernel has sent it four times by then.
const maxUnacknowledged = 2 * time.Second

// unacknowledgedTimeout returns maxUnacknowledged, or half of the remaining time
// if that is less, so that there is time for another attempt. It returns 0 (no
// timeout) if no other attempt is allowed: a host that becomes reachable again
// may still answer.
func (fl *flight) unacknowledgedTimeout() time.Duration {
	if !fl.Route.Repeatable() || fl.attempts >= fl.maxAttempts() {
		return 0
	}
	return min(maxUnacknowledged, fl.deadline.Sub(fl.o.Clock.Now())/2)
}

// wasSent reports whether a byte of the request may have reached the target.
func wasSent(err error) bool {
	var e *exchange.Error
	return !errors.As(err, &e) || e.Sent
}

// fail writes the error response for a request that no target answered.
func (fl *flight) fail(ctx context.Context, cause error) {
	now := fl.o.Clock.Now()
	switch {
	case ctx.Err() != nil && now.Before(fl.deadline.Add(-2*responseMargin)):
		fl.outcome = "caller left"
		panic(http.ErrAbortHandler)
	case ctx.Err() != nil && fl.mayHaveRun:
		fl.refuse(errkind.New(errkind.DeadlineAfterRun, "no answer in time"), -1)
	case ctx.Err() != nil:
		fl.refuse(errkind.New(errkind.DeadlineUnreachable, "no target in time"), defaultRetryAfter)
	case fl.mayHaveRun:
		fl.refuse(errkind.Wrap(cause, errkind.TargetFailed, "the target failed"), -1)
	default:
		fl.refuse(errkind.Wrap(cause, errkind.TargetRefused, "no target took the request"), defaultRetryAfter)
	}
}

// defaultRetryAfter is the retry delay given to callers if no better one is
// known.
const defaultRetryAfter = 150 * time.Millisecond

// refuse writes an error response of this instance. The caller must pass a kind
// whose status implies that the request was not run only if that is so.
func (fl *flight) refuse(err error, retryAfter time.Duration) {
	fl.status = WriteError(fl.w, fl.o.Codec, fl.Request, err, retryAfter)
	if fl.outcome == "" {
		fl.outcome = err.Error()
	}
}

// WriteError writes an error response of this instance and returns its status.
func WriteError(w http.ResponseWriter, codec relay.Codec, req *relay.Request, err error, retryAfter time.Duration) int {
	body := errkind.BodyOf(err, "")
	if req != nil {
		body = errkind.BodyOf(err, req.ID)
	}
	status := errkind.Of(err).Answer().Status
	codec.SetOwnHeader(w.Header(), req, retryAfter)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	text, err := json.Marshal(body)
	if err == nil {
		_, _ = w.Write(text)
	}
	return status
}
