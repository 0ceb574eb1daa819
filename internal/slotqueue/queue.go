package slotqueue

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/refusallog"
)

const (
	// leaseGrace is how long after its deadline a request counts as running: its owner
	// must have ended the attempt by then.
	leaseGrace = time.Second
	// heldLease is how long an adopted slot, whose deadline is not known, counts as used.
	heldLease = 30 * time.Second
	// waitingInterval is the time between two looks at waiting requests without an event:
	// paces age, backoffs and rate limits end.
	waitingInterval = 10 * time.Millisecond
	// leaseInterval is the time between two looks at slots whose owner is lost.
	leaseInterval = 50 * time.Millisecond
	// maxUnplaceable bounds the requests that are passed over in one round because no
	// free target suits them.
	maxUnplaceable = 8
)

// owner is a session of an instance.
type owner struct {
	instance string
	session  uint64
}

// requestKey identifies a request among those of all owners.
type requestKey struct {
	instance string
	id       uint64
}

// grant is a slot in use.
type grant struct {
	owner        owner
	id           uint64
	organisation string // "" = adopted
	route        string
	target       *target
	bytes        int64
	pace         float64 // expected at the grant; 0 = adopted
	at           time.Time
	expires      time.Time
	orphan       bool // the owner's session has ended
}

// decision is an answer to an owner.
type decision struct {
	owner  owner
	answer Answer
	reason reason
}

// reason is what a decision rests on, for the log.
type reason struct {
	request          Request
	wait             time.Duration // forecast, or waited until the grant
	capacity, demand float64
	pace             float64
	paceAge          time.Duration
	free             int
}

// queue decides for one shard of a service. It is not safe for concurrent use; times and
// random numbers come from outside.
type queue struct {
	service string
	shard   int
	bounds  Bounds
	rand    *rand.Rand
	count   counters

	targets map[string]*target
	order   []*target // by ID
	grants  map[requestKey]*grant
	waiting map[requestKey]*waiter
	levels  []*level // by priority, the most urgent first
	round   uint64

	paces    paceModel
	work     workModel
	returns  returns
	refusals refusallog.Log

	decisions []decision
}

func newQueue(service string, shard int, b Bounds, r *rand.Rand, c counters) *queue {
	return &queue{
		service: service, shard: shard, bounds: b, rand: r, count: c,
		targets: make(map[string]*target),
		grants:  make(map[requestKey]*grant), waiting: make(map[requestKey]*waiter),
	}
}

// take returns the decisions since the last call.
func (q *queue) take() []decision {
	d := q.decisions
	q.decisions = nil
	return d
}

func (q *queue) decide(o owner, a Answer, why reason) {
	q.decisions = append(q.decisions, decision{o, a, why})
}

// setTargets replaces the targets of the shard. Slots in use on one that is gone are
// released as their requests end.
func (q *queue) setTargets(list []fleet.Target, now time.Time) {
	for _, t := range q.targets {
		t.listed = false
	}
	for _, f := range list {
		t := q.targets[f.ID]
		if t != nil && t.Started != 0 && f.Started > t.Started {
			t = nil // a new start holds no requests, and its pace is not known
		}
		if t == nil {
			t = &target{slots: f.Slots}
			q.targets[f.ID] = t
		} else if t.Slots != f.Slots {
			t.slots = f.Slots
		}
		t.Target, t.listed = f, true
	}
	q.order = q.order[:0]
	for id, t := range q.targets {
		if !t.listed && t.used == 0 {
			delete(q.targets, id)
			continue
		}
		q.order = append(q.order, t)
	}
	slices.SortFunc(q.order, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
	q.dispatch(now)
}

// submit decides on a new request: it gets a slot, waits, or is refused.
func (q *queue) submit(o owner, r Request, now time.Time) {
	key := requestKey{o.instance, r.ID}
	if q.grants[key] != nil || q.waiting[key] != nil {
		return // a duplicate
	}
	w := q.newWaiter(o, r.withTimes(now), now)
	l := q.level(r.Priority)
	f := q.forecast(l, w, now)
	if f.reason != "" {
		q.refuse(l, w, f, now)
		return
	}
	if !f.late {
		l.demand.add(w.work, now)
	}
	q.waiting[key] = w
	l.add(w, f.late)
	q.dispatch(now)
	if q.waiting[key] == w {
		q.count.waits.Add(1)
		q.decide(o, Answer{ID: r.ID}, reason{request: r})
	}
}

func (q *queue) level(priority int) *level {
	i, found := slices.BinarySearchFunc(q.levels, priority, func(l *level, p int) int { return cmp.Compare(l.priority, p) })
	if !found {
		q.levels = slices.Insert(q.levels, i, &level{priority: priority, orgs: make(map[string]*orgQueue)})
	}
	return q.levels[i]
}

// cancel forgets a request, whether it waits or has a slot.
func (q *queue) cancel(instance string, id uint64, now time.Time) {
	key := requestKey{instance, id}
	if w := q.waiting[key]; w != nil {
		delete(q.waiting, key)
		q.level(w.Priority).remove(w)
		return
	}
	q.free(key)
	q.dispatch(now)
}

// free ends the use of a slot.
func (q *queue) free(key requestKey) *grant {
	g := q.grants[key]
	if g == nil {
		return nil
	}
	delete(q.grants, key)
	g.target.used--
	g.target.bytes -= g.bytes
	if !g.target.listed && g.target.used == 0 && q.targets[g.target.ID] == g.target {
		delete(q.targets, g.target.ID)
		q.order = slices.DeleteFunc(q.order, func(t *target) bool { return t == g.target })
	}
	return g
}

// release ends the use of a slot and learns from it. It returns the backoff of the target
// that begins with it, 0 = none.
func (q *queue) release(instance string, r Release, now time.Time) (backoff time.Duration, t *target) {
	key := requestKey{instance, r.ID}
	g := q.grants[key]
	if g == nil {
		return 0, nil
	}
	t = g.target
	t.state(r.Load, now)
	stated := r.Load.StatesPace()
	if stated {
		t.pace.add(&q.paces, statement{r.Load.Pace, now})
	}
	if r.Outcome == Answered && r.Took > 0 && g.pace > 0 {
		q.learn(g, r, stated, now)
	}
	backoff = t.ended(r.Outcome, q.othersSound(t), now)
	q.free(key)
	q.dispatch(now)
	return backoff, t
}

// othersSound reports whether there are other targets and none failed its latest request.
func (q *queue) othersSound(t *target) bool {
	return len(q.order) > 1 && !slices.ContainsFunc(q.order, func(other *target) bool { return other != t && other.errors > 0 })
}

// learn adds a response to the typical work of its route. Of a target that states no pace
// the duration, compared with that work, is the pace.
func (q *queue) learn(g *grant, r Release, stated bool, now time.Time) {
	if stated {
		q.work.add(g.route, r.Took, (g.pace+r.Load.Pace)/2)
		return
	}
	observed := min(max(float64(r.Took)/float64(q.work.typical(g.route)), 0.1), 10)
	q.work.add(g.route, r.Took, g.pace)
	before := g.target.pace.last.pace
	if before == 0 {
		before = usualPace
	}
	g.target.pace.add(&q.paces, statement{before + unstatedPaceWeight*(observed-before), now})
}

// adopt counts a slot that the owner uses without a grant of this queue.
func (q *queue) adopt(o owner, h HeldSlot, now time.Time) bool {
	key := requestKey{o.instance, h.ID}
	if g := q.grants[key]; g != nil && g.target.ID == h.Target {
		g.owner = o
		if g.orphan {
			g.orphan, g.expires = false, now.Add(heldLease)
		}
		return false
	}
	t := q.targets[h.Target]
	if t == nil {
		return false
	}
	if w := q.waiting[key]; w != nil {
		delete(q.waiting, key)
		q.level(w.Priority).remove(w)
	}
	q.free(key)
	t.used++
	q.grants[key] = &grant{owner: o, id: h.ID, target: t, at: now, expires: now.Add(heldLease)}
	return true
}

// closeOwner ends a session: its requests no longer wait, and its slots are free after
// the time that an attempt takes in the mean. It returns the number of those.
func (q *queue) closeOwner(o owner, now time.Time) (held int) {
	for key, w := range q.waiting {
		if w.owner == o {
			delete(q.waiting, key)
			q.level(w.Priority).remove(w)
		}
	}
	until := now.Add(q.work.meanTook())
	for _, g := range q.grants {
		if g.owner == o && !g.orphan {
			g.orphan = true
			if until.Before(g.expires) {
				g.expires = until
			}
			held++
		}
	}
	return held
}
