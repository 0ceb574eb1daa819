package stagework

import "time"

// group returns the units, by rank, whose pieces go together in a call of the
// target: the first one, and those after it that fit whole and for which no
// other target is better.
//
// What goes wrong if the call is filled with whatever comes next: pieces are
// made in another place than what they read, and all of it crosses places. Of a
// stage with 6 pieces that each read 4 results of 60 kB that is 1.4 MB a
// request; it is noticed by the bytes between places. What goes wrong if a unit
// is divided: it ends with the later of two calls, and where those are made in
// different places each piece of the next stage fetches results from both.
func (p *Planner) group(r *round, s *candidate, units []*unit) []*unit {
	group := units[:1:1]
	room := r.v.batch() - units[0].waiting
	for _, u := range units[1:] {
		if room <= 0 {
			break
		}
		if u.waiting == 0 || u.waiting > room || p.pickServer(r, u) != s {
			continue
		}
		group = append(group, u)
		room -= u.waiting
	}
	return group
}

// call forms a call for the target of the pieces that come first, up to its
// batch, also while other targets are free. Most of a call's time is its fixed
// part: pieces shared out over all free targets start no sooner than in one
// call, and the targets are busy when the next pieces come.
func (p *Planner) call(r *round, s *candidate, units []*unit) *call {
	v, now := r.v, r.now
	s.free = false
	r.free--
	c := &call{number: p.calls, server: s.server, sent: now}
	p.calls++
	for _, u := range units {
		if len(c.pieces) >= v.batch() {
			break
		}
		c.take(u, v.batch(), now)
	}
	if len(c.pieces) == 0 {
		return nil
	}
	r.waiting -= len(c.pieces)
	c.nominal = v.callTime(len(c.pieces))
	c.expected = time.Duration(float64(c.nominal) * max(s.pace, v.pace))
	s.calls++
	s.busyTill = now.Add(c.expected)
	r.look(s)
	p.counts.Calls++
	p.counts.Pieces += len(c.pieces)
	return c
}

// take adds the unit's waiting pieces to the call as far as they fit.
func (c *call) take(u *unit, batch int, now time.Time) {
	for _, q := range u.pieces {
		if len(c.pieces) >= batch || !c.server.fits(u.bytes, now) {
			return
		}
		if q.state != pieceWaiting {
			continue
		}
		q.state, q.server = pieceRunning, c.server
		q.tries++
		u.waiting--
		c.server.room += u.bytes
		c.pieces = append(c.pieces, q)
	}
}
