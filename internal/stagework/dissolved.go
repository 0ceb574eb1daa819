package stagework

import "slices"

// setDissolved takes in whether the cell is not one of those into which the
// targets are divided any more. Its jobs then go back to their owners with what
// was made of them, and from there to the dispatchers of other cells.
//
// What goes wrong without it: the place of a cell is evacuated, and the jobs
// that wait there are refused when their time is up, though other cells have
// targets; one notices refusals seconds after the order, all of one cell. Or the
// targets belong to another cell now, and two dispatchers fill them, neither of
// which knows of the other; one notices calls that take longer than they should.
func (p *Planner) setDissolved(dissolved bool) {
	p.dissolved = dissolved
	if !dissolved {
		return
	}
	p.dueNow()
	for _, j := range p.staging() {
		j.leaving = true
	}
}

// able reports whether the cell has targets for all that is left of the job.
func (p *Planner) able(j *job) bool {
	if !j.pool.takesWork() {
		return false
	}
	return !slices.ContainsFunc(j.units, func(u *unit) bool { return u.waiting > 0 && !u.service.takesWork() })
}

// takesWork reports whether a target of the service takes new work.
func (v *service) takesWork() bool {
	return slices.ContainsFunc(v.order, func(s *server) bool { return !s.gone && !s.target.Draining })
}

// takesWork reports whether an engine of the pool takes new work.
func (p *pool) takesWork() bool {
	return slices.ContainsFunc(p.order, func(e *engine) bool { return !e.gone && !e.target.Draining })
}

// within reports whether any place of the cell belongs to one of the cells.
func within(c Cell, cells []Cell) bool {
	return c.Places == nil || slices.ContainsFunc(c.Places, func(place string) bool {
		return slices.ContainsFunc(cells, func(o Cell) bool { return o.Places == nil || slices.Contains(o.Places, place) })
	})
}

// otherCellMay reports whether another cell may do what this one refused.
func (r *Refusal) otherCellMay() bool { return r.Reason == ReasonLate || r.Reason == ReasonNoTarget }
