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

// GateOptions are the parts of a gate. Board, Clock and Rand are required.
type GateOptions struct {
	Board  *board.Board
	Clock  clock.Clock
	Rand   *rand.Rand // used only while the gate is locked; seeds one source a service
	Place  string
	Region string
	Policy routing.Policy
	Limits GateLimits // zero fields take the defaults
	// MayDispatch is asked for each slot; nil: always. It is false after a
	// pause of the process until the configuration is confirmed again.
	MayDispatch func() bool
	Check       *invariant.Checker
	Logger      *event.Logger
	// Metrics may be nil.
	Metrics *metrics.Registry
}

// GateLimits are the constants of the gate.
type GateLimits struct {
	// StartLimit is a target's concurrency limit before anything is learnt;
	// it doubles each round until the first sign of congestion.
	StartLimit int
	// MaxLimit bounds the limit of a target that has not reported its slots.
	MaxLimit int
	// Overcommit bounds the calls at a target as a multiple of its slots, so
	// that an engine always finds the next call when one ends.
	Overcommit float64
	// LatencyTolerance is how far a target's latency may rise above its own
	// floor before its limit is cut.
	LatencyTolerance float64
	// FreshLoad is how old a report may be and still mark a target as full.
	FreshLoad time.Duration
	// Queue bounds the waiters of a service.
	Queue int
	// RepeatShare is the share of first attempts that may be repeated within
	// RepeatWindow, and RepeatMin what may always be.
	RepeatShare  float64
	RepeatMin    int
	RepeatWindow time.Duration
	// FaultShare and FaultMin are the same for repeats after faults that are
	// not load.
	FaultShare float64
	FaultMin   int
	// Window is the sliding window of the latency distributions; MinSamples
	// is what a distribution needs before it is used.
	Window     time.Duration
	MinSamples int
	// Floors and ceilings of the timeouts.
	FirstByteFloor time.Duration
	FirstByteCeil  time.Duration
	ProgressFloor  time.Duration
	ProgressCeil   time.Duration
	HedgeFloor     time.Duration
	HedgeQuantile  float64
	// EjectShare bounds the targets of a service that are ejected at once.
	EjectShare float64
	// EjectBase is the first ejection; it doubles up to EjectMax.
	EjectBase time.Duration
	EjectMax  time.Duration
	// EjectFailures in a row, or latencies EjectSlowness times the service's
	// median, eject a target.
	EjectFailures int
	EjectSlowness float64
	// LeavingGrace is how long after the first sign that a target is leaving
	// a dispatch to it counts as a broken invariant.
	LeavingGrace time.Duration
}

// DefaultGateLimits returns the constants that zero fields take.
func DefaultGateLimits() GateLimits {
	return GateLimits{
		StartLimit:       8,
		MaxLimit:         256,
		Overcommit:       1.25,
		LatencyTolerance: 3,
		FreshLoad:        time.Second,
		Queue:            1024,
		RepeatShare:      0.1,
		RepeatMin:        5,
		RepeatWindow:     10 * time.Second,
		FaultShare:       0.5,
		FaultMin:         20,
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

// WithDefaults fills in zero fields.
func (l GateLimits) WithDefaults() GateLimits {
	d := DefaultGateLimits()
	defaults.Set(&l.StartLimit, d.StartLimit)
	defaults.Set(&l.MaxLimit, d.MaxLimit)
	defaults.Set(&l.Overcommit, d.Overcommit)
	defaults.Set(&l.LatencyTolerance, d.LatencyTolerance)
	defaults.Set(&l.FreshLoad, d.FreshLoad)
	defaults.Set(&l.Queue, d.Queue)
	defaults.Set(&l.RepeatShare, d.RepeatShare)
	defaults.Set(&l.RepeatMin, d.RepeatMin)
	defaults.Set(&l.RepeatWindow, d.RepeatWindow)
	defaults.Set(&l.FaultShare, d.FaultShare)
	defaults.Set(&l.FaultMin, d.FaultMin)
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

// Validate reports the first constant that cannot work.
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
	case l.RepeatShare < 0 || l.RepeatShare > 1:
		return fmt.Errorf("gate limits: RepeatShare %g is not between 0 and 1", l.RepeatShare)
	case l.FaultShare < 0 || l.FaultShare > 1:
		return fmt.Errorf("gate limits: FaultShare %g is not between 0 and 1", l.FaultShare)
	case l.EjectShare < 0 || l.EjectShare > 0.5:
		return fmt.Errorf("gate limits: EjectShare %g is not between 0 and 0.5", l.EjectShare)
	case l.HedgeQuantile <= 0 || l.HedgeQuantile >= 1:
		return fmt.Errorf("gate limits: HedgeQuantile %g is not between 0 and 1", l.HedgeQuantile)
	}
	return nil
}
