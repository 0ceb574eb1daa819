package stagework

import "time"

// place chooses an engine for a job whose results are all available.
func (p *Planner) place(j *job, now time.Time) {
	o := j.pool
	e, uncachedTokens := o.choose(j, now)
	if e == nil {
		p.refuse(j, Refusal{Reason: ReasonNoTarget, RetryAfter: retryAfterMin}, now)
		return
	}
	j.engine, j.uncachedTokens, j.placedAt = e, uncachedTokens, now
	p.dequeueJob(j, jobPlaced)
	p.stagesCompleted(j)
	e.running++
	e.tokens += j.tokens()
	e.prefillTokens += uncachedTokens
	o.recordPlacement(e, j, now)
	if j.Prompt != nil {
		// The next requests should find the parts on this engine, although it
		// processes them only now.
		e.cacheParts(j.Prompt, o.cacheCapacity())
		o.recordUse(j.Prompt, now)
	}
	p.counts.Placed++
	j.notify(Placement{Target: e.info.ID, Address: e.info.Address, Inputs: j.inputs()}, nil)
}

// inputs returns the handles of the results that the engine reads; nil if the
// request has no stages at all.
func (j *job) inputs() []string {
	if len(j.Stages) == 0 {
		return nil
	}
	inputs := []string{}
	for _, u := range j.finalUnits {
		for _, q := range u.pieces {
			inputs = append(inputs, q.handle)
		}
	}
	return inputs
}

// refuse ends a job with a refusal.
func (p *Planner) refuse(j *job, r Refusal, now time.Time) {
	p.counts.Refused++
	p.countRule(j, &r)
	j.discardResults(resultRefused)
	p.invalidateForecast()
	p.cancel(j, now)
	j.notify(Placement{}, &r)
}

// answerStarted is called when the engine's answer has started: the engine has
// read its inputs.
func (p *Planner) answerStarted(j *job, now time.Time) {
	if j.state != jobPlaced {
		return
	}
	j.pool.answerStarted(j, now)
	j.state = jobRunning
	for _, u := range j.units {
		p.free(u, now)
	}
}

// engineRejected is called when the engine did not accept the job, or failed it
// before its answer started, so that another engine may be tried. inputsLost
// reports that inputs were lost.
func (p *Planner) engineRejected(j *job, inputsLost, failed bool, now time.Time) {
	if j.state != jobPlaced {
		return
	}
	e := j.engine
	p.unplace(j)
	p.enqueueJob(j)
	switch {
	case inputsLost:
		for _, u := range j.finalUnits {
			p.remakeAll(u, now)
		}
	case failed:
		e.recordFailure(now)
		j.ExcludedEngines = append(j.ExcludedEngines, e.info.ID)
	default:
		j.ExcludedEngines = append(j.ExcludedEngines, e.info.ID)
		e.pausedUntil = now.Add(noSlotBackoff)
	}
}

// engineFailed is called when the engine failed the job for good.
func (p *Planner) engineFailed(j *job, now time.Time) {
	if j.engine != nil {
		j.engine.recordFailure(now)
	}
}

// unplace removes the job from its engine.
func (p *Planner) unplace(j *job) {
	e := j.engine
	e.running--
	e.tokens -= j.tokens()
	if j.state == jobPlaced {
		e.prefillTokens -= j.uncachedTokens
	}
	j.engine = nil
}

// tokens is the engine memory that the job takes, in tokens.
func (j *job) tokens() int64 {
	if j.Prompt == nil {
		return 0
	}
	out := j.Prompt.TokensOut
	if j.Prompt.ExpectedOut > 0 {
		out = min(out, j.Prompt.ExpectedOut)
	}
	return int64(j.Prompt.TokensIn + out/2)
}

// cancel ends a job that is no longer needed, whatever its state.
func (p *Planner) cancel(j *job, now time.Time) {
	if j.state == jobEnded {
		return
	}
	if j.engine != nil {
		p.unplace(j)
	}
	j.discardResults(resultCallerLeft)
	p.dequeueJob(j, jobEnded)
	if _, accepted := p.jobs[j]; accepted {
		p.pieces -= j.countPieces()
		delete(p.jobs, j)
	}
	for _, u := range j.units {
		p.free(u, now)
	}
}
