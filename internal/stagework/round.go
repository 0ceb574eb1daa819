package stagework

import (
	"math"
	"time"
)

// slowFactor is the pace against the service's from which on a target is given
// work only if it would still end first.
const slowFactor = 1.4

// round is what a plan works out about a service's targets before it forms
// calls. Each unit is compared with each target; what does not depend on the
// unit is worked out once here, and only for the target that got a call again.
type round struct {
	v       *service
	now     time.Time
	targets []candidate // by id
	alive   int         // targets that count as capacity
	free    int         // targets that may get a call
	waiting int         // pieces of all units that wait
	perMS   float64     // cost of a millisecond of waiting for a busy target
	looked  bool        // next is worked out
	next    []coming    // units that get ready soon, the next first
}

// candidate is a target with what a plan knows of it.
type candidate struct {
	*server
	free     bool    // it may get a call
	worth    bool    // it may be waited for
	swift    bool    // it counts as capacity and is not slow
	pace     float64 // as paceAt says
	slowCost float64 // part of the cost of a choice that its pace makes
	promised int     // pieces that wait for it in this plan
}

// free reports whether any target may get a call now.
func (v *service) free(now time.Time) bool {
	for _, s := range v.order {
		if s.usable(now) {
			return true
		}
	}
	return false
}

// round looks at the targets. What the round before looked at is overwritten.
func (v *service) round(now time.Time) *round {
	r := &round{v: v, now: now, targets: v.candidates[:0]}
	for _, s := range v.order {
		if s.gone || s.target.Draining {
			continue
		}
		r.targets = append(r.targets, candidate{server: s, free: s.usable(now)})
		c := &r.targets[len(r.targets)-1]
		r.look(c)
		if c.free {
			r.free++
		}
		if s.alive(now) {
			r.alive++
		}
	}
	for _, u := range v.units {
		r.waiting += u.waiting
	}
	v.candidates = r.targets
	return r
}

// look works out anew what a call changes of a target.
func (r *round) look(c *candidate) {
	limit := slowFactor * r.v.pace
	c.pace = c.paceAt(r.now)
	c.slowCost = slowWeight * (c.pace/r.v.pace - 1)
	c.worth = c.worthWaiting(r.now) && c.pace < limit
	c.swift = c.alive(r.now) && c.pace < limit
}

// weigh works out what waiting costs. It changes the load meter, so it is
// called only when a target is about to be chosen.
func (r *round) weigh() {
	r.perMS = waitWeight + waitLoadWeight*min(r.v.load.load(r.alive, r.now), 1)
}

// keep keeps a free target from calls in this plan.
func (r *round) keep(c *candidate) {
	c.free = false
	r.free--
}

// betterElsewhere reports whether a slow target's call would end after the same
// pieces had been made by others, which are busy now.
func (r *round) betterElsewhere(c *candidate) bool {
	v := r.v
	if c.pace < slowFactor*v.pace {
		return false
	}
	nominal := float64(v.callTime(v.batch()))
	end := r.now.Add(time.Duration(nominal * c.pace))
	others, earliest := r.others(c)
	if others == 0 {
		return false
	}
	rounds := 1 + r.waiting/(others*v.batch())
	return earliest.Add(time.Duration(nominal * v.pace * float64(rounds))).Before(end)
}

// others returns how many targets beside this one are well and not slow, and
// when the first of them is free.
func (r *round) others(c *candidate) (n int, earliest time.Time) {
	for i := range r.targets {
		o := &r.targets[i]
		if o == c || !o.swift {
			continue
		}
		n++
		start := o.busyTill
		if start.Before(r.now) {
			start = r.now
		}
		if earliest.IsZero() || start.Before(earliest) {
			earliest = start
		}
	}
	return n, earliest
}

// pick returns the target with the least cost for the unit; nil means that
// waiting is better than any. engine is the place where an engine wants its
// results, last the last moment to start.
func (r *round) pick(u *unit, engine string, last time.Time, moveWeight float64) *candidate {
	var best *candidate
	bestCost := math.Inf(1)
	for i := range r.targets {
		c := &r.targets[i]
		wait := time.Duration(0)
		if !c.free {
			wait = c.busyTill.Sub(r.now)
		}
		if !r.suits(c, u, wait, last) {
			continue
		}
		cost := r.perMS*float64(wait.Milliseconds()) + moveWeight*u.moved(c.target.Place, engine)/1e6 + c.slowCost
		if cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best
}

// suits reports whether the target may make the unit's pieces after the wait.
func (r *round) suits(c *candidate, u *unit, wait time.Duration, last time.Time) bool {
	if c.free {
		return c.fits(u.bytes, r.now) && !r.betterElsewhere(c)
	}
	return c.worth && !r.now.Add(wait).After(last) && c.promised+u.waiting <= r.v.batch()
}
