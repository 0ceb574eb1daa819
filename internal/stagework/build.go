package stagework

import (
	"slices"
	"time"
)

// build creates the job's units and checks that it can be done in time.
func (p *Planner) build(j *job, now time.Time) *Refusal {
	if j.pool = p.pools[j.Service]; j.pool == nil {
		return &Refusal{Reason: ReasonNoTarget, RetryAfter: retryAfterMin}
	}
	if j.pool.lacksBuild(j) {
		return &Refusal{Reason: ReasonNoBuild}
	}
	if refusal := p.judgeNew(j); refusal != nil {
		return refusal
	}
	if refusal := p.refuseImpossible(j, now); refusal != nil {
		return refusal
	}
	byStage := make([]*workUnit, len(j.Stages))
	for i, st := range j.Stages {
		n := j.pieces(i)
		if n == 0 {
			continue
		}
		v := p.services[st.Service]
		if v == nil {
			return &Refusal{Reason: ReasonNoTarget, RetryAfter: retryAfterMin}
		}
		u := &workUnit{job: j, stage: i, service: v, resultBytes: st.ResultBytes, waiting: n, unfinished: n}
		u.pieces = make([]*piece, n)
		for k := range u.pieces {
			u.pieces[k] = &piece{unit: u, number: k}
		}
		byStage[i] = u
		j.units = append(j.units, u)
	}
	j.link(byStage)
	p.adoptResults(j, now)
	if p.retired && !p.canFinish(j) {
		p.releaseAdopted(j, now)
		return &Refusal{Reason: ReasonNoTarget, RetryAfter: retryAfterMin}
	}
	if refusal := p.refuseLate(j, now); refusal != nil {
		p.releaseAdopted(j, now)
		return refusal
	}
	for _, u := range j.units {
		if !u.freed {
			u.enqueue()
		}
	}
	return nil
}

// refuseLate returns the refusal of a new job that cannot be done in time.
func (p *Planner) refuseLate(j *job, now time.Time) *Refusal {
	if end := now.Add(p.remaining(j, now)); end.After(j.Deadline) {
		r := p.lateRefusal(j, Refusal{Reason: ReasonLate, RetryAfter: clampTime(end.Sub(j.Deadline), retryAfterMin, retryAfterMax)}, now)
		return &r
	}
	return p.classifyNew(j, now)
}

// link connects the units with those whose results they need. A unit whose
// results are declared to be for a stage that this request leaves out is
// dropped, since its results would never be read. A dependency that closes a
// cycle is ignored; otherwise walking the dependents would never end and would
// crash the process.
func (j *job) link(byStage []*workUnit) {
	followed := make(map[int]bool)
	for i, st := range j.Stages {
		for _, a := range st.After {
			if a < 0 || a >= len(byStage) || byStage[i].leadsTo(byStage[a]) {
				continue
			}
			followed[a] = true
			if byStage[a] != nil && byStage[i] != nil {
				byStage[i].inputs = append(byStage[i].inputs, byStage[a])
				byStage[a].dependents = append(byStage[a].dependents, byStage[i])
			}
		}
	}
	j.units = slices.DeleteFunc(j.units, func(u *workUnit) bool {
		return followed[u.stage] && len(u.dependents) == 0
	})
	for _, u := range j.units {
		if len(u.dependents) == 0 {
			j.finalUnits = append(j.finalUnits, u)
		}
	}
}

// leadsTo reports whether the other unit needs the unit's results, directly or
// indirectly. A unit leads to itself; nil leads nowhere.
func (u *workUnit) leadsTo(other *workUnit) bool {
	if u == nil || other == nil {
		return false
	}
	return u == other || slices.ContainsFunc(u.dependents, func(f *workUnit) bool { return f.leadsTo(other) })
}

func clampTime(d, low, high time.Duration) time.Duration { return min(max(d, low), high) }
