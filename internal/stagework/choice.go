package stagework

import "time"

// Weights of the choice of a stage target, in the unit of the choice of an
// engine.
const (
	// waitWeight is the cost of a millisecond of waiting for a busy target in a
	// service without load. It rises by waitLoadWeight at full load, since
	// leaving another target idle wastes capacity.
	waitWeight     = 0.25
	waitLoadWeight = 0.75
	// slowWeight is the cost of a target that takes twice as long as the
	// average one.
	slowWeight = 100.0
	// waitMargin is the safety margin between the end of a wait and the latest
	// start time.
	waitMargin = 60 * time.Millisecond
)

// pickTarget chooses the target for the unit's next pieces. It prefers targets
// that are free soon, are not slow, and are in the zone of the unit's inputs or
// of the engine that will read its results. The target may be busy if there is
// time to wait for it. nil means that waiting is better than any target.
func (p *Planner) pickTarget(r *round, u *workUnit) *candidate {
	last := u.job.OnTimeUntil.Add(-p.downstream(u) - waitMargin)
	engineZone := ""
	if len(u.dependents) == 0 {
		engineZone = p.preferredZone(u.job, r.now)
	}
	return r.pick(u, engineZone, last, p.policy.crossZoneWeight())
}

// canWaitFor reports whether the target is healthy and has a call in progress
// with a known expected end. The target may still be slow.
func (s *stageTarget) canWaitFor(now time.Time) bool {
	return !s.removed && !s.info.Draining && s.calls > 0 && s.failures == 0 && s.busyUntil.After(now) && !s.rateLimited(now)
}

// crossZoneBytes is the number of bytes that cross zones if the unit's waiting
// pieces run in the zone: each piece fetches all its inputs, and results that
// only the engine reads are sent to its zone.
func (u *workUnit) crossZoneBytes(zone, engineZone string) float64 {
	bytes := 0.0
	for _, a := range u.inputs {
		for _, q := range a.pieces {
			if q.state == pieceDone && q.target.info.Zone != zone {
				bytes += float64(a.resultBytes) * float64(u.waiting)
			}
		}
	}
	if len(u.dependents) == 0 && engineZone != "" && engineZone != zone {
		bytes += float64(u.resultBytes) * float64(u.waiting)
	}
	return bytes
}

// preferredZone is the zone where the results that the job's engine reads
// should be stored: that of other such results, or that of the engine with the
// session's cached prompt parts. "" means that any zone will do, since the
// engine is chosen by the location of the results.
func (p *Planner) preferredZone(j *job, now time.Time) string {
	for _, u := range j.finalUnits {
		for _, q := range u.pieces {
			if q.target != nil && u.large() {
				return q.target.info.Zone
			}
		}
	}
	o := j.pool
	if j.session == "" || !o.recent(j.session, now) {
		return ""
	}
	if e, _ := o.choose(j, now); e != nil {
		return e.info.Zone
	}
	return ""
}
