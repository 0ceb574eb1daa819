package routing

import (
	"math"
	"time"

	"lynxhill.example/lynxhill/internal/board"
)

// Tuning holds the constants of the estimate.
type Tuning struct {
	PlacePenalty  time.Duration // added for a target in another place of the region
	RegionPenalty time.Duration // added for a target in another region
	// BatchSlowdown is how much longer a call takes on an engine whose slots
	// are all in use than on an idle one, as a share of the service time.
	BatchSlowdown float64
	// ReportMemory is the time constant, in service times, with which a load
	// report gives way to the service's mean.
	ReportMemory float64
	// PrefixOverload bounds the load of a target that is preferred for a
	// prefix, as a multiple of the service's mean load.
	PrefixOverload float64
	// Unknown stands in for the service time while nothing is measured.
	Unknown time.Duration
	// UnknownSlots stands in for the slots of a target that has not reported.
	UnknownSlots int
}

// DefaultTuning returns the constants that are used unless others are given.
func DefaultTuning() Tuning {
	return Tuning{
		PlacePenalty:   3 * time.Millisecond,
		RegionPenalty:  60 * time.Millisecond,
		BatchSlowdown:  0.25,
		ReportMemory:   0.5,
		PrefixOverload: 1.25,
		Unknown:        100 * time.Millisecond,
		UnknownSlots:   8,
	}
}

// Local is what this instance knows of a target from its own calls.
type Local struct {
	InFlight  int           // own attempts in flight
	SentSince int           // of them, those begun after the load report was true
	Full      bool          // the limit for this instance is reached
	Ejected   bool          // left out for now as a straggler
	Median    time.Duration // of the service time, 0 while too little is measured
}

// LocalView answers with what this instance knows of a target. report is when
// the target's load report was true, zero without one.
type LocalView interface {
	Local(target string, load board.Load, reported bool) Local
}

// Mean is the mean load of a service, towards which old reports are drawn.
type Mean struct {
	PerSlot float64       // outstanding calls per slot
	Own     float64       // this instance's own calls in flight per target
	Service time.Duration // median service time, 0 if unknown
}

// outstanding estimates how many calls a target holds now: this instance's own,
// which it knows, and those of the others. A report loses its worth with age:
// what it said has been served meanwhile and others have sent more, so the
// others' part moves from the reported figure to the service's mean. Without
// that, the target with the oldest and luckiest report draws everybody's calls
// until its next one. deviation says how far off the estimate may be.
func (t *Tuning) outstanding(load board.Load, age time.Duration, slots int, service time.Duration, mean Mean, local Local) (mid, deviation float64) {
	ownThen := local.InFlight - local.SentSince
	others := float64(max(load.Report.Running+load.Report.Queued-ownThen, 0))
	usual := max(mean.PerSlot*float64(slots)-mean.Own, 0)
	memory := t.ReportMemory * float64(max(service, time.Millisecond))
	weight := math.Exp(-float64(max(age, 0)) / memory)
	return usual + (others-usual)*weight + float64(local.InFlight), spread(usual, weight)
}

// spread is the standard deviation of the others' part: none when the report
// is fresh, that of a Poisson variable when it has lost its worth.
func spread(usual, weight float64) float64 {
	return math.Sqrt(usual * (1 - weight*weight))
}

// Completion estimates the time until a call that is sent now has ended:
// waiting for a slot, then the service time, longer on a fuller engine.
func Completion(outstanding float64, slots int, service time.Duration, slowdown float64) time.Duration {
	width := float64(max(slots, 1))
	ahead := max(0, outstanding+1-width)
	busy := min(1, outstanding/width)
	share := ahead/width + 1 + slowdown*busy
	return time.Duration(share * float64(service))
}
