package crashguard

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/gossip"
	"lynxhill.example/lynxhill/internal/stagecall"
)

const plenty = 1 << 20

func newGuard(alive bool) *Guard {
	return New(Options{
		Clock: quartz.NewReal(),
		Alive: func(context.Context, stagecall.Target) bool { return alive },
	})
}

func exchange(from, to *Guard) {
	var digest gossip.Digest
	from.Fill(&digest, "", plenty)
	to.Absorb(digest)
}

// Symptom: target after target dies, and the caller resends under new keys.
// Events: the request runs at two instances, and a target dies at each.
// Cause: each instance alone saw one death, which might be chance.
func TestRefusedEverywhereAfterTwoDeaths(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, c := newGuard(false), newGuard(false), newGuard(false)
		fp := Fingerprint("draft", []byte(`{"poison":1}`))
		a.Broke(t.Context(), fp, stagecall.Target{ID: "t1"})
		b.Broke(t.Context(), fp, stagecall.Target{ID: "t2"})
		if a.Refused(fp) || b.Refused(fp) {
			t.Fatal("refused after one death")
		}
		exchange(a, b)
		exchange(b, c)
		exchange(c, a)
		if !a.Refused(fp) || !b.Refused(fp) || !c.Refused(fp) {
			t.Error("not refused everywhere")
		}
		if a.Refused(Fingerprint("draft", []byte(`{"poison":2}`))) {
			t.Error("another input is refused")
		}
	})
}

// Symptom: a harmless request is refused.
// Events: the same target dies twice under it, or only connections break.
// Cause: counting breaks, or the same target twice, instead of distinct deaths.
func TestCountsDistinctDeathsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		alive := newGuard(true)
		for i := range 5 {
			alive.Broke(t.Context(), "fp", stagecall.Target{ID: fmt.Sprint(i)})
		}
		if alive.Suspect("fp") {
			t.Error("broken connections counted as deaths")
		}
		g := newGuard(false)
		g.TargetDied("fp", "t1")
		g.TargetDied("fp", "t1")
		if g.Refused("fp") || !g.Suspect("fp") {
			t.Error("one target counted twice, or not at all")
		}
	})
}

// Symptom: a refusal never ends though the engines were repaired.
// Events: instances pass a row round; each would extend it on receipt.
// Cause: a row that lives on its own echo.
func TestRefusalExpiresDespiteGossip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newGuard(false), newGuard(false)
		a.TargetDied("fp", "t1")
		a.TargetDied("fp", "t2")
		for end := time.Now().Add(2 * DefaultKeep); time.Now().Before(end); time.Sleep(time.Second) {
			exchange(a, b)
			exchange(b, a)
		}
		if a.Refused("fp") || b.Refused("fp") {
			t.Error("still refused after twice the time to keep")
		}
	})
}

// Symptom: an innocent request is refused with the guilty one.
// Events: both ran on a target that died, met again on the next, which died.
// Cause: suspected requests that share a target cannot be told apart.
func TestSuspectsAreKeptApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuard(false)
		g.TargetDied("guilty", "t1")
		g.TargetDied("innocent", "t1")
		end := g.Begin("guilty", "t2")
		if got := g.Occupied("innocent"); len(got) != 1 || got[0] != "t2" {
			t.Errorf("occupied: %v", got)
		}
		if got := g.Occupied("guilty"); len(got) != 0 {
			t.Errorf("occupied by itself: %v", got)
		}
		end()
		if got := g.Occupied("innocent"); len(got) != 0 {
			t.Errorf("still occupied: %v", got)
		}
		g.Survived("innocent")
		if g.Suspect("innocent") {
			t.Error("still suspected after it was answered")
		}
	})
}

// Symptom: as above. Events: a target with many requests died, so that there are more suspects than targets; one of them
// killed a second target. Cause: if none can be kept apart from all, nobody is kept from the one that is worst.
func TestApartFromTheWorst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, listed := New(Options{Limit: 3, Clock: quartz.NewReal()}), []string{"t1", "t2", "t3", "t4"}
		for _, fp := range []string{"guilty", "a", "b", "c"} {
			g.TargetDied(fp, "t1")
		}
		steps := []struct {
			begin, at string
			want      []string // that "a" is kept off afterwards
		}{
			{"b", "t2", []string{"t2", "t1"}}, {"c", "t3", []string{"t2", "t3", "t1"}}, {"guilty", "t4", []string{"t1"}},
		}
		for _, s := range steps {
			g.Begin(s.begin, s.at)
			if got := g.Apart("a", listed); !slices.Equal(got, s.want) {
				t.Errorf("after %s began at %s: kept off %v", s.begin, s.at, got)
			}
		}
		g.TargetDied("guilty", "t5")
		if got := g.Apart("a", listed); !slices.Equal(got, []string{"t4", "t1"}) || g.Apart("fresh", listed) != nil {
			t.Errorf("after the second death: kept off %v", got)
		}
	})
}

func TestDigestKeepsItsBudgetAndGetsRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newGuard(false), newGuard(false)
		for i := range 50 {
			a.TargetDied(fmt.Sprintf("fp-%02d", i), "t")
		}
		for range 60 {
			var digest gossip.Digest
			if used := a.Fill(&digest, "", 100); used > 100 {
				t.Fatalf("used %d bytes", used)
			}
			b.Absorb(digest)
		}
		if got := b.opts.Board.Refused.Len(); got != 50 {
			t.Errorf("%d of 50 rows got round", got)
		}
	})
}
