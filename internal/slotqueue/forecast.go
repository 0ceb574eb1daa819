package slotqueue

import "time"

const (
	// noTargetRetryAfter is when a caller may come back if no target is known to take work.
	noTargetRetryAfter = time.Second
	// minShare bounds the share of the capacity that a forecast assumes.
	minShare = 0.02
)

// forecast is what is expected of a request.
type forecast struct {
	reason string        // of a refusal, "" = accepted
	late   bool          // it will not be on time
	wait   time.Duration // until it gets a slot
}

// capacity returns the work that the shard does per second, in slots at the usual pace,
// from the time at which a target takes work.
func (q *queue) capacity(now time.Time) float64 {
	at := now.Add(q.pause(now))
	c := 0.0
	for _, t := range q.order {
		if t.usable(at) {
			c += float64(max(t.slots-t.foreign.slots(now), 0)) / t.pace.over(&q.paces, q.work.typical(""), now)
		}
	}
	return c
}

// pause returns the time until a target takes work: 0 unless all are in backoff.
func (q *queue) pause(now time.Time) time.Duration {
	var first time.Time
	for _, t := range q.order {
		if t.listed && !t.Draining && t.slots > 0 && (first.IsZero() || t.until.Before(first)) {
			first = t.until
		}
	}
	return max(first.Sub(now), 0)
}

// forecast predicts the wait and the end of a new request of the level.
func (q *queue) forecast(l *level, w *waiter, now time.Time) forecast {
	if !q.servable(w, now) {
		return forecast{reason: ReasonNoTarget, wait: max(q.pause(now), noTargetRetryAfter)}
	}
	if q.bounds.TargetBodyBytes > 0 && w.BodyBytes > q.bounds.TargetBodyBytes {
		return forecast{reason: ReasonTooLarge, wait: noTargetRetryAfter}
	}
	f := forecast{wait: q.wait(l, w, false, now)}
	if now.Add(f.wait).After(w.latestStart) {
		f.late = true
		f.wait = q.wait(l, w, true, now)
	}
	if now.Add(f.wait).Add(q.duration(w)).After(w.Deadline) {
		f.reason = ReasonLate
	}
	return f
}

// latestStart returns the time until which the request must have a slot to be on time with
// some certainty.
func (q *queue) latestStart(r Request, now time.Time) time.Time {
	deviations := calmDeviations
	if q.overloaded(now) {
		deviations = overloadedDeviations
	}
	return r.OnTimeUntil.Add(-seconds(q.work.cautious(r.Route, deviations).Seconds() * q.paces.meanPace()))
}

// duration is the expected duration of the request's attempt.
func (q *queue) duration(w *waiter) time.Duration {
	return seconds(w.work.Seconds() * q.paces.meanPace())
}

// servable reports whether any target takes work, now or after a short backoff.
func (q *queue) servable(w *waiter, now time.Time) bool {
	for _, t := range q.order {
		if t.listed && !t.Draining && t.slots > 0 && t.until.Before(w.Deadline) {
			return true
		}
	}
	return false
}

// wait returns the expected time until a new request of the level has a slot, from the
// work that ranks before it and the part of the capacity that its priority gets. What a
// floor guarantees does not wait for more urgent requests.
func (q *queue) wait(l *level, w *waiter, late bool, now time.Time) time.Duration {
	capacity := max(q.capacity(now), minShare)
	var urgent time.Duration
	left := 1.0
	for _, other := range q.levels {
		if other.priority >= l.priority {
			break
		}
		urgent += other.onTime + other.late
		left -= other.demand.now(now) / capacity
	}
	own, onTime := l.ahead(w.Organisation, w.work, late), 0.0
	if late { // those of the level that can be on time go first
		onTime = l.demand.now(now) / capacity
	}
	pause := q.pause(now)
	wait := func(before time.Duration, share float64) time.Duration {
		return pause + seconds(before.Seconds()/capacity+own.Seconds()/(capacity*max(share-onTime, minShare)))
	}
	if urgent+own == 0 {
		return pause
	}
	if l == q.levels[0] {
		return wait(urgent, left)
	}
	return min(wait(urgent, left), wait(0, q.floorShare(l)))
}

// overloaded reports whether more work arrives than the shard can do.
func (q *queue) overloaded(now time.Time) bool {
	return q.demand(now) > q.capacity(now)
}

// demand returns the work that arrives per second, with what is refused.
func (q *queue) demand(now time.Time) float64 {
	demand := q.returns.refused.now(now)
	for _, l := range q.levels {
		demand += l.demand.now(now)
	}
	return demand
}

// backlog returns the time that the waiting work takes.
func (q *queue) backlog(now time.Time) time.Duration {
	var work time.Duration
	for _, l := range q.levels {
		work += l.onTime + l.late
	}
	return q.pause(now) + seconds(work.Seconds()/max(q.capacity(now), minShare))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// recheck refuses a waiting request that can no longer be answered before its deadline.
func (q *queue) recheck(w *waiter, now time.Time) {
	f := forecast{reason: ReasonLate}
	if !q.servable(w, now) {
		f = forecast{reason: ReasonNoTarget, wait: max(q.pause(now), noTargetRetryAfter)}
	} else if !now.Add(q.duration(w)).After(w.Deadline) {
		return
	}
	delete(q.waiting, requestKey{w.owner.instance, w.ID})
	l := q.level(w.Priority)
	l.remove(w)
	q.refuse(l, w, f, now)
}
