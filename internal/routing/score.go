package routing

import (
	"math"
	"time"

	"lynxhill.example/lynxhill/internal/board"
)

// Tuning holds the parameters of the completion estimate.
type Tuning struct {
	ZonePenalty   time.Duration // added for a target in another zone of the region
	RegionPenalty time.Duration // added for a target in another region
	// BatchSlowdown is the extra time that a call takes on an engine whose slots
	// are all in use, compared with an idle one, as a fraction of the service
	// time.
	BatchSlowdown float64
	// ReportDecay is the time constant, in service times, with which the weight
	// of a load report decays towards the service's mean load.
	ReportDecay float64
	// PrefixOverload bounds the load of a target that is chosen by prefix
	// affinity, as a multiple of the service's mean load.
	PrefixOverload float64
	// DefaultServiceTime is the service time that is assumed until one is
	// measured.
	DefaultServiceTime time.Duration
	// DefaultSlots is the assumed number of slots of a target that has not
	// reported any.
	DefaultSlots int
}

// DefaultTuning returns the default parameters.
func DefaultTuning() Tuning {
	return Tuning{
		ZonePenalty:        3 * time.Millisecond,
		RegionPenalty:      60 * time.Millisecond,
		BatchSlowdown:      0.25,
		ReportDecay:        0.5,
		PrefixOverload:     1.25,
		DefaultServiceTime: 100 * time.Millisecond,
		DefaultSlots:       8,
	}
}

// LocalState is the state of a target as this instance knows it from its own calls.
type LocalState struct {
	InFlight        int           // own attempts in flight
	SentSinceReport int           // of them, those begun after the time of the load report
	Full            bool          // has no capacity for another call of this instance
	Ejected         bool          // temporarily ejected as a straggler
	Median          time.Duration // median service time, 0 until there are enough samples
}

// LocalView returns this instance's own view of a target. load is the target's
// latest load report; reported is false if there is none.
type LocalView interface {
	Local(target string, load board.Load, reported bool) LocalState
}

// ServiceMean is the mean load of a service; the estimate for a target converges to it
// as the target's load report ages.
type ServiceMean struct {
	PerSlot      float64       // outstanding calls per slot
	OwnPerTarget float64       // this instance's own calls in flight per target
	Service      time.Duration // median service time, 0 if unknown
}

// outstanding estimates the number of calls that a target holds now: this
// instance's own, which are known exactly, and those of the other instances. A
// report becomes less informative with age, because the reported calls have been
// served meanwhile and the other instances have sent new ones. The estimate of
// their calls therefore decays from the reported figure to the service's mean.
// Without the decay, the target whose old report shows the lowest load would
// attract the calls of all instances until its next report. deviation is the
// standard deviation of the estimate.
func (t *Tuning) outstanding(load board.Load, age time.Duration, slots int, service time.Duration, mean ServiceMean, local LocalState) (mid, deviation float64) {
	ownThen := local.InFlight - local.SentSinceReport
	others := float64(max(load.Report.Running+load.Report.Queued-ownThen, 0))
	expectedOthers := max(mean.PerSlot*float64(slots)-mean.OwnPerTarget, 0)
	decay := t.ReportDecay * float64(max(service, time.Millisecond))
	weight := math.Exp(-float64(max(age, 0)) / decay)
	return expectedOthers + (others-expectedOthers)*weight + float64(local.InFlight), othersDeviation(expectedOthers, weight)
}

// othersDeviation returns the standard deviation of the estimated number of calls
// of the other instances: 0 for a fresh report, rising to that of a Poisson
// variable as the weight of the report falls to 0.
func othersDeviation(expectedOthers, weight float64) float64 {
	return math.Sqrt(expectedOthers * (1 - weight*weight))
}

// EstimateCompletion estimates the time until a call that is sent now completes:
// the wait for a slot plus the service time, which grows with the share of slots
// in use.
func EstimateCompletion(outstanding float64, slots int, service time.Duration, slowdown float64) time.Duration {
	width := float64(max(slots, 1))
	queued := max(0, outstanding+1-width)
	busy := min(1, outstanding/width)
	serviceTimes := queued/width + 1 + slowdown*busy
	return time.Duration(serviceTimes * float64(service))
}
