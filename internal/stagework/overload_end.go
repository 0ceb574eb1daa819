package stagework

import "time"

// Parameters of the forecast of the end of an overload.
const (
	// firstOverloadLength is the length of an overload that is assumed before any was
	// measured: bursts last 5 to 7 s. overloadLengthWeight is the weight of the newest one.
	firstOverloadLength  = 6 * time.Second
	overloadLengthWeight = 0.3
	// overloadGap is the time without a refusal for lack of time after which an overload is
	// over.
	overloadGap = time.Second
	// overdueShare is how much longer an overload is expected to last that has lasted longer
	// than usual, as a share of the usual length.
	overdueShare = 0.25
	// blipRefusals is the number of refusals up to which an overload may be a random peak of the
	// normal load, after which capacity is free as soon as the load of on-time jobs allows.
	// Without this bound, the load at the beginning of a burst, which is measured over 2 s,
	// is taken for that of the next seconds, and reservations are made for its middle.
	blipRefusals = 8
	// overloadEndMax bounds the Retry-After that says when an overload is over.
	overloadEndMax = 10 * time.Second
)

// overloads tracks the overloads of a service: times in which jobs that wait for it are refused
// for lack of time.
//
// While an overload lasts, the capacity that on-time jobs leave is next to nothing, and a
// forecast from it alone says that none is free for many times the length of the queue. How
// long overloads usually last tells callers with enough time left when it is worth coming
// back.
type overloads struct {
	began, latest time.Time     // of the refusals of the current or latest one
	refusals      int           // in it
	length        time.Duration // moving average; 0 = none was measured
}

// note records a refusal.
func (o *overloads) note(now time.Time) {
	if o.began.IsZero() || now.Sub(o.latest) > overloadGap {
		if o.refusals > blipRefusals { // a random peak says nothing about the length of overloads
			lasted := min(o.latest.Sub(o.began), overloadEndMax) // callers are told of no longer time
			o.length = o.usual() + time.Duration(overloadLengthWeight*float64(lasted-o.usual()))
		}
		o.began, o.refusals = now, 0
	}
	o.latest = now
	o.refusals++
}

// usual is the usual length of an overload.
func (o *overloads) usual() time.Duration {
	if o.length == 0 {
		return firstOverloadLength
	}
	return o.length
}

// left is the time that the current overload is expected to last.
func (o *overloads) left(now time.Time) time.Duration {
	if o.began.IsZero() || now.Sub(o.latest) > overloadGap {
		return 0
	}
	if left := o.usual() - now.Sub(o.began); left > 0 {
		return left
	}
	return time.Duration(overdueShare * float64(o.usual()))
}

// noteOverload records that the job is refused for lack of time, at the service for which it
// would wait longest. A job that had too little time on arrival, even without any queueing, is
// no sign of an overload.
func (p *Planner) noteOverload(j *job, left *forecast) {
	if j.arrived.Equal(left.now) && left.now.Add(p.remaining(j, left.now)).After(j.Deadline) {
		return
	}
	if bottleneck := left.bottleneck(j); bottleneck != nil {
		bottleneck.overloads.note(left.now)
	}
}

// blip reports whether the current overload, if there is one, may be a random peak of the
// normal load.
func (o *overloads) blip(now time.Time) bool {
	return o.refusals <= blipRefusals || now.Sub(o.latest) > overloadGap
}

// freeAfter is the time until the forecast has capacity of the service for a job of the
// priority. For a late job it is when the overload is expected to be over and the queue is
// done; in a random peak of the load, when the queue is empty if on-time jobs keep arriving at
// the present rate, if that is sooner.
func (f *forecast) freeAfter(q *serviceQueue, priority int) time.Duration {
	wait := f.wait(q, priority)
	if !f.late {
		return wait
	}
	over := wait + q.service.overloads.left(f.now)
	if !q.service.overloads.blip(f.now) {
		return over
	}
	left := 1 - min(q.service.load.load(q.healthy, f.now), maxLoad)
	return min(time.Duration(float64(wait)/left), over)
}

// overloadEnd is the time until the overload of the services that the job needs is forecast to
// be over.
func (p *Planner) overloadEnd(j *job, left *forecast) time.Duration {
	end := time.Duration(0)
	for _, u := range j.units {
		end = max(end, left.freeAfter(left.queue(u.service), j.Priority))
	}
	return end
}
