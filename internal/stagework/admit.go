package stagework

import (
	"slices"
	"time"
)

// Parameters of memory reservations.
const (
	// deferFactor is how much longer the rest of a request must take than a
	// stage with large results that only the engine reads for that stage to be
	// deferred.
	deferFactor = 1.3
	// largeShare is the share of a target's result memory from which on a
	// unit's results count as large.
	largeShare = 0.02
)

// admit returns the ready units that have a memory reservation, by rank. A unit
// that does not fit blocks the large units behind it, which would otherwise
// take the memory that it waits for; small units may pass.
func (p *Planner) admit(r *round) []*workUnit {
	v := r.v
	ready := p.rankReady(v, r.now)
	blocked := false
	admitted := ready[:0]
	for k, u := range ready {
		if !u.reserved && !p.policy.NoRoom {
			if blocked && u.large() || !v.canReserve(u, r.healthy) && !v.reclaim(u, ready[k+1:], r.healthy) {
				blocked = true
				continue
			}
			v.reserve(u)
		}
		admitted = append(admitted, u)
	}
	return admitted
}

// rankReady returns the ready units by rank. It also reorders the service's
// pending units: ready ones first, by rank, then the others. Sorting a list
// that is almost sorted costs little more than a scan.
func (p *Planner) rankReady(v *service, now time.Time) []*workUnit {
	ready, rest := v.readyBuf[:0], v.restBuf[:0]
	for _, u := range v.pendingUnits {
		if u.ready() && !u.job.returning && !p.deferred(u, now) {
			u.rank = p.rank(u, now)
			u.markReady(now)
			ready = append(ready, u)
		} else {
			rest = append(rest, u)
		}
	}
	slices.SortFunc(ready, byRank)
	copy(v.pendingUnits, ready)
	copy(v.pendingUnits[len(ready):], rest)
	v.readyBuf, v.restBuf = ready, rest
	return ready
}

// reclaim cancels reservations of less urgent units that have not started,
// lowest rank first, until the urgent unit fits, and reports whether it does.
// Memory is reserved ahead of a unit's turn, which keeps the order of equal
// units stable; such reservations must not block more urgent units.
func (v *service) reclaim(urgent *workUnit, later []*workUnit, healthy int) bool {
	for k := len(later) - 1; k >= 0; k-- {
		u := later[k]
		if !u.reserved || u.job.urgency <= urgent.job.urgency || u.waiting < len(u.pieces) {
			continue
		}
		v.unreserve(u)
		if v.canReserve(urgent, healthy) {
			return true
		}
	}
	return false
}

// large reports whether the unit's results take a significant share of a
// target's result memory.
func (u *workUnit) large() bool {
	return float64(int64(len(u.pieces))*u.resultBytes) > largeShare*float64(u.service.limits.ResultMemory)
}

// deferred reports whether the unit should wait: its results are large, only
// the engine reads them, and the rest of the request takes longer. Results that
// are ready too early would take memory from other requests.
func (p *Planner) deferred(u *workUnit, now time.Time) bool {
	if p.deferredByQueue(u, now) {
		return true
	}
	if len(u.dependents) > 0 || u.reserved || !u.large() {
		return false
	}
	own := time.Duration(deferFactor * float64(p.minTimeTo(u, now)))
	for _, other := range u.job.units {
		if other != u && len(other.dependents) == 0 && p.minTimeTo(other, now) > own {
			return true
		}
	}
	return false
}
