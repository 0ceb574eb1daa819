package orders

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// randomInput returns a planner input with up to eight engines and five model
// versions, generated from a seed.
func randomInput(seed uint64) PlanInput {
	rng := rand.New(rand.NewPCG(seed, 5))
	f := PlanInput{ModelsPerEngine: 1 + rng.IntN(3), Loads: rng.IntN(4), MaxLoading: 1 + rng.IntN(3)}
	versions := randomVersions(rng, &f)
	for i := range 1 + rng.IntN(8) {
		e := Engine{ID: engineID(i), Zone: fmt.Sprint("place-", rng.IntN(3)), Usable: rng.Float64() < 0.85, Slots: 8, Running: rng.IntN(9)}
		for _, v := range versions {
			if rng.Float64() < 0.4 && len(e.Models) < f.ModelsPerEngine {
				e.Models = append(e.Models, targetapi.LoadedModel{Model: v.Model, Version: v.Version, Ready: rng.Float64() < 0.8})
			}
		}
		f.Engines = append(f.Engines, e)
	}
	return f
}

// randomVersions returns model versions, each in force, retained or neither.
func randomVersions(rng *rand.Rand, f *PlanInput) []ModelVersion {
	var versions []ModelVersion
	for i := range 1 + rng.IntN(5) {
		v := ModelVersion{Model: fmt.Sprint("m-", i/2), Version: fmt.Sprint("v", i%2)}
		versions = append(versions, v)
		switch rng.IntN(4) {
		case 0:
			f.Retained = append(f.Retained, v)
		case 1:
		default:
			lowest := 1 + rng.IntN(2)
			f.Wants = append(f.Wants, Want{ModelVersion: v, Min: lowest, Count: lowest + rng.IntN(4)})
		}
	}
	return versions
}

// violationOf returns the rule that the plan violates, or "" if it violates none.
func violationOf(f PlanInput, plan Plan) string {
	usable := make(map[string]bool)
	for _, e := range f.Engines {
		usable[e.ID] = e.Usable
	}
	loads := 0
	for n, step := range plan.Steps {
		if !usable[step.Engine] {
			return "order to an engine that is not usable"
		}
		if loadsWeights(step.Order.Kind) {
			loads++
		}
		state := applyPlan(f.Engines, Plan{Steps: plan.Steps[:n+1]})
		if why := lastReadyTaken(f, state); why != "" {
			return why
		}
	}
	if loads > f.Loads {
		return "more loads than the weight store allows"
	}
	for _, e := range applyPlan(f.Engines, plan) {
		if len(e.Models) > f.ModelsPerEngine {
			return "more models than an engine has room for"
		}
	}
	return ""
}

func lastReadyTaken(f PlanInput, state []Engine) string {
	for _, w := range f.Wants {
		if countReady(f.Engines, w.ModelVersion) > 0 && countReady(state, w.ModelVersion) == 0 {
			return fmt.Sprint("last ready engine taken from ", w.ModelVersion)
		}
	}
	return ""
}

// converge carries out plans until there is nothing to do, and returns the number of
// rounds, or -1 if it does not converge within 200.
func converge(f PlanInput) (PlanInput, int) {
	f.Loads = 100
	for round := range 200 {
		plan := MakePlan(f)
		if len(plan.Steps) == 0 && allReady(f) {
			return f, round
		}
		f.Engines = applyPlan(f.Engines, plan)
		for i := range f.Engines {
			for j := range f.Engines[i].Models {
				f.Engines[i].Models[j].Ready = true
			}
		}
	}
	return f, -1
}

func allReady(f PlanInput) bool {
	for _, e := range f.Engines {
		if e.loading() {
			return false
		}
	}
	return true
}

func TestPlanProperties(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 3000
	properties := gopter.NewProperties(parameters)
	seeds := gen.UInt64()

	properties.Property("keeps the rules after every step", prop.ForAll(func(seed uint64) string {
		f := randomInput(seed)
		return violationOf(f, MakePlan(f))
	}, seeds))

	properties.Property("does not depend on the order of the input", prop.ForAll(func(seed uint64) bool {
		f, g := randomInput(seed), randomInput(seed)
		rand.New(rand.NewPCG(seed, 6)).Shuffle(len(g.Engines), func(i, j int) {
			g.Engines[i], g.Engines[j] = g.Engines[j], g.Engines[i]
		})
		return reflect.DeepEqual(MakePlan(f), MakePlan(g))
	}, seeds))

	properties.Property("converges, with the minimum of each version that has room", prop.ForAll(func(seed uint64) string {
		f, rounds := converge(randomInput(seed))
		if rounds < 0 {
			return "orders without end"
		}
		return unmetMinimum(f)
	}, seeds))
	properties.TestingRun(t)
}

// unmetMinimum describes a want below its minimum although the engines have room
// for the minimums of all wants, or returns "" if there is none.
func unmetMinimum(f PlanInput) string {
	room, usable := 0, 0
	for _, e := range f.Engines {
		if e.Usable {
			usable++
			room += f.ModelsPerEngine
		}
	}
	needed := len(f.Retained) * usable
	for _, w := range f.Wants {
		needed += w.Min
		if w.Min > usable {
			return "" // cannot be met at all
		}
	}
	if needed > room {
		return ""
	}
	for _, w := range f.Wants {
		if countReady(f.Engines, w.ModelVersion) < w.Min {
			return fmt.Sprintf("%v is ready on %d engines, minimum %d", w.ModelVersion, countReady(f.Engines, w.ModelVersion), w.Min)
		}
	}
	return ""
}
