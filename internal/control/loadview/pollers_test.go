package loadview

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/gossip"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

func boardOf(instances, targets int) *board.Board {
	b := board.New()
	for i := range instances {
		id := fmt.Sprintf("i-%02d", i)
		b.Members.Put(id, board.Member{ID: id, State: board.MemberAlive, Zone: fmt.Sprint("p-", i%4), Region: "tunis"})
	}
	for i := range targets {
		id := fmt.Sprintf("t-%02d", i)
		b.Targets.Put(id, board.Target{ID: id, Zone: fmt.Sprint("p-", i%4), Region: "tunis"})
	}
	return b
}

// pollersOf returns how many of the instances poll each target.
func pollersOf(b *board.Board, instances, pollers int) map[string]int {
	counts := make(map[string]int)
	for i := range instances {
		id := fmt.Sprintf("i-%02d", i)
		m, _ := b.Members.Get(id)
		if m.State != board.MemberAlive {
			continue
		}
		f := fleetOf(b, id, m.Zone, m.Region)
		for target, t := range b.Targets.Snapshot() {
			if f.isPoller(id, t, pollers) {
				counts[target]++
			}
		}
	}
	return counts
}

// Guards against targets whose load no instance polls after instances were lost:
// instances die one after another, in the end all of a zone, and the pollers were
// chosen only once or only within the zone.
func TestEveryTargetKeepsItsPollers(t *testing.T) {
	b := boardOf(16, 40)
	for _, dead := range []int{-1, 0, 4, 8, 12, 1, 5, 9} {
		if dead >= 0 {
			id := fmt.Sprintf("i-%02d", dead)
			m, _ := b.Members.Get(id)
			m.State = board.MemberDead
			b.Members.Put(id, m)
		}
		counts := pollersOf(b, 16, 2)
		for target := range b.Targets.Snapshot() {
			if counts[target] != 2 {
				t.Errorf("after the loss of %d: %s is polled by %d instances, want 2", dead, target, counts[target])
			}
		}
	}
}

// engineCaller simulates an engine that loses some of its cache events and is
// restarted.
type engineCaller struct {
	stagecall.Caller

	mu          sync.Mutex // guards all below
	seq, events uint64
	down        bool
}

func (e *engineCaller) set(down bool, seq, events uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down, e.seq, e.events = down, seq, events
}

func (e *engineCaller) Load(context.Context, stagecall.Target) (targetapi.LoadReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return targetapi.LoadReport{}, &stagecall.Failure{Class: stagecall.ClassConnect}
	}
	e.seq++
	return targetapi.LoadReport{Seq: e.seq, AtMS: time.Now().UnixMilli(), Leaving: true}, nil
}

func (e *engineCaller) CacheEvents(_ context.Context, _ stagecall.Target, after uint64) ([]targetapi.CacheEvent, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var events []targetapi.CacheEvent
	for seq := after + 1; seq <= e.events; seq++ {
		events = append(events, targetapi.CacheEvent{Seq: seq, Prefix: fmt.Sprintf("%x", seq)})
	}
	return events, nil
}

// Guards against an engine's prefix cache staying unknown after its restart: the
// engine numbers its events from 1 again, while the poller still requests those
// after the old number.
func TestPrefixesAreRelearnedAfterEngineRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := board.New()
		b.Targets.Put("e", board.Target{ID: "e", Kind: profile.KindGenerate})
		engine := &engineCaller{events: 5000}
		c := New(Options{Caller: engine, Board: b, Clock: quartz.NewReal(), Rand: rand.New(rand.NewPCG(1, 1)), Self: "i-0"})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			c.Run(ctx)
		}()
		time.Sleep(30 * time.Second)
		if set, _ := b.Prefixes.Get("e"); set.Seq != 5000 || len(set.Hashes) != DefaultMaxPrefixes {
			t.Fatalf("before the restart: number %d, %d prefixes", set.Seq, len(set.Hashes))
		}
		engine.set(true, 100, 5000)
		time.Sleep(20 * time.Second)
		if load, _ := b.Loads.Get("e"); time.Since(load.At) < 19*time.Second {
			t.Errorf("the report of an engine that is down for 20 s is %v old", time.Since(load.At))
		}
		engine.set(false, 0, 3)
		time.Sleep(20 * time.Second)
		set, _ := b.Prefixes.Get("e")
		if set.Seq != 3 || len(set.Hashes) != 3 || set.Gap {
			t.Errorf("after the restart: number %d, %d prefixes, gap %v", set.Seq, len(set.Hashes), set.Gap)
		}
		cancel()
		<-ended
	})
}

func TestDigestsStayWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := boardOf(16, 40)
		c := New(Options{Board: b, Clock: quartz.NewReal(), Self: "i-00", Zone: "p-0", Region: "tunis"})
		for i := range 40 {
			c.Observe(fmt.Sprintf("t-%02d", i), targetapi.LoadReport{Seq: 1, Models: []targetapi.LoadedModel{{Model: "lynx", Version: "v1"}}})
		}
		for budget := range 3000 {
			var d gossip.Digest
			used := c.Fill(&d, "i-01", budget)
			size := 0
			for _, row := range d.Loads {
				size += rowBytes + len(row.Target)
			}
			if used > budget || size > used {
				t.Fatalf("budget %d: Fill returned %d bytes, rows without models have %d", budget, used, size)
			}
		}
	})
}

// Guards against work for a model going to engines that do not have it: an
// engine's models change, and the change is not forwarded because most rows omit
// the models to save bytes.
func TestModelChangesAreGossiped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from, to := controller("i-0"), controller("i-1")
		report := func(seq uint64, models ...targetapi.LoadedModel) {
			from.Observe("t-1", targetapi.LoadReport{Seq: seq, Models: append([]targetapi.LoadedModel{}, models...)})
			sendDigest(from, to, time.Millisecond)
			time.Sleep(time.Second)
		}
		models := func() []targetapi.LoadedModel {
			load, _ := to.opts.Board.Loads.Get("t-1")
			return load.Report.Models
		}
		for seq := range uint64(40) {
			report(seq+1, targetapi.LoadedModel{Model: "lynx", Version: "v1", Ready: true})
		}
		if got := models(); len(got) != 1 || got[0].Version != "v1" {
			t.Fatalf("models %v, want lynx v1", got)
		}
		report(41, targetapi.LoadedModel{Model: "lynx", Version: "v1", Ready: true}, targetapi.LoadedModel{Model: "lynx", Version: "v2"})
		if got := models(); len(got) != 2 || got[1].Ready {
			t.Errorf("models %v after v2 began to load", got)
		}
		from.Observe("t-1", targetapi.LoadReport{Seq: 42}) // a reply without models
		sendDigest(from, to, time.Millisecond)
		if got := models(); len(got) != 2 {
			t.Errorf("models %v after a reply without models", got)
		}
		report(43, []targetapi.LoadedModel{}...)
		if got := models(); got == nil || len(got) != 0 {
			t.Errorf("models %v after all were unloaded", got)
		}
	})
}

// runCaller answers a stage call with a load report.
type runCaller struct{ stagecall.Caller }

func (runCaller) Run(_ context.Context, t stagecall.Target, _ targetapi.RunRequest, _ stagecall.Options, _ func(targetapi.Frame) error) (stagecall.Result, error) {
	return stagecall.Result{Load: &targetapi.LoadReport{Target: t.ID, Seq: 9, Running: 5, AtMS: time.Now().UnixMilli()}}, nil
}

func TestReportsOnRepliesAreMerged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := controller("i-0")
		caller := Observing(runCaller{}, c.Observe)
		if _, err := caller.Run(t.Context(), stagecall.Target{ID: "t-1"}, targetapi.RunRequest{}, stagecall.Options{}, nil); err != nil {
			t.Fatal(err)
		}
		if load, found := c.opts.Board.Loads.Get("t-1"); !found || load.Report.Running != 5 || !load.At.Equal(time.Now()) {
			t.Errorf("load after the reply: %+v", load)
		}
	})
}
