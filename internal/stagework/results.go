package stagework

import (
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/relay"
)

// drop takes the unit out of the list of those that wait.
func (v *service) drop(u *unit) {
	if at := slices.Index(v.units, u); at >= 0 {
		v.units = slices.Delete(v.units, at, at+1)
	}
}

// free gives up the unit's results and its room. Results of pieces that still
// run are given up when their call ends.
func (p *Planner) free(u *unit, now time.Time) {
	if u.freed {
		return
	}
	u.freed = true
	u.service.drop(u)
	if u.reserved {
		u.reserved = false
		u.service.reserved -= u.size()
	}
	for _, q := range u.pieces {
		if q.state == pieceMade && q.handle != "" {
			u.service.hold += time.Duration(holdWeight * float64(now.Sub(q.made)-u.service.hold))
			p.forget(q)
		}
	}
}

// forget gives up one result.
func (p *Planner) forget(q *piece) {
	p.giveUp(q.server, q.handle, q.unit.bytes)
	q.handle = ""
}

// giveUp has the maker of a result told to give it up. Its room counts as taken
// until the maker has been told: a piece sent there before would be refused for
// want of room.
func (p *Planner) giveUp(s *server, handle string, bytes int64) {
	if s.gone {
		s.room -= bytes
		return
	}
	p.leaving[handle] = leaving{server: s, bytes: bytes}
	p.release(s.target.Address, []string{handle})
}

// leaving is a result that its maker is being told to give up.
type leaving struct {
	server *server
	bytes  int64
}

// released is told that the maker of results has been told to give them up.
func (p *Planner) released(handles []string) {
	for _, h := range handles {
		if l, ok := p.leaving[h]; ok {
			l.server.room -= l.bytes
			delete(p.leaving, h)
		}
	}
}

// redo has a unit's results made again, which are gone or not to be had.
func (p *Planner) redo(u *unit, now time.Time) {
	u.freed = false
	for _, q := range u.pieces {
		if q.state == pieceMade {
			p.counts.Redo++
			if q.handle != "" {
				p.forget(q)
			}
			p.again(q, now)
		}
	}
	u.enqueue()
}

// enqueue puts the unit among those that wait.
func (u *unit) enqueue() {
	if u.waiting > 0 && !slices.Contains(u.service.units, u) {
		u.service.queued++
		u.queued = u.service.queued
		u.service.units = append(u.service.units, u)
	}
}

// again puts a piece back among those that wait. What it is made from was
// given up if all pieces had been made, and is made again too.
func (p *Planner) again(q *piece, now time.Time) {
	u := q.unit
	if q.state == pieceMade {
		u.unmade++
	}
	q.state, q.server, q.handle = pieceWaiting, nil, ""
	u.waiting++
	u.enqueue()
	for _, a := range u.after {
		if a.freed {
			p.redo(a, now)
		}
	}
}

// finished is told how a call ended. results is nil if it failed.
func (p *Planner) finished(c *call, results []relay.PieceResult, full bool, now time.Time) {
	s := c.server
	s.calls--
	switch {
	case full:
		p.counts.Full++
		s.pausedTo = now.Add(fullPause)
		s.busyTill = now.Add(fullPause)
	case results == nil:
		p.counts.Errors++
		s.busyTill = now
		if took := now.Sub(c.sent); took > c.expected {
			s.pace = max(s.pace, float64(took)/float64(c.nominal))
		}
		s.failed(now)
	default:
		s.busyTill = now
		s.succeeded(c.nominal, now.Sub(c.sent))
		s.service.pace += 0.1 * (clamp(float64(now.Sub(c.sent))/float64(c.nominal), 0.3, 1.5) - s.service.pace)
	}
	defer c.tellOwners(now)
	noRoom := false
	for i, q := range c.pieces {
		var r relay.PieceResult
		switch {
		case full:
			r.Fault = relay.PieceError
			q.tries--
		case results == nil:
			r.Fault = relay.PieceError
		default:
			r = results[i]
		}
		p.took(q, s, r, now)
		noRoom = noRoom || r.Fault == relay.PieceRoom
	}
	if noRoom {
		s.refusedRoom(now)
	}
	if s.gone && s.calls == 0 {
		delete(s.service.servers, s.target.ID)
		s.service.arrange()
	}
}

// took takes in what became of one piece.
func (p *Planner) took(q *piece, s *server, r relay.PieceResult, now time.Time) {
	u := q.unit
	if r.Fault != relay.PieceMade {
		s.room -= u.bytes
	}
	if u.job.state == jobEnded || u.freed {
		if r.Fault == relay.PieceMade {
			p.giveUp(s, r.Handle, u.bytes)
		}
		return
	}
	switch r.Fault {
	case relay.PieceMade:
		q.state, q.handle, q.made = pieceMade, r.Handle, now
		if u.unmade--; u.unmade == 0 {
			p.completed(u, now)
		}
		return
	case relay.PieceRoom:
		p.counts.Room++
		q.tries--
	case relay.PieceGone:
		p.counts.Gone++
		p.lostInputs(u, now)
	case relay.PieceLate:
		p.counts.Late++
	default:
		if r.Fault == relay.PieceError {
			p.counts.Errors++
		}
	}
	p.again(q, now)
}

// lostInputs finds which results before the unit are gone and has them made
// again: those of targets that are gone or failing, else those that are old,
// else all.
func (p *Planner) lostInputs(u *unit, now time.Time) {
	var suspects, all []*piece
	for _, a := range u.after {
		for _, q := range a.pieces {
			if q.state != pieceMade || now.Sub(q.made) < 5*time.Millisecond {
				continue
			}
			all = append(all, q)
			if q.server.gone || q.server.fails > 0 || now.Sub(q.made) > a.service.limits.ResultLifetime/2 {
				suspects = append(suspects, q)
			}
		}
	}
	if len(suspects) == 0 {
		suspects = all
	}
	for _, q := range suspects {
		p.counts.Redo++
		p.forget(q)
		p.again(q, now)
	}
}

// completed frees what the unit's results were made from, once all that need it
// are made.
func (p *Planner) completed(u *unit, now time.Time) {
	u.service.drop(u)
	for _, a := range u.after {
		if a.passed() {
			p.free(a, now)
		}
	}
}
