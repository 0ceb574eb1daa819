package stagework

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/reservation"
	"lynxhill.example/lynxhill/internal/route"
)

// reservingFleet is a set of dispatchers, each with its view of the same four stage targets,
// which never finish a call, and owners that reach them.
type reservingFleet struct {
	t           *testing.T
	dispatchers map[string]*Dispatcher
	lost        []string
	older       bool // owners send what an older build sends
	members     []string
}

// Submit implements Remote.
func (r *reservingFleet) Submit(_ context.Context, instance string, j Job) (Assignment, *Refusal, error) {
	if slices.Contains(r.lost, instance) {
		return nil, nil, errors.New("lost")
	}
	if r.older {
		j.CallerKey, j.Reservations = "", nil
	}
	a, refusal := r.dispatchers[instance].SubmitRemote(j)
	if refusal != nil {
		return nil, refusal, nil
	}
	return a, nil, nil
}

// withReservingFleet runs the test with the dispatchers a and b; a ranks first.
func withReservingFleet(t *testing.T, test func(r *reservingFleet)) {
	synctest.Test(t, func(t *testing.T) {
		r := &reservingFleet{t: t, dispatchers: make(map[string]*Dispatcher), members: []string{"a", "b"}}
		for _, id := range r.members {
			d := New(Options{Self: id, Client: busyTargets{}, Clock: quartz.NewReal()})
			table, targets := engines(2)
			table.Services["cut"] = &route.Service{Name: "cut", Pieces: &route.Pieces{Slots: 1, Batch: 8, CallTime: 200 * ms, ItemTime: 10 * ms, ResultLifetime: 10 * time.Second}}
			for n := range 4 {
				targets = append(targets, fleet.Target{ID: fmt.Sprint("cut", n), Service: "cut", Address: fmt.Sprint("at cut", n)})
			}
			d.SetTargets(table, fleet.NewView(1, targets))
			d.SetOverload(Overload{Reservations: true})
			defer d.Close()
			r.dispatchers[id] = d
		}
		test(r)
	})
}

// owner returns the finder of an instance that is no dispatcher.
func (r *reservingFleet) owner(id string) *Finder {
	local := New(Options{Self: id, Client: busyTargets{}, Clock: quartz.NewReal()})
	r.t.Cleanup(local.Close)
	f := NewFinder(FinderOptions{Self: id, Local: local, Remote: r, Members: func() []string { return r.members }, Clock: quartz.NewReal(), Reservations: func() bool { return true }})
	first, _ := f.candidates(Cell{})
	r.members = first
	return f
}

// reservableJob returns a job of a caller; its objective cannot be reached if it has to wait.
func reservableJob(id, caller string) Job {
	j := newJob(id, 400*ms, 9*time.Second, cutOnly(1000), 4)
	j.CallerKey, j.Route, j.Organisation = caller, "cutting", "acme"
	return j
}

// overload makes the dispatcher refuse jobs: targets are busy for half a second, on-time jobs
// are queued and arrive as fast as they are done, and the usual length of an overload is over.
func (r *reservingFleet) overload(id string) {
	d := r.dispatchers[id]
	for n := range 8 {
		if _, refusal := d.Submit(newJob(fmt.Sprint("queued ", n), 8*time.Second, 9*time.Second, cutOnly(1000), 4)); refusal != nil {
			r.t.Fatalf("queued job refused: %+v", refusal)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.planner(Cell{}).services["cut"]
	for _, s := range v.byID {
		s.busyUntil, s.calls = time.Now().Add(500*ms), 1
	}
	v.overloads = overloads{began: time.Now().Add(-firstOverloadLength), latest: time.Now(), refusals: 2 * blipRefusals, length: time.Second}
	v.load.add(loadWindow.Seconds()*float64(len(v.byID)), time.Now())
}

// submit submits a job of an owner and ends it if it was accepted.
func (r *reservingFleet) submit(f *Finder, j Job) *Refusal {
	r.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a, refusal, err := f.Submit(ctx, j)
	if err != nil {
		r.t.Fatal(err)
	}
	if refusal == nil {
		a.End()
	}
	return refusal
}

// reserve has a caller refused with a reservation, and returns its Retry-After.
func (r *reservingFleet) reserve(f *Finder, caller string) time.Duration {
	r.t.Helper()
	refusal := r.submit(f, reservableJob("first of "+caller, caller))
	if refusal == nil || !refusal.Reserved || refusal.RetryAfter <= retryAfterMin || refusal.RetryAfter > 3*time.Second {
		r.t.Fatalf("not refused with a reservation: %+v", refusal)
	}
	return refusal.RetryAfter
}

// requireClaims checks how many reservations the dispatcher had claimed.
func (r *reservingFleet) requireClaims(id string, claimed int) {
	r.t.Helper()
	if c := r.dispatchers[id].ReservationCounts(); c.Claimed != claimed {
		r.t.Errorf("at %s, %d reservations were claimed instead of %d: %+v", id, c.Claimed, claimed, c)
	}
}

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

// TestCopiesAreBounded guards against an owner whose memory and messages grow with the
// refusals of a long overload.
func TestCopiesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c reservationCopies
		for n := range 2 * maxCopies {
			c.keep("", "a", reservableJob("x", fmt.Sprint("caller ", n)), time.Second, time.Now())
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
