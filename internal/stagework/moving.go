package stagework

import "time"

// adopt takes in the results that the dispatcher before had made of the job.
// Those of targets that are not known any more are made again.
func (p *Planner) adopt(j *job, now time.Time) {
	for _, m := range j.Made {
		if p.policy.NoTakeover {
			break
		}
		if q, s := j.piece(m.Stage, m.Number), p.maker(j, m); q != nil && s != nil && q.state == pieceWaiting {
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
			p.completed(u, now)
		}
	}
}

// adopt makes the piece one whose result lies at the target.
func (q *piece) adopt(s *server, m Made, now time.Time) {
	q.state, q.server, q.handle, q.made = pieceMade, s, m.Handle, now.Add(-m.Age)
	q.unit.waiting--
	q.unit.unmade--
	s.room += q.unit.bytes
	s.foreign = max(s.foreign-q.unit.bytes, 0) // where it was counted until now
}

// piece returns a piece of the job, nil if it has no such.
func (j *job) piece(stage, number int) *piece {
	for _, u := range j.units {
		if u.stage == stage && number >= 0 && number < len(u.pieces) {
			return u.pieces[number]
		}
	}
	return nil
}

// maker returns the target that holds the result, nil if it is not known.
func (p *Planner) maker(j *job, m Made) *server {
	if m.Stage < 0 || m.Stage >= len(j.Stages) {
		return nil
	}
	v := p.services[j.Stages[m.Stage].Service]
	if v == nil {
		return nil
	}
	if s := v.servers[m.Target]; s != nil && !s.gone {
		return s
	}
	return nil
}

// abandon gives up what a job that is refused had adopted.
func (p *Planner) abandon(j *job, now time.Time) {
	for _, u := range j.units {
		p.free(u, now)
	}
}

// results returns the job's results that are still needed.
func (j *job) results(now time.Time) []Made {
	var list []Made
	for _, u := range j.units {
		for _, q := range u.pieces {
			if q.state == pieceMade && q.handle != "" {
				list = append(list, q.result(now))
			}
		}
	}
	return list
}

// result is the piece's result as its owner keeps it.
func (q *piece) result(now time.Time) Made {
	return Made{Stage: q.unit.stage, Number: q.number, Target: q.server.target.ID, Handle: q.handle, Age: now.Sub(q.made)}
}

// tellOwners tells the owners of the call's pieces of their results.
func (c *call) tellOwners(now time.Time) {
	byJob := make(map[*job][]Made)
	for _, q := range c.pieces {
		if j := q.unit.job; j.made != nil && q.state == pieceMade && q.handle != "" {
			byJob[j] = append(byJob[j], q.result(now))
		}
	}
	for j, made := range byJob {
		j.made(made)
	}
}

// move ends the job without giving its results up: it goes on at another
// dispatcher. Pieces that are being made are given up when their call ends.
func (p *Planner) move(j *job, now time.Time) {
	if j.state == jobEnded {
		return
	}
	for _, u := range j.units {
		for _, q := range u.pieces {
			if q.state == pieceMade && q.handle != "" {
				q.server.room -= u.bytes
				q.handle = ""
			}
		}
	}
	p.cancel(j, now)
}

// leave has the jobs that have no engine yet given back, each as soon as none
// of its pieces is being made. Jobs whose owners do not reach the instance that
// ranks first stay unless all have to go.
func (p *Planner) leave(all bool) {
	p.dueNow()
	for _, j := range p.staging() {
		if len(j.units) > 0 && (all || j.Insist != InsistTried) {
			j.leaving = true
		}
	}
}

// giveBack gives back the leaving jobs of which no piece is being made.
func (p *Planner) giveBack(now time.Time) {
	for _, j := range p.staging() {
		if j.leaving && !j.making() && !j.staged() {
			results := j.results(now)
			p.move(j, now)
			j.lost(results)
		}
	}
}

// making reports whether a piece of the job is being made.
func (j *job) making() bool {
	for _, u := range j.units {
		for _, q := range u.pieces {
			if q.state == pieceRunning {
				return true
			}
		}
	}
	return false
}
