package crashguard

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// crashPieces records the crash of a target under a call that was sent a moment ago.
func crashPieces(g *Guard, organisation, pieceKey, target string) {
	now := time.Now()
	g.RecordCrash(PieceKey(organisation, pieceKey), Crash{Target: target, Sent: now.Add(-100 * time.Millisecond), Broke: now})
}

// Guards against sound requests that are refused because several targets crash at once,
// or because another organisation uses the same piece key, and against the refusal of a
// request that was completed in between.
func TestPieceKeyIsRefusedAfterThreeCrashesInSequence(t *testing.T) {
	for _, c := range []struct {
		name      string
		pause     time.Duration
		completed bool // in between
		refused   bool
	}{
		{"in sequence", time.Second, false, true},
		{"at once", 10 * time.Millisecond, false, false},
		{"completed in between", time.Second, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := New(Options{Limit: 2})
				for n := range 3 {
					if c.completed && n == 2 {
						g.RecordSuccess(PieceKey("o", "k"), false)
					}
					time.Sleep(c.pause)
					crashPieces(g, "o", "k", fmt.Sprint("t", n))
				}
				if got := g.Refused(PieceKey("o", "k")); got != c.refused {
					t.Errorf("refused %v, want %v", got, c.refused)
				}
				if g.Suspected(PieceKey("p", "k")) || g.Suspected(PieceKey("o", "other")) {
					t.Error("another organisation or key is suspected")
				}
			})
		})
	}
}

// Guards against a dispatcher that refuses the trial which another instance admitted, or
// accepts the requests of instances that do not try the key.
func TestTrialIsDueForTheInstanceThatAdmitsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guards := members(t, Options{Limit: 3, FirstTrial: 3 * time.Second, TrialInterval: time.Hour}, "a", "b", "c")
		key := PieceKey("o", "k")
		for n := range 3 {
			time.Sleep(time.Second)
			crashPieces(guards[n%2], "o", "k", fmt.Sprint("t", n))
			exchangeAll(guards)
		}
		if admitting := admitted(guards, key); len(admitting) > 0 || guards[0].TrialDue(key, guards[0].trialOwner(key)) {
			t.Errorf("%d instances admit the key at once", len(admitting))
		}
		time.Sleep(3 * time.Second)
		admitting := admitted(guards, key)
		if len(admitting) != 1 {
			t.Fatalf("%d instances admit a trial", len(admitting))
		}
		for _, g := range guards {
			for _, owner := range guards {
				if due := g.TrialDue(key, owner.opts.Self); due != (owner == admitting[0]) {
					t.Errorf("at %s, a trial of %s is due: %v", g.opts.Self, owner.opts.Self, due)
				}
			}
		}
		guards[0].RecordSuccess(key, true)
		exchangeAll(guards)
		for _, g := range guards {
			if g.Refused(key) {
				t.Errorf("%s refuses the key after the trial", g.opts.Self)
			}
		}
	})
}
