package stagework

import (
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/relay"
)

func (v *service) drop(u *unit) {
	if at := slices.Index(v.units, u); at >= 0 {
		v.units = slices.Delete(v.units, at, at+1)
	}
}

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
		if q.state == pieceMade {
			u.service.hold += time.Duration(holdWeight * float64(now.Sub(q.made)-u.service.hold))
			p.forget(q)
		}
	}
}

func (p *Planner) forget(q *piece) {
	p.giveUp(q.server, q.handle, q.unit.bytes)
	q.handle = ""
}

func (p *Planner) giveUp(s *server, handle string, bytes int64) {
	if s.gone {
		s.room -= bytes
		return
	}
	p.leaving[handle] = leaving{server: s, bytes: bytes}
	p.release(s.target.Address, []string{handle})
}

type leaving struct {
	server *server
	bytes  int64
}

func (p *Planner) released(handles []string) {
	for _, h := range handles {
		if l, ok := p.leaving[h]; ok {
			l.server.room -= l.bytes
			delete(p.leaving, h)
		}
	}
}

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

func (u *unit) enqueue() {
	if u.waiting > 0 && !slices.Contains(u.service.units, u) {
		u.service.units = append(u.service.units, u)
	}
}

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
	}
	if s.gone && s.calls == 0 {
		delete(s.service.servers, s.target.ID)
	}
}

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
		s.noRoomTo = now.Add(roomPause)
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

func (p *Planner) completed(u *unit, now time.Time) {
	u.service.drop(u)
	for _, a := range u.after {
		if a.passed() {
			p.free(a, now)
		}
	}
}
