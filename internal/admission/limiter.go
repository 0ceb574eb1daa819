package admission

import "time"

const (
	refusedFactor  = 0.8  // factor of the limit when the target refused a call as busy
	overloadFactor = 0.6  // factor of the limit after a timeout or silence
	latencyFactor  = 0.9  // factor of the limit when latency is too far above the baseline
	latencyWindow  = 16   // samples whose mean is compared with the baseline
	baselineDrift  = 1.02 // highest rise of the baseline per window, so that one measured under better conditions expires
	minUtilisation = 0.5  // fraction of the limit that must be in use for the limit to increase
)

// limiter is the adaptive concurrency limit of this instance for one target. It
// uses slow start and additive increase, multiplicative decrease: while calls
// succeed and enough of the limit is in use, the limit doubles in each round of
// calls at first, and then grows by one per round. It is decreased when the
// target refuses calls, when calls time out, and when latency rises far above
// the target's baseline.
type limiter struct {
	limit         float64
	slowStartDone bool // set by the first decrease
	decreasedAt   time.Time
	latencySum    time.Duration // of the current window
	samples       int
	baseline      time.Duration // lowest mean latency of a window, drifting up
}

// limitCeiling returns the highest limit that the target's slots allow.
func limitCeiling(slots int, l *GateLimits) float64 {
	if slots <= 0 {
		return float64(l.MaxLimit)
	}
	return max(1, float64(slots)*l.Overcommit)
}

// maxInFlight returns the number of calls that may be in flight at the target.
func (m *limiter) maxInFlight(slots int, l *GateLimits) int {
	if m.limit == 0 {
		m.limit = float64(l.StartLimit)
	}
	return int(max(1, min(m.limit, limitCeiling(slots, l))))
}

func (m *limiter) observe(r Result, inFlight, slots int, now time.Time, l *GateLimits) {
	switch {
	case r.Overload:
		m.decrease(overloadFactor, r.Duration, now)
	case r.Refused && !r.Leaving:
		m.decrease(refusedFactor, r.Duration, now)
	case r.OK:
		m.observeLatency(r.Duration, now, l)
		m.increase(inFlight, slots, l)
	}
}

// decrease lowers the limit at most once per round of calls, since all calls of
// a round meet the same overload.
func (m *limiter) decrease(factor float64, round time.Duration, now time.Time) {
	m.slowStartDone = true
	minInterval := max(round, m.baseline, 10*time.Millisecond)
	if now.Sub(m.decreasedAt) < minInterval {
		return
	}
	m.decreasedAt = now
	m.limit = max(1, m.limit*factor)
}

func (m *limiter) observeLatency(d time.Duration, now time.Time, l *GateLimits) {
	m.latencySum += d
	m.samples++
	if m.samples < latencyWindow {
		return
	}
	mean := m.latencySum / time.Duration(m.samples)
	m.latencySum, m.samples = 0, 0
	if m.baseline == 0 || mean < m.baseline {
		m.baseline = mean
		return
	}
	if float64(mean) > l.LatencyTolerance*float64(m.baseline) {
		m.decrease(latencyFactor, 0, now)
	}
	m.baseline = min(mean, time.Duration(baselineDrift*float64(m.baseline)))
}

func (m *limiter) increase(inFlight, slots int, l *GateLimits) {
	if float64(inFlight) < minUtilisation*m.limit {
		return
	}
	step := 1.0
	if m.slowStartDone {
		step = 1 / m.limit
	}
	m.limit = min(m.limit+step, limitCeiling(slots, l))
}
