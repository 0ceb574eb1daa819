// Package allowance shares out among the instances what a target bears: few
// requests a second, summed over all instances. It does no I/O and is given the
// time.
//
// The share follows from the names of the instances alone. Nothing is agreed
// for it and nothing is counted together, so that the sum keeps to the bound
// while instances are cut off from each other, hold each other for dead, die
// and start again: an instance that is down leaves its share unused. Two things
// would break that, and both are kept from it. Instances whose lists differ
// rank differently; each that only one of two lists names adds one sender at
// most, which is what a bound's tolerance is kept for. An instance that starts
// again does not know what it sent a moment ago, so it sends nothing to such
// targets in its first span.
package allowance

import (
	"math"
	"time"
)

// Bound is how a kind of rate is held to.
type Bound struct {
	// Span is the time over which requests are counted: a little longer than the
	// rate means, since bounds hold for any such time and timers are not exact.
	Span time.Duration
	// Requests returns how many requests all instances together may send to a
	// target in a Span at a rate in requests a second.
	Requests func(rate float64) int
}

// ColdSpan is the span of a target that has just started, whose rate holds for
// each second.
const ColdSpan = 1050 * time.Millisecond

// Cold is the bound of targets that have just started. Their declared rate may
// be exceeded by the factor overage, below 1 counts as 1.
func Cold(overage func() float64) Bound {
	return Bound{Span: ColdSpan, Requests: func(rate float64) int { return coldRequests(rate, overage()) }}
}

func coldRequests(rate, overage float64) int { return int(math.Floor(rate * max(overage, 1))) }

const (
	// limitTime is the time over which a limit that a target names is kept: at
	// less than a request a second there would be none in a shorter one.
	limitTime = 4 * time.Second
	// limitSpan is limitTime and a little.
	limitSpan = limitTime + 200*time.Millisecond
)

// Named is the bound of a limit that a target names in its answers. One request
// is always allowed: a target that gets nothing can't say that its limit ended.
func Named() Bound {
	return Bound{Span: limitSpan, Requests: func(rate float64) int {
		return int(max(math.Floor(min(rate, maxRate)*limitTime.Seconds()), 1))
	}}
}

// maxRate is a rate that bounds nothing, and fits an int in any span.
const maxRate = 1e6
