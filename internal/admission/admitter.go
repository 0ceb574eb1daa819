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
	// lowestFill is the share of the cap that the lowest priority may fill;
	// each higher one may fill a little more, the highest all.
	lowestFill = 0.8
	priorities = 10
	// shareOfFree bounds an organisation's requests in flight, as a multiple of
	// the places that are free: one organisation alone takes four fifths of
	// the admitter, and gives way as others come. A fixed part kept for others
	// would be too small when they are many, and wasted when they are few.
	shareOfFree = 4
	// refusalPause is the RetryAfter of a refusal by the cap.
	refusalPause = 200 * time.Millisecond
)

var (
	metricEntered  = metrics.Define("admission_entered_total", "requests", "Requests admitted to the instance.")
	metricRefused  = metrics.Define("admission_refused_total", "requests", "Requests refused at the entry, by cause.")
	metricInFlight = metrics.Define("admission_in_flight", "requests", "Requests in flight at the instance.")
	metricActive   = metrics.Define("admission_active_organisations", "organisations", "Organisations with requests in flight.")
)

// States of shedding.
const (
	shedNot int32 = iota
	shedUntold
	shedTold
)

// shedOverRoom is the room at which shedding counts as over.
const shedOverRoom = 0.5

// Causes of refusal, the labels of admission_refused_total.
const (
	causeIsolated    = "isolated"
	causeDeadline    = "deadline"
	causePriority    = "priority"
	causeFairShare   = "fair_share"
	causeRate        = "rate"
	causeConcurrency = "concurrency"
)

// AdmitterOptions are the parts of a admitter. Board and Clock are required.
type AdmitterOptions struct {
	Board       *board.Board
	Clock       clock.Clock
	MaxInFlight int // 0: 2000
	// MayServe is asked for each request, besides the board's row, which is
	// refreshed by a period and so is out of date after a pause of the process.
	// Nil: the row alone.
	MayServe func() bool
	Logger   *event.Logger
	Metrics  *metrics.Registry // may be nil
}

// InstanceAdmitter implements Admitter: the instance's cap on requests in flight with
// shedding by priority and fair share, and the organisations' limits.
type InstanceAdmitter struct {
	options       AdmitterOptions
	inFlight      atomic.Int64
	active        atomic.Int64 // organisations with requests in flight
	shedding      atomic.Int32 // one of the shed states
	organisations organisations
	entered       *expvar.Int
	refused       *expvar.Map
}

// NewAdmitter returns a admitter over the board.
func NewAdmitter(o AdmitterOptions) *InstanceAdmitter {
	defaults.Positive(&o.MaxInFlight, defaultMaxInFlight)
	d := &InstanceAdmitter{
		options:       o,
		organisations: newOrganisations(),
		entered:       o.Metrics.Counter(metricEntered),
		refused:       o.Metrics.Labelled(metricRefused),
	}
	o.Metrics.Func(metricInFlight, func() any { return d.InFlight() })
	o.Metrics.Func(metricActive, func() any { return d.active.Load() })
	return d
}

// InFlight returns the number of requests in flight.
func (d *InstanceAdmitter) InFlight() int { return int(d.inFlight.Load()) }

// Room returns the free share of the cap, 0 to 1.
func (d *InstanceAdmitter) Room() float64 {
	return max(0, 1-float64(d.inFlight.Load())/float64(d.options.MaxInFlight))
}

// Usage returns the demand and the requests in flight of every organisation
// that asked lately, in no order. Demand counts refused requests too.
func (d *InstanceAdmitter) Usage() []gossip.Usage {
	return d.organisations.usage(d.options.Clock.Now())
}

// Admit implements Admitter. A refusal costs two table look-ups and waits for
// nothing.
func (d *InstanceAdmitter) Admit(_ context.Context, entry Entry) (func(), error) {
	now := d.options.Clock.Now()
	self, _ := d.options.Board.Self.Get(board.SelfRow)
	if !self.MayAdmit() || d.options.MayServe != nil && !d.options.MayServe() {
		return nil, d.refuse(causeIsolated, errkind.Isolated, 0, "this instance cannot confirm its configuration")
	}
	if !entry.Deadline.IsZero() && !entry.Deadline.After(now) {
		return nil, d.refuse(causeDeadline, errkind.DeadlineUnreachable, 0, "the deadline has passed")
	}
	limit, _ := d.options.Board.Limits.Get(entry.Organisation)
	org := d.organisations.take(entry.Organisation)
	if err := d.admit(org, entry, limit, now); err != nil {
		return nil, err
	}
	d.entered.Add(1)
	d.noteShedding()
	var left atomic.Bool
	return func() {
		if !left.Swap(true) {
			d.leave(org)
		}
	}, nil
}

// admit runs under the lock of the organisation's shard.
func (d *InstanceAdmitter) admit(org *organisation, entry Entry, limit board.Limit, now time.Time) error {
	org.shard.mu.Lock()
	defer org.shard.mu.Unlock()
	org.users--
	org.arrive(now)
	if limit.Concurrent != 0 && org.inFlight >= limit.Concurrent {
		return d.refuse(causeConcurrency, errkind.OrganisationLimit, refusalPause, "the organisation has its limit of requests in flight")
	}
	if cause := d.reserve(org, entry.Priority); cause != "" {
		return d.refuse(cause, errkind.Overloaded, refusalPause, "the instance has its limit of requests in flight")
	}
	if wait := org.takeToken(limit.RatePerSecond, now); wait > 0 {
		d.inFlight.Add(-1)
		return d.refuse(causeRate, errkind.OrganisationLimit, wait, "the organisation has used up its rate")
	}
	if org.inFlight == 0 {
		d.active.Add(1)
	}
	org.inFlight++
	return nil
}

// reserve takes a place of the cap or returns the cause of the refusal.
func (d *InstanceAdmitter) reserve(org *organisation, priority int) string {
	roof := d.roof(priority)
	for {
		taken := d.inFlight.Load()
		if float64(taken) >= roof {
			d.noteShed()
			return causePriority
		}
		if float64(org.inFlight) >= shareOfFree*(roof-float64(taken)) {
			d.noteShed()
			return causeFairShare
		}
		if d.inFlight.CompareAndSwap(taken, taken+1) {
			return ""
		}
	}
}

// roof is how many requests in flight a priority may meet and still enter.
func (d *InstanceAdmitter) roof(priority int) float64 {
	rank := min(max(priority, 0), priorities-1) + 1
	fill := lowestFill + (1-lowestFill)*float64(rank)/priorities
	return max(1, fill*float64(d.options.MaxInFlight))
}

func (d *InstanceAdmitter) leave(org *organisation) {
	org.shard.mu.Lock()
	org.inFlight--
	if org.inFlight == 0 {
		d.active.Add(-1)
	}
	org.shard.mu.Unlock()
	d.inFlight.Add(-1)
	d.noteShedding()
}

func (d *InstanceAdmitter) refuse(cause string, kind errkind.Kind, after time.Duration, text string) error {
	d.refused.Add(cause, 1)
	err := errkind.New(kind, "%s", text)
	if after > 0 {
		err = errkind.WithRetryAfter(err, after)
	}
	return err
}

// noteShed marks that requests are being shed. The log is told once, by the
// next noteShedding: this runs under a lock.
func (d *InstanceAdmitter) noteShed() { d.shedding.CompareAndSwap(shedNot, shedUntold) }

// noteShedding logs the begin of shedding and, once half of the cap is free,
// its end.
func (d *InstanceAdmitter) noteShedding() {
	state := d.shedding.Load()
	switch {
	case state == shedNot:
	case state == shedUntold && d.shedding.CompareAndSwap(shedUntold, shedTold):
		d.options.Logger.Log(event.AdmissionShedding, "in_flight", d.InFlight(), "cap", d.options.MaxInFlight)
	case state == shedTold && d.Room() > shedOverRoom && d.shedding.CompareAndSwap(shedTold, shedNot):
		d.options.Logger.Log(event.AdmissionShedOver, "in_flight", d.InFlight())
	}
}
