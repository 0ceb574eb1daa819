package stagework

import (
	"slices"
	"time"
)

// Factors of the room that is set aside.
const (
	// holdFactor says how much longer the rest of a request must take before a
	// stage with large results that nothing waits for is put off.
	holdFactor = 1.3
	// largeShare is the share of a target's room from which on a unit's
	// results count as large.
	largeShare = 0.02
)

// admit returns the ready units that have room set aside, by rank. A unit that
// does not fit keeps those after it from room that it waits for, save small
// ones.
func (p *Planner) admit(r *round) []*unit {
	v := r.v
	ready := p.rankReady(v, r.now)
	blocked := false
	admitted := ready[:0]
	for k, u := range ready {
		if !u.reserved && !p.policy.NoRoom {
			if blocked && u.large() || !v.admits(u, r.alive) && !v.yield(u, ready[k+1:], r.alive) {
				blocked = true
				continue
			}
			v.reserve(u)
		}
		admitted = append(admitted, u)
	}
	return admitted
}

// rankReady returns the units that are ready, by rank. It leaves the service's
// units in that order, the others behind them: sorting what is almost in order
// takes little more than looking at it.
func (p *Planner) rankReady(v *service, now time.Time) []*unit {
	ready, rest := v.ready[:0], v.rest[:0]
	for _, u := range v.units {
		if u.ready() && !u.job.leaving && !p.held(u, now) {
			u.rank = p.rank(u, now)
			u.sawReady(now)
			ready = append(ready, u)
		} else {
			rest = append(rest, u)
		}
	}
	slices.SortFunc(ready, byRank)
	copy(v.units, ready)
	copy(v.units[len(ready):], rest)
	v.ready, v.rest = ready, rest
	return ready
}

// yield takes room back from less urgent units of which no piece was begun,
// the last first, until the unit fits, and reports whether it does. Room is set
// aside before a unit's turn, which keeps the order of equals steady; it must
// not hold back what is more urgent.
func (v *service) yield(r *unit, later []*unit, alive int) bool {
	for k := len(later) - 1; k >= 0; k-- {
		u := later[k]
		if !u.reserved || u.job.Priority <= r.job.Priority || u.waiting < len(u.pieces) {
			continue
		}
		v.unreserve(u)
		if v.admits(r, alive) {
			return true
		}
	}
	return false
}

// large reports whether the unit's results take a noticeable part of a target's
// room.
func (u *unit) large() bool {
	return float64(int64(len(u.pieces))*u.bytes) > largeShare*float64(u.service.limits.ResultRoom)
}

// held reports whether the unit can wait: its results are large, only the
// engine reads them, and the rest of its request takes longer. Results that lie
// about until then would take the room of other requests.
func (p *Planner) held(u *unit, now time.Time) bool {
	if len(u.followers) > 0 || u.reserved || !u.large() {
		return false
	}
	own := time.Duration(holdFactor * float64(p.path(u, now)))
	for _, other := range u.job.units {
		if other != u && len(other.followers) == 0 && p.path(other, now) > own {
			return true
		}
	}
	return false
}
