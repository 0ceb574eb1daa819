// Package admission controls which requests run, wait or are refused. It
// enforces the limits of organisations, queues attempts fairly, adapts a
// concurrency limit for each target, bounds retries and hedges by a retry
// budget, and refuses early what cannot meet its deadline.
package admission

import (
	"context"
	"time"

	"lynxhill.example/lynxhill/internal/routing"
)

// AdmitRequest describes a request that asks for admission to the instance.
type AdmitRequest struct {
	Organisation string
	Profile      string
	Priority     int
	Deadline     time.Time
}

// Admitter admits requests to the instance.
type Admitter interface {
	// Admit admits a request, or refuses it immediately with OrganisationLimit,
	// Overloaded, Isolated or DeadlineUnreachable. The caller must call leave when
	// the request has ended.
	Admit(ctx context.Context, entry AdmitRequest) (leave func(), err error)
}

// SlotRequest describes the slot that one attempt needs on a target.
type SlotRequest struct {
	Query    routing.Query
	Priority int
	// Provider, if set, is the only provider that may be chosen: a stream that
	// was begun by one model cannot be resumed by another.
	Provider string
	// Retry marks a retry, resume or hedge. It is granted only within the retry
	// budget, so that a fault does not multiply the load.
	Retry bool
	// AfterFault marks a retry, resume or hedge that follows a failure that is not a
	// sign of load (a connection that broke or could not be made, a target that
	// is leaving), or that takes over from a running attempt. It is charged to a
	// separate, larger budget.
	AfterFault bool
	// NoWait refuses the attempt instead of queueing it; it is set for hedges.
	NoWait bool
}

// Result describes how an attempt ended.
type Result struct {
	Duration  time.Duration
	FirstByte time.Duration // 0 if no byte was received
	Gap       time.Duration // longest wait between two frames, 0 if unknown
	PerToken  time.Duration // after the first frame, 0 if unknown
	Tokens    int           // of a complete answer, 0 if unknown
	OK        bool
	Refused   bool // the target refused the call as busy or leaving
	Overload  bool // timeout or silence, which the limiter treats as overload
	Leaving   bool // the target reported that it is leaving
	Cancelled bool // cancelled by this instance: no failure of the target
	// Connection marks a failure of the connection, which says nothing about the
	// target.
	Connection bool
	LostRace   bool // cancelled because an attempt on another target responded first
}

// Slot is the right to make one attempt on the chosen target.
type Slot interface {
	Choice() routing.Choice
	// ReportPace reports the time per token of a stream in progress, so that a
	// straggler is ejected before the streams on it have ended. It is called for
	// unusually slow streams only.
	ReportPace(perToken time.Duration)
	// Done releases the slot. Only the first call has an effect.
	Done(result Result)
}

// Gate grants slots on targets.
type Gate interface {
	// Acquire chooses a target with free capacity, or waits in the queue of the
	// service (by priority, fair between organisations, earliest deadline first)
	// until there is one. It refuses with NoTarget, Overloaded,
	// DeadlineUnreachable or DeadlineBeforeRun. Error kinds that mean "not run"
	// are about this attempt only.
	Acquire(ctx context.Context, want SlotRequest) (Slot, error)
	// Timeouts returns how long to wait for the first byte and between frames for
	// the choice, derived from the latency distribution of the target, and after
	// how long to hedge (0: not at all).
	Timeouts(choice routing.Choice, query routing.Query) Timeouts
	// Quantile returns the q-quantile of the measured total time of the stage, and
	// false while there are too few samples.
	Quantile(service string, stage string, q float64) (time.Duration, bool)
}

// Timeouts are the time limits of one attempt.
type Timeouts struct {
	FirstByte  time.Duration
	Progress   time.Duration
	HedgeDelay time.Duration
	// Typical holds the typical values of the stage over all targets; zero while
	// there are too few samples.
	Typical Typical
}

// Typical holds typical values of a stage that streams, over all targets: the
// medians of the times and the mean length of an answer.
type Typical struct {
	FirstByte time.Duration
	PerToken  time.Duration
	Tokens    int // of a complete answer
}
