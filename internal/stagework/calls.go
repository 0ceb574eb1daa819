package stagework

import "time"

// Factors of the wait for room.
const (
	// roomFull is the share of the pieces that could be in a call from which on
	// it is not put off for want of room. Of 0.5, 0.6, 0.65, 0.7 and 0.8 the third
	// has 0.903 and 0.922 of what the targets can make on time at twice and three
	// times the calm rate of one kind, where 0.5 has 0.889 and 0.898; from 0.7 on
	// callers that repeat at once get more than a tenth more than patient ones.
	roomFull = 0.65
	// roomWait is how long a target waits for room after its last call, in fixed
	// times of a call.
	roomWait = 0.5
)

// draft is a call that is being put together.
type draft struct {
	units []*unit // by rank
	fit   int     // pieces for which there is room
	short int     // pieces that would be in the call if there were room
}

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
func (p *Planner) group(r *round, s *candidate, units []*unit) draft {
	if p.policy.MixedCalls {
		return draft{units: units, fit: r.waiting}
	}
	first := units[0]
	g := draft{units: []*unit{first}, fit: first.waiting}
	room := s.freeRoom(r.now) - first.needs()
	if room < 0 {
		g.short = min(int((-room+first.bytes-1)/first.bytes), first.waiting)
		g.fit -= g.short
	}
	for _, u := range units[1:] {
		left := r.v.batch() - g.fit - g.short
		if left <= 0 {
			break
		}
		if u.waiting == 0 || u.waiting > left || p.pickServer(r, u) != s {
			continue
		}
		if u.needs() > room {
			g.short += u.waiting
			continue
		}
		g.units = append(g.units, u)
		g.fit += u.waiting
		room -= u.needs()
	}
	return g
}

// needs is the room of the unit's waiting pieces.
func (u *unit) needs() int64 { return int64(u.waiting) * u.bytes }

// awaitsRoom reports whether the target rather waits for results to be given up
// than begins a call with the few pieces for which it has room.
//
// What goes wrong without it: in a burst a target's room is full of results
// that the next stage is reading. Each time a few of them are given up, a call
// begins with as many pieces, and takes nearly as long as a full one: targets
// are always busy with a third of what they could make, and one notices calls of
// 4 pieces while 90 wait. The room of a call comes free when the next stage
// ends, which takes about a call's time; what is waited for is the difference.
func (s *candidate) awaitsRoom(g draft, now time.Time) bool {
	enough := roomFull * float64(g.fit+g.short)
	idle := now.Sub(s.busyTill)
	return float64(g.fit) < enough && s.room > 0 && idle < time.Duration(roomWait*float64(s.service.limits.CallTime))
}

// call forms a call for the target of the pieces that come first, up to its
// batch, also while other targets are free. Most of a call's time is its fixed
// part: pieces shared out over all free targets start no sooner than in one
// call, and the targets are busy when the next pieces come.
func (p *Planner) call(r *round, s *candidate, units []*unit) *call {
	v, now := r.v, r.now
	r.keep(s)
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
	s.countCall(now)
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
