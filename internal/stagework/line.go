package stagework

import (
	"slices"
	"time"
)

// line is the jobs without an engine, in an order that is kept up to date. The
// plan goes through them after every event; sorted anew each time they took two
// thirds of its time.
type line struct {
	jobs  []*job
	order func(a, b *job) int
}

// add puts the job in its place.
func (l *line) add(j *job) {
	at, _ := slices.BinarySearchFunc(l.jobs, j, l.order)
	l.jobs = slices.Insert(l.jobs, at, j)
}

// remove takes the job out.
func (l *line) remove(j *job) {
	if at := slices.Index(l.jobs, j); at >= 0 {
		l.jobs = slices.Delete(l.jobs, at, at+1)
	}
}

// byArrival orders jobs as they came.
func byArrival(a, b *job) int {
	if c := a.arrived.Compare(b.arrived); c != 0 {
		return c
	}
	return compare(a.ID, b.ID)
}

// stage has the job wait for its results.
func (p *Planner) stage(j *job) {
	j.state = jobStaging
	p.arrived.add(j)
	p.urgent.add(j)
}

// unstage ends the job's wait, in whatever state it goes on.
func (p *Planner) unstage(j *job, next jobState) {
	if j.state == jobStaging {
		p.arrived.remove(j)
		p.urgent.remove(j)
	}
	j.state = next
}

// staging returns the jobs without an engine, by arrival. The list is valid
// until the next call.
func (p *Planner) staging() []*job {
	p.staged = append(p.staged[:0], p.arrived.jobs...)
	return p.staged
}

// longestRest is the longest time for which wakes do without a plan.
const longestRest = time.Second

// due reports whether a plan may decide anything though since the newest one
// at most jobs have ended and room has got free. Without this all that wait are
// looked at 50 times a second, and for each batch of results given up, while
// all targets are busy.
//
// A plan is due at once after one that decided anything, after a new job, and
// while a target that may get a call and a unit that is ready are there: only
// then does free room matter. Otherwise it is due when a pause ends, a result
// lapses, a late job is to be judged, or the first job can no longer end by its
// deadline.
//
// What would go wrong if something were forgotten here: a decision comes later
// than before, by a second at most. The test of drawn days notices it.
func (p *Planner) due(now time.Time) bool { return !now.Before(p.dueAt) }

// dueBy has the next plan made at the moment at the latest.
func (p *Planner) dueBy(at time.Time) { p.dueAt = earlier(p.dueAt, at) }

// dueNow has the next wake make a plan.
func (p *Planner) dueNow() { p.dueAt = time.Time{} }

// dueForTargets has a plan made when a target may get a call of units that are
// ready. If one may now but got none, it may be a question of time.
func (p *Planner) dueForTargets(v *service, now time.Time) {
	if !slices.ContainsFunc(v.units, func(u *unit) bool { return !u.job.leaving && u.ready() }) {
		return
	}
	for _, s := range v.order {
		if !s.idle() {
			continue
		}
		if pause := v.bounds.pause(s.target.ID); !pause.IsZero() {
			p.dueBy(pause)
		} else if !s.spared(now) {
			p.dueBy(s.pausedTo)
		}
	}
}
