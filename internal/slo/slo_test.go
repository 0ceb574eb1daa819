package slo

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/pipeline"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

func newTracker(instance string) *Tracker {
	return New(Options{
		Clock:      quartz.NewReal(),
		Objectives: func(string) float64 { return 0.9 },
		Instance:   instance,
		Place:      "lac-a",
		Metrics:    metrics.NewRegistry(),
	})
}

func answered(profile, organisation string, total time.Duration) Sample {
	return Sample{Profile: profile, Organisation: organisation, Attained: true, Total: total}
}

func failed(profile, organisation string, kind errkind.Kind) Sample {
	return Sample{Profile: profile, Organisation: organisation, Err: errkind.New(kind, "x"), Total: time.Second}
}

func rowNamed(t *testing.T, report lynxapi.BurnReport, scope, name string) lynxapi.BurnRow {
	t.Helper()
	for _, row := range report.Rows {
		if row.Scope == scope && row.Name == name {
			return row
		}
	}
	t.Fatalf("no row %s %s", scope, name)
	return lynxapi.BurnRow{}
}

func near(t *testing.T, what string, got, want, share float64) {
	t.Helper()
	if math.Abs(got-want) > share*math.Abs(want)+1e-9 {
		t.Fatalf("%s is %v, want %v", what, got, want)
	}
}

func TestAttainmentBudgetAndQuantiles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker("a")
		for i := range 95 {
			tracker.Observe(answered("check", "agency", time.Duration(i+1)*time.Millisecond))
		}
		for range 5 {
			tracker.Observe(failed("check", "agency", errkind.TargetFailed))
		}
		tracker.Observe(failed("check", "agency", errkind.BadRequest))
		report := tracker.Local(0)
		if len(report.Causes) != 1 || report.Causes[0].ErrorKind != "target_failed" {
			t.Fatalf("causes %+v", report.Causes)
		}
		for _, scope := range []struct{ scope, name string }{
			{ScopeProfile, "check"}, {ScopeOrganisation, "agency"}, {ScopePlace, "lac-a"},
		} {
			row := rowNamed(t, report, scope.scope, scope.name)
			if row.Total != 100 || row.Attained != 95 || row.Excluded != 1 {
				t.Fatalf("%s: %+v", scope.scope, row)
			}
			near(t, "objective", row.Objective, 0.9, 0.001)
			near(t, "budget left", row.BudgetLeft, 0.5, 0.001)
			near(t, "burn", row.BurnShort, 0.5, 0.001)
			near(t, "p95", row.P95MS, 90, 0.03)
		}
	})
}

func TestWindowsForget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker("a")
		for range 10 {
			tracker.Observe(failed("check", "agency", errkind.TargetFailed))
		}
		time.Sleep(10 * time.Minute)
		for range 10 {
			tracker.Observe(answered("check", "agency", time.Second))
		}
		row := rowNamed(t, tracker.Local(0), ScopeProfile, "check")
		if row.BurnShort != 0 {
			t.Fatalf("short burn %v after ten quiet minutes", row.BurnShort)
		}
		near(t, "long burn", row.BurnLong, 5, 0.001)
		if recent := rowNamed(t, tracker.Local(time.Minute), ScopeProfile, "check"); recent.Total != 10 {
			t.Fatalf("the last minute has %d requests", recent.Total)
		}
		time.Sleep(62 * time.Minute)
		if row := rowNamed(t, tracker.Local(0), ScopeProfile, "check"); row.Total != 0 || row.Attainment != 1 {
			t.Fatalf("after an hour: %+v", row)
		}
	})
}

// Symptom: the report blamed generation for late answers while a reranker
// stood still. Events: the reranker, usually 10 ms, took 400 ms; generation
// took its usual 500 ms. Cause: the longest stage was blamed instead of the
// one that took longer than it usually does.
func TestLateAnswerBlamesTheStageBeyondItsUsual(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker("a")
		stages := func(rerank time.Duration) []pipeline.StageReport {
			return []pipeline.StageReport{
				{Stage: "rerank", Provider: "old", Target: "rr-1", Attempts: 1, Duration: rerank, Cost: 1},
				{Stage: "draft", Provider: "new", Target: "gpu-1", Attempts: 1, Duration: 500 * time.Millisecond, Cost: 9, Wasted: 2, Tokens: 40},
			}
		}
		for range 20 {
			s := answered("check", "agency", 510*time.Millisecond)
			s.Stages = stages(10 * time.Millisecond)
			tracker.Observe(s)
		}
		late := Sample{Profile: "check", Organisation: "agency", Total: 900 * time.Millisecond, Stages: stages(400 * time.Millisecond)}
		tracker.Observe(late)
		broken := failed("check", "agency", errkind.StreamBroken)
		broken.Stages = stages(10 * time.Millisecond)
		broken.Stages[0].Err = errors.New("cut")
		broken.Stages[1].Duration = 2 * time.Second
		tracker.Observe(broken)
		report := tracker.Local(0)
		want := []lynxapi.BurnCause{
			{Profile: "check", Stage: "rerank", Target: "rr-1", ErrorKind: CauseLate, Count: 1},
			{Profile: "check", Stage: "rerank", Target: "rr-1", ErrorKind: "stream_broken", Count: 1},
		}
		if !reflect.DeepEqual(report.Causes, want) {
			t.Fatalf("causes %+v", report.Causes)
		}
		draft := report.Costs[0]
		if draft.Stage != "draft" || draft.Calls != 22 || draft.Cost != 198 || draft.Wasted != 44 || draft.Tokens != 880 {
			t.Fatalf("cost %+v", draft)
		}
	})
}

// Symptom: an instance's memory grew with the number of organisations.
// Events: 19,000 organisations sent a few requests each. Cause: each kept a
// row. The heavy and the failing ones must stay, and nothing may go uncounted.
func TestManyOrganisationsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const organisations = 19000
		tracker := newTracker("a")
		var total uint64
		for i := range organisations {
			tracker.Observe(answered("check", fmt.Sprintf("org-%d", i), time.Second))
			total++
			if i%50 == 0 {
				tracker.Observe(answered("check", "large", time.Second))
				tracker.Observe(failed("check", "failing", errkind.NoTarget))
				total += 2
			}
		}
		rows := 0
		for i := range tracker.organisations {
			rows += len(tracker.organisations[i].byName)
		}
		if rows > 2*DefaultMaxOrganisations {
			t.Fatalf("%d organisations kept", rows)
		}
		report := tracker.Local(0)
		if row := rowNamed(t, report, ScopeOrganisation, "large"); row.Total != organisations/50 {
			t.Fatalf("large: %d", row.Total)
		}
		if row := rowNamed(t, report, ScopeOrganisation, "failing"); row.Attained != 0 || row.Total != organisations/50 {
			t.Fatalf("failing: %+v", row)
		}
		var sum uint64
		for _, row := range report.Rows {
			if row.Scope == ScopeOrganisation {
				sum += row.Total
			}
		}
		if sum != total {
			t.Fatalf("rows add up to %d of %d", sum, total)
		}
	})
}

// Symptom: the one organisation whose requests failed was missing from the
// report. Events: it sent two requests, and hundreds of others sent more.
// Cause: the table kept those with the most requests only.
func TestTrimKeepsTheFailing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker("a")
		for range 2 {
			tracker.Observe(failed("check", "failing", errkind.NoTarget))
		}
		for i := range 20 * DefaultMaxOrganisations {
			for range 5 {
				tracker.Observe(answered("check", fmt.Sprintf("org-%d", i), time.Second))
			}
		}
		if row := rowNamed(t, tracker.Local(0), ScopeOrganisation, "failing"); row.Total != 2 {
			t.Fatalf("%+v", row)
		}
	})
}

// Symptom: memory grew while a broken client made up profile names. Cause: each
// name got a row with all its rings.
func TestMadeUpProfilesShareOneRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker("a")
		for i := range 5000 {
			tracker.Observe(failed(fmt.Sprintf("made-up-%d", i), "agency", errkind.UnknownProfile))
		}
		report := tracker.Local(0)
		if row := rowNamed(t, report, ScopeProfile, NameUnknown); row.Excluded != 5000 || row.Total != 0 {
			t.Fatalf("%+v", row)
		}
		if len(report.Series) != 1 {
			t.Fatalf("%d profiles", len(report.Series))
		}
	})
}

// step is one generated request.
type step struct {
	instance int
	sample   Sample
}

// randomSteps makes requests of few names, so that rows meet in the merge.
func randomSteps(seed uint64, count int) []step {
	rng := rand.New(rand.NewPCG(seed, 1))
	steps := make([]step, count)
	for i := range steps {
		s := answered(fmt.Sprintf("p%d", rng.IntN(3)), fmt.Sprintf("o%d", rng.IntN(6)), time.Duration(1+rng.IntN(5000))*time.Millisecond)
		s.Place = fmt.Sprintf("place-%d", rng.IntN(2))
		s.FirstToken = s.Total / 4
		s.Stages = []pipeline.StageReport{{Stage: "draft", Provider: "old", Target: "t", Attempts: 1, Cost: 2, Tokens: 3, Duration: s.Total}}
		if rng.IntN(5) == 0 {
			s.Attained = false
		}
		if rng.IntN(5) == 0 {
			s.Attained, s.Err = false, errkind.New(errkind.NoTarget, "x")
		}
		steps[i] = step{instance: rng.IntN(3), sample: s}
	}
	return steps
}

// comparable strips a report of what says who reported, and rounds floats whose
// last bits depend on the order of addition.
func comparable(r lynxapi.BurnReport) lynxapi.BurnReport {
	r.Instance, r.Instances = "", 0
	for i := range r.Rows {
		row := &r.Rows[i]
		row.LatencySketch, row.FirstSketch = nil, nil
		for _, f := range []*float64{&row.Objective, &row.Attainment, &row.BudgetLeft, &row.BurnShort, &row.BurnLong,
			&row.Allowed, &row.Short.Allowed, &row.Long.Allowed, &row.P50MS, &row.P95MS, &row.P99MS, &row.FirstP95MS} {
			*f = math.Round(*f*1e6) / 1e6
		}
	}
	for i := range r.Costs {
		r.Costs[i].MeanMS = math.Round(r.Costs[i].MeanMS*1e6) / 1e6
	}
	return r
}

func TestMergeProperties(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(11)
	parameters.MinSuccessfulTests = 40
	properties := gopter.NewProperties(parameters)
	reportsOf := func(seed uint64, count int) (whole lynxapi.BurnReport, parts []lynxapi.BurnReport) {
		one := newTracker("one")
		three := []*Tracker{newTracker("a"), newTracker("b"), newTracker("c")}
		for _, s := range randomSteps(seed, count) {
			one.Observe(s.sample)
			three[s.instance].Observe(s.sample)
			time.Sleep(7 * time.Second)
		}
		for _, tracker := range three {
			parts = append(parts, tracker.Local(0))
		}
		return one.Local(0), parts
	}
	inBubble := func(check func(seed uint64, count int) bool) func(uint64, int) bool {
		return func(seed uint64, count int) (ok bool) {
			synctest.Test(t, func(*testing.T) { ok = check(seed, count) })
			return ok
		}
	}
	properties.Property("the parts merged equal the whole", prop.ForAll(inBubble(func(seed uint64, count int) bool {
		whole, parts := reportsOf(seed, count)
		merged := Merge(parts)
		return merged.Instances == 3 && reflect.DeepEqual(comparable(merged), comparable(Merge([]lynxapi.BurnReport{whole})))
	}), gen.UInt64(), gen.IntRange(1, 120)))
	properties.Property("the order and grouping of merges do not matter", prop.ForAll(inBubble(func(seed uint64, count int) bool {
		_, p := reportsOf(seed, count)
		left := Merge([]lynxapi.BurnReport{Merge([]lynxapi.BurnReport{p[0], p[1]}), p[2]})
		right := Merge([]lynxapi.BurnReport{p[2], Merge([]lynxapi.BurnReport{p[1], p[0]})})
		return reflect.DeepEqual(comparable(left), comparable(right))
	}), gen.UInt64(), gen.IntRange(1, 120)))
	properties.TestingRun(t)
}

func TestSeriesBySecondWhileYoung(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker("a")
		for range 20 {
			tracker.Observe(answered("check", "agency", time.Second))
			time.Sleep(time.Second)
		}
		young := tracker.Local(0).Series[0]
		if young.StepS != 1 || len(young.Points) != 20 {
			t.Fatalf("young: step %v, %d points", young.StepS, len(young.Points))
		}
		time.Sleep(10 * time.Minute)
		old := tracker.Local(0).Series[0]
		if old.StepS != 60 || len(old.Points) > 2 {
			t.Fatalf("old: step %v, %d points", old.StepS, len(old.Points))
		}
		a, b := lynxapi.BurnReport{Series: []lynxapi.BurnSeries{young}}, lynxapi.BurnReport{Series: []lynxapi.BurnSeries{old}}
		for _, parts := range [][]lynxapi.BurnReport{{a, b}, {b, a}} {
			merged := Merge(parts).Series[0]
			var total uint64
			for _, p := range merged.Points {
				total += p.Total
			}
			if merged.StepS != 60 || total != 40 || len(merged.Points) > 2 {
				t.Fatalf("merged: step %v, total %d, %d points", merged.StepS, total, len(merged.Points))
			}
		}
	})
}

func TestDamagedSketchCostsOnlyItsQuantiles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker("a")
		tracker.Observe(answered("check", "agency", time.Second))
		report := tracker.Local(0)
		for i := range report.Rows {
			report.Rows[i].LatencySketch = []byte{1, 2, 3}
		}
		row := rowNamed(t, Merge([]lynxapi.BurnReport{report, tracker.Local(0)}), ScopeProfile, "check")
		if row.Total != 2 || row.P50MS == 0 {
			t.Fatalf("%+v", row)
		}
	})
}
