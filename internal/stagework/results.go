package stagework

import (
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/relay"
)

// removePending removes the unit from the pending units.
func (v *service) removePending(u *workUnit) {
	if at := slices.Index(v.pendingUnits, u); at >= 0 {
		v.pendingUnits = slices.Delete(v.pendingUnits, at, at+1)
	}
}

// free releases the unit's results and its memory reservation. Results of
// pieces that are still running are released when their call ends.
func (p *Planner) free(u *workUnit, now time.Time) {
	if u.freed {
		return
	}
	u.freed = true
	u.service.removePending(u)
	if u.reserved {
		u.reserved = false
		u.service.reservedBytes -= u.totalBytes()
	}
	for _, q := range u.pieces {
		if q.state == pieceDone && q.handle != "" {
			p.countResult(q, u.outcome())
			u.service.retention += time.Duration(retentionWeight * float64(now.Sub(q.madeAt)-u.service.retention))
			p.releaseResult(q)
		}
	}
}

// releaseResult releases one result.
func (p *Planner) releaseResult(q *piece) {
	p.startRelease(q.target, q.handle, q.unit.resultBytes)
	q.handle = ""
}

// startRelease asks the target that holds a result to release it. The memory
// counts as used until the target has been notified: a piece sent there before
// would be rejected for lack of memory.
func (p *Planner) startRelease(s *stageTarget, handle string, bytes int64) {
	if s.removed {
		s.usedBytes -= bytes
		return
	}
	p.pendingReleases[handle] = pendingRelease{target: s, bytes: bytes}
	p.release(s.info.Address, []string{handle})
}

// pendingRelease is a result that its target is being asked to release.
type pendingRelease struct {
	target *stageTarget
	bytes  int64
}

// released is called when a target has been asked to release the results.
func (p *Planner) released(handles []string) {
	for _, h := range handles {
		if l, ok := p.pendingReleases[h]; ok {
			l.target.usedBytes -= l.bytes
			delete(p.pendingReleases, h)
		}
	}
}

// remakeAll requeues all finished pieces of a unit whose results are lost or
// were released.
func (p *Planner) remakeAll(u *workUnit, now time.Time) {
	u.freed = false
	for _, q := range u.pieces {
		if q.state == pieceDone {
			p.counts.Remade++
			if q.handle != "" {
				p.countResult(q, q.outcomeOfLost(false))
				p.releaseResult(q)
			}
			p.requeue(q, now)
		}
	}
	u.enqueue()
}

// enqueue adds the unit to its service's pending units if it has waiting
// pieces.
func (u *workUnit) enqueue() {
	if u.waiting > 0 && !slices.Contains(u.service.pendingUnits, u) {
		u.service.enqueueCount++
		u.enqueueSeq = u.service.enqueueCount
		u.service.pendingUnits = append(u.service.pendingUnits, u)
	}
}

// requeue makes a piece wait again. If its inputs were released, since all
// pieces that need them had finished, they are produced again as well.
func (p *Planner) requeue(q *piece, now time.Time) {
	u := q.unit
	if q.state == pieceDone {
		u.unfinished++
	}
	q.state, q.target, q.handle = pieceWaiting, nil, ""
	u.waiting++
	u.enqueue()
	for _, a := range u.inputs {
		if a.freed {
			p.remakeAll(a, now)
		}
	}
}

// callFinished updates the state after a call. results is nil if the call
// failed; noSlot reports that the target had no free slot.
func (p *Planner) callFinished(c *call, results []relay.PieceResult, noSlot bool, now time.Time) {
	s := c.target
	s.calls--
	s.running = slices.DeleteFunc(s.running, func(o *call) bool { return o == c })
	switch {
	case noSlot:
		p.counts.NoSlot++
		s.pausedUntil = now.Add(noSlotBackoff)
		s.busyUntil = now.Add(noSlotBackoff)
	case results == nil:
		p.counts.Errors++
		s.busyUntil = now
		if took := now.Sub(c.sent); took > c.expected {
			s.latencyRatio = max(s.latencyRatio, float64(took)/float64(c.nominal))
		}
		s.recordFailure(now)
	default:
		s.busyUntil = now
		s.recordSuccess(c.nominal, now.Sub(c.sent))
		s.service.latencyRatio += 0.1 * (clamp(float64(now.Sub(c.sent))/float64(c.nominal), 0.3, 1.5) - s.service.latencyRatio)
	}
	defer c.notifyOwners(now)
	outOfMemory := false
	for i, q := range c.pieces {
		var r relay.PieceResult
		switch {
		case noSlot:
			r.Status = relay.PieceError
			q.attempts--
		case results == nil:
			r.Status = relay.PieceError
		default:
			r = results[i]
		}
		if r.Status == relay.PieceDone {
			p.countMade(q, now.Sub(c.sent)/time.Duration(len(c.pieces)))
		}
		p.pieceFinished(q, s, r, now)
		outOfMemory = outOfMemory || r.Status == relay.PieceNoMemory
	}
	if outOfMemory {
		s.outOfMemory(now)
	}
	if s.removed && s.calls == 0 && s.service.targets[s.info.ID] == s {
		delete(s.service.targets, s.info.ID)
		s.service.sortTargets()
	}
}

// pieceFinished updates the state after a call with the outcome of one piece.
func (p *Planner) pieceFinished(q *piece, s *stageTarget, r relay.PieceResult, now time.Time) {
	u := q.unit
	if r.Status != relay.PieceDone {
		s.usedBytes -= u.resultBytes
	}
	if u.job.state == jobEnded || u.freed {
		if r.Status == relay.PieceDone {
			p.countResult(q, u.outcome())
			p.startRelease(s, r.Handle, u.resultBytes)
		}
		return
	}
	switch r.Status {
	case relay.PieceDone:
		q.state, q.handle, q.madeAt = pieceDone, r.Handle, now
		if u.unfinished--; u.unfinished == 0 {
			p.unitCompleted(u, now)
		}
		return
	case relay.PieceNoMemory:
		p.counts.OutOfMemory++
		q.attempts--
	case relay.PieceInputMissing:
		p.counts.InputsLost++
		p.remakeLostInputs(u, now)
	case relay.PieceExpired:
		p.counts.Late++
	default:
		if r.Status == relay.PieceError {
			p.counts.Errors++
		}
	}
	p.requeue(q, now)
}

// remakeLostInputs determines which inputs of the unit are lost and has them
// produced again: those on targets that are removed or failing and those past
// half their lifetime; if there are none of these, all of them.
func (p *Planner) remakeLostInputs(u *workUnit, now time.Time) {
	var suspects, all []*piece
	for _, a := range u.inputs {
		for _, q := range a.pieces {
			if q.state != pieceDone || now.Sub(q.madeAt) < 5*time.Millisecond {
				continue
			}
			all = append(all, q)
			if q.target.removed || q.target.failures > 0 || now.Sub(q.madeAt) > a.service.limits.ResultLifetime/2 {
				suspects = append(suspects, q)
			}
		}
	}
	if len(suspects) == 0 {
		suspects = all
	}
	for _, q := range suspects {
		p.counts.Remade++
		p.countResult(q, q.outcomeOfLost(false))
		p.releaseResult(q)
		p.requeue(q, now)
	}
}

// unitCompleted releases the inputs of the unit that no other unit needs any
// more.
func (p *Planner) unitCompleted(u *workUnit, now time.Time) {
	u.service.removePending(u)
	for _, a := range u.inputs {
		if a.consumed() {
			p.free(a, now)
		}
	}
}
