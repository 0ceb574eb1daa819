package stagework

import (
	"slices"
	"time"
)

// build makes the job's units and checks that it can be done in time.
func (p *Planner) build(j *job, now time.Time) *Refusal {
	if j.pool = p.pools[j.Service]; j.pool == nil {
		return &Refusal{Reason: ReasonNoTarget, RetryAfter: comeBackMin}
	}
	byStage := make([]*unit, len(j.Stages))
	for i, st := range j.Stages {
		n := j.pieces(i)
		if n == 0 {
			continue
		}
		v := p.services[st.Service]
		if v == nil {
			return &Refusal{Reason: ReasonNoTarget, RetryAfter: comeBackMin}
		}
		u := &unit{job: j, stage: i, service: v, bytes: st.ResultBytes, waiting: n, unmade: n}
		for k := range n {
			u.pieces = append(u.pieces, &piece{unit: u, number: k})
		}
		byStage[i] = u
		j.units = append(j.units, u)
	}
	j.link(byStage)
	p.adopt(j, now)
	if p.dissolved && !p.able(j) {
		p.abandon(j, now)
		return &Refusal{Reason: ReasonNoTarget, RetryAfter: comeBackMin}
	}
	if refusal := p.refuseLate(j, now); refusal != nil {
		p.abandon(j, now)
		return refusal
	}
	for _, u := range j.units {
		if !u.freed {
			u.enqueue()
		}
	}
	return nil
}

// refuseLate returns the refusal of a new job that can't be done in time.
func (p *Planner) refuseLate(j *job, now time.Time) *Refusal {
	if end := now.Add(p.remaining(j, now)); end.After(j.Deadline) {
		return &Refusal{Reason: ReasonLate, RetryAfter: clampTime(end.Sub(j.Deadline), comeBackMin, comeBackMax)}
	}
	return p.judgeNew(j, now)
}

// link joins the units to those whose results they need. A unit whose results
// are declared to be for a stage that this request leaves out is dropped:
// nobody reads them. A need that closes a circle is left out: what follows
// units would never end, and the process with it.
func (j *job) link(byStage []*unit) {
	followed := make(map[int]bool)
	for i, st := range j.Stages {
		for _, a := range st.After {
			if a < 0 || a >= len(byStage) || byStage[i].leadsTo(byStage[a]) {
				continue
			}
			followed[a] = true
			if byStage[a] != nil && byStage[i] != nil {
				byStage[i].after = append(byStage[i].after, byStage[a])
				byStage[a].followers = append(byStage[a].followers, byStage[i])
			}
		}
	}
	j.units = slices.DeleteFunc(j.units, func(u *unit) bool {
		return followed[u.stage] && len(u.followers) == 0
	})
	for _, u := range j.units {
		if len(u.followers) == 0 {
			j.leaves = append(j.leaves, u)
		}
	}
}

// leadsTo reports whether the results of the unit are needed, directly or not,
// for the other. It leads to itself; nil leads nowhere.
func (u *unit) leadsTo(other *unit) bool {
	if u == nil || other == nil {
		return false
	}
	return u == other || slices.ContainsFunc(u.followers, func(f *unit) bool { return f.leadsTo(other) })
}

func clampTime(d, low, high time.Duration) time.Duration { return min(max(d, low), high) }
