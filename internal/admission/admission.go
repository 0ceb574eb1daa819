// Package admission decides what runs now, what waits and what is refused:
// limits of organisations, fair queues, adaptive concurrency of targets,
// budgets for retries and hedges, early refusal.
package admission

import (
	"context"
	"time"

	"lynxhill.example/lynxhill/internal/routing"
)

// Entry describes a request at its entry.
type Entry struct {
	Organisation string
	Profile      string
	Priority     int
	Deadline     time.Time
}

// Admitter admits requests to the instance.
type Admitter interface {
	// Admit admits a request or refuses it at once with OrganisationLimit,
	// Overloaded, Isolated or DeadlineUnreachable. The caller runs leave when
	// the request has ended.
	Admit(ctx context.Context, entry Entry) (leave func(), err error)
}

// Want asks for a slot on a target for one attempt.
type Want struct {
	Query    routing.Query
	Priority int
	// Provider, if set, names the only provider that may answer: a stream that
	// was begun by one model can't be resumed by another.
	Provider string
	// Repeat marks a retry, resume or hedge: it is granted only within the
	// budget for repeats, so that a fault does not multiply the load.
	Repeat bool
	// Fault marks a repeat that follows something other than load (a connection
	// that broke or could not be made, a target that is leaving) or that takes
	// over from an attempt: it has a larger budget of its own.
	Fault bool
	// NoWait refuses instead of queueing: for hedges.
	NoWait bool
}

// Result tells the gate how an attempt went.
type Result struct {
	Duration  time.Duration
	FirstByte time.Duration // 0 if none came
	Gap       time.Duration // longest wait between two frames, 0 if unknown
	PerToken  time.Duration // after the first frame, 0 if unknown
	Tokens    int           // of a whole answer, 0 if unknown
	OK        bool
	Refused   bool // the target said busy or leaving
	Overload  bool // timeout or silence: a sign of overload for the limit
	Leaving   bool // the target said that it is leaving
	Cancelled bool // ended by us; says nothing of the target
	// Connection: the connection was at fault; says nothing of the target.
	Connection bool
	Outrun     bool // cancelled because another target began first
}

// Slot is the right to make one attempt on the chosen target.
type Slot interface {
	Choice() routing.Choice
	// Pace tells the time a token of a stream that is still under way, so that
	// a straggler is ejected before the streams on it have ended. It is for
	// streams that stand out.
	Pace(perToken time.Duration)
	// Done gives the slot back, once.
	Done(result Result)
}

// Gate hands out slots.
type Gate interface {
	// Acquire chooses a target with room, or waits in the service's queue
	// (by priority, fair between organisations, earliest deadline first)
	// until one has. It refuses with NoTarget, Overloaded,
	// DeadlineUnreachable or DeadlineBeforeRun; kinds that say "not run" are
	// about this attempt only.
	Acquire(ctx context.Context, want Want) (Slot, error)
	// Timeouts returns how long to wait for the first byte and between frames
	// for the choice, from the target's own latency distribution, and after
	// how long a hedge is worth while (0: not at all).
	Timeouts(choice routing.Choice, query routing.Query) Timeouts
	// Quantile returns the q-quantile of the stage's measured total time, and
	// false while too little is measured.
	Quantile(service string, stage string, q float64) (time.Duration, bool)
}

// Timeouts govern one attempt.
type Timeouts struct {
	FirstByte time.Duration
	Progress  time.Duration
	HedgeAt   time.Duration
	// Usual is how the stage goes on its targets; zero while too little is
	// measured.
	Usual Usual
}

// Usual holds medians of a stage that streams, over all targets.
type Usual struct {
	FirstByte time.Duration
	PerToken  time.Duration
	Tokens    int // of a whole answer
}
