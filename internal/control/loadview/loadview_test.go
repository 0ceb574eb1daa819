package loadview

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/gossip"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

func controller(self string) *Controller {
	b := board.New()
	for _, id := range []string{"t-1", "t-2"} {
		b.Targets.Put(id, board.Target{ID: id, Zone: "lac-a", Region: "tunis"})
	}
	return New(Options{Board: b, Clock: quartz.NewReal(), Self: self, Zone: "lac-a", Region: "tunis"})
}

// sendDigest sends a digest from one instance to another with a transit delay.
func sendDigest(from, to *Controller, delay time.Duration) gossip.Digest {
	digest := gossip.Digest{From: from.opts.Self}
	from.Fill(&digest, to.opts.Self, 1<<20)
	time.Sleep(delay)
	to.Absorb(digest)
	return digest
}

// Guards against many instances choosing a target that was free seconds ago: a
// report is forwarded through several instances while the target's clock differs
// from theirs by an hour, and a forwarded report counts as being as new as its
// arrival.
func TestGossipedReportsNeverLookNewer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, skew := range []time.Duration{0, time.Hour, -time.Hour} {
			chain := []*Controller{controller("i-0"), controller("i-1"), controller("i-2")}
			chain[0].Observe("t-1", targetapi.LoadReport{Seq: 1, AtMS: time.Now().Add(skew).UnixMilli()})
			trueAt := time.Now()
			for i := range chain[:2] {
				time.Sleep(time.Second)
				sendDigest(chain[i], chain[i+1], 80*time.Millisecond)
			}
			load, found := chain[2].opts.Board.Loads.Get("t-1")
			if !found {
				t.Fatal("the report did not arrive")
			}
			if load.At.After(trueAt) {
				t.Errorf("skew %v: the report looks %v newer than it is", skew, load.At.Sub(trueAt))
			}
			if older := trueAt.Sub(load.At); older > time.Second {
				t.Errorf("skew %v: the report looks %v older than it is", skew, older)
			}
		}
	})
}

func TestLagIncreasesAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := controller("i-0")
		skew := -time.Hour
		c.Observe("t-1", targetapi.LoadReport{Seq: 1, AtMS: time.Now().Add(skew).UnixMilli()})
		time.Sleep(10 * time.Second)
		c.Observe("t-1", targetapi.LoadReport{Seq: 2, AtMS: time.Now().Add(skew - 4*time.Second).UnixMilli()})
		load, _ := c.opts.Board.Loads.Get("t-1")
		if age := time.Since(load.At).Round(time.Millisecond); age != 4*time.Second {
			t.Errorf("age of a report with a lag of 4 s and a wrong clock: %v", age)
		}
	})
}

func TestOlderReportsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := controller("i-0")
		now := time.Now()
		c.mergeReport("t-1", targetapi.LoadReport{Seq: 7, Running: 7}, now, "")
		c.Absorb(gossip.Digest{From: "i-1", Loads: []gossip.Load{{Target: "t-1", Seq: 6, Running: 6}, {Target: "t-1", Seq: 7, Running: 8}}})
		if load, _ := c.opts.Board.Loads.Get("t-1"); load.Report.Running != 7 {
			t.Errorf("an older or equal report replaced the one held: %+v", load)
		}
		time.Sleep(time.Minute) // the target restarts and numbers its reports from 1
		c.Absorb(gossip.Digest{From: "i-1", Loads: []gossip.Load{{Target: "t-1", Seq: 1, Running: 1}}})
		if load, _ := c.opts.Board.Loads.Get("t-1"); load.Report.Running != 1 {
			t.Errorf("the first report after a restart was dropped: %+v", load)
		}
	})
}

func TestCacheEventGaps(t *testing.T) {
	set, gap := applyEvents(board.PrefixSet{}, []targetapi.CacheEvent{{Seq: 1, Prefix: "a"}, {Seq: 2, Prefix: "b"}, {Seq: 3, Prefix: "a", Evicted: true}}, 10)
	if gap || set.Gap || len(set.Hashes) != 1 || set.Seq != 3 {
		t.Fatalf("without loss: %+v, gap %v", set, gap)
	}
	set, gap = applyEvents(set, []targetapi.CacheEvent{{Seq: 5, Prefix: "c"}}, 10)
	if !gap || !set.Gap || len(set.Hashes) != 2 {
		t.Fatalf("after a lost event: %+v, gap %v", set, gap)
	}
	set, _ = applyEvents(set, []targetapi.CacheEvent{{Seq: 1, Prefix: "d"}}, 10)
	if set.Gap || len(set.Hashes) != 1 || set.Seq != 1 {
		t.Fatalf("after the engine's restart: %+v", set)
	}
	var many []targetapi.CacheEvent
	for i := range 20 {
		many = append(many, targetapi.CacheEvent{Seq: uint64(i + 1), Prefix: string(rune('a' + i))})
	}
	if set, _ = applyEvents(board.PrefixSet{}, many, 10); len(set.Hashes) != 10 || !set.Gap {
		t.Fatalf("beyond the limit: %d prefixes, gap %v", len(set.Hashes), set.Gap)
	}
}
