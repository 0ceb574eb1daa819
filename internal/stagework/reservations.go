package stagework

import (
	"time"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/reservation"
	"lynxhill.example/lynxhill/internal/route"
)

// returnShare is the share of the time until its deadline after which a refused caller still
// comes back: callers honour a Retry-After of up to a third of the time that they have left.
const returnShare = 1.0 / 3

// returnMargin is the fraction of the forecast duration that has to remain until the on-time
// limit for a caller that comes back to count as on time.
const returnMargin = 2 * forecastMargin

// ReservationCounts holds counters of a planner's reservations since its start.
type ReservationCounts struct {
	Made, MadeLate int // for callers that would be on time, and for those that would be late
	Claimed        int
	Expired        int // not claimed in time
	Adopted        int // made by another dispatcher
	NoMoment       int // refusals without a useful time to come back
}

func (c ReservationCounts) plus(o ReservationCounts) ReservationCounts {
	return ReservationCounts{
		Made: c.Made + o.Made, MadeLate: c.MadeLate + o.MadeLate, Claimed: c.Claimed + o.Claimed,
		Expired: c.Expired + o.Expired, Adopted: c.Adopted + o.Adopted, NoMoment: c.NoMoment + o.NoMoment,
	}
}

// reservations is the state of a planner's reservations.
type reservations struct {
	book   *reservation.Book
	counts ReservationCounts
	log    func(id event.ID, fields ...any) // nil = not logged
}

func (s *reservations) write(id event.ID, fields ...any) {
	if s.log != nil {
		s.log(id, fields...)
	}
}

// claimReservation adopts the reservations that a new job brings along, and claims that of its
// caller. A job with a claimed reservation counts as accepted, and its objective is measured
// from the caller's first attempt.
func (p *Planner) claimReservation(j *job, now time.Time) {
	j.firstArrived = now
	if !j.Arrived.IsZero() && j.Arrived.Before(now) {
		j.firstArrived = j.Arrived
	}
	if !p.overload.Reservations {
		return
	}
	p.expireReservations(now)
	p.adoptReservations(j.Reservations, now)
	j.Reservations = nil
	r, ok := p.reservations.book.Claim(j.CallerKey, now)
	if !ok {
		return
	}
	j.OnTimeUntil = j.OnTimeUntil.Add(-max(j.firstArrived.Sub(r.Arrived), 0))
	j.claimed, j.claimedOnTime, j.firstArrived = true, r.OnTime, r.Arrived
	p.invalidateForecast()
	p.reservations.counts.Claimed++
	p.reservations.write(event.ReservationClaimed, "request", j.ID, "cell", p.cell.Name(), "caller", r.CallerKey,
		"after_due_ms", now.Sub(r.Due).Milliseconds(), "first_attempt_ms", now.Sub(r.Arrived).Milliseconds(),
		"aim_ms", j.OnTimeUntil.Sub(now).Milliseconds())
}

// acceptClaimed accepts a job whose caller claimed a reservation: as one that is on time, or,
// if it was not promised that and has too little time left, as one that is late from the start
// and gets the capacity that on-time jobs leave. Copies from older instances do not tell what
// was promised.
func (p *Planner) acceptClaimed(j *job, now time.Time) {
	needs := time.Duration((1 + returnMargin) * float64(j.minTime))
	late := !j.claimedOnTime && now.Add(needs).After(j.OnTimeUntil)
	if p.overload.Shares {
		p.countShares(j, now)
	}
	switch {
	case !late:
		j.countLoad(now)
	case p.overload.Shares:
		p.becomesLate(j, RuleNoCapacity, nil, now)
	default:
		j.late = true
	}
}

// acceptedWithoutReservation ends the reservation of a caller that was accepted before it was
// due.
func (p *Planner) acceptedWithoutReservation(j *job) {
	if p.overload.Reservations && !j.claimed {
		p.reservations.book.Cancel(j.CallerKey)
		p.invalidateForecast()
	}
}

// expireReservations gives the capacity of reservations that were not claimed to others.
func (p *Planner) expireReservations(now time.Time) {
	for _, r := range p.reservations.book.Expire(now) {
		p.reservations.counts.Expired++
		p.reservations.write(event.ReservationExpired, "cell", p.cell.Name(), "caller", r.CallerKey,
			"organisation", r.Organisation, "route", r.Route, "after_due_ms", now.Sub(r.Due).Milliseconds())
	}
}

// adoptReservations takes over the reservations that an earlier dispatcher of the cell made.
func (p *Planner) adoptReservations(copies []reservation.Copy, now time.Time) {
	if len(copies) == 0 {
		return
	}
	capacity := make(map[string]reservation.Capacity)
	var list []reservation.Reservation
	for _, c := range copies {
		if p.overload.Shares {
			c.Priority = route.CombinedPriority(c.Priority, c.RoutePriority)
		}
		var demands []reservation.Demand
		for _, w := range c.Stages {
			d := reservation.Demand{Service: w.Service}
			if v := p.services[w.Service]; v != nil {
				d.Work = time.Duration(w.Pieces) * v.pieceTime(w.ResultBytes)
				healthy, _ := v.availability(now)
				capacity[w.Service] = reservation.Capacity{PerWindow: time.Duration(healthy) * reservation.Window}
			}
			demands = append(demands, d)
		}
		list = append(list, c.Reservation(demands))
	}
	adopted := p.reservations.book.Adopt(list, capacity, now)
	p.reservations.counts.Adopted += len(adopted)
	p.invalidateForecast()
	p.reservations.write(event.ReservationsAdopted, "cell", p.cell.Name(), "received", len(copies), "adopted", len(adopted))
}

// lateRefusal completes the refusal of a job for lack of time: its caller gets a time to come
// back for which capacity is reserved or, if none is useful, the time after which the overload
// is forecast to be over. The caller has not been told of the refusal yet.
func (p *Planner) lateRefusal(j *job, r Refusal, now time.Time) Refusal {
	if !p.overload.Reservations {
		return r
	}
	p.invalidateForecast()
	left := p.leftForecast(j, now)
	p.noteOverload(j, left)
	offered, ok := p.offer(j, left, now)
	if !ok {
		r.RetryAfter = clampTime(p.overloadEnd(j, left), retryAfterMin, overloadEndMax)
		p.reservations.counts.NoMoment++
		p.reservations.write(event.ReservationNoMoment, "request", j.ID, "cell", p.cell.Name(), "organisation", j.Organisation,
			"route", j.Route, "retry_after_ms", r.RetryAfter.Milliseconds(), "deadline_ms", j.Deadline.Sub(now).Milliseconds())
		return r
	}
	p.invalidateForecast()
	r.Reserved, r.ReservedOnTime, r.RetryAfter = true, offered.OnTime, max(offered.Due.Sub(now), time.Millisecond)
	p.reservations.write(event.ReservationMade, "request", j.ID, "cell", p.cell.Name(), "caller", j.CallerKey,
		"organisation", j.Organisation, "route", j.Route, "due_ms", r.RetryAfter.Milliseconds(),
		"latest_ms", offered.Latest.Sub(now).Milliseconds(), "on_time", offered.OnTime, "reserved", p.reservations.book.Len())
	return r
}

// offer reserves capacity for the job's caller: among the jobs that are to be on time if the
// caller can be, otherwise in the capacity that they leave.
func (p *Planner) offer(j *job, left *forecast, now time.Time) (reservation.Reservation, bool) {
	if j.CallerKey == "" || len(j.units) == 0 {
		return reservation.Reservation{}, false
	}
	accepted := p.acceptedForecast(j, now)
	capacity, needs := p.capacityFor(j, accepted, now), p.remaining(j, now)
	served := p.servedAfter(j, accepted, longestWait(capacity, now), needs)
	back := now.Add(time.Duration(returnShare * float64(j.Deadline.Sub(now))))
	q := reservation.Request{
		CallerKey: j.CallerKey, Organisation: j.Organisation, Route: j.Route, Priority: j.Priority, Arrived: j.firstArrived,
		Demands: j.demands(), OnTime: true, Latest: earlier(back, j.OnTimeUntil.Add(-served)),
	}
	if r, ok := p.reservations.book.Offer(q, capacity, now); ok {
		p.countOffer(q)
		return r, true
	}
	q.OnTime, q.Latest = false, earlier(back, j.Deadline.Add(-needs))
	r, ok := p.reservations.book.Offer(q, p.capacityFor(j, left, now), now)
	if ok {
		p.countOffer(q)
	}
	return r, ok
}

// servedAfter is the time from the caller's return until its first event, with the margins of
// an on-time job.
//
// The margin covers the wait as well, although it is over by then: the stages of a job that
// waits here run while it waits for the next ones, those of a caller that comes back do not.
// With a smaller margin, fewer callers of a burst are on time.
func (p *Planner) servedAfter(j *job, accepted *forecast, waits, needs time.Duration) time.Duration {
	end := accepted.end(j)
	rest := float64(max(end-waits, needs)) + returnMargin*float64(end)
	if bottleneck := accepted.bottleneck(j); bottleneck != nil {
		rest += bottleneck.fairnessFor(j).waitPenalty(j.Route, accepted.now) * float64(max(end-needs, 0))
	}
	return time.Duration(rest)
}

func (p *Planner) countOffer(q reservation.Request) {
	if q.OnTime {
		p.reservations.counts.Made++
	} else {
		p.reservations.counts.MadeLate++
	}
}

// demands returns the work of all pieces of the job.
func (j *job) demands() []reservation.Demand {
	var list []reservation.Demand
	for _, u := range j.units {
		list = append(list, reservation.Demand{Service: u.service.name, Work: time.Duration(len(u.pieces)) * u.service.pieceTime(u.resultBytes)})
	}
	return list
}
