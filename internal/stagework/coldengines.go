package stagework

import "time"

// ColdShares says how many requests an instance may send within
// allowance.ColdSpan to a cold target of a service with the declared rate.
type ColdShares interface {
	Share(instance, target string, rate float64) int
}

// allOwners is the key under which the jobs of all owners are counted.
const allOwners = ""

// spared reports whether the engine is cold and the job's owner has no share of
// it left. The owner would not send the request there (allowance.Allowance).
func (p *pool) spared(e *engine, j *job, now time.Time) bool {
	if p.coldRate <= 0 || p.shares == nil || !e.target.Cold(now) {
		return false
	}
	return e.sent.Count(j.Owner, now) >= p.shares.Share(j.Owner, e.target.ID, p.coldRate)
}

// crowded reports whether the engine got as much within the last second as it
// would bear if it were cold. Such an engine gets more only if no other that is
// well takes work; it goes before those under suspicion, since else those that
// fail get as much as those that are well as soon as all are crowded.
//
// What goes wrong without it: engines become cold in the middle of their work,
// and tell it a heartbeat later. Until then one of which many requests share a
// prompt part gets all of those, and crashes. One notices engines that crash
// with a part that much of the traffic shares.
func (p *pool) crowded(e *engine, now time.Time) bool {
	return p.coldRate > 0 && float64(e.sent.Count(allOwners, now)) >= p.coldRate
}

// countSent counts a job that is placed at the engine.
func (p *pool) countSent(e *engine, j *job, now time.Time) {
	if p.coldRate <= 0 {
		return
	}
	e.sent.Add(allOwners, now)
	if e.target.Cold(now) {
		e.sent.Add(j.Owner, now)
	}
}
