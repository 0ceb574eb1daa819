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

// enterMany enters until the first refusal, n times at most.
func enterMany(d *InstanceAdmitter, organisation string, priority, n int) (leaves []func(), err error) {
	for range n {
		leave, err := d.Admit(context.Background(), Entry{Organisation: organisation, Priority: priority})
		if err != nil {
			return leaves, err
		}
		leaves = append(leaves, leave)
	}
	return leaves, nil
}

func TestAdmitterKeepsRoomForOthers(t *testing.T) {
	d, _ := newTestAdmitter(100)
	large, err := enterMany(d, "large", 9, 200)
	if !errkind.Is(err, errkind.Overloaded) || errkind.RetryAfter(err) == 0 || len(large) != 80 {
		t.Fatalf("one organisation got %d of 100 places (%v), want 80", len(large), err)
	}
	small, _ := enterMany(d, "small", 9, 5)
	if len(small) != 5 {
		t.Errorf("a small organisation got %d places beside a large one, want 5", len(small))
	}
	for _, leave := range append(large, small...) {
		leave()
		leave() // the second call must not free another place
	}
	if d.InFlight() != 0 || d.Room() != 1 {
		t.Errorf("in flight %d, room %g after all left", d.InFlight(), d.Room())
	}
}

func TestAdmitterShedsByPriority(t *testing.T) {
	d, _ := newTestAdmitter(100)
	for _, name := range []string{"a", "b", "c", "d"} {
		if _, err := enterMany(d, name, 9, 21); err != nil {
			t.Fatalf("filling: %v", err)
		}
	}
	if _, err := enterMany(d, "e", 0, 1); !errkind.Is(err, errkind.Overloaded) {
		t.Errorf("lowest priority at 84 of 100: %v, want Overloaded", err)
	}
	if _, err := enterMany(d, "e", 9, 1); err != nil {
		t.Errorf("highest priority at 84 of 100: %v", err)
	}
}

func TestAdmitterLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, b := newTestAdmitter(100)
		b.Limits.Put("a", board.Limit{Concurrent: 3})
		leaves, err := enterMany(d, "a", 5, 10)
		if len(leaves) != 3 || !errkind.Is(err, errkind.OrganisationLimit) {
			t.Errorf("%d entered under a limit of 3: %v", len(leaves), err)
		}
		b.Limits.Put("none", board.Limit{Concurrent: -1})
		if _, err = enterMany(d, "none", 5, 1); !errkind.Is(err, errkind.OrganisationLimit) {
			t.Errorf("entered with no share of the limit: %v", err)
		}
		b.Limits.Put("r", board.Limit{RatePerSecond: 10})
		entered := 0
		for range 500 {
			leaves, err = enterMany(d, "r", 5, 1)
			entered += len(leaves)
			for _, leave := range leaves {
				leave()
			}
			time.Sleep(10 * time.Millisecond)
		}
		if entered < 55 || entered > 60 {
			t.Errorf("%d entered in 5 s at 10 a second, want 50 and a burst of 10", entered)
		}
		if after := errkind.RetryAfter(err); after <= 0 || after > 100*time.Millisecond {
			t.Errorf("retry after %s, want up to 100 ms", after)
		}
	})
}

func TestAdmitterIsolated(t *testing.T) {
	d, b := newTestAdmitter(10)
	b.Self.Put(board.SelfRow, board.Self{Isolated: true})
	if _, err := enterMany(d, "a", 5, 1); !errkind.Is(err, errkind.Isolated) {
		t.Errorf("isolated: %v", err)
	}
	if n := len(d.Usage()); n != 0 {
		t.Errorf("%d organisations known after a refusal at the gate", n)
	}
}
