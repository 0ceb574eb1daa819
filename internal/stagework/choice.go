package stagework

import "time"

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
	return !s.gone && !s.target.Draining && s.calls > 0 && s.fails == 0 && s.busyTill.After(now) && !s.spared(now)
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
