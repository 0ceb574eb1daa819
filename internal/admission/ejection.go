package admission

import "time"

const (
	slownessWeight = 0.2 // of a new sample in the moving mean
	slownessClip   = 20  // one hung call must not outweigh all others for long
	slownessMin    = 10  // samples before slowness ejects
	// behindLimit of signs without a call at the usual pace between them ejects a
	// target. A slow pace is the surer sign: a call that was late to begin may
	// have had a long prompt.
	behindLimit  = 4
	behindPace   = 2
	behindStart  = 1
	maxDoublings = 6
)

// ejection is the state of a target that may be a straggler.
type ejection struct {
	failures  int     // in a row
	slowness  float64 // moving mean of duration over the service's median
	samples   int
	behind    int       // signs of slowness since the last call at the usual pace
	until     time.Time // left out until then
	probation bool      // after that, one call at a time until one is well
	times     int       // ejections in a row, for the back-off
	wellSince time.Time
}

// observe takes in a result and reports whether the target stands out.
// typical is the stage's median over the service, 0 if unknown.
func (e *ejection) observe(r Result, typical time.Duration, now time.Time, l *GateLimits) bool {
	if r.Refused || r.Connection {
		return false
	}
	if r.Cancelled && float64(r.Duration) < l.EjectSlowness*float64(typical) || r.Cancelled && typical == 0 {
		return false
	}
	if !r.OK && !r.Cancelled {
		e.failures++
		return e.failures >= e.allowedFailures(l)
	}
	if r.OK {
		e.failures = 0
	}
	e.addSlowness(r.Duration, typical)
	if e.slow(l) {
		return true
	}
	e.recover(r, now, l)
	return false
}

// observePace takes in how many times the usual time a call under way needs, and
// reports whether the target stands out. sign is what it counts. Without it a straggler would be
// found only when the streams on it end, eight times later than on others, and
// would get new ones meanwhile.
func (e *ejection) observePace(ratio float64, sign int, l *GateLimits) bool {
	if ratio <= l.EjectSlowness {
		e.behind = 0
		return false
	}
	e.behind += sign
	return e.probation || e.behind >= behindLimit
}

// allowedFailures is one on probation: a probe that fails ejects again.
func (e *ejection) allowedFailures(l *GateLimits) int {
	if e.probation {
		return 1
	}
	return l.EjectFailures
}

func (e *ejection) addSlowness(d, typical time.Duration) {
	if typical <= 0 {
		return
	}
	ratio := min(float64(d)/float64(typical), slownessClip)
	if e.samples == 0 {
		e.slowness = ratio
	}
	e.slowness += slownessWeight * (ratio - e.slowness)
	e.samples++
}

func (e *ejection) slow(l *GateLimits) bool {
	needed := slownessMin
	if e.probation {
		needed = 1
	}
	return e.samples >= needed && e.slowness > l.EjectSlowness
}

func (e *ejection) recover(r Result, now time.Time, l *GateLimits) {
	if !r.OK {
		return
	}
	if e.probation {
		e.probation = false
		e.wellSince = now
	}
	if e.times > 0 && now.Sub(e.wellSince) > l.EjectMax {
		e.times = 0
	}
}

// eject leaves the target out, twice as long as the last time.
func (e *ejection) eject(now time.Time, l *GateLimits) time.Duration {
	d := min(l.EjectBase<<min(e.times, maxDoublings), l.EjectMax)
	e.times++
	e.until = now.Add(d)
	e.probation = true
	e.failures, e.samples, e.slowness, e.behind = 0, 0, 0, 0
	return d
}

// out reports whether the target gets no call: ejected, or on probation with
// its one probe under way.
func (e *ejection) out(now time.Time, inFlight int) bool {
	if now.Before(e.until) {
		return true
	}
	return e.probation && inFlight > 0
}

// ejected reports whether the target counts against the bound.
func (e *ejection) ejected(now time.Time) bool { return now.Before(e.until) }
