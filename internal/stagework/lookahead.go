package stagework

import (
	"slices"
	"time"
)

// Factors of the wait for pieces that are known to come.
const (
	// longestHold bounds how long a unit that is ready waits for others: less
	// than a call, whose end they would wait for otherwise.
	longestHold = 250 * time.Millisecond
	// lateWorth is what a late job's wait counts against that of another, which
	// a late answer is about worth to callers.
	lateWorth = 0.2
)

// coming is a unit whose inputs are all made or being made.
type coming struct {
	*unit
	in    time.Duration // until it is ready
	place string        // where its inputs are
}

// coming returns the units that get ready soon, the next first. They are looked
// for when a target is first given a call.
func (r *round) coming() []coming {
	if r.looked {
		return r.next
	}
	r.looked = true
	r.next = r.v.soon[:0]
	for _, u := range r.v.units {
		if u.readyAt.IsZero() && !u.job.leaving && len(u.after) > 0 {
			if c, ok := u.comes(r.now); ok && c.in < longestHold {
				r.next = append(r.next, c)
			}
		}
	}
	slices.SortStableFunc(r.next, func(a, b coming) int {
		if a.in != b.in {
			return int(a.in - b.in)
		}
		return byRank(a.unit, b.unit)
	})
	r.v.soon = r.next
	return r.next
}

// comes reports when the unit gets ready, if that is known: no piece of what it
// needs still waits for a call.
func (u *unit) comes(now time.Time) (coming, bool) {
	c := coming{unit: u}
	for _, a := range u.after {
		if a.waiting > 0 {
			return c, false
		}
		if !a.done() {
			c.in = max(c.in, a.latestEnd().Sub(now))
		}
		c.place = a.pieces[0].server.target.Place
	}
	return c, true
}

// sawReady notes when a plan first finds the unit ready.
func (u *unit) sawReady(now time.Time) {
	if u.readyAt.IsZero() {
		u.readyAt = now
	}
}

// weight is what a moment of the unit's wait counts.
func (u *unit) weight() float64 {
	if u.job.late {
		return lateWorth
	}
	return 1
}

// holdFor returns how long a call of the units waits for those that come.
//
// What goes wrong without it: a target begins a call for the first results of a
// call of the stage before, and those of another one that ends a moment later
// wait for a whole call. One notices small calls side by side with units that
// wait for the target of their place. When the calls of the stage before end is
// known, so both can be reckoned: of all moments at which a unit comes, that one
// is taken which saves most waiting over all requests, if any does. Urgent
// requests do not lose by it what they need to be on time.
func (r *round) holdFor(s *candidate, units []*unit) time.Duration {
	n, present, slack := r.patience(units)
	free := r.nextFree(s, r.v.expect(n))
	best, hold := 0.0, time.Duration(0)
	joined, weights := 0, 0.0
	saved, ready := 0.0, 0.0 // weighted seconds
	for _, c := range r.coming() {
		if c.in > slack {
			break
		}
		if c.place != s.target.Place || n+joined+c.waiting > r.v.batch() {
			continue
		}
		w := c.weight()
		joined += c.waiting
		weights += w
		ready += w * c.in.Seconds()
		saved += w * max(free-c.in, 0).Seconds()
		longer := time.Duration(joined) * r.v.limits.ItemTime
		cost := present*(c.in+longer).Seconds() + weights*c.in.Seconds() - ready
		if saved-cost > best {
			best, hold = saved-cost, c.in
		}
	}
	return hold
}

// patience returns the pieces of the units, the weight of their waiting, and how
// long they may wait.
func (r *round) patience(units []*unit) (pieces int, weight float64, slack time.Duration) {
	slack = longestHold
	for _, u := range units {
		pieces += u.waiting
		weight += u.weight()
		slack = min(slack, u.readyAt.Add(longestHold).Sub(r.now))
		if !u.job.late {
			slack = min(slack, u.rank.start.Sub(r.now))
		}
	}
	return pieces, weight, slack
}

// nextFree is when a target of the place is free if this one takes a call of the
// length.
func (r *round) nextFree(s *candidate, length time.Duration) time.Duration {
	for i := range r.targets {
		c := &r.targets[i]
		if c.server == s.server || c.target.Place != s.target.Place {
			continue
		}
		switch {
		case c.free:
			return 0
		case c.worth:
			length = min(length, c.busyTill.Sub(r.now))
		}
	}
	return length
}
