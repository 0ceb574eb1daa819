package stagework

import "time"

// rank orders units: those that can still be on time, by priority and by the
// moment at which they have to start; then the others.
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

// byRank orders units of a service.
func byRank(a, b *unit) int {
	if c := a.rank.compare(b.rank); c != 0 {
		return c
	}
	if c := compare(a.job.ID, b.job.ID); c != 0 {
		return c
	}
	return a.queued - b.queued
}

// plan decides what is done now: jobs without a chance are refused, those whose
// results are there are placed, and calls are formed. It also finds when the
// next plan is due if nothing happens.
func (p *Planner) plan(now time.Time) []*call {
	counts, staging := p.counts, len(p.arrived.jobs)
	p.dueAt = now.Add(longestRest)
	p.expire(now)
	p.placeAll(now)
	p.giveBack(now)
	var calls []*call
	for _, v := range p.byName {
		if len(v.units) == 0 {
			continue
		}
		calls = append(calls, p.fill(v, now)...)
		p.dueForTargets(v, now)
	}
	if p.counts != counts || len(p.arrived.jobs) != staging {
		p.dueNow() // what was decided may make more possible
	}
	return calls
}

// expire refuses jobs that can't end in time even if nothing waited before
// them, and has results made again that reached the end of their lifetime or
// whose maker is gone.
func (p *Planner) expire(now time.Time) {
	p.changed()
	defer p.changed()
	for _, j := range p.staging() {
		remaining := p.remaining(j, now)
		if p.hopeless(j, now) || now.Add(remaining).After(j.Deadline) {
			p.refuse(j, Refusal{Reason: ReasonLate, RetryAfter: comeBackMin}, now)
			continue
		}
		if p.tried(j) {
			p.refuse(j, Refusal{Reason: ReasonFailed, RetryAfter: comeBackMin}, now)
			continue
		}
		p.remake(j, now)
		p.dueBy(j.Deadline.Add(-remaining))
	}
}

func (p *Planner) tried(j *job) bool {
	for _, u := range j.units {
		for _, q := range u.pieces {
			if q.tries >= maxTries && q.state == pieceWaiting {
				return true
			}
		}
	}
	return false
}

func (p *Planner) remake(j *job, now time.Time) {
	for _, u := range j.units {
		if u.freed {
			continue
		}
		for _, q := range u.pieces {
			if q.state != pieceMade || q.handle == "" {
				continue
			}
			lapse := q.made.Add(u.service.limits.ResultLifetime - lifetimeMargin)
			p.dueBy(lapse)
			if q.server.gone || now.After(lapse) {
				p.counts.Redo++
				p.changed()
				p.forget(q)
				p.again(q, now)
			}
		}
	}
}

// placeAll places the jobs whose results are all there.
func (p *Planner) placeAll(now time.Time) {
	for _, j := range p.staging() {
		if j.staged() {
			p.place(j, now)
		}
	}
}

// fill forms calls for the service's free targets.
func (p *Planner) fill(v *service, now time.Time) []*call {
	if !v.free(now) {
		return nil
	}
	r := v.round(now)
	units := withWaiting(p.admit(r))
	if len(units) == 0 {
		return nil
	}
	r.weigh()
	var calls []*call
	for r.free > 0 && len(units) > 0 {
		top := units[0]
		s := p.pickServer(r, top)
		if s == nil || !s.free {
			if s != nil {
				s.promised += top.waiting
			}
			units = withWaiting(units[1:])
			continue
		}
		g := p.group(r, s, units)
		if p.putsOff(r, s, g) {
			r.keep(s)
			continue
		}
		if c := p.call(r, s, g.units); c != nil {
			calls = append(calls, c)
		}
		units = withWaiting(units)
	}
	return calls
}

// putsOff reports whether the call waits for room or for more pieces. There is a
// plan when results have been given up, or more pieces are ready.
func (p *Planner) putsOff(r *round, s *candidate, g draft) bool {
	if !p.policy.NoRoomWait && s.awaitsRoom(g, r.now) {
		return true
	}
	until := r.now
	if !p.policy.NoLookahead {
		until = until.Add(r.holdFor(s, g.units))
	}
	if at := r.gatherUntil(g); !p.policy.NoGathering && at.After(until) {
		until = at
	}
	if !until.After(r.now) {
		return false
	}
	p.dueBy(until)
	return true
}

// withWaiting returns the units from the first on that has pieces that wait.
func withWaiting(units []*unit) []*unit {
	for len(units) > 0 && units[0].waiting == 0 {
		units = units[1:]
	}
	return units
}

func (p *Planner) rank(u *unit, now time.Time) rank {
	start := u.job.Aim.Add(-p.downstream(u))
	return rank{late: u.job.late || now.After(start), priority: u.job.Priority, start: start}
}

// downstream is the time from the start of the unit's call to the engine's
// first event if nothing waits.
func (p *Planner) downstream(u *unit) time.Duration {
	longest := time.Duration(0)
	for _, f := range u.followers {
		longest = max(longest, p.downstream(f))
	}
	if len(u.followers) == 0 {
		longest = time.Duration(u.job.pool.first * float64(time.Millisecond))
	}
	return longest + u.service.expect(min(len(u.pieces), u.service.batch()))
}
