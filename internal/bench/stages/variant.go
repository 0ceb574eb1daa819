package stages

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	"lynxhill.example/lynxhill/internal/stagework"
)

// Kept names the policy that instances run.
const Kept = "kept"

// Variant is a policy with the name that it has on the command line.
type Variant struct {
	Name   string
	Policy stagework.Policy
}

// Variants are the kept policy and, for each part of it, the baseline without
// that part.
func Variants() []Variant {
	return []Variant{
		{Kept, stagework.Policy{}},
		{"no-forecast", stagework.Policy{NoForecast: true}},
		{"no-room", stagework.Policy{NoRoom: true}},
		{"any-place", stagework.Policy{AnyZone: true}},
		{"least-loaded", stagework.Policy{LeastLoaded: true}},
		{"no-takeover", stagework.Policy{NoTakeover: true}},
		{"each-by-itself", stagework.Policy{EachByItself: true}},
		{"no-early-refusal", stagework.Policy{NoEarlyRefusal: true}},
		{"no-margin", stagework.Policy{NoMargin: true}},
		{"mixed-calls", stagework.Policy{MixedCalls: true}},
		{"no-room-wait", stagework.Policy{NoRoomWait: true}},
		{"no-lookahead", stagework.Policy{NoLookahead: true}},
		{"no-gathering", stagework.Policy{NoGathering: true}},
	}
}

// UnknownPolicyError is the error of a name that no policy has.
type UnknownPolicyError struct{ Name string }

// Error implements error.
func (e UnknownPolicyError) Error() string {
	var names []string
	for _, v := range Variants() {
		names = append(names, v.Name)
	}
	return fmt.Sprintf("no policy is called %q; there are: %s", e.Name, strings.Join(names, ", "))
}

// Choose returns the kept policy and those named; without names, all. A name
// like "no-forecast+no-room" is of a baseline without either.
func Choose(names []string) ([]Variant, error) {
	all := Variants()
	if len(names) == 0 {
		return all, nil
	}
	chosen := all[:1]
	for _, name := range names {
		v, err := find(all, name)
		if err != nil {
			return nil, err
		}
		if v.Name != Kept {
			chosen = append(chosen[:len(chosen):len(chosen)], v)
		}
	}
	return chosen, nil
}

// find returns the variant of the name, which may be of several, joined by
// joint.
func find(all []Variant, name string) (Variant, error) {
	found := Variant{Name: name}
	for _, part := range strings.Split(name, joint) {
		at := slices.IndexFunc(all, func(v Variant) bool { return v.Name == part })
		if at < 0 {
			return Variant{}, UnknownPolicyError{part}
		}
		found.Policy = found.Policy.With(all[at].Policy)
	}
	return found, nil
}

// joint stands between the names of a variant that lacks several policies.
const joint = "+"

// Runs is a variant's results, one a seed.
type Runs struct {
	Variant
	Results []Result
}

// parallel is how many days are played at once: a day uses one processor.
const parallel = 3

// RunAll plays the day under each variant with seeds from o.Seed on. The order
// in which days are played changes nothing. It ends early with the context's
// error.
func RunAll(ctx context.Context, o Options, seeds int, variants []Variant) ([]Runs, error) {
	all := make([]Runs, len(variants))
	slots := make(chan struct{}, parallel)
	var group sync.WaitGroup
	for k, v := range variants {
		all[k] = Runs{v, make([]Result, seeds)}
		for n := range seeds {
			slots <- struct{}{}
			if ctx.Err() != nil {
				group.Wait()
				return nil, ctx.Err()
			}
			group.Go(func() {
				defer func() { <-slots }()
				day := o
				day.Policy, day.Seed = v.Policy, o.Seed+uint64(n)
				all[k].Results[n] = Run(day)
			})
		}
	}
	group.Wait()
	return all, nil
}
