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
	listRevision   uint64        // revision of the target list when the last attempt was sent; 0 = none was
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
