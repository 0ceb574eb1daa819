package stagework

import "time"

// Factors of the wait of first stages.
const (
	// gatherShare is how long after its arrival a request's first stage waits
	// for others, in fixed times of a call. Of 0.17, 0.33 and 0.5 the second was
	// best, measured as credit less prices; in half a fixed time what urgent
	// requests lose is as much as what fuller calls win.
	gatherShare = 1.0 / 3
	// gatherFull is the share of a batch from which on a call does not wait.
	gatherFull = 0.6
	// gatherLeast is the number of pieces that must be expected to come in the
	// wait for it to be worth anything.
	gatherLeast = 1.0
)

// gatherUntil returns until when a call of first stages waits for more requests.
// It is not after now if it does not.
//
// What goes wrong without it: requests come one by one, and each begins a call
// of its own as long as a target is free. Soon none is, all being busy with
// calls of two or three pieces of eight, and a burst begins with no target free.
// Of later stages the planner knows what comes (holdFor); of callers it knows
// the rate at which they came, and when few come nothing waits.
func (r *round) gatherUntil(g draft) time.Time {
	v := r.v
	wait := time.Duration(gatherShare * float64(v.limits.CallTime))
	if float64(g.fit) >= gatherFull*float64(v.batch()) || v.arrivals.perSecond(r.now)*wait.Seconds() < gatherLeast {
		return time.Time{}
	}
	var until time.Time
	for _, u := range g.units {
		if begun := u.waiting < len(u.pieces); begun || len(u.after) > 0 {
			return time.Time{}
		}
		if at := u.job.arrived.Add(wait); until.IsZero() || at.Before(until) {
			until = at
		}
	}
	return until
}

// perSecond is what came in a second.
func (m *loadMeter) perSecond(now time.Time) float64 { return m.load(1, now) }

// countArrival counts the pieces of the job's first stages.
func (j *job) countArrival(now time.Time) {
	for _, u := range j.units {
		if len(u.after) == 0 {
			u.service.arrivals.add(float64(u.waiting), now)
		}
	}
}
