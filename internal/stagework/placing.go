package stagework

import "time"

// place chooses an engine for a job whose results are all there.
func (p *Planner) place(j *job, now time.Time) {
	o := j.pool
	e, missing := o.choose(j, now)
	if e == nil {
		p.refuse(j, Refusal{Reason: ReasonNoTarget, RetryAfter: comeBackMin}, now)
		return
	}
	j.engine, j.missing, j.placed = e, missing, now
	p.unstage(j, jobPlaced)
	e.running++
	e.tokens += j.size()
	e.reading += missing
	o.countSent(e, j, now)
	if j.Prompt != nil {
		// Those that come next are to find the parts here, though they are read
		// only now.
		e.keep(j.Prompt, o.capacity())
		o.use(j.Prompt, now)
	}
	p.counts.Placed++
	j.notify(Placement{Target: e.target.ID, Address: e.target.Address, Inputs: j.inputs()}, nil)
}

// inputs are the results that the engine reads; nil if the request has no
// stages at all.
func (j *job) inputs() []string {
	if len(j.Stages) == 0 {
		return nil
	}
	inputs := []string{}
	for _, u := range j.leaves {
		for _, q := range u.pieces {
			inputs = append(inputs, q.handle)
		}
	}
	return inputs
}

// refuse gives a job up.
func (p *Planner) refuse(j *job, r Refusal, now time.Time) {
	p.counts.Refused++
	p.changed()
	p.cancel(j, now)
	j.notify(Placement{}, &r)
}

// begun is told when the engine's answer has begun: it has read its inputs.
func (p *Planner) begun(j *job, now time.Time) {
	if j.state != jobPlaced {
		return
	}
	j.pool.begun(j, now)
	j.state = jobRunning
	for _, u := range j.units {
		p.free(u, now)
	}
}

// rejected is told when the engine did not take the job, or failed it before
// its answer began and it may be tried again. gone says that inputs were gone.
func (p *Planner) rejected(j *job, gone, failed bool, now time.Time) {
	if j.state != jobPlaced {
		return
	}
	e := j.engine
	p.unplace(j)
	p.stage(j)
	switch {
	case gone:
		for _, u := range j.leaves {
			p.redo(u, now)
		}
	case failed:
		e.failed(now)
		j.Avoid = append(j.Avoid, e.target.ID)
	default:
		j.Avoid = append(j.Avoid, e.target.ID)
		e.pausedTo = now.Add(fullPause)
	}
}

// broke is told when the engine failed the job for good.
func (p *Planner) broke(j *job, now time.Time) {
	if j.engine != nil {
		j.engine.failed(now)
	}
}

// unplace takes the job off its engine.
func (p *Planner) unplace(j *job) {
	e := j.engine
	e.running--
	e.tokens -= j.size()
	if j.state == jobPlaced {
		e.reading -= j.missing
	}
	j.engine = nil
}

// size is the memory that the job takes at an engine, in tokens.
func (j *job) size() int64 {
	if j.Prompt == nil {
		return 0
	}
	out := j.Prompt.TokensOut
	if j.Prompt.LikelyOut > 0 {
		out = min(out, j.Prompt.LikelyOut)
	}
	return int64(j.Prompt.TokensIn + out/2)
}

// cancel ends a job that is not needed any more, whatever its state.
func (p *Planner) cancel(j *job, now time.Time) {
	if j.state == jobEnded {
		return
	}
	if j.engine != nil {
		p.unplace(j)
	}
	p.unstage(j, jobEnded)
	delete(p.jobs, j)
	for _, u := range j.units {
		p.free(u, now)
	}
}
