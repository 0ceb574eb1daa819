package stagework

import "time"

// adoptResults takes over the results that the job has from its previous
// dispatcher. Pieces whose results are on unknown targets are executed again.
func (p *Planner) adoptResults(j *job, now time.Time) {
	for _, m := range j.Results {
		if p.policy.NoTakeover {
			break
		}
		if q, s := j.piece(m.Stage, m.Number), p.resultHolder(j, m, now); q != nil && s != nil && q.state == pieceWaiting {
			q.adopt(s, m, now)
		}
	}
	for _, u := range j.units {
		if u.waiting < len(u.pieces) {
			u.service.reserve(u)
		}
	}
	for _, u := range j.units {
		if u.done() {
			p.unitCompleted(u, now)
		}
	}
}

// adopt marks the piece as done, with its result on the target.
func (q *piece) adopt(s *stageTarget, m ResultRef, now time.Time) {
	q.state, q.target, q.handle, q.madeAt = pieceDone, s, m.Handle, now.Add(-m.Age)
	q.unit.waiting--
	q.unit.unfinished--
	s.usedBytes += q.unit.resultBytes
	s.foreignBytes = max(s.foreignBytes-q.unit.resultBytes, 0) // it was counted as foreign before
}

// piece returns a piece of the job, nil if there is none with this stage and
// number.
func (j *job) piece(stage, number int) *piece {
	for _, u := range j.units {
		if u.stage == stage && number >= 0 && number < len(u.pieces) {
			return u.pieces[number]
		}
	}
	return nil
}

// resultHolder returns the target that holds the result, nil if it is unknown.
func (p *Planner) resultHolder(j *job, m ResultRef, now time.Time) *stageTarget {
	if m.Stage < 0 || m.Stage >= len(j.Stages) {
		return nil
	}
	v := p.services[j.Stages[m.Stage].Service]
	if v == nil {
		return nil
	}
	if s := v.targets[m.Target]; s != nil && !s.removed && !s.startedAfter(now.Add(-m.Age)) {
		return s
	}
	return nil
}

// releaseAdopted releases the results that a refused job had adopted.
func (p *Planner) releaseAdopted(j *job, now time.Time) {
	j.state = jobEnded
	j.discardResults(resultRefused)
	for _, u := range j.units {
		p.free(u, now)
	}
}

// results returns references to the job's results that are still needed.
func (j *job) results(now time.Time) []ResultRef {
	var list []ResultRef
	for _, u := range j.units {
		for _, q := range u.pieces {
			if q.state == pieceDone && q.handle != "" {
				list = append(list, q.result(now))
			}
		}
	}
	return list
}

// result returns the reference to the piece's result that the owner keeps.
func (q *piece) result(now time.Time) ResultRef {
	return ResultRef{Stage: q.unit.stage, Number: q.number, Target: q.target.info.ID, Handle: q.handle, Age: now.Sub(q.madeAt)}
}

// notifyOwners reports the results of the call's pieces to the owners of their
// jobs.
func (c *call) notifyOwners(now time.Time) {
	byJob := make(map[*job][]ResultRef)
	for _, q := range c.pieces {
		if j := q.unit.job; j.onResults != nil && q.state == pieceDone && q.handle != "" {
			byJob[j] = append(byJob[j], q.result(now))
		}
	}
	for j, made := range byJob {
		j.onResults(made)
	}
}

// transfer ends the job without releasing its results, since it continues at
// another dispatcher. Results of pieces that are still running are released
// when their call ends.
func (p *Planner) transfer(j *job, now time.Time) {
	if j.state == jobEnded {
		return
	}
	for _, u := range j.units {
		for _, q := range u.pieces {
			if q.state == pieceDone && q.handle != "" {
				p.countResult(q, resultMoved)
				q.target.usedBytes -= u.resultBytes
				q.handle = ""
			}
		}
	}
	p.cancel(j, now)
}

// startReturn marks the jobs without an engine to be returned to their owners,
// each as soon as none of its pieces is running. Unless all is set, jobs whose
// owners cannot reach the first-ranked instance are kept.
func (p *Planner) startReturn(all bool) {
	p.dueNow()
	for _, j := range p.staging() {
		if len(j.units) > 0 && (all || j.RankOverride != OverrideUnreachable) {
			j.returning = true
		}
	}
}

// returnJobs returns the marked jobs that have no running pieces.
func (p *Planner) returnJobs(now time.Time) {
	for _, j := range p.staging() {
		if j.returning && !j.hasRunningPieces() && !j.resultsReady() {
			results := j.results(now)
			p.transfer(j, now)
			j.onReturn(results)
		}
	}
}

// hasRunningPieces reports whether a piece of the job is running.
func (j *job) hasRunningPieces() bool {
	for _, u := range j.units {
		for _, q := range u.pieces {
			if q.state == pieceRunning {
				return true
			}
		}
	}
	return false
}
