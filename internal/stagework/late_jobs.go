package stagework

import (
	"slices"
	"time"
)

// acceptLateShared is acceptLate with shares: only the work that ranks before
// the job counts.
func (p *Planner) acceptLateShared(j *job, now time.Time) (bool, time.Duration) {
	end := p.rankedForecast(j, now).lateEnd(j)
	return end <= j.lateLimit().Sub(now), end
}

// rankedForecast returns the forecast of all other on-time jobs and of the late ones that
// rank before the job.
func (p *Planner) rankedForecast(j *job, now time.Time) *forecast {
	f := p.onTimeForecast(now)
	for _, other := range p.urgencyQueue.jobs {
		if other.late && other != j && byUrgency(other, j) < 0 {
			f.add(other)
		}
	}
	if _, accepted := p.jobs[j]; accepted && !j.late {
		f.drop(j)
	}
	return f
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
	left := &forecast{now: f.now, book: f.book, late: true, queues: slices.Clone(f.queues)}
	for i := range left.queues {
		if q := &left.queues[i]; q.service != nil && q.units > 0 {
			q.work /= 1 - min(q.service.loadBefore(j.Priority, q.healthy, f.now), maxLoad)
		}
	}
	return left.end(j)
}

// loadBefore is the recent load by work that ranks before late work of the
// priority, relative to the capacity of the healthy targets.
func (v *service) loadBefore(priority, healthy int, now time.Time) float64 {
	work := 0.0
	for n, k := range v.shares.priorities {
		work += k.all.at(now).onTime
		if n < priority {
			work += k.all.late
		}
	}
	return work / (float64(max(healthy, 1)) * shareDecay.Seconds())
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
// in vain.
func (p *Planner) checkLate(now time.Time) {
	p.lateCheckedAt = now
	f := p.onTimeForecast(now)
	for _, j := range p.urgencyQueue.jobs {
		missed := !j.late && now.Add(p.remaining(j, now)).After(j.OnTimeUntil)
		if len(j.units) == 0 || !j.late && !missed {
			continue
		}
		if !j.late { // the forecast of on-time jobs counts it
			f.drop(j)
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

// deferredByQueue reports whether the unit should wait in an overload: a late job
// is not started while its results would wait for on-time work of a later stage,
// and large results that only the engine reads are made when the rest of the
// request, with its time in queues, takes no longer. Otherwise, results wait on
// their targets, and are thrown away if the request is given up meanwhile.
func (p *Planner) deferredByQueue(u *workUnit, now time.Time) bool {
	j := u.job
	if !p.overload.Shares || u.reserved || !slices.ContainsFunc(j.units, func(o *workUnit) bool { return o.waiting > 0 && o.service.short(now) }) {
		return false
	}
	if p.cachedOnTime == nil || p.cachedOnTime.now != now {
		p.cachedOnTime = p.onTimeForecast(now)
	}
	f := p.cachedOnTime
	if j.late && len(u.inputs) == 0 && !j.committed() {
		return p.waitsForLaterStage(j, f)
	}
	if len(u.dependents) > 0 || !u.large() {
		return false
	}
	own := time.Duration(deferFactor * float64(f.unitEnd(u)))
	for _, other := range j.finalUnits {
		if end := f.unitEnd(other); other != u && end > own {
			p.dueBy(now.Add(end - own))
			return true
		}
	}
	return false
}

// waitsForLaterStage reports whether the job, if it is started now, is forecast
// to wait at a later stage for the targets of a service that is short of
// capacity.
func (p *Planner) waitsForLaterStage(j *job, f *forecast) bool {
	for _, u := range j.units {
		if len(u.inputs) == 0 || !u.service.short(f.now) {
			continue
		}
		before := time.Duration(0)
		for _, a := range u.inputs {
			before = max(before, p.minTimeTo(a, f.now))
		}
		if wait := f.wait(f.queue(u.service), j.Priority); wait > before {
			p.dueBy(f.now.Add(wait - before))
			return true
		}
	}
	return false
}
