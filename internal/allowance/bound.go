// Package allowance divides the rate limit of a target, a few requests a second
// summed over all instances, among the instances. It does no I/O and takes the
// time as an argument or from a clock.
//
// An instance's share is computed from the ids of the instances alone, without
// coordination or shared counters. The sum of all shares therefore stays within
// the limit during network partitions, false failure detection, crashes and
// restarts; the share of an instance that is down stays unused. Two cases need
// extra care. Instances with different lists rank the instances differently:
// each id that is in only one of two lists adds at most one sender, and the
// tolerance of a bound covers these. A restarted instance does not know what it
// sent before the restart, so it sends nothing to such targets in its first
// span.
package allowance

import (
	"math"
	"time"
)

// Bound defines how a kind of rate limit is enforced.
type Bound struct {
	// Span is the length of the sliding window in which requests are counted. It
	// is slightly longer than the period of the rate, since the limit holds for
	// every window of that period and timers are not exact.
	Span time.Duration
	// Requests returns how many requests all instances together may send to a
	// target per Span, for a rate in requests a second.
	Requests func(rate float64) int
}

// ColdSpan is the Span for targets that have just started, whose rate limit
// holds for every second.
const ColdSpan = 1050 * time.Millisecond

// Cold returns the bound for targets that have just started. Their declared
// rate may be exceeded by the factor that overage returns; factors below 1 count
// as 1.
func Cold(overage func() float64) Bound {
	return Bound{Span: ColdSpan, Requests: func(rate float64) int { return coldRequests(rate, overage()) }}
}

func coldRequests(rate, overage float64) int { return int(math.Floor(rate * max(overage, 1))) }

const (
	// statedLimitPeriod is the period for which a limit stated by a target is
	// enforced. In a shorter period, a limit of less than one request a second
	// would allow no request.
	statedLimitPeriod = 4 * time.Second
	// statedLimitSpan is statedLimitPeriod with a margin for inexact timers.
	statedLimitSpan = statedLimitPeriod + 200*time.Millisecond
)

// Stated returns the bound for a limit that a target states in its responses. At
// least one request per Span is always allowed: a target that receives no
// requests cannot report that its limit has ended.
func Stated() Bound {
	return Bound{Span: statedLimitSpan, Requests: func(rate float64) int {
		return int(max(math.Floor(min(rate, maxRate)*statedLimitPeriod.Seconds()), 1))
	}}
}

// maxRate caps the rate. It is too high to limit anything in practice, and the
// resulting number of requests fits an int.
const maxRate = 1e6
