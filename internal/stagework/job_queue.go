package stagework

import (
	"slices"
	"time"
)

// jobQueue holds the jobs without an engine in an order that is maintained
// incrementally. Plans iterate over it after every event; sorting it each time
// took two thirds of a plan's time.
type jobQueue struct {
	jobs  []*job
	order func(a, b *job) int
}

// add inserts the job at its position.
func (l *jobQueue) add(j *job) {
	at, _ := slices.BinarySearchFunc(l.jobs, j, l.order)
	l.jobs = slices.Insert(l.jobs, at, j)
}

// remove removes the job.
func (l *jobQueue) remove(j *job) {
	if at := slices.Index(l.jobs, j); at >= 0 {
		l.jobs = slices.Delete(l.jobs, at, at+1)
	}
}

// byArrival orders jobs by arrival.
func byArrival(a, b *job) int {
	if c := a.arrived.Compare(b.arrived); c != 0 {
		return c
	}
	return compare(a.ID, b.ID)
}

// enqueueJob makes the job wait for its results.
func (p *Planner) enqueueJob(j *job) {
	j.state = jobStaging
	p.arrivalQueue.add(j)
	p.urgencyQueue.add(j)
}

// dequeueJob ends the job's wait and sets its next state.
func (p *Planner) dequeueJob(j *job, next jobState) {
	if j.state == jobStaging {
		p.arrivalQueue.remove(j)
		p.urgencyQueue.remove(j)
	}
	j.state = next
}

// staging returns the jobs without an engine, by arrival. The result is valid
// until the next call.
func (p *Planner) staging() []*job {
	p.stagingBuf = append(p.stagingBuf[:0], p.arrivalQueue.jobs...)
	return p.stagingBuf
}

// maxPlanInterval is the longest time without a plan while jobs wait.
const maxPlanInterval = time.Second

// due reports whether a plan may decide anything, given that since the latest
// plan at most jobs have ended and result memory was released. Without this
// check, all waiting jobs are examined 50 times a second, and after each batch
// of released results, while all targets are busy.
//
// A plan is due at once after one that decided anything, after a new job, and
// while there are both a target that may get a call and a ready unit: only then
// does free memory matter. Otherwise it is due when a backoff or pause ends, a
// result expires, a late job has to be checked, or the first job can no longer
// meet its deadline.
//
// An event that is missing here delays a decision by at most a second.
// TestDecisionsDoNotDependOnCachedState detects it.
func (p *Planner) due(now time.Time) bool { return !now.Before(p.dueAt) }

// dueBy makes the next plan due at the given time at the latest.
func (p *Planner) dueBy(at time.Time) { p.dueAt = earlier(p.dueAt, at) }

// dueNow makes the next plan due immediately.
func (p *Planner) dueNow() { p.dueAt = time.Time{} }

// dueForTargets makes a plan due when a target may get a call of ready units.
// If one may get a call now but got none, the call may become possible later.
func (p *Planner) dueForTargets(v *service, now time.Time) {
	if !slices.ContainsFunc(v.pendingUnits, func(u *workUnit) bool { return !u.job.returning && u.ready() }) {
		return
	}
	for _, s := range v.byID {
		if !s.hasFreeSlot() {
			continue
		}
		if pause := v.bounds.pause(s.info.ID); !pause.IsZero() {
			p.dueBy(pause)
		} else if !s.rateLimited(now) {
			p.dueBy(s.pausedUntil)
		}
	}
}
