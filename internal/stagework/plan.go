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

// ranked is a unit with its rank.
type ranked struct {
	*unit
	rank rank
}

// plan decides what is done now: jobs without a chance are refused, those whose
// results are there are placed, and calls are formed.
func (p *Planner) plan(now time.Time) []*call {
	p.expire(now)
	p.placeAll(now)
	p.giveBack(now)
	var calls []*call
	for _, v := range p.sorted() {
		calls = append(calls, p.fill(v, now)...)
	}
	return calls
}

// sorted returns the services by name, so that runs repeat.
func (p *Planner) sorted() []*service {
	list := make([]*service, 0, len(p.services))
	for _, v := range p.services {
		if len(v.units) > 0 {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b *service) int { return compare(a.name, b.name) })
	return list
}

// expire refuses jobs that can't end in time even if nothing waited before
// them, and has results made again that reached the end of their lifetime or
// whose maker is gone.
func (p *Planner) expire(now time.Time) {
	for _, j := range p.staging() {
		if p.hopeless(j, now) || now.Add(p.remaining(j, now)).After(j.Deadline) {
			p.refuse(j, Refusal{Reason: ReasonLate, RetryAfter: comeBackMin}, now)
			continue
		}
		if p.tried(j) {
			p.refuse(j, Refusal{Reason: ReasonFailed, RetryAfter: comeBackMin}, now)
			continue
		}
		p.remake(j, now)
	}
}

// staging returns the jobs without an engine, by arrival.
func (p *Planner) staging() []*job {
	var list []*job
	for j := range p.jobs {
		if j.state == jobStaging {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *job) int {
		if c := a.arrived.Compare(b.arrived); c != 0 {
			return c
		}
		return compare(a.ID, b.ID)
	})
	return list
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
			if q.server.gone || now.Sub(q.made) > u.service.limits.ResultLifetime-lifetimeMargin {
				p.counts.Redo++
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
	free := v.free(now)
	if len(free) == 0 {
		return nil
	}
	units := p.admit(v, now)
	waits := make(map[*server]int) // pieces that wait for a busy target
	var calls []*call
	for len(free) > 0 {
		top := firstWaiting(units)
		if top == nil {
			break
		}
		s := p.pickServer(free, top, waits, now)
		if s == nil || !slices.Contains(free, s) {
			if s != nil {
				waits[s] += top.waiting
			}
			units = without(units, top)
			continue
		}
		free = slices.DeleteFunc(free, func(o *server) bool { return o == s })
		if c := p.call(v, s, units, len(free)+1, now); c != nil {
			calls = append(calls, c)
		}
	}
	return calls
}

// free returns the targets that may get a call now, by id.
func (v *service) free(now time.Time) []*server {
	var free []*server
	for _, s := range v.servers {
		if s.usable(now) {
			free = append(free, s)
		}
	}
	slices.SortFunc(free, func(a, b *server) int { return compare(a.target.ID, b.target.ID) })
	return free
}

// admit returns the ready units that have room set aside, by rank. A unit that
// does not fit keeps those after it from room that it waits for, save small
// ones.
func (p *Planner) admit(v *service, now time.Time) []ranked {
	var ready []ranked
	for _, u := range v.units {
		if u.ready() && !u.job.leaving && !p.held(u, now) {
			ready = append(ready, ranked{unit: u, rank: p.rank(u, now)})
		}
	}
	slices.SortStableFunc(ready, func(a, b ranked) int {
		if c := a.rank.compare(b.rank); c != 0 {
			return c
		}
		return compare(a.job.ID, b.job.ID)
	})
	blocked := false
	admitted := ready[:0]
	for k, r := range ready {
		if !r.reserved {
			if blocked && r.large() || !v.admits(r.unit, now) && !v.yield(r, ready[k+1:], now) {
				blocked = true
				continue
			}
			v.reserve(r.unit)
		}
		admitted = append(admitted, r)
	}
	return admitted
}

// yield takes room back from less urgent units of which no piece was begun,
// the last first, until the unit fits, and reports whether it does. Room is set
// aside before a unit's turn, which keeps the order of equals steady; it must
// not hold back what is more urgent.
func (v *service) yield(r ranked, later []ranked, now time.Time) bool {
	for k := len(later) - 1; k >= 0; k-- {
		u := later[k]
		if !u.reserved || u.job.Priority <= r.job.Priority || u.waiting < len(u.pieces) {
			continue
		}
		v.unreserve(u.unit)
		if v.admits(r.unit, now) {
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
		if o := p.pools[u.job.Service]; o != nil {
			longest = time.Duration(o.first * float64(time.Millisecond))
		}
	}
	return longest + u.service.expect(min(len(u.pieces), u.service.batch()))
}

func firstWaiting(units []ranked) *unit {
	for _, r := range units {
		if r.waiting > 0 {
			return r.unit
		}
	}
	return nil
}

func without(units []ranked, u *unit) []ranked {
	return slices.DeleteFunc(slices.Clone(units), func(r ranked) bool { return r.unit == u })
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
func (p *Planner) pickServer(free []*server, u *unit, waits map[*server]int, now time.Time) *server {
	place := p.placeOf(u.job, now)
	last := u.job.Aim.Add(-p.downstream(u) - waitMargin)
	v := u.service
	perMS := waitWeight + waitLoadWeight*min(v.load.load(v.alive(now), now), 1)
	var best *server
	bestCost := math.Inf(1)
	for _, s := range v.sortedServers() {
		wait := time.Duration(0)
		if slices.Contains(free, s) {
			if !s.fits(u.bytes, now) || p.betterElsewhere(s, now) {
				continue
			}
		} else if wait = s.busyTill.Sub(now); !s.worthWaiting(now) || now.Add(wait).After(last) || waits[s]+u.waiting > v.batch() {
			continue
		}
		cost := perMS*float64(wait.Milliseconds()) + moveWeight*u.moved(s.target.Place, place)/1e6 + slowWeight*(s.paceAt(now)/v.pace-1)
		if cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

// sortedServers returns the targets by id, so that runs repeat.
func (v *service) sortedServers() []*server {
	list := make([]*server, 0, len(v.servers))
	for _, s := range v.servers {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *server) int { return compare(a.target.ID, b.target.ID) })
	return list
}

// worthWaiting reports whether the target is well and makes a call whose end is
// known.
func (s *server) worthWaiting(now time.Time) bool {
	return !s.gone && !s.target.Draining && s.calls > 0 && s.fails == 0 && s.busyTill.After(now) &&
		s.paceAt(now) < slowFactor*s.service.pace
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
	for _, u := range j.leaves() {
		for _, q := range u.pieces {
			if q.server != nil && u.large() {
				return q.server.target.Place
			}
		}
	}
	o := p.pools[j.Service]
	if o == nil || j.session == "" || !o.recent(j.session, now) {
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
	if idle <= 0 {
		return s.pace
	}
	return usual + (s.pace-usual)*math.Pow(0.5, float64(idle)/float64(paceHalfLife))
}

// betterElsewhere reports whether a slow target's call would end after the same
// pieces had been made by others, which are busy now.
func (p *Planner) betterElsewhere(s *server, now time.Time) bool {
	v := s.service
	pace := s.paceAt(now)
	if pace < slowFactor*v.pace {
		return false
	}
	nominal := float64(v.callTime(v.batch()))
	end := now.Add(time.Duration(nominal * pace))
	waiting := 0
	for _, u := range v.units {
		waiting += u.waiting
	}
	others := 0
	earliest := time.Time{}
	for _, o := range v.servers {
		if o == s || !o.alive(now) || o.paceAt(now) >= slowFactor*v.pace {
			continue
		}
		others++
		start := o.busyTill
		if start.Before(now) {
			start = now
		}
		if earliest.IsZero() || start.Before(earliest) {
			earliest = start
		}
	}
	if others == 0 {
		return false
	}
	rounds := 1 + waiting/(others*v.batch())
	return earliest.Add(time.Duration(nominal * v.pace * float64(rounds))).Before(end)
}

// call forms a call for the target of the pieces that come first. With several
// targets free the pieces are shared out, so that each call is short; the
// pieces of one unit stay together.
func (p *Planner) call(v *service, s *server, units []ranked, free int, now time.Time) *call {
	waiting := 0
	for _, r := range units {
		waiting += r.waiting
	}
	aim := min(v.batch(), (waiting+free-1)/free)
	c := &call{number: p.calls, server: s, sent: now}
	p.calls++
	for _, r := range units {
		if len(c.pieces) >= aim {
			break
		}
		c.take(r.unit, v.batch(), now)
	}
	if len(c.pieces) == 0 {
		return nil
	}
	c.nominal = v.callTime(len(c.pieces))
	c.expected = time.Duration(float64(c.nominal) * max(s.paceAt(now), v.pace))
	s.calls++
	s.busyTill = now.Add(c.expected)
	p.counts.Calls++
	p.counts.Pieces += len(c.pieces)
	return c
}

// take adds the unit's waiting pieces to the call as far as they fit.
func (c *call) take(u *unit, batch int, now time.Time) {
	for _, q := range u.pieces {
		if len(c.pieces) >= batch || !c.server.fits(u.bytes, now) {
			return
		}
		if q.state != pieceWaiting {
			continue
		}
		q.state, q.server = pieceRunning, c.server
		q.tries++
		u.waiting--
		c.server.room += u.bytes
		c.pieces = append(c.pieces, q)
	}
}
