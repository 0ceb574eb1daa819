package stagework

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// measured runs a load with reservations on or off, with one seed.
func measured(t *testing.T, on bool, change func(l *returningLoad)) (burst returnsTally, counts ReservationCounts) {
	withEnv(t, zoneServices(), func(w *testEnv) {
		w.d.SetOverload(Overload{Reservations: on})
		l := burstOfReturns(w)
		change(&l)
		b, _ := l.run(1)
		burst = sum(b)
		time.Sleep(overloadEndMax) // all reservations are over
		counts = w.d.ReservationCounts()
		if left := w.d.Reservations(); len(left) > 0 {
			t.Errorf("reservations are left: %v", left)
		}
	})
	return burst, counts
}

// TestCallersThatReturnInABurst guards against refused callers that come back in vain, and
// against reservations that take the time of callers that would be on time. For 6 s the demand
// is twice the capacity of two stage services; callers return once, if the Retry-After is at
// most a third of the time that they have left.
func TestCallersThatReturnInABurst(t *testing.T) {
	before, _ := measured(t, false, func(*returningLoad) {})
	with, counts := measured(t, true, func(*returningLoad) {})
	t.Logf("without: %v", before)
	t.Logf("with: %v; %+v", with, counts)
	if with.of(with.onTime) < before.of(before.onTime)-0.02 || with.of(with.onTime+with.late) < before.of(before.onTime+before.late)-0.02 {
		t.Errorf("fewer callers are served: %v, without reservations %v", with, before)
	}
	if with.of(with.refusedTwice) > 0.015 || 2*with.refusedTwice > before.refusedTwice {
		t.Errorf("%d callers are refused twice, without reservations %d", with.refusedTwice, before.refusedTwice)
	}
	if lost := with.reserved - with.kept; with.reserved == 0 || lost > blipRefusals { // before it was known to be more than a random peak
		t.Errorf("%d of %d callers with a reservation are served", with.kept, with.reserved)
	}
	if with.least <= retryAfterMin {
		t.Errorf("a Retry-After of %v at the height of an overload", with.least)
	}
}

// TestCallersThatDoNotReturn guards against capacity that is lost to callers that were given a
// reservation and do not return: half of the callers of the same burst do not.
func TestCallersThatDoNotReturn(t *testing.T) {
	away := func(l *returningLoad) { l.absent = 0.5 }
	before, _ := measured(t, false, away)
	with, counts := measured(t, true, away)
	t.Logf("without: %v", before)
	t.Logf("with: %v; %+v", with, counts)
	if with.of(with.onTime) < before.of(before.onTime)-0.02 {
		t.Errorf("fewer callers are on time: %v, without reservations %v", with, before)
	}
	if counts.Expired == 0 || counts.Made+counts.MadeLate != counts.Claimed+counts.Expired {
		t.Errorf("%+v: not each reservation was claimed or has expired", counts)
	}
}

// secondAttempt is added to a job's number for the second attempt of its caller.
const secondAttempt = 1000

// identify names the caller of a job, and makes overloads so short that there are useful times
// to come back.
func (d *randomRun) identify(in *Job, i int) {
	if !d.overload.Reservations {
		return
	}
	in.CallerKey = fmt.Sprint("caller ", i%secondAttempt)
	for _, v := range d.services {
		v.overloads.length = 100 * ms
	}
}

// comesBack has the caller of a job that was refused with a reservation come back in time.
func (d *randomRun) comesBack(i int, r *Refusal) {
	if r != nil && r.Reserved && i < secondAttempt {
		d.in(r.RetryAfter, func(now time.Time) { d.arrive(i+secondAttempt, now) })
	}
}

// TestReservationsDoNotDependOnCachedState is TestDecisionsDoNotDependOnCachedState with
// reservations, for a few of its seeds.
func TestReservationsDoNotDependOnCachedState(t *testing.T) {
	on, claimed := Overload{Reservations: true}, 0
	for seed := range randomRuns / 4 {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			sums := make(map[string]bool)
			for _, c := range []struct{ always, forgets bool }{{true, true}, {true, false}, {false, false}} {
				synctest.Test(t, func(t *testing.T) {
					d := seededRun(seed, on, c.forgets)
					sums[runSeeded(t, d, seed, c.always)] = true
					claimed += d.reservations.counts.Claimed
				})
			}
			if len(sums) != 1 {
				t.Errorf("plans with and without cached state differ: %v", sums)
			}
		})
	}
	if claimed < 3*randomRuns {
		t.Errorf("%d reservations were claimed: too few for the test to be meaningful", claimed)
	}
}
