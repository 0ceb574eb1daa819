package stagework

import "time"

// resultOutcome is what became of a result.
type resultOutcome int

// The outcomes of results.
const (
	resultUsed       resultOutcome = iota // a later stage or the engine read it
	resultMoved                           // it was handed over to another dispatcher with its job
	resultRefused                         // its job was refused
	resultCallerLeft                      // its caller left
	resultExpired                         // it, or its job, expired
	resultTargetGone                      // its target was removed
	resultLost                            // its target or its reader did not have it
	resultOutcomes
)

// String returns the name of the outcome in metrics.
func (o resultOutcome) String() string {
	return [...]string{"used", "moved", "refused", "caller_left", "expired", "target_gone", "lost"}[o]
}

// resultCounts counts results by outcome, with the target time spent on them.
type resultCounts struct {
	number   [resultOutcomes]int
	took     [resultOutcomes]time.Duration
	made     int
	madeTime time.Duration
}

// countMade counts a new result; took is its part of its call.
func (p *Planner) countMade(q *piece, took time.Duration) {
	q.took = took
	p.results.made++
	p.results.madeTime += took
}

// countResult counts what became of a result.
func (p *Planner) countResult(q *piece, o resultOutcome) {
	p.results.number[o]++
	p.results.took[o] += q.took
}

// outcome is what becomes of the unit's results when they are released.
func (u *workUnit) outcome() resultOutcome {
	if u.job.state == jobEnded && !u.consumed() {
		return u.job.discarded
	}
	return resultUsed
}

// outcomeOfLost is what becomes of a result that is made again.
func (q *piece) outcomeOfLost(expired bool) resultOutcome {
	switch {
	case q.target.removed:
		return resultTargetGone
	case expired:
		return resultExpired
	}
	return resultLost
}

// discardResults sets why the results of a job that ends are thrown away, unless
// that is known.
func (j *job) discardResults(o resultOutcome) {
	if j.discarded == resultUsed {
		j.discarded = o
	}
}

// ResultCounts holds counters of the results that targets made since the start,
// and of the target time spent on them in milliseconds: "made", and by what
// became of them.
type ResultCounts struct {
	Number, Milliseconds map[string]int64
}

// ResultCounts returns the counters of results.
func (d *Dispatcher) ResultCounts() ResultCounts {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := ResultCounts{make(map[string]int64), make(map[string]int64)}
	for _, p := range d.planners {
		all.Number["made"] += int64(p.results.made)
		all.Milliseconds["made"] += p.results.madeTime.Milliseconds()
		for o := range resultOutcomes {
			all.Number[o.String()] += int64(p.results.number[o])
			all.Milliseconds[o.String()] += p.results.took[o].Milliseconds()
		}
	}
	return all
}
