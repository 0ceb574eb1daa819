package slo

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/pipeline"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// step is one generated request.
type step struct {
	instance int
	sample   Sample
}

// randomSteps generates requests with few distinct names, so that Merge has rows
// with the same name to combine.
func randomSteps(seed uint64, count int) []step {
	rng := rand.New(rand.NewPCG(seed, 1))
	steps := make([]step, count)
	for i := range steps {
		s := answered(fmt.Sprintf("p%d", rng.IntN(3)), fmt.Sprintf("o%d", rng.IntN(6)), time.Duration(1+rng.IntN(5000))*time.Millisecond)
		s.Zone = fmt.Sprintf("place-%d", rng.IntN(2))
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

// withoutReporter clears the fields that identify the reporting instances and
// the encoded sketches, and rounds floats whose last bits depend on the order
// of addition.
func withoutReporter(r lynxapi.BurnReport) lynxapi.BurnReport {
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
	properties.Property("merging the parts equals the whole", prop.ForAll(inBubble(func(seed uint64, count int) bool {
		whole, parts := reportsOf(seed, count)
		merged := Merge(parts)
		return merged.Instances == 3 && reflect.DeepEqual(withoutReporter(merged), withoutReporter(Merge([]lynxapi.BurnReport{whole})))
	}), gen.UInt64(), gen.IntRange(1, 120)))
	properties.Property("the order and grouping of merges do not matter", prop.ForAll(inBubble(func(seed uint64, count int) bool {
		_, p := reportsOf(seed, count)
		left := Merge([]lynxapi.BurnReport{Merge([]lynxapi.BurnReport{p[0], p[1]}), p[2]})
		right := Merge([]lynxapi.BurnReport{p[2], Merge([]lynxapi.BurnReport{p[1], p[0]})})
		return reflect.DeepEqual(withoutReporter(left), withoutReporter(right))
	}), gen.UInt64(), gen.IntRange(1, 120)))
	properties.TestingRun(t)
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
