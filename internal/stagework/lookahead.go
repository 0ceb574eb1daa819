package stagework

import (
	"slices"
	"time"
)

// Parameters of waiting for pieces that will become ready soon.
const (
	// maxLookahead bounds how long a ready unit waits for others. It is shorter
	// than a call; otherwise the unit would wait for the end of a whole call.
	maxLookahead = 250 * time.Millisecond
	// lateJobWeight is the weight of a late job's wait relative to that of an
	// on-time job. It is about the value that a late answer has for callers.
	lateJobWeight = 0.2
)

// upcomingUnit is a unit whose inputs are all available or being produced.
type upcomingUnit struct {
	*workUnit
	readyIn time.Duration // until it is ready
	zone    string        // where its inputs are
}

// upcoming returns the units that become ready soon, earliest first. They are
// determined when the first call of a round is considered.
func (r *round) upcoming() []upcomingUnit {
	if r.upcomingKnown {
		return r.upcomingUnits
	}
	r.upcomingKnown = true
	r.upcomingUnits = r.v.upcomingBuf[:0]
	for _, u := range r.v.pendingUnits {
		if u.readyAt.IsZero() && !u.job.returning && len(u.inputs) > 0 {
			if c, ok := u.upcomingAt(r.now); ok && c.readyIn < maxLookahead {
				r.upcomingUnits = append(r.upcomingUnits, c)
			}
		}
	}
	slices.SortStableFunc(r.upcomingUnits, func(a, b upcomingUnit) int {
		if a.readyIn != b.readyIn {
			return int(a.readyIn - b.readyIn)
		}
		return byRank(a.workUnit, b.workUnit)
	})
	r.v.upcomingBuf = r.upcomingUnits
	return r.upcomingUnits
}

// upcomingAt returns when the unit becomes ready, if that is known, which is
// the case if no piece that it depends on waits for a call.
func (u *workUnit) upcomingAt(now time.Time) (upcomingUnit, bool) {
	c := upcomingUnit{workUnit: u}
	for _, a := range u.inputs {
		if a.waiting > 0 {
			return c, false
		}
		if !a.done() {
			c.readyIn = max(c.readyIn, a.latestEnd().Sub(now))
		}
		c.zone = a.pieces[0].target.info.Zone
	}
	return c, true
}

// markReady records when a plan first finds the unit ready.
func (u *workUnit) markReady(now time.Time) {
	if u.readyAt.IsZero() {
		u.readyAt = now
	}
}

// jobWeight is the weight of the unit's waiting time.
func (u *workUnit) jobWeight() float64 {
	if u.job.late {
		return lateJobWeight
	}
	return 1
}

// lookaheadDelay returns how long a call of the units should wait for units
// that become ready soon.
//
// Without the delay, a target starts a call with the first results of one call
// of the previous stage, and those of another, which ends a moment later, wait
// for a whole call. The symptom is concurrent small calls and units that wait
// for the target in their zone. Since the end of the calls of the previous
// stage is known, the delay and its benefit can be computed: of all times at
// which a unit becomes ready, the one that saves the most waiting over all
// requests is chosen, if any saves some. On-time units are not delayed beyond
// their latest start time.
func (r *round) lookaheadDelay(s *candidate, units []*workUnit) time.Duration {
	n, present, slack := r.waitLimits(units)
	free := r.nextFree(s, r.v.expectedCallTime(n))
	best, delay := 0.0, time.Duration(0)
	joined, weights := 0, 0.0
	saved, ready := 0.0, 0.0 // weighted seconds
	for _, c := range r.upcoming() {
		if c.readyIn > slack {
			break
		}
		if c.zone != s.info.Zone || n+joined+c.waiting > r.v.batch() {
			continue
		}
		w := c.jobWeight()
		joined += c.waiting
		weights += w
		ready += w * c.readyIn.Seconds()
		saved += w * max(free-c.readyIn, 0).Seconds()
		longer := time.Duration(joined) * r.v.limits.ItemTime
		cost := present*(c.readyIn+longer).Seconds() + weights*c.readyIn.Seconds() - ready
		if saved-cost > best {
			best, delay = saved-cost, c.readyIn
		}
	}
	return delay
}

// waitLimits returns the number of waiting pieces of the units, the total
// weight of their waiting time, and how long they may wait.
func (r *round) waitLimits(units []*workUnit) (pieces int, weight float64, slack time.Duration) {
	slack = maxLookahead
	for _, u := range units {
		pieces += u.waiting
		weight += u.jobWeight()
		slack = min(slack, u.readyAt.Add(maxLookahead).Sub(r.now))
		if !u.job.late {
			slack = min(slack, u.rank.start.Sub(r.now))
		}
	}
	return pieces, weight, slack
}

// nextFree is the time until another target in the zone is free, at most the
// given length of a call of this target.
func (r *round) nextFree(s *candidate, length time.Duration) time.Duration {
	for i := range r.targets {
		c := &r.targets[i]
		if c.stageTarget == s.stageTarget || c.info.Zone != s.info.Zone {
			continue
		}
		switch {
		case c.free:
			return 0
		case c.waitable:
			length = min(length, c.busyUntil.Sub(r.now))
		}
	}
	return length
}
