package slotqueue

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// floorShare is the share of the capacity that each lower priority with demand gets.
	// maxFloors bounds that of all of them together: priorities of organisations and routes
	// combined are many, and a tenth for each would leave nothing to the most urgent one.
	floorShare = 0.1
	maxFloors  = 0.5
	// maxFloorCredit bounds, in typical requests, what a priority may catch up; it is one of
	// its own requests at least, or one that takes long would never get its slot.
	maxFloorCredit = 2.0
	// demandTime is the time constant over which the demand of a priority is measured.
	demandTime = time.Second
)

// waiter is a request that waits for a slot.
type waiter struct {
	Request
	owner       owner
	arrived     time.Time
	work        time.Duration // typical for its route
	latestStart time.Time     // to be on time with some certainty
	returned    bool          // its caller was refused before
	round       uint64        // in which it could not be placed
}

// withTimes returns the request with a deadline, and a time until which it is on time.
func (r Request) withTimes(now time.Time) Request {
	if r.Deadline.IsZero() {
		r.Deadline = now.Add(heldLease)
	}
	if r.OnTimeUntil.IsZero() || r.OnTimeUntil.After(r.Deadline) {
		r.OnTimeUntil = r.Deadline
	}
	return r
}

func (q *queue) newWaiter(o owner, r Request, now time.Time) *waiter {
	onTimeUntil, returned := q.returns.back(r.CallerKey, now)
	if returned {
		r.OnTimeUntil = onTimeUntil
	}
	return &waiter{
		Request: r, owner: o, arrived: now, work: q.work.typical(r.Route),
		latestStart: q.latestStart(r, now), returned: returned,
	}
}

// level holds the waiting requests of one priority.
type level struct {
	priority int
	orgs     map[string]*orgQueue
	count    int
	virtual  float64       // virtual time of fair queueing, in seconds of work
	onTime   time.Duration // work of waiting requests that can be on time
	late     time.Duration // work of those that can not
	demand   rate          // work of arriving requests that can be on time
	credit   float64       // seconds of work that the level may take from more urgent ones
	largest  time.Duration // largest work of a request in the present busy period
}

// orgQueue holds the waiting requests of one organisation, each list by latest start.
type orgQueue struct {
	name         string
	finish       float64 // virtual time at which the work granted so far ends
	onTime, late []*waiter
}

func byLatestStart(a, b *waiter) int {
	return cmp.Or(a.latestStart.Compare(b.latestStart), a.arrived.Compare(b.arrived), cmp.Compare(a.ID, b.ID))
}

func insert(list []*waiter, w *waiter) []*waiter {
	i, _ := slices.BinarySearchFunc(list, w, byLatestStart)
	return slices.Insert(list, i, w)
}

func (l *level) org(name string) *orgQueue {
	o := l.orgs[name]
	if o == nil {
		o = &orgQueue{name: name}
		l.orgs[name] = o
	}
	return o
}

func (l *level) add(w *waiter, late bool) {
	o := l.org(w.Organisation)
	if late {
		o.late = insert(o.late, w)
		l.late += w.work
	} else {
		o.onTime = insert(o.onTime, w)
		l.onTime += w.work
	}
	l.count++
	l.largest = max(l.largest, w.work)
}

func (l *level) remove(w *waiter) {
	o := l.orgs[w.Organisation]
	if i := slices.Index(o.onTime, w); i >= 0 {
		o.onTime = slices.Delete(o.onTime, i, i+1)
		l.onTime -= w.work
	} else if i := slices.Index(o.late, w); i >= 0 {
		o.late = slices.Delete(o.late, i, i+1)
		l.late -= w.work
	} else {
		return
	}
	l.count--
	if l.count == 0 { // the end of a busy period: nobody has got more at another's cost
		clear(l.orgs)
		l.virtual, l.largest = 0, 0
		return
	}
	l.forget(o)
}

// forget drops an organisation that waits for nothing and is owed no delay.
func (l *level) forget(o *orgQueue) {
	if len(o.onTime)+len(o.late) == 0 && o.finish <= l.virtual {
		delete(l.orgs, o.name)
	}
}

// age moves the requests that can no longer be on time behind those that can.
func (l *level) age(now time.Time) {
	for _, o := range l.orgs {
		n := 0
		for n < len(o.onTime) && o.onTime[n].latestStart.Before(now) {
			w := o.onTime[n]
			o.late = insert(o.late, w)
			l.onTime -= w.work
			l.late += w.work
			n++
		}
		o.onTime = slices.Delete(o.onTime, 0, n)
		l.forget(o)
	}
}

// next returns the request that ranks first among those that were not found unplaceable
// in the round: of the organisation that has got least, the one that must start first.
func (l *level) next(round uint64) *waiter {
	for _, late := range []bool{false, true} {
		var best *waiter
		bestStart := math.Inf(1)
		for _, o := range l.orgs {
			w := o.first(late, round)
			if w == nil {
				continue
			}
			start := max(o.finish, l.virtual)
			if best == nil || start < bestStart || start == bestStart && byLatestStart(w, best) < 0 {
				best, bestStart = w, start
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

func (o *orgQueue) first(late bool, round uint64) *waiter {
	list := o.onTime
	if late {
		list = o.late
	}
	for _, w := range list {
		if w.round != round {
			return w
		}
	}
	return nil
}

// charge counts work that an organisation got, whether it had to wait for it or not.
func (l *level) charge(organisation string, work time.Duration) {
	o := l.org(organisation)
	start := max(o.finish, l.virtual)
	l.virtual = start
	o.finish = start + work.Seconds()
}

// ahead returns the work of the level that ranks before a new request of the
// organisation: of each other one no more than of its own.
func (l *level) ahead(organisation string, work time.Duration, late bool) time.Duration {
	own := 0
	if o := l.orgs[organisation]; o != nil {
		own = len(o.onTime)
		if late {
			own = len(o.late)
		}
	}
	n := own
	for _, o := range l.orgs {
		if o.name != organisation {
			waiting := len(o.onTime)
			if late {
				waiting = len(o.late)
			}
			n += min(waiting, own+1)
		}
	}
	ahead := time.Duration(n) * work
	if late {
		ahead += l.onTime
	}
	return ahead
}

// rate is a decaying mean of work per second, in slots at the usual pace.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) add(work time.Duration, now time.Time) {
	r.value = r.now(now) + float64(work)/float64(demandTime)
	r.at = now
}

func (r *rate) now(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp(-float64(now.Sub(r.at))/float64(demandTime))
}
