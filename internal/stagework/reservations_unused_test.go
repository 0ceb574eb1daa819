package stagework

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/coder/quartz"
)

// TestTooShortDeadlinesAreNoOverload guards against callers that are told to wait for the end of
// an overload that there is not, because another caller's deadlines are too short for its work.
func TestTooShortDeadlinesAreNoOverload(t *testing.T) {
	withReservingFleet(t, func(r *reservingFleet) {
		f, d := r.owner("x"), r.dispatchers[r.members[0]]
		for n := range 2 * blipRefusals {
			job := reservableJob(fmt.Sprint(n), fmt.Sprint("caller ", n))
			job.Deadline = time.Now().Add(20 * ms)
			if refusal := r.submit(f, job); refusal == nil || refusal.Reason != ReasonLate {
				t.Fatalf("refusal %+v", refusal)
			}
			time.Sleep(50 * ms)
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		if o := d.planner(Cell{}).services["cut"].overloads; o.refusals > 0 || o.left(time.Now()) > 0 {
			t.Errorf("%d refusals count, %v are left of an overload", o.refusals, o.left(time.Now()))
		}
	})
}

// secondCell refuses jobs with a reservation in the first cell it is asked for, and accepts
// them in the other one.
type secondCell struct{ asked []Job }

type acceptedJob struct{ Assignment }

func (s *secondCell) Submit(_ context.Context, _ string, j Job) (Assignment, *Refusal, error) {
	if s.asked = append(s.asked, j); len(s.asked) == 1 {
		return nil, &Refusal{Reason: ReasonLate, RetryAfter: time.Second, Reserved: true}, nil
	}
	return acceptedJob{}, nil, nil
}

// TestTheSecondCellAccepts guards against copies of reservations of callers that have been
// served: the next dispatcher of the first cell would keep capacity for them.
func TestTheSecondCellAccepts(t *testing.T) {
	remote := &secondCell{}
	f := NewFinder(FinderOptions{Self: "x", Remote: remote, Clock: quartz.NewReal(), Reservations: func() bool { return true },
		Members: func() []string { return []string{"a"} },
		Cells:   func() []Cell { return []Cell{{Zones: []string{"p"}, Weight: 1}, {Zones: []string{"q"}, Weight: 1}} }})
	if a, refusal, err := f.Submit(t.Context(), reservableJob("first", "caller")); a == nil || refusal != nil || err != nil || len(remote.asked) != 2 {
		t.Fatalf("%v, %+v, %v; asked %d times", a, refusal, err, len(remote.asked))
	}
	cell := Cell{Zones: remote.asked[0].Cell}.Name()
	if list := f.copies.notAt(cell, "next", "", time.Now()); len(list) > 0 {
		t.Errorf("copies %+v", list)
	}
}
