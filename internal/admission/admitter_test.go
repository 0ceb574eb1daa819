package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/errkind"
)

func newTestAdmitter(maxInFlight int) (*InstanceAdmitter, *board.Board) {
	b := board.New()
	return NewAdmitter(AdmitterOptions{Board: b, Clock: quartz.NewReal(), MaxInFlight: maxInFlight}), b
}

// admitMany admits requests until the first refusal, at most n.
func admitMany(d *InstanceAdmitter, organisation string, priority, n int) (leaves []func(), err error) {
	for range n {
		leave, err := d.Admit(context.Background(), AdmitRequest{Organisation: organisation, Priority: priority})
		if err != nil {
			return leaves, err
		}
		leaves = append(leaves, leave)
	}
	return leaves, nil
}

func TestAdmitterKeepsRoomForOthers(t *testing.T) {
	d, _ := newTestAdmitter(100)
	large, err := admitMany(d, "large", 9, 200)
	if !errkind.Is(err, errkind.Overloaded) || errkind.RetryAfter(err) == 0 || len(large) != 80 {
		t.Fatalf("one organisation got %d requests admitted of a cap of 100 (%v), want 80", len(large), err)
	}
	small, _ := admitMany(d, "small", 9, 5)
	if len(small) != 5 {
		t.Errorf("a small organisation got %d requests admitted beside a large one, want 5", len(small))
	}
	for _, leave := range append(large, small...) {
		leave()
		leave() // the second call must have no effect
	}
	if d.InFlight() != 0 || d.FreeShare() != 1 {
		t.Errorf("in flight %d, free fraction %g after all requests ended", d.InFlight(), d.FreeShare())
	}
}

func TestAdmitterShedsByPriority(t *testing.T) {
	d, _ := newTestAdmitter(100)
	for _, name := range []string{"a", "b", "c", "d"} {
		if _, err := admitMany(d, name, 9, 21); err != nil {
			t.Fatalf("filling: %v", err)
		}
	}
	if _, err := admitMany(d, "e", 0, 1); !errkind.Is(err, errkind.Overloaded) {
		t.Errorf("lowest priority at 84 of 100: %v, want Overloaded", err)
	}
	if _, err := admitMany(d, "e", 9, 1); err != nil {
		t.Errorf("highest priority at 84 of 100: %v", err)
	}
}

func TestAdmitterLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, b := newTestAdmitter(100)
		b.Limits.Put("a", board.Limit{Concurrent: 3})
		leaves, err := admitMany(d, "a", 5, 10)
		if len(leaves) != 3 || !errkind.Is(err, errkind.OrganisationLimit) {
			t.Errorf("%d admitted under a limit of 3: %v", len(leaves), err)
		}
		b.Limits.Put("none", board.Limit{Concurrent: -1})
		if _, err = admitMany(d, "none", 5, 1); !errkind.Is(err, errkind.OrganisationLimit) {
			t.Errorf("admitted with no share of the limit: %v", err)
		}
		b.Limits.Put("r", board.Limit{RatePerSecond: 10})
		entered := 0
		for range 500 {
			leaves, err = admitMany(d, "r", 5, 1)
			entered += len(leaves)
			for _, leave := range leaves {
				leave()
			}
			time.Sleep(10 * time.Millisecond)
		}
		if entered < 55 || entered > 60 {
			t.Errorf("%d admitted in 5 s at 10 a second, want 50 and a burst of 10", entered)
		}
		if after := errkind.RetryAfter(err); after <= 0 || after > 100*time.Millisecond {
			t.Errorf("retry after %s, want up to 100 ms", after)
		}
	})
}

func TestAdmitterIsolated(t *testing.T) {
	d, b := newTestAdmitter(10)
	b.Self.Put(board.SelfRow, board.Self{Isolated: true})
	if _, err := admitMany(d, "a", 5, 1); !errkind.Is(err, errkind.Isolated) {
		t.Errorf("isolated: %v", err)
	}
	if n := len(d.Usage()); n != 0 {
		t.Errorf("%d organisations are recorded after a refusal as isolated, want 0", n)
	}
}
