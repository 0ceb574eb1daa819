package slo

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"
	"github.com/go-kit/log"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/gossip"
)

const largeBudget = 1 << 20

func sendDigest(from, to *Tracker) gossip.Digest {
	digest := gossip.Digest{From: from.instance}
	from.Gossip().Fill(&digest, to.instance, largeBudget)
	to.Gossip().Absorb(digest)
	return digest
}

func TestFleetSumsAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newTracker("a"), newTracker("b")
		for range 30 {
			a.Observe(answered("check", "agency", time.Second))
			b.Observe(failed("check", "agency", errkind.NoTarget))
			time.Sleep(10 * time.Second)
		}
		digest := sendDigest(b, a)
		a.Gossip().Absorb(digest) // a duplicate digest is counted once
		sendDigest(b, a)
		row := a.Fleet()[0]
		if row.Total != 60 || row.Missed != 30 || row.Instances != 2 {
			t.Fatalf("%+v", row)
		}
		near(t, "burn", row.BurnLong, 5, 0.001)
	})
}

func TestFleetDigestHasOnlyNewRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newTracker("a"), newTracker("b")
		for range 30 {
			b.Observe(answered("check", "agency", time.Second))
			time.Sleep(time.Minute)
		}
		if first := sendDigest(b, a); len(first.Burn) != 30 {
			t.Fatalf("first digest has %d rows", len(first.Burn))
		}
		b.Observe(answered("check", "agency", time.Second))
		if second := sendDigest(b, a); len(second.Burn) > 1+repeatedWindows+1 {
			t.Fatalf("second digest has %d rows", len(second.Burn))
		}
		if total := a.Fleet()[0].Total; total != 31 {
			t.Fatalf("total %d", total)
		}
	})
}

func TestFleetDigestKeepsItsBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTracker("b")
		for range 30 {
			b.Observe(answered("check", "agency", time.Second))
			time.Sleep(time.Minute)
		}
		const budget = 100
		var digest gossip.Digest
		used := b.Gossip().Fill(&digest, "a", budget)
		if used > budget || len(digest.Burn) != budget/(burnRowBytes+len("check")) {
			t.Fatalf("used %d with %d rows", used, len(digest.Burn))
		}
	})
}

// Guards against counts of the fleet that fall after an overload: a delayed
// digest arrived after a newer one of the same minute, and the last one to
// arrive was kept instead of the one with the higher count.
func TestLateDigestDoesNotLowerCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTracker("a")
		minute := time.Now().Unix() / 60 * 60
		digest := func(total uint64) gossip.Digest {
			return gossip.Digest{From: "b", Burn: []gossip.Burn{{Profile: "check", Window: minute, Total: total}}}
		}
		a.Gossip().Absorb(digest(9))
		a.Gossip().Absorb(digest(4))
		if total := a.Fleet()[0].Total; total != 9 {
			t.Fatalf("total %d", total)
		}
	})
}

func TestFastBurnIsLoggedOnceAndEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		tracker := New(Options{
			Clock:      quartz.NewReal(),
			Objectives: func(string) float64 { return 0.99 },
			Instance:   "a",
			Logger:     event.NewLogger(log.NewLogfmtLogger(&out)),
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { tracker.Run(ctx); close(done) }()
		for range 60 {
			tracker.Observe(failed("check", "agency", errkind.NoTarget))
		}
		time.Sleep(time.Minute)
		time.Sleep(10 * time.Minute)
		cancel()
		<-done
		if strings.Count(out.String(), "budget_burns_fast") != 1 || strings.Count(out.String(), "budget_burn_ended") != 1 {
			t.Fatalf("log:\n%s", out.String())
		}
	})
}
