package slotqueue

import (
	"maps"
	"slices"
	"time"
)

const (
	// loadPenalty is the factor by which the expected duration on a target whose slots are
	// all used is increased in the choice between targets: of targets alike, the one with
	// fewer requests is chosen, which loses fewer if it turns slow. A greater one would
	// outweigh differences in pace.
	loadPenalty = 0.1
	// otherZoneCost is the cost of a target in another availability zone than the owner.
	otherZoneCost = time.Millisecond
	// waitCaution is the factor by which the wait for a faster target is taken as longer
	// than the slots that end: while a request waits, a free slot is unused and all behind
	// it wait too.
	waitCaution = 3.0
)

// dispatch grants slots while there are requests and targets that suit each other.
func (q *queue) dispatch(now time.Time) {
	if len(q.waiting) == 0 {
		return
	}
	q.round++
	for _, l := range q.levels {
		l.age(now)
	}
	for unplaceable := 0; unplaceable < maxUnplaceable && q.anyFree(now); {
		l, w := q.next()
		if w == nil {
			return
		}
		t, pace := q.choose(w, len(q.waiting)-1, now)
		if t == nil {
			w.round = q.round
			unplaceable++
			continue
		}
		q.grant(l, w, t, pace, now)
	}
}

func (q *queue) anyFree(now time.Time) bool {
	for _, t := range q.order {
		if t.free(now) > 0 {
			return true
		}
	}
	return false
}

// next returns the request that ranks first: of a lower priority that has not had its
// floor, else of the most urgent one.
func (q *queue) next() (*level, *waiter) {
	var first *level
	var w *waiter
	for _, l := range q.levels {
		if l.count == 0 {
			l.credit = 0
			continue
		}
		head := l.next(q.round)
		if head == nil {
			continue
		}
		if w == nil {
			first, w = l, head
		} else if l.credit >= head.work.Seconds() {
			return l, head
		}
	}
	return first, w
}

// choose returns the target on which the request is expected to end first, and its
// expected pace; nil if none has a free slot or waiting for a faster one ends sooner.
// before is the number of requests that wait for one already.
func (q *queue) choose(w *waiter, before int, now time.Time) (*target, float64) {
	onlyExcluded := !q.anyOther(w, now)
	var best *target
	var bestPace float64
	var bestCost time.Duration
	for _, t := range q.order {
		if t.free(now) == 0 || !t.fits(w.BodyBytes, q.bounds.TargetBodyBytes) || !q.rateAllows(t, now) {
			continue
		}
		if !onlyExcluded && w.excludes(t.ID) {
			continue
		}
		pace := t.pace.over(&q.paces, w.work, now)
		cost := time.Duration(float64(w.work) * pace * (1 + loadPenalty*float64(t.used)/float64(t.slots)))
		if w.Zone != "" && t.Zone != w.Zone {
			cost += otherZoneCost
		}
		if best == nil || cost < bestCost {
			best, bestPace, bestCost = t, pace, cost
		}
	}
	if best == nil || q.fasterSoon(w, bestPace, before, onlyExcluded, now) {
		return nil, 0
	}
	return best, bestPace
}

func (w *waiter) excludes(id string) bool {
	return slices.Contains(w.Excluded, id)
}

// anyOther reports whether a target that the request does not exclude takes work, now or
// once one of its requests has ended.
func (q *queue) anyOther(w *waiter, now time.Time) bool {
	for _, t := range q.order {
		if t.usable(now) && !w.excludes(t.ID) {
			return true
		}
	}
	return false
}

// fasterSoon reports whether the request is expected to end sooner if it waits for a slot
// of a faster target than those that are free.
func (q *queue) fasterSoon(w *waiter, pace float64, before int, onlyExcluded bool, now time.Time) bool {
	var ending, paces float64 // slots that become free per second; their mean pace
	for _, t := range q.order {
		if !t.usable(now) || t.used == 0 || !onlyExcluded && w.excludes(t.ID) {
			continue
		}
		p := t.pace.over(&q.paces, w.work, now)
		if p >= pace {
			continue
		}
		r := float64(t.used) / (w.work.Seconds() * p)
		ending += r
		paces += r * p
	}
	if ending == 0 {
		return false
	}
	wait := waitCaution * float64(before+1) / ending
	return wait+w.work.Seconds()*paces/ending < w.work.Seconds()*pace
}

func (q *queue) rateAllows(t *target, now time.Time) bool {
	return q.targetRate(t, now) <= 0 || t.tokens.allows(now)
}

// targetRate returns the requests per second that the target may get; 0 = any number.
func (q *queue) targetRate(t *target, now time.Time) float64 {
	rate := 0.0
	if q.bounds.ColdRate != nil && t.Cold(now) {
		rate = q.bounds.ColdRate(q.service)
	}
	if q.bounds.TargetRate != nil {
		if stated, ok := q.bounds.TargetRate(t.ID); ok && (rate <= 0 || stated < rate) {
			rate = max(stated, minTargetRate)
		}
	}
	return rate
}

// minTargetRate stands for a target that accepts no requests: one in 100 s.
const minTargetRate = 0.01

func (q *queue) grant(l *level, w *waiter, t *target, pace float64, now time.Time) {
	key := requestKey{w.owner.instance, w.ID}
	delete(q.waiting, key)
	l.charge(w.Organisation, w.work)
	l.remove(w)
	q.credit(l, w.work.Seconds())
	if rate := q.targetRate(t, now); rate > 0 {
		t.tokens.take(rate, now)
	}
	why := reason{request: w.Request, wait: now.Sub(w.arrived), pace: pace, paceAge: t.pace.age(now), free: t.free(now)}
	t.used++
	t.bytes += w.BodyBytes
	expires := w.Deadline.Add(leaseGrace)
	q.grants[key] = &grant{owner: w.owner, id: w.ID, organisation: w.Organisation, route: w.Route, target: t, bytes: w.BodyBytes, pace: pace, at: now, expires: expires}
	q.count.granted(w.arrived, now)
	q.decide(w.owner, Answer{ID: w.ID, Target: t.ID}, why)
}

// credit counts work granted to a level: the less urgent ones that wait are owed their
// floor of it, and a level that was served by its floor has used it.
func (q *queue) credit(served *level, work float64) {
	for _, l := range q.levels {
		switch {
		case l == served:
			l.credit = max(l.credit-work, 0)
		case l.count > 0 && l.priority > q.levels[0].priority:
			most := max(maxFloorCredit*q.work.typical("").Seconds(), l.largest.Seconds())
			l.credit = min(l.credit+q.floorShare(l)*work, most)
		}
	}
}

// floorShare returns the share of the capacity that the level, which is not the most urgent
// one, gets at least.
func (q *queue) floorShare(of *level) float64 {
	floors := 1
	for _, l := range q.levels[1:] {
		if l.count > 0 && l != of {
			floors++
		}
	}
	return min(floorShare, maxFloors/float64(floors))
}

// tick ends what has run out by itself, and returns the number of slots that were freed
// without word of their owner.
func (q *queue) tick(now time.Time) (expired int) {
	for key, g := range q.grants {
		if !g.expires.After(now) {
			q.free(key)
			expired++
		}
	}
	for _, w := range slices.SortedFunc(maps.Values(q.waiting), byLatestStart) {
		q.recheck(w, now)
	}
	q.dispatch(now)
	return expired
}

// interval returns the time after which to call tick; 0 = there is nothing to wait for.
func (q *queue) interval() time.Duration {
	switch {
	case len(q.waiting) > 0:
		return waitingInterval
	case len(q.grants) > 0:
		return leaseInterval
	}
	return 0
}
