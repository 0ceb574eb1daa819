package stagework

import "slices"

// setRetired records whether the cell is no longer part of the partition of the
// targets. The jobs of a retired cell are returned to their owners with their
// results and resubmitted to the dispatchers of other cells.
//
// Otherwise, if the cell's zone is evacuated, its waiting jobs would be refused
// at their deadlines although other cells have targets; the symptom is refusals
// of a single cell seconds after the evacuation order. Or, if the targets
// belong to another cell now, two dispatchers would schedule for them without
// knowing of each other; the symptom is calls that take longer than expected.
func (p *Planner) setRetired(retired bool) {
	p.retired = retired
	if !retired {
		return
	}
	p.dueNow()
	for _, j := range p.staging() {
		j.returning = true
	}
}

// canFinish reports whether the cell has targets for all remaining work of the
// job.
func (p *Planner) canFinish(j *job) bool {
	if !j.pool.acceptsWork() {
		return false
	}
	return !slices.ContainsFunc(j.units, func(u *workUnit) bool { return u.waiting > 0 && !u.service.acceptsWork() })
}

// acceptsWork reports whether any target of the service accepts new work.
func (v *service) acceptsWork() bool {
	return slices.ContainsFunc(v.byID, func(s *stageTarget) bool { return !s.removed && !s.info.Draining })
}

// acceptsWork reports whether any engine of the pool accepts new work.
func (p *pool) acceptsWork() bool {
	return slices.ContainsFunc(p.byID, func(e *engine) bool { return !e.removed && !e.info.Draining })
}

// overlapsAny reports whether any zone of the cell belongs to one of the cells.
func overlapsAny(c Cell, cells []Cell) bool {
	return c.Zones == nil || slices.ContainsFunc(c.Zones, func(zone string) bool {
		return slices.ContainsFunc(cells, func(o Cell) bool { return o.Zones == nil || slices.Contains(o.Zones, zone) })
	})
}

// retryInOtherCell reports whether another cell may accept a job that this one
// refused.
func (r *Refusal) retryInOtherCell() bool {
	switch r.Reason {
	case ReasonLate, ReasonNoTarget, ReasonNoBuild, ReasonTooManyPieces, ReasonPiecesFull:
		return true
	}
	return false
}
