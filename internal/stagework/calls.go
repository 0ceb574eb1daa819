package stagework

import "time"

// Parameters of waiting for result memory.
const (
	// minCallFill is the fill level of a call, relative to the pieces that
	// could be in it with enough result memory, from which on the call does not
	// wait for memory. Of 0.5, 0.6, 0.65, 0.7 and 0.8, the value 0.65 reaches
	// 0.903 and 0.922 of the targets' capacity on time at two and three times
	// the normal rate of one request kind, against 0.889 and 0.898 with 0.5;
	// from 0.7 on, callers that retry immediately get over a tenth more than
	// callers that honour the retry delay.
	minCallFill = 0.65
	// memoryWaitShare is how long a target waits for memory after its last
	// call, as a share of a call's fixed time.
	memoryWaitShare = 0.5
)

// callDraft is a call that is being assembled.
type callDraft struct {
	units   []*workUnit // by rank
	fitting int         // pieces for which the target has result memory
	blocked int         // pieces that are left out only for lack of result memory
}

// draftCall selects the units, by rank, whose pieces go into one call of the
// target: the first unit, and those after it that fit whole and for which no
// other target is preferred.
//
// If calls were filled with the next units regardless of zone, pieces would run
// in another zone than their inputs, all of which would cross zones. For a
// stage with 6 pieces that each read 4 results of 60 kB, that is 1.4 MB per
// request; the symptom is a rise of cross-zone traffic. If units were split, a
// unit would finish with the later of two calls, and if those run in different
// zones, each piece of the next stage has to fetch results from both.
func (p *Planner) draftCall(r *round, s *candidate, units []*workUnit) callDraft {
	if p.policy.MixedCalls {
		return callDraft{units: units, fitting: r.waiting}
	}
	first := units[0]
	g := callDraft{units: []*workUnit{first}, fitting: first.waiting}
	free := s.freeBytes(r.now) - first.waitingBytes()
	if free < 0 {
		g.blocked = min(int((-free+first.resultBytes-1)/first.resultBytes), first.waiting)
		g.fitting -= g.blocked
	}
	for _, u := range units[1:] {
		left := r.v.batch() - g.fitting - g.blocked
		if left <= 0 {
			break
		}
		if u.waiting == 0 || u.waiting > left || !u.mayJoin(g.units) || p.pickTarget(r, u) != s {
			continue
		}
		if u.waitingBytes() > free {
			g.blocked += u.waiting
			continue
		}
		g.units = append(g.units, u)
		g.fitting += u.waiting
		free -= u.waitingBytes()
	}
	return g
}

// waitingBytes is the size of the results of the unit's waiting pieces.
func (u *workUnit) waitingBytes() int64 { return int64(u.waiting) * u.resultBytes }

// waitsForMemory reports whether the target should wait for results to be
// released rather than start a call with the few pieces for which it has
// memory.
//
// In a burst, a target's memory is full of results that the next stage is
// reading. Without the wait, each time a few of them are released, the target
// starts a call with as many pieces, which takes nearly as long as a full one:
// targets are always busy at a third of their capacity. The symptom is calls of
// 4 pieces while 90 wait. The memory of a call is released when the next stage
// ends, after about the duration of a call; the wait covers the difference.
func (s *candidate) waitsForMemory(g callDraft, now time.Time) bool {
	minFitting := minCallFill * float64(g.fitting+g.blocked)
	idle := now.Sub(s.busyUntil)
	return float64(g.fitting) < minFitting && s.usedBytes > 0 && idle < time.Duration(memoryWaitShare*float64(s.service.limits.CallTime))
}

// formCall forms a call for the target from the first pieces, up to its batch
// size, even while other targets are free. Most of a call's duration is its
// fixed time: pieces distributed over all free targets would start no sooner
// than in one call, and the targets would be busy when the next pieces arrive.
func (p *Planner) formCall(r *round, s *candidate, units []*workUnit) *call {
	v, now := r.v, r.now
	r.exclude(s)
	c := &call{number: p.calls, target: s.stageTarget, sent: now}
	p.calls++
	for _, u := range units {
		if len(c.pieces) >= v.batch() {
			break
		}
		c.addPieces(u, v.batch(), now)
	}
	if len(c.pieces) == 0 {
		return nil
	}
	r.waiting -= len(c.pieces)
	c.nominal = v.callTime(len(c.pieces))
	c.expected = time.Duration(float64(c.nominal) * max(s.latencyRatio, v.latencyRatio))
	s.calls++
	s.running = append(s.running, c)
	s.recordCall(now)
	s.busyUntil = now.Add(c.expected)
	r.refresh(s)
	p.counts.Calls++
	p.counts.Pieces += len(c.pieces)
	return c
}

// addPieces adds the unit's waiting pieces to the call as long as they fit.
func (c *call) addPieces(u *workUnit, batch int, now time.Time) {
	for _, q := range u.pieces {
		if len(c.pieces) >= batch || !c.target.fits(u.resultBytes, now) {
			return
		}
		if q.state != pieceWaiting {
			continue
		}
		q.state, q.target = pieceRunning, c.target
		q.attempts++
		u.waiting--
		c.target.usedBytes += u.resultBytes
		c.pieces = append(c.pieces, q)
	}
}
