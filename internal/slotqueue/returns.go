package slotqueue

import (
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/refusallog"
)

const (
	// overloadRetryAfter is the least time after which a refused caller may come back while
	// requests wait or more arrives than can be done: sooner, it would find the queue as full as it was.
	overloadRetryAfter = 500 * time.Millisecond
	// maxReturnSpan bounds the time over which returns are spread.
	maxReturnSpan = 5 * time.Second
	// returnShare is the share of the capacity that is planned for callers that return:
	// most of it goes to those that come for the first time.
	returnShare = 0.25
	// returnSpread is the part of the time between two returns by which each is moved at
	// random.
	returnSpread = 0.5
	// honouredPart: callers honour a Retry-After up to this part of their remaining time.
	honouredPart = 3
	// A caller is expected from returnEarly before until returnLate after the time for which
	// it was told to come back.
	returnEarly = 50 * time.Millisecond
	returnLate  = 400 * time.Millisecond
	// maxExpected bounds the callers that are remembered: a few seconds of the refusals of a
	// large service.
	maxExpected = 8192
)

// returns plans when refused callers come back.
type returns struct {
	last     time.Time // planned for the caller refused last
	refused  rate      // work that was refused
	byKey    map[string][]*expected
	expected []*expected // oldest first
}

// expected is a caller that was refused and told to come back.
type expected struct {
	key         string
	onTimeUntil time.Time // of the first attempt
	from, until time.Time // when it is expected; zero = it came
}

// expect remembers a refused request until its caller has come back.
func (r *returns) expect(w *waiter, after time.Duration, now time.Time) {
	if w.CallerKey == "" || w.returned {
		return
	}
	if r.byKey == nil {
		r.byKey = make(map[string][]*expected)
	}
	for len(r.expected) > 0 && (len(r.expected) >= maxExpected || !r.expected[0].until.After(now)) {
		r.forget(r.expected[0])
		r.expected = r.expected[1:]
	}
	back := now.Add(min(after, w.Deadline.Sub(now)/honouredPart))
	e := &expected{key: w.CallerKey, onTimeUntil: w.OnTimeUntil, from: back.Add(-returnEarly), until: back.Add(returnLate)}
	r.expected = append(r.expected, e)
	r.byKey[e.key] = append(r.byKey[e.key], e)
}

func (r *returns) forget(e *expected) {
	list := slices.DeleteFunc(r.byKey[e.key], func(other *expected) bool { return other == e })
	if len(list) == 0 {
		delete(r.byKey, e.key)
	} else {
		r.byKey[e.key] = list
	}
	e.until = time.Time{}
}

// back reports whether the request is that of a caller that was told to come back now,
// and until when it would have been on time.
//
// Without it, returning callers, whose responses are late already, take slots from those
// that can be on time. A key that several refused requests have identifies none of them:
// if it counted, new requests would be taken for late ones.
func (r *returns) back(key string, now time.Time) (onTimeUntil time.Time, ok bool) {
	list := r.byKey[key]
	if len(list) != 1 || now.Before(list[0].from) || !now.Before(list[0].until) {
		return time.Time{}, false
	}
	e := list[0]
	r.forget(e)
	return e.onTimeUntil, true
}

// refuse refuses the request. Callers are told to come back one after the other, from the
// time at which the queue is expected to have capacity for them.
func (q *queue) refuse(l *level, w *waiter, f forecast, now time.Time) {
	q.returns.refused.add(w.work, now)
	after := f.wait
	if f.reason == ReasonLate {
		after = q.returnAfter(w, f, now)
	}
	q.returns.expect(w, after, now)
	q.count.refused.Add(f.reason, 1)
	q.refusals.Add(refusallog.Key{Service: q.service, Organisation: w.Organisation, Route: w.Route, Rule: f.reason}, now, now.Add(after))
	q.decide(w.owner, Answer{ID: w.ID, Refusal: &Refusal{Reason: f.reason, RetryAfter: after}},
		reason{request: w.Request, wait: f.wait, capacity: q.capacity(now), demand: q.demand(now)})
	l.forget(l.org(w.Organisation))
}

// returnAfter returns when the caller may come back: not before the waiting work is done,
// and after all that were refused before it.
func (q *queue) returnAfter(w *waiter, f forecast, now time.Time) time.Duration {
	earliest := now.Add(q.backlog(now))
	if len(q.waiting) > 0 || q.overloaded(now) {
		earliest = later(earliest, now.Add(overloadRetryAfter))
	}
	gap := w.work.Seconds() / (returnShare * max(q.capacity(now), minShare))
	at := later(earliest, q.returns.last.Add(seconds(gap)))
	if latest := earliest.Add(maxReturnSpan); at.After(latest) {
		at = earliest.Add(seconds(q.rand.Float64() * maxReturnSpan.Seconds()))
	} else {
		q.returns.last = at
	}
	return at.Sub(now) + seconds(gap*returnSpread*q.rand.Float64())
}
