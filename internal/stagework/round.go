package stagework

import (
	"math"
	"time"
)

// slowThreshold is the ratio of a target's latency ratio to the service's from
// which on the target counts as slow: it gets a call only if that would still
// end first.
const slowThreshold = 1.4

// round holds what a plan derives about a service's targets before it forms
// calls. Each unit is compared with each target; values that do not depend on
// the unit are computed once here, and again only for a target that got a call.
type round struct {
	v             *service
	now           time.Time
	targets       []candidate    // by ID
	healthy       int            // targets that count as capacity
	free          int            // targets that may get a call
	waiting       int            // waiting pieces of all units
	waitCostPerMS float64        // cost of a millisecond of waiting for a busy target
	upcomingKnown bool           // upcomingUnits is computed
	upcomingUnits []upcomingUnit // units that become ready soon, earliest first
}

// candidate is a target with the values that a plan derived for it.
type candidate struct {
	*stageTarget
	free           bool    // it may get a call
	waitable       bool    // waiting for it is an option
	fast           bool    // it counts as capacity and is not slow
	latencyRatio   float64 // result of latencyRatioAt
	slowCost       float64 // cost of choosing it that is due to its latency ratio
	assignedPieces int     // pieces that wait for it in this plan
}

// free reports whether any target may get a call now.
func (v *service) free(now time.Time) bool {
	for _, s := range v.byID {
		if s.usable(now) {
			return true
		}
	}
	return false
}

// round evaluates the targets. It overwrites the candidates of the previous
// round.
func (v *service) round(now time.Time) *round {
	r := &round{v: v, now: now, targets: v.candidatesBuf[:0]}
	for _, s := range v.byID {
		if s.removed || s.info.Draining {
			continue
		}
		r.targets = append(r.targets, candidate{stageTarget: s, free: s.usable(now)})
		c := &r.targets[len(r.targets)-1]
		r.refresh(c)
		if c.free {
			r.free++
		}
		if s.healthy(now) {
			r.healthy++
		}
	}
	for _, u := range v.pendingUnits {
		r.waiting += u.waiting
	}
	v.candidatesBuf = r.targets
	return r
}

// refresh recomputes the values of a candidate that a call changes.
func (r *round) refresh(c *candidate) {
	limit := slowThreshold * r.v.latencyRatio
	c.latencyRatio = c.latencyRatioAt(r.now)
	c.slowCost = slowWeight * (c.latencyRatio/r.v.latencyRatio - 1)
	c.waitable = c.canWaitFor(r.now) && c.latencyRatio < limit
	c.fast = c.healthy(r.now) && c.latencyRatio < limit
}

// computeWaitCost computes the cost of waiting. It updates the load meter, so
// it is called only when a target is about to be chosen.
func (r *round) computeWaitCost() {
	r.waitCostPerMS = waitWeight + waitLoadWeight*min(r.v.load.load(r.healthy, r.now), 1)
}

// exclude keeps a free target from getting further calls in this plan.
func (r *round) exclude(c *candidate) {
	c.free = false
	r.free--
}

// fasterElsewhere reports whether a slow target's call would end after other
// targets, although they are busy now, had executed the same pieces.
func (r *round) fasterElsewhere(c *candidate) bool {
	v := r.v
	if c.latencyRatio < slowThreshold*v.latencyRatio {
		return false
	}
	nominal := float64(v.callTime(v.batch()))
	end := r.now.Add(time.Duration(nominal * c.latencyRatio))
	others, earliest := r.others(c)
	if others == 0 {
		return false
	}
	rounds := 1 + r.waiting/(others*v.batch())
	return earliest.Add(time.Duration(nominal * v.latencyRatio * float64(rounds))).Before(end)
}

// others returns the number of other targets that are healthy and not slow, and
// when the first of them is free.
func (r *round) others(c *candidate) (n int, earliest time.Time) {
	for i := range r.targets {
		o := &r.targets[i]
		if o == c || !o.fast {
			continue
		}
		n++
		start := o.busyUntil
		if start.Before(r.now) {
			start = r.now
		}
		if earliest.IsZero() || start.Before(earliest) {
			earliest = start
		}
	}
	return n, earliest
}

// pick returns the target with the least cost for the unit; nil means that
// waiting is better than any target. engineZone is the zone where an engine
// needs the unit's results; last is the latest start time.
func (r *round) pick(u *workUnit, engineZone string, last time.Time, crossZoneWeight float64) *candidate {
	var best *candidate
	bestCost := math.Inf(1)
	for i := range r.targets {
		c := &r.targets[i]
		wait := time.Duration(0)
		if !c.free {
			wait = c.busyUntil.Sub(r.now)
		}
		if !r.canMake(c, u, wait, last) {
			continue
		}
		cost := r.waitCostPerMS*float64(wait.Milliseconds()) + crossZoneWeight*u.crossZoneBytes(c.info.Zone, engineZone)/1e6 + c.slowCost
		if cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best
}

// canMake reports whether the target may run the unit's pieces after the wait.
func (r *round) canMake(c *candidate, u *workUnit, wait time.Duration, last time.Time) bool {
	if c.free && c.runsOtherSuspect(u) {
		return false
	}
	if c.free {
		return c.fits(u.resultBytes, r.now) && !r.fasterElsewhere(c)
	}
	return c.waitable && !r.now.Add(wait).After(last) && c.assignedPieces+u.waiting <= r.v.batch()
}
