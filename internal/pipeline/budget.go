package pipeline

import (
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/profile"
)

const (
	// refuseQuantile is the quantile of stage times for early refusal: a request
	// is refused if the sum of this quantile over its stages exceeds the remaining
	// time. A lower quantile refuses fewer requests.
	refuseQuantile = 0.25
	// reserveQuantile is the quantile of stage times that is reserved for each
	// later stage.
	reserveQuantile = 0.5
	// splitQuantile is the quantile of stage times that determines the division
	// of the time among the stages.
	splitQuantile = 0.9
	// probeOneIn is the number of requests to be refused early of which one, on
	// average, is run nevertheless. Stage times are measured only on requests that
	// run: if all were refused after a slow minute, nothing would show that the
	// targets have become fast again.
	probeOneIn = 16
)

// quantile returns the quantile of a stage's time, averaged over its providers by
// their weights. It returns false if no provider with a weight has been measured.
func (r *Runner) quantile(stage profile.Stage, q float64) (time.Duration, bool) {
	var sum, weights float64
	for _, provider := range stage.Providers {
		d, ok := r.opts.Gate.Quantile(provider.Service, stage.Name, q)
		if !ok || provider.Weight <= 0 {
			continue
		}
		sum += provider.Weight * float64(d)
		weights += provider.Weight
	}
	if weights == 0 {
		return 0, false
	}
	return time.Duration(sum / weights), true
}

// refuseEarly returns an error if the stages from i on would not finish in the
// remaining time and nothing has been dispatched yet. Stages that have not been
// measured count as 0.
func (x *execution) refuseEarly(i int) error {
	if x.dispatches.mayHaveRun() {
		return nil
	}
	var need time.Duration
	for _, stage := range x.prof.Profile.Stages[i:] {
		d, _ := x.r.quantile(stage, refuseQuantile)
		need += d
	}
	if need <= x.remaining() || x.r.chance(probeOneIn) {
		return nil
	}
	x.r.opts.Metrics.Counter(metricEarlyRefusals).Add(1)
	err := errkind.New(errkind.DeadlineUnreachable, "the stages need about %v", need.Round(time.Millisecond))
	return errkind.WithRetryAfter(err, x.r.jitter(retryAfter))
}

// stageDeadline returns the time by which stage i should end so that the later
// stages have the time that they usually need. It only determines the order in
// queues; requests are ended by their own deadline.
func (x *execution) stageDeadline(i int) time.Time {
	stages := x.prof.Profile.Stages[i:]
	remaining := x.remaining()
	reserve, measured := x.reserve(stages[1:])
	allotted := time.Duration(float64(remaining) * x.fraction(stages))
	if !measured {
		return x.now().Add(allotted)
	}
	return x.now().Add(max(allotted, remaining-reserve))
}

// reserve returns the time to reserve for the later stages. measured is false if
// any of them has not been measured.
func (x *execution) reserve(later []profile.Stage) (sum time.Duration, measured bool) {
	for _, stage := range later {
		d, ok := x.r.quantile(stage, reserveQuantile)
		if !ok {
			return 0, false
		}
		sum += d
	}
	return sum, true
}

// fraction returns the first stage's fraction of the time for all given stages. It
// is based on the measured quantiles, or on the shares of the profile until all
// stages have been measured.
func (x *execution) fraction(stages []profile.Stage) float64 {
	weights := make([]float64, len(stages))
	for i, stage := range stages {
		d, ok := x.r.quantile(stage, splitQuantile)
		if !ok {
			return fractionByShares(stages)
		}
		weights[i] = float64(d)
	}
	return firstFraction(weights)
}

func fractionByShares(stages []profile.Stage) float64 {
	weights := make([]float64, len(stages))
	for i, stage := range stages {
		weights[i] = stage.Share
		if stage.Share <= 0 {
			weights[i] = 1 / float64(len(stages))
		}
	}
	return firstFraction(weights)
}

func firstFraction(weights []float64) float64 {
	var sum float64
	for _, w := range weights {
		sum += w
	}
	if sum <= 0 {
		return 1
	}
	return weights[0] / sum
}
