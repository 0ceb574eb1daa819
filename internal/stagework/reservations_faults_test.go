package stagework

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/reservation"
)

// TestACallerReturnsThroughAnotherInstance guards against reservations that hold only at the
// instance that refused the caller, which may also be lost by then.
func TestACallerReturnsThroughAnotherInstance(t *testing.T) {
	withReservingFleet(t, func(r *reservingFleet) {
		f, other := r.owner("x"), r.owner("y")
		first := r.members[0]
		r.overload(first)
		after := r.reserve(f, "caller")
		if s := r.dispatchers[first].Reservations(); len(s) != 1 || s[0].Organisation != "acme" || s[0].Route != "cutting" || s[0].Callers != 1 || !s[0].Next.Equal(time.Now().Add(after)) {
			t.Errorf("operators see %+v", s)
		}
		time.Sleep(after)
		r.overload(first) // the overload lasts
		if refusal := r.submit(other, reservableJob("second", "caller")); refusal != nil {
			t.Errorf("refused: %+v", refusal)
		}
		r.requireClaims(first, 1)
		if refusal := r.submit(other, reservableJob("third", "stranger")); refusal == nil {
			t.Error("a caller without a reservation was accepted in the same overload")
		}
	})
}

// TestADispatcherIsLostBetweenRefusalAndReturn guards against callers whose reservation is lost
// with the dispatcher: their owner sends its copies with its next job to the next dispatcher.
func TestADispatcherIsLostBetweenRefusalAndReturn(t *testing.T) {
	withReservingFleet(t, func(r *reservingFleet) {
		f, other := r.owner("x"), r.owner("y")
		first, second := r.members[0], r.members[1]
		r.overload(first)
		after := r.reserve(f, "caller")
		r.lost = []string{first}
		r.submit(f, reservableJob("any", "another"))
		r.submit(f, reservableJob("next", "yet another"))
		if c := r.dispatchers[second].ReservationCounts(); c.Adopted != 1 {
			t.Errorf("the next dispatcher adopted %+v", c)
		}
		time.Sleep(after)
		r.overload(second)
		if refusal := r.submit(other, reservableJob("second", "caller")); refusal != nil {
			t.Errorf("refused: %+v", refusal)
		}
		r.requireClaims(second, 1)
	})
}

// TestTheOwnersCopyComesWithTheCallersJob guards against a caller that is judged as new because
// it is back before any other job of its owner.
func TestTheOwnersCopyComesWithTheCallersJob(t *testing.T) {
	withReservingFleet(t, func(r *reservingFleet) {
		f := r.owner("x")
		first, second := r.members[0], r.members[1]
		r.overload(first)
		after := r.reserve(f, "caller")
		r.lost = []string{first}
		time.Sleep(after)
		r.overload(second)
		if refusal := r.submit(f, reservableJob("second", "caller")); refusal != nil {
			t.Errorf("refused: %+v", refusal)
		}
		r.requireClaims(second, 1)
	})
}

// TestTheOwnerKeepsWhatAnAcceptedJobWasGiven guards against copies that are kept only for jobs
// that are refused on arrival, not for those that are accepted and expire in the queue.
func TestTheOwnerKeepsWhatAnAcceptedJobWasGiven(t *testing.T) {
	withReservingFleet(t, func(r *reservingFleet) {
		f := r.owner("x")
		first, second := r.members[0], r.members[1]
		f.KeepReservation(reservableJob("expired", "caller"), first, &Refusal{Reason: ReasonLate, RetryAfter: time.Second, Reserved: true})
		if list := f.copies.notAt("", first, "", time.Now()); len(list) > 0 {
			t.Errorf("%v are not known to the dispatcher that made them", list)
		}
		if list := f.copies.notAt("", second, "", time.Now()); len(list) != 1 || list[0].CallerKey != "caller" || list[0].Stages[0].Pieces != 4 {
			t.Errorf("copies %v", list)
		}
	})
}

// TestDispatcherAndOwnerAreLost guards against callers that are treated worse than new ones
// when nobody knows of their reservation any more.
func TestDispatcherAndOwnerAreLost(t *testing.T) {
	withReservingFleet(t, func(r *reservingFleet) {
		f, other := r.owner("x"), r.owner("y")
		first, second := r.members[0], r.members[1]
		r.overload(first)
		after := r.reserve(f, "caller")
		r.lost = []string{first}
		time.Sleep(after)
		if refusal := r.submit(other, reservableJob("second", "caller")); refusal != nil {
			t.Errorf("refused although there is no overload: %+v", refusal)
		}
		r.requireClaims(second, 0)
	})
}

// TestTwoDispatchersDoNotReserveTheSameTwice guards against a dispatcher that takes over the
// copies of several owners of one reservation, or more than half of its capacity.
func TestTwoDispatchersDoNotReserveTheSameTwice(t *testing.T) {
	withReservingFleet(t, func(r *reservingFleet) {
		second := r.dispatchers[r.members[1]]
		due := time.Now().Add(time.Second)
		copies := make([]reservation.Copy, 2*maxCopiesSent)
		for n := range copies {
			copies[n] = reservation.Copy{
				CallerKey: fmt.Sprint(n), Arrived: time.Now(), Due: due, Stages: []reservation.StageWork{{Service: "cut", Pieces: 4, ResultBytes: 1000}},
			}
		}
		for range 2 {
			j := reservableJob("any", "")
			j.Reservations = copies
			if a, refusal := second.SubmitRemote(j); refusal == nil {
				a.End()
			}
		}
		// Four targets have 400 ms in a window, and four pieces in full calls take 140 ms.
		if c := second.ReservationCounts(); c.Adopted != 1 {
			t.Errorf("adopted %+v", c)
		}
	})
}

// Guards against a promise to be on time that is lost with its dispatcher, and against an
// objective that is measured from the refusal of a job that had waited.
func TestCopiesTellPromiseAndFirstArrival(t *testing.T) {
	now := time.Unix(1000, 0)
	var c reservationCopies
	j := reservableJob("x", "caller")
	j.Arrived = now.Add(-time.Second)
	c.keep("", "a", j, &Refusal{Reserved: true, ReservedOnTime: true, RetryAfter: time.Second}, now)
	kept := c.notAt("", "b", "caller", now)
	if len(kept) != 1 || !kept[0].OnTime || !kept[0].Arrived.Equal(j.Arrived) {
		t.Fatalf("%+v", kept)
	}
	if r := kept[0].Reservation(nil); !r.OnTime || !r.Arrived.Equal(j.Arrived) {
		t.Errorf("%+v", r)
	}
}

// TestCopiesAreBounded guards against an owner whose memory and messages grow with the
// refusals of a long overload.
func TestCopiesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c reservationCopies
		for n := range 2 * maxCopies {
			c.keep("", "a", reservableJob("x", fmt.Sprint("caller ", n)), &Refusal{Reserved: true, RetryAfter: time.Second}, time.Now())
		}
		if n := len(c.byCell[""]); n != maxCopies {
			t.Errorf("%d copies are kept", n)
		}
		own := fmt.Sprint("caller ", 2*maxCopies-1)
		list := c.notAt("", "b", own, time.Now())
		if len(list) != maxCopiesSent || list[0].CallerKey != own {
			t.Errorf("%d copies are sent, the first is of %q", len(list), list[0].CallerKey)
		}
		if list := c.notAt("", "a", "", time.Now()); len(list) > 0 {
			t.Errorf("%d copies are sent to the dispatcher that has them", len(list))
		}
		c.sent("", "b", list)
		if again := c.notAt("", "b", "", time.Now()); len(again) != maxCopiesSent || again[0].CallerKey == own {
			t.Errorf("%d further copies are sent", len(again))
		}
		time.Sleep(time.Second + reservation.ValidAfter + ms)
		if list := c.notAt("", "b", "", time.Now()); len(list) > 0 {
			t.Errorf("%d copies are sent that are over", len(list))
		}
	})
}

// TestAnOlderPeerGetsNoReservation guards against jobs without a caller key, which older builds
// send, that are treated as one caller; their Retry-After is not the shortest one either.
func TestAnOlderPeerGetsNoReservation(t *testing.T) {
	withReservingFleet(t, func(r *reservingFleet) {
		f := r.owner("x")
		r.older = true
		r.overload(r.members[0])
		for range 2 {
			refusal := r.submit(f, reservableJob("any", "caller"))
			if refusal == nil || refusal.Reserved || refusal.RetryAfter <= retryAfterMin {
				t.Errorf("refusal %+v", refusal)
			}
		}
		if c := r.dispatchers[r.members[0]].ReservationCounts(); c.NoMoment != 2 || c.Made+c.MadeLate != 0 {
			t.Errorf("%+v", c)
		}
	})
}

// TestReservationsOff guards against a deployment that did not ask for reservations and gets
// other refusals, messages or state.
func TestReservationsOff(t *testing.T) {
	withReservingFleet(t, func(r *reservingFleet) {
		f := r.owner("x")
		f.o.Reservations = nil
		d := r.dispatchers[r.members[0]]
		d.SetOverload(Overload{})
		r.overload(r.members[0])
		j := reservableJob("any", "caller")
		sent := f.withCopies("a", j)
		refusal := r.submit(f, j)
		if refusal == nil || refusal.Reserved || sent.Reservations != nil || len(f.copies.byCell) > 0 {
			t.Errorf("refusal %+v, copies sent %v, kept %v", refusal, sent.Reservations, f.copies.byCell)
		}
		if c := d.ReservationCounts(); c != (ReservationCounts{}) || len(d.Reservations()) > 0 {
			t.Errorf("%+v, reservations %v", c, d.Reservations())
		}
	})
}
