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

// Guards against a request that crashes target after target while its caller
// resends it under new keys. It comes about when the request crashes one target
// at each of two instances, and each instance counts only the crash it saw
// itself, which is below the limit.
func TestRefusedEverywhereAfterTwoDeaths(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, c := newGuard(false), newGuard(false), newGuard(false)
		fp := Fingerprint("draft", []byte(`{"poison":1}`))
		a.AttemptBroke(t.Context(), fp, stagecall.Target{ID: "t1"})
		b.AttemptBroke(t.Context(), fp, stagecall.Target{ID: "t2"})
		if a.Refused(fp) || b.Refused(fp) {
			t.Fatal("refused after one crash")
		}
		exchange(a, b)
		exchange(b, c)
		exchange(c, a)
		if !a.Refused(fp) || !b.Refused(fp) || !c.Refused(fp) {
			t.Error("not refused by all instances")
		}
		if a.Refused(Fingerprint("draft", []byte(`{"poison":2}`))) {
			t.Error("a request with another input is refused")
		}
	})
}

// Guards against the refusal of a harmless request because broken connections,
// or two crashes of the same target, are counted like distinct crashed targets.
func TestCountsDistinctCrashedTargetsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		alive := newGuard(true)
		for i := range 5 {
			alive.AttemptBroke(t.Context(), "fp", stagecall.Target{ID: fmt.Sprint(i)})
		}
		if alive.Suspected("fp") {
			t.Error("broken connections counted as crashes")
		}
		g := newGuard(false)
		g.RecordCrash("fp", Crash{Target: "t1"})
		g.RecordCrash("fp", Crash{Target: "t1"})
		if g.Refused("fp") || !g.Suspected("fp") {
			t.Error("a target that crashed twice was counted twice, or not at all")
		}
	})
}

// Guards against a refusal that never expires although the engines were
// repaired. It comes about when instances gossip a row among each other and each
// extends its expiry on receipt.
func TestRefusalExpiresDespiteGossip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newGuard(false), newGuard(false)
		a.RecordCrash("fp", Crash{Target: "t1"})
		a.RecordCrash("fp", Crash{Target: "t2"})
		for end := time.Now().Add(2 * DefaultRetention); time.Now().Before(end); time.Sleep(time.Second) {
			exchange(a, b)
			exchange(b, a)
		}
		if a.Refused("fp") || b.Refused("fp") {
			t.Error("still refused after twice the retention time")
		}
	})
}

// Guards against the refusal of a harmless request together with the one that
// crashes targets. It comes about when both ran on a target that crashed and run
// together again on the next one: two suspected requests that share a target
// cannot be distinguished when it crashes.
func TestSuspectsAreKeptApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuard(false)
		g.RecordCrash("guilty", Crash{Target: "t1"})
		g.RecordCrash("innocent", Crash{Target: "t1"})
		end := g.Begin("guilty", "t2")
		if got := g.TargetsWithSuspects("innocent"); len(got) != 1 || got[0] != "t2" {
			t.Errorf("occupied for the other suspect: %v, want t2", got)
		}
		if got := g.TargetsWithSuspects("guilty"); len(got) != 0 {
			t.Errorf("occupied for the running request itself: %v, want none", got)
		}
		end()
		if got := g.TargetsWithSuspects("innocent"); len(got) != 0 {
			t.Errorf("still occupied after the attempt ended: %v", got)
		}
		g.RecordSuccess("innocent", false)
		if g.Suspected("innocent") {
			t.Error("still suspected after it was answered")
		}
	})
}

// Guards against the same failure when a target with many requests crashed, so
// that there are more suspected requests than targets, and one request crashed a
// second target. It comes about if a request that cannot avoid all suspected
// requests does not avoid those with the highest crash count either.
func TestSuspectsAvoidThoseWithMostCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, listed := New(Options{Limit: 3, Clock: quartz.NewReal()}), []string{"t1", "t2", "t3", "t4"}
		for _, fp := range []string{"guilty", "a", "b", "c"} {
			g.RecordCrash(fp, Crash{Target: "t1"})
		}
		steps := []struct {
			begin, at string
			want      []string // targets that "a" must avoid afterwards
		}{
			{"b", "t2", []string{"t2", "t1"}}, {"c", "t3", []string{"t2", "t3", "t1"}}, {"guilty", "t4", []string{"t1"}},
		}
		for _, s := range steps {
			g.Begin(s.begin, s.at)
			if got := g.TargetsToAvoid("a", listed); !slices.Equal(got, s.want) {
				t.Errorf("after %s started on %s: avoided targets %v", s.begin, s.at, got)
			}
		}
		g.RecordCrash("guilty", Crash{Target: "t5"})
		if got := g.TargetsToAvoid("a", listed); !slices.Equal(got, []string{"t4", "t1"}) || g.TargetsToAvoid("fresh", listed) != nil {
			t.Errorf("after the second crash: avoided targets %v", got)
		}
	})
}

func TestDigestsStayWithinBudgetAndCoverAllRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newGuard(false), newGuard(false)
		for i := range 50 {
			a.RecordCrash(fmt.Sprintf("fp-%02d", i), Crash{Target: "t"})
		}
		for range 60 {
			var digest gossip.Digest
			if used := a.Fill(&digest, "", 100); used > 100 {
				t.Fatalf("the digest used %d bytes of 100", used)
			}
			b.Absorb(digest)
		}
		if got := b.opts.Board.Refused.Len(); got != 50 {
			t.Errorf("%d of 50 rows were received", got)
		}
	})
}

// Guards against refusals that take up a part of each digest for a day, and against an
// instance that starts and does not get them.
func TestRefusalsAreSentToThoseWhoWantThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known, next := newGuard(false), newGuard(false)
		known.markComplete()
		for i := range 20 {
			for n := range DefaultLimit {
				known.RecordCrash(fmt.Sprintf("fp-%02d", i), Crash{Target: fmt.Sprint("t", n)})
			}
		}
		for range 2 * eagerSends {
			var digest gossip.Digest
			known.Fill(&digest, "other", plenty)
			time.Sleep(time.Second)
		}
		used := 0
		for range 60 {
			var digest gossip.Digest
			used += known.Fill(&digest, "other", plenty)
			time.Sleep(time.Second)
		}
		var ask, answer gossip.Digest
		ask.From = "next"
		next.Fill(&ask, "", plenty)
		known.Absorb(ask)
		known.Fill(&answer, "next", plenty)
		next.Absorb(answer)
		if got := next.opts.Board.Refused.Len(); got != 20 || !next.Complete() || used > 60*20 {
			t.Errorf("%d of 20 rows, complete %v; %d bytes in 60 s to an instance that has them", got, next.Complete(), used)
		}
	})
}
