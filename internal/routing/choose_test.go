package routing

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

var start = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)

// fixedView is a LocalView with fixed rows by target ID.
type fixedView map[string]LocalState

func (v fixedView) Local(id string, _ board.Load, _ bool) LocalState { return v[id] }

func newBoard(n int, zones ...string) *board.Board {
	b := board.New()
	for i := range n {
		id := fmt.Sprintf("t%03d", i)
		zone := zones[i%len(zones)]
		b.Targets.Put(id, board.Target{ID: id, Service: "pool", Kind: profile.KindGenerate, Zone: zone, Region: "r" + zone[:1]})
		putLoad(b, id, 0, start)
	}
	return b
}

func putLoad(b *board.Board, id string, running int, at time.Time, models ...targetapi.LoadedModel) {
	report := targetapi.LoadReport{Target: id, Running: running, Slots: 8, MeanMS: 100, Models: models}
	b.Loads.Put(id, board.Load{Report: report, At: at, Received: at})
}

func newChooser(b *board.Board) *Chooser {
	return &Chooser{Board: b, Index: NewIndex(b), Zone: "a1", Region: "ra", Tuning: DefaultTuning()}
}

func newPick(view LocalView) ChooseParams {
	return ChooseParams{
		Query:    &Query{Stage: profile.Stage{Name: "draft", Kind: profile.KindGenerate}},
		Provider: profile.Provider{Name: "p", Service: "pool"},
		Policy:   PolicyTwoChoices,
		Now:      start,
		View:     view,
		Rand:     rand.New(rand.NewPCG(1, 2)),
	}
}

func counts(c *Chooser, p ChooseParams, n int) map[string]int {
	got := make(map[string]int)
	for range n {
		if choice, verdict := c.Choose(p); verdict == Chosen {
			got[choice.Target.ID]++
		}
		p.Turn++
	}
	return got
}

func TestChooseLeavesOut(t *testing.T) {
	model := func(name string, ready bool) targetapi.LoadedModel {
		return targetapi.LoadedModel{Model: name, Version: "2", Adapters: []string{"fr"}, Ready: ready}
	}
	for _, policy := range Policies() {
		b := newBoard(10, "a1")
		putLoad(b, "t000", 0, start, model("m", false)) // loading
		putLoad(b, "t001", 0, start, model("other", true))
		putLoad(b, "t009", 0, start, model("m", true))
		b.Targets.Update("t002", func(old board.Target, _ bool) (board.Target, bool) {
			old.Leaving = true
			return old, true
		})
		b.Drains.Put("target/t003", board.Drain{})
		b.Targets.Update("t004", func(old board.Target, _ bool) (board.Target, bool) {
			old.Kind = profile.KindEncode
			return old, true
		})
		b.Loads.Put("t005", board.Load{Report: targetapi.LoadReport{Target: "t005", Leaving: true}, At: start})
		view := fixedView{"t006": {Full: true}, "t007": {Ejected: true}}
		p := newPick(view)
		p.Policy = policy
		p.Provider = profile.Provider{Name: "p", Service: "pool", Model: "m", Version: "2", Adapter: "fr"}
		p.Query.Exclude = []string{"t008"}
		got := counts(newChooser(b), p, 50)
		if len(got) != 1 || got["t009"] != 50 {
			t.Errorf("%s: chose %v, want t009 only", policy, got)
		}
	}
}

func TestChooseVerdicts(t *testing.T) {
	b := newBoard(2, "a1")
	c := newChooser(b)
	if _, v := c.Choose(newPick(fixedView{"t000": {Full: true}, "t001": {Full: true}})); v != AllFull {
		t.Errorf("full targets: verdict %d, want AllFull", v)
	}
	if _, v := c.Choose(newPick(fixedView{"t000": {Ejected: true}, "t001": {Ejected: true}})); v != Chosen {
		t.Errorf("all ejected: verdict %d, want Chosen", v)
	}
	if _, v := c.Choose(newPick(fixedView{"t000": {Ejected: true}, "t001": {Full: true}})); v != AllFull {
		t.Errorf("one ejected, one full: verdict %d, want AllFull", v)
	}
	p := newPick(fixedView{})
	p.Provider.Service = "none"
	if _, v := c.Choose(p); v != NoCandidate {
		t.Errorf("no service: verdict %d, want NoCandidate", v)
	}
}

// If the choice checked only the models and not the provider of an engine, then
// with two providers in one service and the same model ready on both, calls of
// provider "old" would run on engines of "new" and their costs would be
// attributed to the wrong provider.
func TestTargetsServeTheirProvider(t *testing.T) {
	owners := map[string]string{"t000": "old", "t001": "new", "t002": ""}
	tests := []struct {
		provider string
		want     []string
	}{
		{"old", []string{"t000", "t002"}},
		{"new", []string{"t001", "t002"}},
		{"other", []string{"t002"}},
		{profile.DefaultProviderName, []string{"t000", "t001", "t002"}},
		{"", []string{"t000", "t001", "t002"}},
	}
	for _, policy := range Policies() {
		for _, test := range tests {
			b := newBoard(3, "a1")
			for id, owner := range owners {
				b.Targets.Update(id, func(old board.Target, _ bool) (board.Target, bool) {
					old.Provider = owner
					return old, true
				})
			}
			p := newPick(fixedView{})
			p.Policy, p.Provider.Name = policy, test.provider
			got := counts(newChooser(b), p, 200)
			if keys := slices.Sorted(maps.Keys(got)); !slices.Equal(keys, test.want) {
				t.Errorf("%s: provider %q was served by %v, want %v", policy, test.provider, keys, test.want)
			}
		}
	}
}

func TestIndexFollowsTheBoard(t *testing.T) {
	b := newBoard(3, "a1")
	x := NewIndex(b)
	if n := len(x.Service("pool").All); n != 3 {
		t.Fatalf("%d targets, want 3", n)
	}
	b.Drains.Put("target/t001", board.Drain{})
	if n := len(x.Service("pool").All); n != 2 {
		t.Errorf("after a drain %d targets, want 2", n)
	}
	b.Drains.Put("place/a1", board.Drain{})
	if n := len(x.Service("pool").All); n != 2 {
		t.Errorf("the drain of a zone removed targets: %d, want 2", n)
	}
	b.Targets.Delete("t000")
	if n := len(x.Service("pool").All); n != 1 {
		t.Errorf("after a delete %d targets, want 1", n)
	}
	b.Drains.Put("targets-in/b1", board.Drain{})
	if n := len(x.Service("pool").All); n != 1 {
		t.Errorf("the evacuation of another zone removed targets: %d, want 1", n)
	}
	b.Drains.Put("targets-in/a1", board.Drain{})
	if x.Service("pool") != nil && len(x.Service("pool").All) != 0 {
		t.Errorf("after the zone's evacuation %d targets, want none", len(x.Service("pool").All))
	}
	b.Drains.Delete("targets-in/a1")
	if n := len(x.Service("pool").All); n != 1 {
		t.Errorf("after the end of the evacuation %d targets, want 1", n)
	}
}

func TestZoneFirst(t *testing.T) {
	b := newBoard(12, "a1", "a2", "b1")
	p := newPick(fixedView{})
	got := counts(newChooser(b), p, 300)
	sameZone := 0
	for id, n := range got {
		target, _ := b.Targets.Get(id)
		if target.Region != "ra" {
			t.Errorf("%s of another region was chosen %d times", id, n)
		}
		if target.Zone == "a1" {
			sameZone += n
		}
	}
	if sameZone < 290 {
		t.Errorf("%d of 300 in the same zone, want nearly all while it is idle", sameZone)
	}
	view := fixedView{}
	for id, target := range b.Targets.Snapshot() {
		if target.Region == "ra" {
			view[id] = LocalState{Full: true}
		}
	}
	if got = counts(newChooser(b), newPick(view), 100); len(got) != 4 {
		t.Errorf("with a full region %d targets were chosen, want the 4 of the other", len(got))
	}
}

// An old report must not attract the calls of all instances. If the age of a
// report were ignored, the target whose old report shows the lowest load would
// get far more than its share until its next report.
func TestOutstandingAges(t *testing.T) {
	load := board.Load{Report: targetapi.LoadReport{Running: 0, Slots: 8}}
	mean := ServiceMean{PerSlot: 0.75}
	tuning := DefaultTuning()
	fresh, _ := tuning.outstanding(load, 0, 8, 100*time.Millisecond, mean, LocalState{})
	old, _ := tuning.outstanding(load, time.Second, 8, 100*time.Millisecond, mean, LocalState{})
	if fresh != 0 || old < 5.9 {
		t.Errorf("outstanding %g fresh and %g after ten service times, want 0 and about 6", fresh, old)
	}
	sent, _ := tuning.outstanding(load, time.Second, 8, 100*time.Millisecond, mean, LocalState{InFlight: 3, SentSinceReport: 3})
	if sent != old+3 {
		t.Errorf("outstanding %g with three sent since, want %g", sent, old+3)
	}
}

func TestPrefixAffinity(t *testing.T) {
	b := newBoard(12, "a1")
	c := newChooser(b)
	p := newPick(fixedView{})
	p.Query.Prefix = "shared system prompt"
	got := counts(c, p, 50)
	if len(got) != 1 {
		t.Fatalf("a prefix went to %d targets, want 1", len(got))
	}
	var first string
	for first = range got {
	}
	p.View = fixedView{first: {Full: true}}
	if got = counts(c, p, 50); len(got) != 1 || got[first] != 0 {
		t.Errorf("with the preferred target full: %v, want one other", got)
	}
	var second string
	for second = range got {
	}
	p.View = fixedView{}
	b.Prefixes.Put(second, board.PrefixSet{Hashes: map[string]struct{}{PrefixHash(p.Query.Prefix): {}}})
	if got = counts(c, p, 50); got[second] != 50 {
		t.Errorf("with the prefix cached at %s: %v", second, got)
	}
	putLoad(b, second, 8, start)
	if got = counts(c, p, 50); got[second] != 0 {
		t.Errorf("a preferred target with all slots in use was chosen %d times", got[second])
	}
}

// Engines write hashes with leading zeros. A hash without them would not match
// the cache events of one prefix in sixteen.
func TestPrefixHashHasLeadingZeros(t *testing.T) {
	for i := range 100 {
		if hash := PrefixHash(fmt.Sprintf("prefix %d", i)); len(hash) != 16 {
			t.Errorf("hash %q of %d digits, want 16", hash, len(hash))
		}
	}
}

func TestPoliciesUseAllTargets(t *testing.T) {
	for _, policy := range Policies() {
		p := newPick(fixedView{})
		p.Policy = policy
		got := counts(newChooser(newBoard(12, "a1")), p, 1200)
		if len(got) != 12 {
			t.Errorf("%s used %d of 12 equal targets", policy, len(got))
		}
	}
}
