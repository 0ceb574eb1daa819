package crashguard

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/board"
)

// Guards against a request that crashes three more targets for each minute in which its
// caller repeats it: its refusal expires while it still comes.
func TestRefusalOutlastsRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Options{Limit: 3, TTL: time.Minute})
		crashed := 0
		for began := time.Now(); time.Since(began) < 24*time.Hour; time.Sleep(time.Second) {
			if g.Refused("fp") {
				continue
			}
			crashed++
			g.RecordCrash("fp", Crash{Target: fmt.Sprint("t", crashed)})
		}
		if crashed > 6 {
			t.Errorf("%d targets crashed within a day, want 6 at most", crashed)
		}
	})
}

// members are guards of a fleet that know one another.
func members(t *testing.T, opts Options, ids ...string) []*Guard {
	t.Helper()
	guards := make([]*Guard, len(ids))
	for i, id := range ids {
		o := opts
		o.Self, o.Board = id, board.New()
		for _, other := range ids {
			o.Board.Members.Put(other, board.Member{ID: other, State: board.MemberAlive})
		}
		guards[i] = New(o)
	}
	return guards
}

// exchangeAll has all guards exchange digests until nothing is new.
func exchangeAll(guards []*Guard) {
	for range 3 {
		for _, a := range guards {
			for _, b := range guards {
				exchange(a, b)
			}
		}
	}
}

// admitted returns the guards that admit a request that arrives at each.
func admitted(guards []*Guard, fingerprint string) (admitting []*Guard) {
	for _, g := range guards {
		if !g.Admit(fingerprint).Refused {
			admitting = append(admitting, g)
		}
	}
	return admitting
}

// Guards against a refusal that stays for good after the targets were repaired, against
// trials at several instances at once, and against more than three trials a day.
func TestRefusedRequestIsTriedRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guards := members(t, Options{Limit: 3, TTL: time.Minute}, "a", "b", "c", "d")
		for n := range 3 {
			guards[n].RecordCrash("fp", Crash{Target: fmt.Sprint("t", n)})
		}
		exchangeAll(guards)
		trials := 0
		for began := time.Now(); time.Since(began) < 24*time.Hour; time.Sleep(10 * time.Second) {
			trying := admitted(guards, "fp")
			for n, g := range trying {
				trials++
				g.RecordCrash("fp", Crash{Target: fmt.Sprint("trial ", trials, n)})
			}
			if len(trying) > 1 {
				t.Fatalf("%d trials at once", len(trying))
			}
			exchangeAll(guards)
		}
		if trials < 1 || trials > 3 {
			t.Errorf("%d trials within a day", trials)
		}
		time.Sleep(DefaultTrialInterval)
		trying := admitted(guards, "fp")
		if len(trying) != 1 {
			t.Fatalf("%d trials, want 1", len(trying))
		}
		trying[0].RecordSuccess("fp", true)
		exchangeAll(guards)
		for _, g := range guards {
			if g.Suspected("fp") {
				t.Errorf("%s: still suspected after a successful trial", g.opts.Self)
			}
		}
	})
}

// Guards against a refusal that an attempt lifts which began before the last crash.
func TestSuccessOtherThanATrialLiftsNoRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Options{Limit: 3})
		for n := range 3 {
			g.RecordCrash("fp", Crash{Target: fmt.Sprint("t", n)})
		}
		g.RecordSuccess("fp", false)
		if !g.Refused("fp") {
			t.Error("lifted")
		}
	})
}

// Guards against the refusal of a request that many callers send: several targets crash at
// once, or again and again, while some of them run it, and it is answered in between.
func TestCrashesAtOnceCountOnceForARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Options{Limit: 3, TTL: time.Minute})
		for round := range 5 {
			sent := time.Now()
			time.Sleep(100 * time.Millisecond)
			for n := range 4 {
				g.RecordCrash("fp", Crash{Target: fmt.Sprint("t", round, n), Sent: sent})
				time.Sleep(time.Millisecond)
			}
			if g.Refused("fp") {
				t.Fatalf("refused after round %d", round)
			}
			g.RecordSuccess("fp", false)
			time.Sleep(time.Second)
		}
	})
}
