package admission

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/defaults"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/invariant"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/routing"
)

// GateOptions configure a ServiceGate. Board, Clock and Rand are required.
type GateOptions struct {
	Board  *board.Board
	Clock  clock.Clock
	Rand   *rand.Rand // used only while the gate is locked; seeds one source per service
	Zone   string
	Region string
	Policy routing.Policy
	Limits GateLimits // zero fields take the defaults
	// MayDispatch is called for each slot; nil allows all. It returns false after
	// a pause of the process until the configuration is confirmed again.
	MayDispatch func() bool
	Check       *invariant.Checker
	Logger      *event.Logger
	// Metrics may be nil.
	Metrics *metrics.Registry
}

// GateLimits are the tuning parameters of the gate.
type GateLimits struct {
	// StartLimit is a target's initial concurrency limit; it doubles in each round
	// of calls until the first sign of congestion.
	StartLimit int
	// MaxLimit bounds the concurrency limit of a target that has not reported its
	// slots.
	MaxLimit int
	// Overcommit bounds the calls at a target as a multiple of its slots, so that
	// an engine always has the next call queued when one ends.
	Overcommit float64
	// LatencyTolerance is how many times its own baseline a target's latency may
	// reach before its limit is decreased.
	LatencyTolerance float64
	// FreshLoad is the maximum age of a load report that marks a target as full.
	FreshLoad time.Duration
	// Queue bounds the waiters of a service.
	Queue int
	// RetryShare is the share of first attempts that may be retried within
	// RetryWindow, resumes and hedges included. RetryMin is the number of retries
	// that is always allowed.
	RetryShare  float64
	RetryMin    int
	RetryWindow time.Duration
	// FaultRetryShare and FaultRetryMin are the same for retries after failures
	// that are not a sign of load.
	FaultRetryShare float64
	FaultRetryMin   int
	// Window is the sliding window of the latency distributions; MinSamples is
	// the number of samples that a distribution needs before it is used.
	Window     time.Duration
	MinSamples int
	// Floors and ceilings of the timeouts and of the delay of a hedge, which is
	// the HedgeQuantile of the time to the first byte.
	FirstByteFloor time.Duration
	FirstByteCeil  time.Duration
	ProgressFloor  time.Duration
	ProgressCeil   time.Duration
	HedgeFloor     time.Duration
	HedgeQuantile  float64
	// EjectShare bounds the targets of a service that are ejected at once.
	EjectShare float64
	// EjectBase is the duration of the first ejection; it doubles with each
	// consecutive one up to EjectMax.
	EjectBase time.Duration
	EjectMax  time.Duration
	// EjectFailures is the number of consecutive failures, and EjectSlowness the
	// ratio of latency to the service's median, that eject a target.
	EjectFailures int
	EjectSlowness float64
	// LeavingGrace is how long after the first sign that a target is leaving a
	// dispatch to it is still no violation of the invariant.
	LeavingGrace time.Duration
}

// DefaultGateLimits returns the defaults of GateLimits.
func DefaultGateLimits() GateLimits {
	return GateLimits{
		StartLimit:       8,
		MaxLimit:         256,
		Overcommit:       1.25,
		LatencyTolerance: 3,
		FreshLoad:        time.Second,
		Queue:            1024,
		RetryShare:       0.1,
		RetryMin:         5,
		RetryWindow:      10 * time.Second,
		FaultRetryShare:  0.5,
		FaultRetryMin:    20,
		Window:           time.Minute,
		MinSamples:       20,
		FirstByteFloor:   500 * time.Millisecond,
		FirstByteCeil:    10 * time.Second,
		ProgressFloor:    time.Second,
		ProgressCeil:     5 * time.Second,
		HedgeFloor:       20 * time.Millisecond,
		HedgeQuantile:    0.95,
		EjectShare:       1.0 / 3,
		EjectBase:        5 * time.Second,
		EjectMax:         5 * time.Minute,
		EjectFailures:    3,
		EjectSlowness:    3,
		LeavingGrace:     3 * time.Second,
	}
}

// WithDefaults returns the limits with zero fields replaced by the defaults.
func (l GateLimits) WithDefaults() GateLimits {
	d := DefaultGateLimits()
	defaults.Set(&l.StartLimit, d.StartLimit)
	defaults.Set(&l.MaxLimit, d.MaxLimit)
	defaults.Set(&l.Overcommit, d.Overcommit)
	defaults.Set(&l.LatencyTolerance, d.LatencyTolerance)
	defaults.Set(&l.FreshLoad, d.FreshLoad)
	defaults.Set(&l.Queue, d.Queue)
	defaults.Set(&l.RetryShare, d.RetryShare)
	defaults.Set(&l.RetryMin, d.RetryMin)
	defaults.Set(&l.RetryWindow, d.RetryWindow)
	defaults.Set(&l.FaultRetryShare, d.FaultRetryShare)
	defaults.Set(&l.FaultRetryMin, d.FaultRetryMin)
	defaults.Set(&l.Window, d.Window)
	defaults.Set(&l.MinSamples, d.MinSamples)
	defaults.Set(&l.FirstByteFloor, d.FirstByteFloor)
	defaults.Set(&l.FirstByteCeil, d.FirstByteCeil)
	defaults.Set(&l.ProgressFloor, d.ProgressFloor)
	defaults.Set(&l.ProgressCeil, d.ProgressCeil)
	defaults.Set(&l.HedgeFloor, d.HedgeFloor)
	defaults.Set(&l.HedgeQuantile, d.HedgeQuantile)
	defaults.Set(&l.EjectShare, d.EjectShare)
	defaults.Set(&l.EjectBase, d.EjectBase)
	defaults.Set(&l.EjectMax, d.EjectMax)
	defaults.Set(&l.EjectFailures, d.EjectFailures)
	defaults.Set(&l.EjectSlowness, d.EjectSlowness)
	defaults.Set(&l.LeavingGrace, d.LeavingGrace)
	return l
}

// Validate returns an error for the first invalid parameter.
func (l GateLimits) Validate() error {
	switch {
	case l.StartLimit < 1 || l.MaxLimit < l.StartLimit:
		return fmt.Errorf("gate limits: need 1 <= StartLimit (%d) <= MaxLimit (%d)", l.StartLimit, l.MaxLimit)
	case l.Overcommit < 1:
		return fmt.Errorf("gate limits: Overcommit %g is below 1", l.Overcommit)
	case l.LatencyTolerance <= 1:
		return fmt.Errorf("gate limits: LatencyTolerance %g is not above 1", l.LatencyTolerance)
	case l.Queue < 1:
		return fmt.Errorf("gate limits: Queue %d is below 1", l.Queue)
	case l.RetryShare < 0 || l.RetryShare > 1:
		return fmt.Errorf("gate limits: the share of retries %g is not between 0 and 1", l.RetryShare)
	case l.FaultRetryShare < 0 || l.FaultRetryShare > 1:
		return fmt.Errorf("gate limits: the share of retries after faults %g is not between 0 and 1", l.FaultRetryShare)
	case l.EjectShare < 0 || l.EjectShare > 0.5:
		return fmt.Errorf("gate limits: EjectShare %g is not between 0 and 0.5", l.EjectShare)
	case l.HedgeQuantile <= 0 || l.HedgeQuantile >= 1:
		return fmt.Errorf("gate limits: HedgeQuantile %g is not between 0 and 1", l.HedgeQuantile)
	}
	return nil
}
