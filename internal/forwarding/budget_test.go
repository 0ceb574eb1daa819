package forwarding

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/coder/quartz"
)

// counted is what happened at a moment, over all instances.
type counted struct {
	at       time.Duration
	repeated bool
}

// mostOver returns by how much the worst window of any position goes over what is allowed: the share of its
// requests, or of those of the window before it or half a window before it, and the extra.
func mostOver(all []counted, window time.Duration, ratio, extra float64) (worst float64) {
	within := func(from time.Duration, repeated bool) float64 {
		n := 0
		for _, c := range all {
			if c.repeated == repeated && c.at >= from && c.at < from+window {
				n++
			}
		}
		return float64(n)
	}
	worst = -extra
	for _, c := range all {
		if !c.repeated {
			continue
		}
		requests := max(within(c.at, false), within(c.at-window/2, false), within(c.at-window, false))
		worst = max(worst, within(c.at, true)-ratio*requests-extra)
	}
	return worst
}

// TestBudgetNeverOver.
//
// Symptom: a service that is short of capacity gets more repeats than operators allow. Events: requests come in
// bursts, each instance repeats what it can. Cause: what was spent is forgotten before a whole window has passed
// since, or the instances' parts are more than the whole.
func TestBudgetNeverOver(t *testing.T) {
	const window, ratio, extra, instances = time.Second, 0.2, 12.0, 3
	patterns := map[string]func(source *rand.Rand, at time.Duration) (requests, tries int){
		"even":   func(source *rand.Rand, _ time.Duration) (int, int) { return source.IntN(3), 3 },
		"bursts": func(source *rand.Rand, at time.Duration) (int, int) { return 8 * int(at/window%2), source.IntN(9) },
		"none":   func(*rand.Rand, time.Duration) (int, int) { return 0, 5 },
		"a window apart": func(_ *rand.Rand, at time.Duration) (int, int) { // just before and after an edge
			phase := at % (900 * time.Millisecond)
			if phase < 20*time.Millisecond || phase > 880*time.Millisecond {
				return 0, 20
			}
			return 0, 0
		},
	}
	for name, pattern := range patterns {
		t.Run(name, func(t *testing.T) {
			clock, source := quartz.NewMock(t).WithLogger(quartz.NoOpLogger), rand.New(rand.NewPCG(31, 37))
			clock.Set(time.Unix(1000, 0))
			var budgets []*Budget
			for range instances {
				budgets = append(budgets, NewBudget(BudgetOptions{Ratio: ratio, Extra: extra, Window: window, Instances: func() int { return instances }, Clock: clock}))
			}
			var all []counted
			spent := 0
			for at := time.Duration(0); at < 6*window; at += 10 * time.Millisecond {
				requests, tries := pattern(source, at)
				for range requests {
					budgets[source.IntN(instances)].Request("s")
					all = append(all, counted{at, false})
				}
				for range tries {
					if budgets[source.IntN(instances)].Spend("s") {
						all = append(all, counted{at, true})
						spent++
					}
				}
				clock.Set(time.Unix(1000, 0).Add(at + 10*time.Millisecond))
			}
			if over := mostOver(all, window, ratio, extra); over > 0 {
				t.Errorf("%.1f repeats more than allowed in some window", over)
			}
			if spent < int(extra) {
				t.Errorf("only %d repeats in all", spent)
			}
		})
	}
}

// TestBudgetShares: an instance alone may use nearly all of the extra, services have budgets of their own, and a
// spent budget is there again later.
func TestBudgetShares(t *testing.T) {
	clock := quartz.NewMock(t).WithLogger(quartz.NoOpLogger)
	instances := 1
	b := NewBudget(BudgetOptions{Extra: 20, Window: time.Second, Instances: func() int { return instances }, Clock: clock})
	spend := func(service string) (n int) {
		for n < 100 && b.Spend(service) {
			n++
		}
		return n
	}
	alone := spend("s")
	if alone < 10 || alone > 20 {
		t.Errorf("%d of 20 alone", alone)
	}
	instances = 4
	if among := spend("other"); among < 2 || among > 5 {
		t.Errorf("%d of 20 among four", among)
	}
	instances = 0 // nobody is known yet: the budget is this instance's own
	if got := spend("third"); got != alone {
		t.Errorf("%d instead of %d", got, alone)
	}
	clock.Set(clock.Now().Add(1500 * time.Millisecond))
	instances = 1
	if again := spend("s"); again != alone {
		t.Errorf("%d after the window, %d at first", again, alone)
	}
}
