package pipeline

import (
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/profile"
)

const (
	// refuseQuantile: a request is refused early if even the sum of these
	// quantiles of its stages exceeds what remains. A lower one refuses less.
	refuseQuantile = 0.25
	// reserveQuantile is kept for each later stage.
	reserveQuantile = 0.5
	// splitQuantile weighs the stages when time is too short for all reserves.
	splitQuantile = 0.9
	// probeOneIn lets one in so many hopeless requests through. Stages are
	// measured by the requests that run: if all were refused after a slow
	// minute, nothing would ever show that the targets are fast again.
	probeOneIn = 16
)

// quantile returns a stage's quantile over its providers by their weights.
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

// refuseEarly refuses a request whose stages from i on would not finish in
// what remains, as long as nothing was dispatched. Stages that are not yet
// measured count as instant.
func (x *execution) refuseEarly(i int) error {
	if x.dispatches.any() {
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

// stageDeadline is when stage i should end so that the later stages keep what
// they usually need. It orders queues; the request's own deadline cuts.
func (x *execution) stageDeadline(i int) time.Time {
	stages := x.prof.Profile.Stages[i:]
	remaining := x.remaining()
	reserve, measured := x.reserve(stages[1:])
	part := time.Duration(float64(remaining) * x.part(stages))
	if !measured {
		return x.now().Add(part)
	}
	return x.now().Add(max(part, remaining-reserve))
}

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

// part returns the first stage's part of the time for all the stages: by their
// measured quantiles, or by the shares of the profile until all are measured.
func (x *execution) part(stages []profile.Stage) float64 {
	weights := make([]float64, len(stages))
	for i, stage := range stages {
		d, ok := x.r.quantile(stage, splitQuantile)
		if !ok {
			return sharePart(stages)
		}
		weights[i] = float64(d)
	}
	return firstPart(weights)
}

func sharePart(stages []profile.Stage) float64 {
	weights := make([]float64, len(stages))
	for i, stage := range stages {
		weights[i] = stage.Share
		if stage.Share <= 0 {
			weights[i] = 1 / float64(len(stages))
		}
	}
	return firstPart(weights)
}

func firstPart(weights []float64) float64 {
	var sum float64
	for _, w := range weights {
		sum += w
	}
	if sum <= 0 {
		return 1
	}
	return weights[0] / sum
}
