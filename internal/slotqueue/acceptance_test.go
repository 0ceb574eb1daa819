package slotqueue

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// minOnTime is the part of the requests that must be answered in time.
const minOnTime = 0.985

// Guards against a queue that sends requests to targets that are slow at the moment, or all
// of them to the target that was empty a moment ago.
func TestShareOnTimeWithTargetsThatTurnSlow(t *testing.T) {
	seed := uint64(0)
	for _, rate := range []float64{117, 330, 420} {
		for _, instances := range []int{8, 112, 300} {
			seed++
			checkOnTime(t, fmt.Sprintf("%v requests/s, %d instances", rate, instances), seed, rate, instances, 600*time.Millisecond)
		}
	}
}

// Guards against trust in a stated pace that is no longer true when the request runs.
func TestShareOnTimeWithPaceThatChangesWithinRequests(t *testing.T) {
	for i, period := range []time.Duration{20 * time.Millisecond, 80 * time.Millisecond, 200 * time.Millisecond} {
		checkOnTime(t, fmt.Sprintf("420 requests/s, periods of %v", period), uint64(100+i), 420, 112, period)
	}
}

// checkOnTime plays 15 s of load on targets one in seven of which is 2.5 times slower for
// a period, with messages that take 1 ms each way.
func checkOnTime(t *testing.T, name string, seed uint64, rate float64, instances int, period time.Duration) {
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(seed, instances, time.Millisecond)
			w.slowPeriods(2.5, period, 7, 20*time.Second)
			w.load(rate, 15*time.Second, nil)
			time.Sleep(20 * time.Second)
			r := w.result("")
			t.Logf("%.4f on time: %+v", r.share(), r)
			if r.share() < minOnTime {
				t.Errorf("%.4f of the requests on time, want %v: %+v", r.share(), minOnTime, r)
			}
			if n := w.used(); n != 0 {
				t.Errorf("%d slots are still used", n)
			}
		})
	})
}

// Guards against requests that are lost, and slots that are never freed, when the
// coordinator ends while more arrives than can be done (2.7 times 240 requests/s).
func TestCoordinatorLostInTheMiddleOfABurst(t *testing.T) {
	play := func(lose bool) (burst, calm tally) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(7, 112, time.Millisecond)
			w.slowPeriods(2.5, 600*time.Millisecond, 7, 20*time.Second)
			w.load(240, 12*time.Second, nil)
			time.Sleep(3 * time.Second)
			w.load(408, 6*time.Second, func(r *fakeRequest) { r.kind = "burst" })
			time.Sleep(3 * time.Second)
			if lose {
				w.loseCoordinator()
				time.Sleep(10 * time.Millisecond)
				if n := w.c.count.adopted.Value(); n == 0 {
					t.Error("the successor adopted no slot")
				}
			}
			time.Sleep(15 * time.Second)
			burst, calm = w.result("burst"), w.result("")
			if n := w.used(); n != 0 {
				t.Errorf("%d slots are still used", n)
			}
			if n := w.unanswered(); n != 0 {
				t.Errorf("%d requests have no end", n)
			}
		})
		return burst, calm
	}
	burst, calm := play(false)
	lostBurst, lostCalm := play(true)
	t.Logf("without loss: %+v %+v; with: %+v %+v", burst, calm, lostBurst, lostCalm)
	// For half a second none of them is on time, then targets have a queue to work off:
	// together no more than the arrivals of 1.5 s.
	missed := burst.onTime + calm.onTime - lostBurst.onTime - lostCalm.onTime
	if limit := int(1.5 * (240 + 408)); missed > limit {
		t.Errorf("the loss made %d requests late, want at most %d", missed, limit)
	}
}

// Guards against an organisation that takes the capacity of the others: with half of a
// demand that is twice the capacity, only its own requests may be late.
func TestOrganisationWithHalfOfTheDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(5, 112, time.Millisecond)
		w.load(450, 8*time.Second, func(r *fakeRequest) { r.kind = "others" })
		w.load(450, 8*time.Second, func(r *fakeRequest) { r.kind, r.Organisation = "half", "half" })
		time.Sleep(12 * time.Second)
		others, half := w.result("others"), w.result("half")
		t.Logf("others: %.4f %+v; half: %.4f %+v", others.share(), others, half.share(), half)
		if others.share() < 0.95 {
			t.Errorf("others: %.4f on time, want 0.95", others.share())
		}
		if half.onTime < 450 {
			t.Errorf("the large organisation had %d on time, want what the others leave", half.onTime)
		}
	})
}

// Guards against priorities that starve: with 1.7 times the capacity asked for by the most
// urgent one, each other one has a tenth of the capacity of 600 requests/s.
func TestFloorsOfLowerPriorities(t *testing.T) {
	const length = 8
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(6, 112, time.Millisecond)
		for p, rate := range []float64{1000, 200, 200} {
			w.load(rate, length*time.Second, func(r *fakeRequest) {
				r.Priority, r.kind, r.Route = p, fmt.Sprint(p), fmt.Sprint("route", p)
			})
		}
		time.Sleep((length + 4) * time.Second)
		for p, floor := range map[string]int{"0": 400 * length, "1": 50 * length, "2": 50 * length} {
			r := w.result(p)
			t.Logf("priority %s: %+v", p, r)
			if r.onTime+r.late < floor {
				t.Errorf("priority %s: %d answered, want at least %d", p, r.onTime+r.late, floor)
			}
			if r.onTime < r.late*2 {
				t.Errorf("priority %s: %d on time, %d late: its capacity went to late requests", p, r.onTime, r.late)
			}
		}
	})
}
