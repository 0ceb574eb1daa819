package stagework

import "time"

// Parameters of the batching delay of first stages.
const (
	// batchDelayShare is how long after its arrival a request's first stage
	// waits for other requests, as a share of a call's fixed time. Of 0.17,
	// 0.33 and 0.5, 0.33 was best, measured as credit minus costs; with 0.5,
	// urgent requests lose as much as fuller calls gain.
	batchDelayShare = 1.0 / 3
	// batchDelayMaxFill is the share of the batch size from which on a call is
	// not delayed.
	batchDelayMaxFill = 0.6
	// batchDelayMinPieces is the number of pieces that must be expected to
	// arrive within the delay for a call to be delayed.
	batchDelayMinPieces = 1.0
)

// batchDelayUntil returns the time until which a call of first stages is
// delayed to batch more requests. The result is not after now if there is no
// delay.
//
// Without the delay, requests that arrive one by one each start a call of their
// own as long as a target is free. Soon all targets are busy with calls of two
// or three pieces out of eight, and a burst finds none free. For later stages
// the planner knows which pieces will become ready (lookaheadDelay); for new
// requests it knows the arrival rate, and nothing is delayed when the rate is
// low.
func (r *round) batchDelayUntil(g callDraft) time.Time {
	v := r.v
	wait := time.Duration(batchDelayShare * float64(v.limits.CallTime))
	if float64(g.fitting) >= batchDelayMaxFill*float64(v.batch()) || v.arrivals.perSecond(r.now)*wait.Seconds() < batchDelayMinPieces {
		return time.Time{}
	}
	var until time.Time
	for _, u := range g.units {
		if started := u.waiting < len(u.pieces); started || len(u.inputs) > 0 {
			return time.Time{}
		}
		if at := u.job.arrived.Add(wait); until.IsZero() || at.Before(until) {
			until = at
		}
	}
	return until
}

// perSecond is the amount of work that arrived per second.
func (m *loadMeter) perSecond(now time.Time) float64 { return m.load(1, now) }

// countArrival counts the pieces of the job's first stages.
func (j *job) countArrival(now time.Time) {
	for _, u := range j.units {
		if len(u.inputs) == 0 {
			u.service.arrivals.add(float64(u.waiting), now)
		}
	}
}
