package stagework

import "time"

// rank orders units: those that can still be on time first, by priority and
// then by latest start time; then the late ones in the same order.
type rank struct {
	late     bool
	priority int
	start    time.Time
}

func (a rank) compare(b rank) int {
	switch {
	case a.late != b.late:
		if a.late {
			return 1
		}
		return -1
	case a.priority != b.priority:
		return a.priority - b.priority
	default:
		return a.start.Compare(b.start)
	}
}

// byRank orders the units of a service.
func byRank(a, b *workUnit) int {
	if c := a.rank.compare(b.rank); c != 0 {
		return c
	}
	if c := compare(a.job.ID, b.job.ID); c != 0 {
		return c
	}
	return a.enqueueSeq - b.enqueueSeq
}

// plan decides what to do now: it refuses jobs that cannot succeed, places jobs
// whose results are available, and forms calls. It also determines when the
// next plan is due if nothing happens.
func (p *Planner) plan(now time.Time) []*call {
	counts, staging := p.counts, len(p.arrivalQueue.jobs)
	p.dueAt = now.Add(maxPlanInterval)
	p.expire(now)
	p.judgeAll(now)
	p.placeAll(now)
	p.returnJobs(now)
	var calls []*call
	for _, v := range p.byName {
		if len(v.pendingUnits) == 0 {
			continue
		}
		calls = append(calls, p.formCalls(v, now)...)
		p.dueForTargets(v, now)
	}
	if p.counts != counts || len(p.arrivalQueue.jobs) != staging {
		p.dueNow() // these decisions may enable others
	}
	return calls
}

// expire refuses jobs that cannot meet their deadline even without any
// queueing, late jobs that are not worth keeping, jobs bound to a software version
// that no engine has any more, and jobs with a piece that has no attempts left. It also requeues pieces whose results have expired or
// whose target was removed.
func (p *Planner) expire(now time.Time) {
	p.invalidateForecast()
	defer p.invalidateForecast()
	for _, j := range p.staging() {
		remaining := p.remaining(j, now)
		expired := now.Add(remaining).After(j.Deadline)
		if p.hopeless(j, now) || expired {
			if expired {
				j.discardResults(resultExpired)
			}
			p.refuse(j, p.lateRefusal(j, Refusal{Reason: ReasonLate, RetryAfter: retryAfterMin}, now), now)
			continue
		}
		if j.pool.lacksBuild(j) {
			p.refuse(j, Refusal{Reason: ReasonNoBuild}, now)
			continue
		}
		if p.attemptsExhausted(j) {
			p.refuse(j, Refusal{Reason: ReasonFailed, RetryAfter: retryAfterMin}, now)
			continue
		}
		p.remakeExpired(j, now)
		p.dueBy(j.Deadline.Add(-remaining))
	}
}

func (p *Planner) attemptsExhausted(j *job) bool {
	for _, u := range j.units {
		for _, q := range u.pieces {
			if q.attempts >= maxAttempts && q.state == pieceWaiting {
				return true
			}
		}
	}
	return false
}

func (p *Planner) remakeExpired(j *job, now time.Time) {
	for _, u := range j.units {
		if u.freed {
			continue
		}
		for _, q := range u.pieces {
			if q.state != pieceDone || q.handle == "" {
				continue
			}
			expiry := q.madeAt.Add(u.service.limits.ResultLifetime - lifetimeMargin)
			p.dueBy(expiry)
			if q.target.removed || now.After(expiry) {
				p.counts.Remade++
				p.invalidateForecast()
				p.countResult(q, q.outcomeOfLost(true))
				p.releaseResult(q)
				p.requeue(q, now)
			}
		}
	}
}

// placeAll places the jobs whose results are all available.
func (p *Planner) placeAll(now time.Time) {
	for _, j := range p.staging() {
		if j.resultsReady() {
			p.place(j, now)
		}
	}
}

// formCalls forms calls for the service's free targets.
func (p *Planner) formCalls(v *service, now time.Time) []*call {
	if !v.free(now) {
		return nil
	}
	r := v.round(now)
	units := withWaiting(p.admit(r))
	if len(units) == 0 {
		return nil
	}
	r.computeWaitCost()
	var calls []*call
	for r.free > 0 && len(units) > 0 {
		top := units[0]
		s := p.pickTarget(r, top)
		if s == nil || !s.free {
			if s != nil {
				s.assignedPieces += top.waiting
			}
			units = withWaiting(units[1:])
			continue
		}
		g := p.draftCall(r, s, units)
		if p.delaysCall(r, s, g) {
			r.exclude(s)
			continue
		}
		if c := p.formCall(r, s, g.units); c != nil {
			calls = append(calls, c)
		}
		units = withWaiting(units)
	}
	return calls
}

// delaysCall reports whether the call is delayed, to wait for result memory or
// for more pieces. A plan is made when results have been released or more
// pieces are ready.
func (p *Planner) delaysCall(r *round, s *candidate, g callDraft) bool {
	if !p.policy.NoRoomWait && s.waitsForMemory(g, r.now) {
		return true
	}
	until := r.now
	if !p.policy.NoLookahead {
		until = until.Add(r.lookaheadDelay(s, g.units))
	}
	if at := r.batchDelayUntil(g); !p.policy.NoGathering && at.After(until) {
		until = at
	}
	if !until.After(r.now) {
		return false
	}
	p.dueBy(until)
	return true
}

// withWaiting skips leading units without waiting pieces.
func withWaiting(units []*workUnit) []*workUnit {
	for len(units) > 0 && units[0].waiting == 0 {
		units = units[1:]
	}
	return units
}

func (p *Planner) rank(u *workUnit, now time.Time) rank {
	start := u.job.OnTimeUntil.Add(-p.downstream(u))
	return rank{late: u.job.late || now.After(start), priority: u.job.urgency, start: start}
}

// downstream is the time from the start of the unit's call to the engine's
// first event without any queueing.
func (p *Planner) downstream(u *workUnit) time.Duration {
	longest := time.Duration(0)
	for _, f := range u.dependents {
		longest = max(longest, p.downstream(f))
	}
	if len(u.dependents) == 0 {
		longest = time.Duration(u.job.pool.firstEventBase * float64(time.Millisecond))
	}
	return longest + u.service.expectedCallTime(min(len(u.pieces), u.service.batch()))
}
