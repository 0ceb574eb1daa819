package stagework

import "time"

// Parameters of the floors of lower priorities.
const (
	// floorShare is the part of a service's capacity that each priority with
	// demand keeps, maxFloors that of all lower priorities together.
	floorShare = 0.1
	maxFloors  = 0.25
	// floorSpan is the time for which a floor that was not used is kept. A
	// decaying sum over several seconds would count the work from before a burst,
	// and a priority would get nothing in the first half of most bursts.
	floorSpan = time.Second
	// floorOwed is the part of the unused floor from which on more urgent jobs
	// have to leave capacity for it.
	floorOwed = 0.5
	// shortShare is the late work, relative to the capacity, from which on a
	// service counts as short of capacity.
	shortShare = 0.02
)

// floorAllowance is the part of a priority's floor that it has not used, in
// seconds of target time.
type floorAllowance struct {
	left, most float64
	updated    time.Time
}

// floorShare is the part of the service's capacity that each lower priority keeps.
// Priorities without recent demand have no floor.
func (s *serviceShares) floorShare(now time.Time) float64 {
	withDemand := 0
	for _, k := range s.priorities {
		if k.all.at(now).all() >= shareForgetBelow {
			withDemand++
		}
	}
	return min(floorShare, maxFloors/float64(max(withDemand-1, 1)))
}

// update adds what the floor, as a share of the time of n targets, is since the
// latest update. It is full at first.
func (a *floorAllowance) update(share float64, n int, now time.Time) {
	a.most = share * float64(max(n, 1)) * floorSpan.Seconds()
	if a.updated.IsZero() {
		a.left = a.most
	}
	a.left = min(a.left+a.most*float64(now.Sub(a.updated))/float64(floorSpan), a.most)
	a.updated = now
}

// take records on-time work. A priority that gets more than its floor owes none
// of it later.
func (a *floorAllowance) take(work float64) { a.left = max(a.left-work, 0) }

// giveBack records that the work is late after all.
func (a *floorAllowance) giveBack(work float64) { a.left = min(a.left+work, a.most) }

// short reports whether jobs were late recently for want of the service's
// targets. It also updates the floors.
func (v *service) short(now time.Time) bool {
	s := &v.shares
	if s.shortAt.Equal(now) {
		return s.short
	}
	healthy, _ := v.availability(now)
	s.short = s.late.at(now).late > shortShare*float64(max(healthy, 1))*shareDecay.Seconds()
	s.shortAt, s.owed = now, -1
	share := s.floorShare(now)
	for n, k := range s.priorities {
		k.floor.update(share, healthy, now)
		if k.all.at(now).late > 0 && k.floor.left > floorOwed*k.floor.most {
			s.owed = max(s.owed, n)
		}
	}
	return s.short
}

// owesFloor reports whether a less urgent priority than the given one gets less
// than its floor of the service.
func (v *service) owesFloor(priority int, now time.Time) bool {
	return v.short(now) && v.shares.owed > priority
}

// promote raises the urgency of a job of a lower priority to that of the most
// urgent one if its priority has got less than its floor of each service that it
// needs and that is short of capacity.
func (p *Planner) promote(j *job, now time.Time) {
	lowest := j.Priority
	for i := range j.shares.at {
		s := &j.shares.at[i]
		if !s.service.short(now) {
			continue
		}
		k := s.service.shares.priority(j.Priority)
		if k.floor.updated.IsZero() {
			healthy, _ := s.service.availability(now)
			k.floor.update(s.service.shares.floorShare(now), healthy, now)
		}
		if k.floor.left < s.work || k.overuse(j.Organisation, now) > 0 {
			return
		}
		for priority, other := range s.service.shares.priorities {
			if priority < lowest && other.all.at(now).all() > 0 {
				lowest = priority
			}
		}
	}
	if lowest < j.Priority {
		j.urgency, j.shares.promoted = lowest, true
	}
}
