package stagework

import (
	"slices"
	"time"
)

// acceptLateShared is acceptLate with shares: only the work that ranks before
// the job counts.
func (p *Planner) acceptLateShared(j *job, now time.Time) (bool, time.Duration) {
	f := p.onTimeForecast(now)
	for _, other := range p.urgencyQueue.jobs {
		if other.late && other != j && byUrgency(other, j) < 0 {
			f.add(other)
		}
	}
	end := f.lateEnd(j)
	return end <= j.lateLimit().Sub(now), end
}

// onTimeForecast returns the forecast of all on-time jobs.
func (p *Planner) onTimeForecast(now time.Time) *forecast {
	f := p.newForecast(now)
	for _, j := range p.urgencyQueue.jobs {
		if !j.late {
			f.add(j)
		}
	}
	return f
}

// lateLimit is the time until which a late job has to be forecast to end in
// order to be accepted.
func (j *job) lateLimit() time.Time {
	return j.arrived.Add(time.Duration(lateJobTimeShare * float64(j.Deadline.Sub(j.arrived))))
}

// lateEnd forecasts the time until a late job's first event, given the work
// ahead of it and the work that will arrive and rank before it: all that is on
// time, and that of more urgent priorities.
func (f *forecast) lateEnd(j *job) time.Duration {
	left := &forecast{now: f.now, queues: slices.Clone(f.queues)}
	for i := range left.queues {
		if q := &left.queues[i]; q.service != nil && q.units > 0 {
			q.work /= 1 - min(q.service.loadBefore(j.Priority, f.now), maxLoad)
		}
	}
	return left.end(j)
}

// loadBefore is the recent load by work that ranks before late work of the
// priority, relative to the service's capacity.
func (v *service) loadBefore(priority int, now time.Time) float64 {
	work := 0.0
	for n, k := range v.shares.priorities {
		work += k.all.at(now).onTime
		if n < priority {
			work += k.all.late
		}
	}
	return work / v.shareCapacity(now)
}

// hopelessShared is hopeless with shares. All late jobs are checked together, in
// the order in which they rank.
func (p *Planner) hopelessShared(j *job, now time.Time) bool {
	if now.Sub(p.lateCheckedAt) >= lateCheckInterval {
		p.checkLate(now)
	}
	p.dueBy(p.lateCheckedAt.Add(lateCheckInterval))
	return j.shares.hopeless
}

// checkLate determines which late jobs are not worth keeping: those that have
// not been started and would not be accepted now, and started ones that are
// forecast to end after their deadline, so that their next stages would be made
// in vain. A started job that cannot be on time any more counts as late.
func (p *Planner) checkLate(now time.Time) {
	p.lateCheckedAt = now
	for _, j := range p.urgencyQueue.jobs {
		if !j.late && len(j.units) > 0 && j.committed() && now.Add(p.remaining(j, now)).After(j.OnTimeUntil) {
			p.becomesLate(j, RuleNoCapacity, now)
		}
	}
	f := p.onTimeForecast(now)
	for _, j := range p.urgencyQueue.jobs {
		if !j.late {
			continue
		}
		if j.committed() {
			j.shares.hopeless = f.end(j) > j.Deadline.Sub(now)
		} else {
			j.shares.hopeless = f.lateEnd(j) > j.lateLimit().Sub(now)
		}
		if !j.shares.hopeless {
			f.add(j)
		}
	}
}

// deferredByQueue is deferred for a service in an overload: the rest of the
// request takes longer if the time in queues is included. Otherwise, large
// results wait for the rest on their target, and are thrown away if the request
// is given up meanwhile.
func (p *Planner) deferredByQueue(u *workUnit, now time.Time) bool {
	if !p.overload.Shares || !slices.ContainsFunc(u.job.units, func(o *workUnit) bool { return o.waiting > 0 && o.service.short(now) }) {
		return false
	}
	if p.cachedOnTime == nil || p.cachedOnTime.now != now {
		p.cachedOnTime = p.onTimeForecast(now)
	}
	own := time.Duration(deferFactor * float64(p.cachedOnTime.unitEnd(u)))
	for _, other := range u.job.finalUnits {
		if end := p.cachedOnTime.unitEnd(other); other != u && end > own {
			p.dueBy(now.Add(end - own))
			return true
		}
	}
	return false
}
