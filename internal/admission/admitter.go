package admission

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/defaults"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/gossip"
	"lynxhill.example/lynxhill/internal/metrics"
)

const (
	defaultMaxInFlight = 2000
	// lowestPriorityFill is the base of the fraction of the cap that a priority
	// may fill: the lowest priority may fill slightly more, each higher one more
	// than that, and the highest the whole cap.
	lowestPriorityFill = 0.8
	priorities         = 10
	// fairShareFactor bounds an organisation's requests in flight to this multiple
	// of the free capacity: an organisation alone uses up to four fifths of the
	// capacity, and less as others arrive. A fixed reservation for others would be
	// too small if they are many, and wasted if they are few.
	fairShareFactor = 4
	// refusalRetryAfter is the RetryAfter of a refusal by the cap or by a
	// concurrency limit.
	refusalRetryAfter = 200 * time.Millisecond
)

var (
	metricAdmitted = metrics.Define("admission_entered_total", "requests", "Requests admitted to the instance.")
	metricRefused  = metrics.Define("admission_refused_total", "requests", "Requests refused at the entry, by cause.")
	metricInFlight = metrics.Define("admission_in_flight", "requests", "Requests in flight at the instance.")
	metricActive   = metrics.Define("admission_active_organisations", "organisations", "Organisations with requests in flight.")
)

// States of load shedding.
const (
	notShedding int32 = iota
	sheddingUnlogged
	sheddingLogged
)

// sheddingEndHeadroom is the free fraction of the cap above which shedding has
// ended.
const sheddingEndHeadroom = 0.5

// Causes of refusal, the labels of admission_refused_total.
const (
	causeIsolated    = "isolated"
	causeDeadline    = "deadline"
	causePriority    = "priority"
	causeFairShare   = "fair_share"
	causeRate        = "rate"
	causeConcurrency = "concurrency"
)

// AdmitterOptions configure an InstanceAdmitter. Board and Clock are required.
type AdmitterOptions struct {
	Board       *board.Board
	Clock       clock.Clock
	MaxInFlight int // cap on requests in flight; 0: 2000
	// MayServe is called for each request, in addition to reading the board's row,
	// which is refreshed periodically and therefore outdated after a pause of the
	// process. If it is nil, only the row is used.
	MayServe func() bool
	Logger   *event.Logger
	Metrics  *metrics.Registry // may be nil
}

// InstanceAdmitter implements Admitter. It enforces the instance's cap on
// requests in flight, with load shedding by priority and fair share, and the
// limits of the organisations.
type InstanceAdmitter struct {
	options       AdmitterOptions
	inFlight      atomic.Int64
	active        atomic.Int64 // organisations with requests in flight
	shedding      atomic.Int32 // one of the states of load shedding
	organisations organisations
	admitted      *expvar.Int
	refused       *expvar.Map
}

// NewAdmitter returns an admitter that reads the board.
func NewAdmitter(o AdmitterOptions) *InstanceAdmitter {
	defaults.Positive(&o.MaxInFlight, defaultMaxInFlight)
	a := &InstanceAdmitter{
		options:       o,
		organisations: newOrganisations(),
		admitted:      o.Metrics.Counter(metricAdmitted),
		refused:       o.Metrics.Labelled(metricRefused),
	}
	o.Metrics.Func(metricInFlight, func() any { return a.InFlight() })
	o.Metrics.Func(metricActive, func() any { return a.active.Load() })
	return a
}

// InFlight returns the number of requests in flight.
func (a *InstanceAdmitter) InFlight() int { return int(a.inFlight.Load()) }

// FreeShare returns the free fraction of the cap, 0 to 1.
func (a *InstanceAdmitter) FreeShare() float64 {
	return max(0, 1-float64(a.inFlight.Load())/float64(a.options.MaxInFlight))
}

// Usage returns the demand and the requests in flight of every organisation with
// recent requests, in no particular order. The demand includes refused requests.
func (a *InstanceAdmitter) Usage() []gossip.Usage {
	return a.organisations.usage(a.options.Clock.Now())
}

// Admit implements Admitter. A refusal costs two table look-ups and does not
// wait for anything.
func (a *InstanceAdmitter) Admit(_ context.Context, entry AdmitRequest) (func(), error) {
	now := a.options.Clock.Now()
	self, _ := a.options.Board.Self.Get(board.SelfRow)
	if !self.MayAdmit() || a.options.MayServe != nil && !a.options.MayServe() {
		return nil, a.refuse(causeIsolated, errkind.Isolated, 0, "this instance cannot confirm its configuration")
	}
	if !entry.Deadline.IsZero() && !entry.Deadline.After(now) {
		return nil, a.refuse(causeDeadline, errkind.DeadlineUnreachable, 0, "the deadline has passed")
	}
	limit, _ := a.options.Board.Limits.Get(entry.Organisation)
	org := a.organisations.pin(entry.Organisation)
	if err := a.admit(org, entry, limit, now); err != nil {
		return nil, err
	}
	a.admitted.Add(1)
	a.logShedding()
	var left atomic.Bool
	return func() {
		if !left.Swap(true) {
			a.release(org)
		}
	}, nil
}

// admit applies the limits, under the lock of the organisation's shard.
func (a *InstanceAdmitter) admit(org *organisation, entry AdmitRequest, limit board.Limit, now time.Time) error {
	org.shard.mu.Lock()
	defer org.shard.mu.Unlock()
	org.pins--
	org.countRequest(now)
	if limit.Concurrent != 0 && org.inFlight >= limit.Concurrent {
		return a.refuse(causeConcurrency, errkind.OrganisationLimit, refusalRetryAfter, "the organisation has its limit of requests in flight")
	}
	if cause := a.reserve(org, entry.Priority); cause != "" {
		return a.refuse(cause, errkind.Overloaded, refusalRetryAfter, "the instance has its limit of requests in flight")
	}
	if wait := org.takeToken(limit.RatePerSecond, now); wait > 0 {
		a.inFlight.Add(-1)
		return a.refuse(causeRate, errkind.OrganisationLimit, wait, "the organisation has used up its rate")
	}
	if org.inFlight == 0 {
		a.active.Add(1)
	}
	org.inFlight++
	return nil
}

// reserve counts a request against the cap, or returns the cause of its refusal.
func (a *InstanceAdmitter) reserve(org *organisation, priority int) string {
	priorityCap := a.priorityCap(priority)
	for {
		inFlight := a.inFlight.Load()
		if float64(inFlight) >= priorityCap {
			a.markShedding()
			return causePriority
		}
		if float64(org.inFlight) >= fairShareFactor*(priorityCap-float64(inFlight)) {
			a.markShedding()
			return causeFairShare
		}
		if a.inFlight.CompareAndSwap(inFlight, inFlight+1) {
			return ""
		}
	}
}

// priorityCap returns the number of requests in flight from which on requests of
// the priority are refused.
func (a *InstanceAdmitter) priorityCap(priority int) float64 {
	rank := min(max(priority, 0), priorities-1) + 1
	fill := lowestPriorityFill + (1-lowestPriorityFill)*float64(rank)/priorities
	return max(1, fill*float64(a.options.MaxInFlight))
}

func (a *InstanceAdmitter) release(org *organisation) {
	org.shard.mu.Lock()
	org.inFlight--
	if org.inFlight == 0 {
		a.active.Add(-1)
	}
	org.shard.mu.Unlock()
	a.inFlight.Add(-1)
	a.logShedding()
}

func (a *InstanceAdmitter) refuse(cause string, kind errkind.Kind, after time.Duration, text string) error {
	a.refused.Add(cause, 1)
	err := errkind.New(kind, "%s", text)
	if after > 0 {
		err = errkind.WithRetryAfter(err, after)
	}
	return err
}

// markShedding records that requests are being shed. It is called under a lock,
// so the next logShedding writes the log entry.
func (a *InstanceAdmitter) markShedding() { a.shedding.CompareAndSwap(notShedding, sheddingUnlogged) }

// logShedding logs the start of shedding once, and its end once half of the cap
// is free.
func (a *InstanceAdmitter) logShedding() {
	state := a.shedding.Load()
	switch {
	case state == notShedding:
	case state == sheddingUnlogged && a.shedding.CompareAndSwap(sheddingUnlogged, sheddingLogged):
		a.options.Logger.Log(event.AdmissionShedding, "in_flight", a.InFlight(), "cap", a.options.MaxInFlight)
	case state == sheddingLogged && a.FreeShare() > sheddingEndHeadroom && a.shedding.CompareAndSwap(sheddingLogged, notShedding):
		a.options.Logger.Log(event.AdmissionShedOver, "in_flight", a.InFlight())
	}
}
