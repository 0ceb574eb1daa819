package stages

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/stagework"
)

func options(seed uint64) Options {
	return Options{Seed: seed, Load: 1.5, Length: 16 * time.Second, Instances: 3, LoseDispatcherAt: 7 * time.Second}
}

// Symptom, if not: a policy looks better than it is. Events: a target works on
// two calls at once, holds more than fits, or a request ends twice or never.
// Cause: the model gives away what a real target refuses.
func TestTheModelKeepsItsRules(t *testing.T) {
	for _, v := range Variants() {
		o := options(1)
		o.Policy, o.Length = v.Policy, 9*time.Second
		d := newDay(o)
		for d.step() {
			for _, s := range d.servers {
				if s.working > s.limits.Slots || s.used() > s.limits.ResultMemory {
					t.Fatalf("%s: %s has %d calls and %d bytes", v.Name, s.target.ID, s.working, s.used())
				}
			}
			for _, e := range d.engines {
				if len(e.running) > engineLimits.Slots || e.tokens > keptTokens {
					t.Fatalf("%s: %s has %d requests and %d tokens", v.Name, e.target.ID, len(e.running), e.tokens)
				}
			}
		}
		r := d.result()
		if ends := r.OnTime + r.Late + r.Refused + r.Left; ends != r.Requests || r.Requests != len(d.requests) || r.ThrownAway < 0 {
			t.Errorf("%s: %d of %d requests ended: %+v", v.Name, ends, len(d.requests), r)
		}
		for _, e := range d.engines {
			if len(e.running)+len(e.waiting) > 0 {
				t.Errorf("%s: %s has %d requests at the end", v.Name, e.target.ID, len(e.running)+len(e.waiting))
			}
		}
	}
}

// Symptom: two runs of one seed differ, so that a difference of policies cannot
// be told from chance. Cause: the order of a map, or of goroutines.
func TestASeedGivesTheSameTable(t *testing.T) {
	print := func() string {
		all, err := RunAll(context.Background(), options(5), 2, Variants())
		if err != nil {
			t.Fatal(err)
		}
		var b bytes.Buffer
		if err := Table(&b, all); err != nil {
			t.Fatal(err)
		}
		return b.String()
	}
	if first, second := print(), print(); first != second {
		t.Errorf("first\n%s\nthen\n%s", first, second)
	}
}

// Each switch shows in the figure that its policy is for. Symptom, if not: a
// baseline is measured that is no other than the kept policy.
func TestEachBaselineLacksItsPolicy(t *testing.T) {
	for _, c := range []struct {
		name   string
		figure func(Result) float64
		factor float64 // of the kept policy's figure, at least
	}{
		{"no-forecast", func(r Result) float64 { return float64(r.Late) }, 1.5},
		{"any-place", func(r Result) float64 { return float64(r.Moved) }, 1.2},
		{"least-loaded", func(r Result) float64 { return float64(r.ReadAgain) }, 2},
		{"each-by-itself", func(r Result) float64 { return float64(r.Full) }, 10},
		{"no-early-refusal", func(r Result) float64 { return float64(r.RefusedAfter) }, 1.5},
	} {
		variants, err := Choose([]string{c.name})
		if err != nil {
			t.Fatal(err)
		}
		all, err := RunAll(context.Background(), options(1), 3, variants)
		if err != nil {
			t.Fatal(err)
		}
		kept, other := mean(all[0].Results, column{value: c.figure}), mean(all[1].Results, column{value: c.figure})
		if other < c.factor*kept || other == 0 {
			t.Errorf("%s: %.0f, and %.0f with the kept policy", c.name, other, kept)
		}
	}
}

// documents returns a stepper for two cutting targets, and hands it a job for
// each list of results that were made before.
func documents(t *testing.T, policy stagework.Policy, made ...[]stagework.ResultRef) *stagework.Stepper {
	s := stagework.NewStepper(policy, func(string, []string) {})
	s.SetTargets(table(), fleet.NewView(1, []fleet.Target{at(cutService, 0), at(cutService, 1), at(lookService, 0), at(modelName, 0)}))
	for n, m := range made {
		job := stagework.Job{
			ID: fmt.Sprint(n), Service: modelName, OnTimeUntil: begin.Add(20 * time.Second), Deadline: begin.Add(time.Minute),
			Stages: documentStages, Pieces: []int{8, 1}, Results: m,
		}
		if _, refusal := s.Submit(job, func(stagework.Placement, *stagework.Refusal) {}, nil, begin); refusal != nil {
			t.Fatalf("%+v", refusal)
		}
	}
	return s
}

// cut plans, has all pieces made, and returns how many were cut.
func cut(s *stagework.Stepper) (pieces int) {
	for _, c := range s.Calls(begin) {
		var results []relay.PieceResult
		for n := range c.Pieces {
			results = append(results, relay.PieceResult{Handle: fmt.Sprint(c.Pieces[n])})
		}
		if c.Target.Service == cutService {
			pieces += len(results)
			c.Finished(results, false, begin)
		}
	}
	return pieces
}

// Symptom: after a dispatcher was lost, what was made is made again. The kept
// policy has the six pieces made that are missing, the baseline all eight.
func TestResultsAreTakenOver(t *testing.T) {
	made := []stagework.ResultRef{{Number: 0, Target: "cut-0", Handle: "x"}, {Number: 1, Target: "cut-0", Handle: "y"}}
	if kept, other := cut(documents(t, stagework.Policy{}, made)), cut(documents(t, stagework.Policy{NoTakeover: true}, made)); kept != 6 || other != 8 {
		t.Errorf("%d pieces, and %d without takeover; want 6 and 8", kept, other)
	}
}

// Symptom: targets are full of results of half-made requests. Both have room for
// four requests' results, less one result each; the fourth request has to wait,
// but not in the baseline.
func TestRoomIsSetAside(t *testing.T) {
	for _, c := range []struct {
		policy stagework.Policy
		want   int
	}{{stagework.Policy{}, 24}, {stagework.Policy{NoRoom: true}, 30}} {
		s := documents(t, c.policy, nil, nil, nil, nil)
		if n := cut(s) + cut(s) + cut(s); n != c.want {
			t.Errorf("%+v: %d pieces, want %d", c.policy, n, c.want)
		}
	}
}

func TestNamesOfPolicies(t *testing.T) {
	all := stagework.Policy{}
	names := make([]string, 0, len(Variants()))
	for _, v := range Variants() {
		names = append(names, v.Name)
		all = all.With(v.Policy)
	}
	chosen, err := Choose([]string{Kept, strings.Join(names, joint)})
	want := stagework.Policy{
		NoForecast: true, NoRoom: true, AnyZone: true, LeastLoaded: true,
		NoTakeover: true, EachByItself: true, NoEarlyRefusal: true, NoMargin: true,
		MixedCalls: true, NoRoomWait: true, NoLookahead: true, NoGathering: true,
	}
	if err != nil || len(chosen) != 2 || chosen[1].Policy != want || all != want {
		t.Errorf("%+v %v", chosen, err)
	}
	if _, err := Choose([]string{"any-place+best"}); !errors.Is(err, UnknownPolicyError{"best"}) {
		t.Errorf("%v", err)
	}
}
