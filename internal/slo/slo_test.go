package slo

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

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
		Zone:       "lac-a",
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
			{ScopeProfile, "check"}, {ScopeOrganisation, "agency"}, {ScopeZone, "lac-a"},
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

func TestOldCountsLeaveTheWindows(t *testing.T) {
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
			t.Fatalf("short burn %v after ten minutes without requests", row.BurnShort)
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

// Guards against a late answer being attributed to the longest stage instead
// of the one that exceeded its mean duration: a reranker that usually takes
// 10 ms took 400 ms, and the report named generation, which took its usual
// 500 ms.
func TestLateAnswerIsAttributedToTheSlowedStage(t *testing.T) {
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

// Guards against memory that grows with the number of organisations: 19,000
// organisations sent a few requests each, and each kept a row. Organisations
// with many requests or misses must keep their rows, and every request must be
// counted.
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

// Guards against a report without the one organisation whose requests failed:
// it sent two requests, hundreds of others sent more, and only the
// organisations with the most requests kept their rows.
func TestTrimKeepsOrganisationsWithMisses(t *testing.T) {
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

// Guards against memory that grows while a broken client invents profile names:
// each name got a row with all its rings.
func TestUnknownProfilesShareOneRow(t *testing.T) {
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

func TestSeriesStartsWithOneSecondSteps(t *testing.T) {
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
