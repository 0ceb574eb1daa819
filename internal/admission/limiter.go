package admission

import "time"

const (
	refusedCut   = 0.8  // of the limit, when the target refused as busy
	overloadCut  = 0.6  // of the limit, after a timeout or silence
	latencyCut   = 0.9  // of the limit, when latency stands above the floor
	limitWindow  = 16   // samples in one judgement of latency
	floorDrift   = 1.02 // a window, so that a floor from better days is forgotten
	busyFraction = 0.5  // of the limit in use, above which it may grow
)

// limiter is the adaptive concurrency limit of one target for this instance.
// It grows while calls succeed and the limit is in use: doubling each round at
// first, then by one a round. It is cut when the target refuses, when calls
// time out, and when latency rises far above the target's own floor.
type limiter struct {
	limit   float64
	started bool // the phase of doubling is over
	cutAt   time.Time
	sum     time.Duration // of the current window
	samples int
	floor   time.Duration // lowest mean of a window, drifting up
}

// roof is the highest limit the target's slots allow.
func roof(slots int, l *GateLimits) float64 {
	if slots <= 0 {
		return float64(l.MaxLimit)
	}
	return max(1, float64(slots)*l.Overcommit)
}

// room returns the number of calls that may be in flight.
func (m *limiter) room(slots int, l *GateLimits) int {
	if m.limit == 0 {
		m.limit = float64(l.StartLimit)
	}
	return int(max(1, min(m.limit, roof(slots, l))))
}

func (m *limiter) observe(r Result, inFlight, slots int, now time.Time, l *GateLimits) {
	switch {
	case r.Overload:
		m.cut(overloadCut, r.Duration, now)
	case r.Refused && !r.Leaving:
		m.cut(refusedCut, r.Duration, now)
	case r.OK:
		m.sample(r.Duration, now, l)
		m.grow(inFlight, slots, l)
	}
}

// cut lowers the limit at most once a round, since all calls of a round meet
// the same overload.
func (m *limiter) cut(by float64, round time.Duration, now time.Time) {
	m.started = true
	pause := max(round, m.floor, 10*time.Millisecond)
	if now.Sub(m.cutAt) < pause {
		return
	}
	m.cutAt = now
	m.limit = max(1, m.limit*by)
}

func (m *limiter) sample(d time.Duration, now time.Time, l *GateLimits) {
	m.sum += d
	m.samples++
	if m.samples < limitWindow {
		return
	}
	mean := m.sum / time.Duration(m.samples)
	m.sum, m.samples = 0, 0
	if m.floor == 0 || mean < m.floor {
		m.floor = mean
		return
	}
	if float64(mean) > l.LatencyTolerance*float64(m.floor) {
		m.cut(latencyCut, 0, now)
	}
	m.floor = min(mean, time.Duration(floorDrift*float64(m.floor)))
}

func (m *limiter) grow(inFlight, slots int, l *GateLimits) {
	if float64(inFlight) < busyFraction*m.limit {
		return
	}
	step := 1.0
	if m.started {
		step = 1 / m.limit
	}
	m.limit = min(m.limit+step, roof(slots, l))
}
