package admission

import "time"

const (
	slownessWeight     = 0.2 // of a new sample in the moving mean
	maxSlownessSample  = 20  // keeps one hung call from outweighing all others for long
	minSlownessSamples = 10  // samples needed before slowness ejects
	// behindScoreLimit is the total score of slow calls, without a call at the
	// usual pace between them, that ejects a target. A slow pace has a higher
	// score since it is more reliable: a call with a late first byte may have had
	// a long prompt.
	behindScoreLimit = 4
	slowPaceScore    = 2
	lateStartScore   = 1
	maxDoublings     = 6 // of the ejection time
)

// ejection is the outlier detection state of a target.
type ejection struct {
	failures     int     // consecutive
	slowness     float64 // moving mean of the duration divided by the service's median
	samples      int
	behindScore  int       // total score of slow calls since the last call at the usual pace
	ejectedUntil time.Time // zero if never ejected
	probing      bool      // after the ejection, one call at a time until one succeeds
	ejections    int       // consecutive, for the backoff
	healthySince time.Time
}

// observe records a result and reports whether the target is to be ejected.
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

// observePace records the ratio of a call's time to the usual time, and reports
// whether the target is to be ejected. score is what a slow call adds to
// behindScore. Without observePace, a straggler would be found only when the
// streams on it end, eight times later than on others, and would get new streams
// meanwhile.
func (e *ejection) observePace(ratio float64, score int, l *GateLimits) bool {
	if ratio <= l.EjectSlowness {
		e.behindScore = 0
		return false
	}
	e.behindScore += score
	return e.probing || e.behindScore >= behindScoreLimit
}

// allowedFailures returns the number of consecutive failures that ejects the
// target. It is one while probing: a probe that fails ejects the target again.
func (e *ejection) allowedFailures(l *GateLimits) int {
	if e.probing {
		return 1
	}
	return l.EjectFailures
}

func (e *ejection) addSlowness(d, typical time.Duration) {
	if typical <= 0 {
		return
	}
	ratio := min(float64(d)/float64(typical), maxSlownessSample)
	if e.samples == 0 {
		e.slowness = ratio
	}
	e.slowness += slownessWeight * (ratio - e.slowness)
	e.samples++
}

func (e *ejection) slow(l *GateLimits) bool {
	needed := minSlownessSamples
	if e.probing {
		needed = 1
	}
	return e.samples >= needed && e.slowness > l.EjectSlowness
}

func (e *ejection) recover(r Result, now time.Time, l *GateLimits) {
	if !r.OK {
		return
	}
	if e.probing {
		e.probing = false
		e.healthySince = now
	}
	if e.ejections > 0 && now.Sub(e.healthySince) > l.EjectMax {
		e.ejections = 0
	}
}

// eject ejects the target and returns for how long. The time doubles with each
// consecutive ejection.
func (e *ejection) eject(now time.Time, l *GateLimits) time.Duration {
	d := min(l.EjectBase<<min(e.ejections, maxDoublings), l.EjectMax)
	e.ejections++
	e.ejectedUntil = now.Add(d)
	e.probing = true
	e.failures, e.samples, e.slowness, e.behindScore = 0, 0, 0, 0
	return d
}

// excluded reports whether the target gets no calls: it is ejected, or probing
// with its one probe in flight.
func (e *ejection) excluded(now time.Time, inFlight int) bool {
	if now.Before(e.ejectedUntil) {
		return true
	}
	return e.probing && inFlight > 0
}

// ejected reports whether the target is ejected now and counts against the bound
// on ejected targets.
func (e *ejection) ejected(now time.Time) bool { return now.Before(e.ejectedUntil) }
