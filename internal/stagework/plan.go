package stagework

import (
	"math"
	"slices"
	"time"
)

// Factors of the plan.
const (
	// holdFactor says how much longer the rest of a request must take before a
	// stage with large results that nothing waits for is put off.
	holdFactor = 1.3
	// largeShare is the share of a target's room from which on a unit's
	// results count as large.
	largeShare = 0.02
	// slowFactor is the pace against the service's from which on a target is
	// given work only if it would still end first.
	slowFactor = 1.4
	// paceHalfLife is how fast a target's pace is forgotten while it has no
	// calls, so that one that has recovered is tried again.
	paceHalfLife = 2 * time.Second
	// paceForgotten is the time after which nothing is left of it: a half to
	// this many half-lives is 0 in a float64.
	paceForgotten = 1100 * paceHalfLife
)

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
func (p *Planner) putsOff(r *round, s *candidate, g load) bool {
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

// Weights of the choice of a stage target, in the unit of the choice of an
// engine.
const (
	// waitWeight is for a millisecond of waiting for a target that is busy, at
	// a service without load; it grows with the load, since a target that is
	// left idle is lost capacity.
	waitWeight     = 0.25
	waitLoadWeight = 0.75
	// slowWeight is for a target that takes twice as long as others.
	slowWeight = 100.0
	// waitMargin is kept between the end of the wait and the last moment to
	// start.
	waitMargin = 60 * time.Millisecond
)

// pickServer chooses the target for the unit's next pieces: one that is soon
// free, is not slow, and lies in the place of the unit's inputs, or of the
// engine that will read its results. It may be a target that is busy, if there
// is time to wait for it. nil means that waiting is better than any.
func (p *Planner) pickServer(r *round, u *unit) *candidate {
	last := u.job.Aim.Add(-p.downstream(u) - waitMargin)
	engine := ""
	if len(u.followers) == 0 {
		engine = p.placeOf(u.job, r.now)
	}
	return r.pick(u, engine, last, p.policy.moveWeight())
}

// worthWaiting reports whether the target is well and makes a call whose end is
// known. It may still be slow.
func (s *server) worthWaiting(now time.Time) bool {
	return !s.gone && !s.target.Draining && s.calls > 0 && s.fails == 0 && s.busyTill.After(now)
}

// moved is the bytes that cross places if the unit's waiting pieces are made in
// the place at: each piece fetches all its inputs, and results that only the
// engine reads go to where that is.
func (u *unit) moved(at, engine string) float64 {
	bytes := 0.0
	for _, a := range u.after {
		for _, q := range a.pieces {
			if q.state == pieceMade && q.server.target.Place != at {
				bytes += float64(a.bytes) * float64(u.waiting)
			}
		}
	}
	if len(u.followers) == 0 && engine != "" && engine != at {
		bytes += float64(u.bytes) * float64(u.waiting)
	}
	return bytes
}

// placeOf is the place where the results that the job's engine reads are
// wanted: where others of them lie, or that of the engine that has the
// session's parts. "" means that any will do: the engine follows the results.
func (p *Planner) placeOf(j *job, now time.Time) string {
	for _, u := range j.leaves {
		for _, q := range u.pieces {
			if q.server != nil && u.large() {
				return q.server.target.Place
			}
		}
	}
	o := j.pool
	if j.session == "" || !o.recent(j.session, now) {
		return ""
	}
	if e, _ := o.choose(j, now); e != nil {
		return e.target.Place
	}
	return ""
}

// paceAt is the target's pace, which is forgotten while it has no calls.
func (s *server) paceAt(now time.Time) float64 {
	usual := s.service.pace
	idle := now.Sub(s.busyTill)
	switch {
	case idle <= 0:
		return s.pace
	case s.pace == usual || idle > paceForgotten:
		return usual
	}
	return usual + (s.pace-usual)*math.Pow(0.5, float64(idle)/float64(paceHalfLife))
}
