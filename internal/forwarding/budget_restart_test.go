package forwarding

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/coder/quartz"
)

// restartScenario simulates instances that restart at random and spend all retries they are allowed in each step.
type restartScenario struct {
	window, step time.Duration
	ratio, extra float64
	instances    int
	requests     int     // per step, of all instances together
	restarts     float64 // probability that an instance restarts in a step
	massRestarts float64 // probability that nine tenths of the instances restart in a step
}

// run simulates the given number of windows. It returns by how much the worst window exceeds the bound, and the number
// of all retries.
func (s restartScenario) run(t *testing.T, seed uint64, windows int) (over float64, spent int) {
	t.Helper()
	clock, source := quartz.NewMock(t).WithLogger(quartz.NoOpLogger), rand.New(rand.NewPCG(seed, 35))
	began := clock.Now()
	start := func() *RetryBudget {
		return NewRetryBudget(RetryBudgetOptions{
			Ratio: s.ratio, Extra: s.extra, Window: s.window, Clock: clock, Instances: func() int { return s.instances },
		})
	}
	budgets := make([]*RetryBudget, s.instances)
	for i := range budgets {
		budgets[i] = start()
	}
	steps := windows * int(s.window/s.step)
	requests, repeats := make([]int, steps), make([]int, steps)
	for step := range steps {
		clock.Set(began.Add(time.Duration(step) * s.step))
		share := s.restarts
		if source.Float64() < s.massRestarts {
			share = 0.9
		}
		for i := range budgets {
			if source.Float64() < share {
				budgets[i] = start()
			}
		}
		for range s.requests {
			budgets[source.IntN(len(budgets))].Request("s")
			requests[step]++
		}
		for _, b := range budgets {
			for b.Spend("s") {
				repeats[step]++
				spent++
			}
		}
	}
	return maxExcess(requests, repeats, int(s.window/s.step), s.ratio, s.extra), spent
}

// Guards against instances that spend their extra retries again after each restart within a window.
func TestRestartsDoNotRenewTheExtraRepeats(t *testing.T) {
	base := restartScenario{window: 10 * time.Second, step: 200 * time.Millisecond}
	for _, n := range []int{1, 8, 78, 370} {
		for name, configure := range map[string]func(s *restartScenario){
			"none":                  func(*restartScenario) {},
			"single":                func(s *restartScenario) { s.restarts = 0.01 },
			"frequent":              func(s *restartScenario) { s.restarts = 0.05 },
			"mass":                  func(s *restartScenario) { s.massRestarts = 0.04 },
			"mass, with requests":   func(s *restartScenario) { s.massRestarts, s.ratio, s.requests = 0.04, 0.2, 5*n },
			"single, with requests": func(s *restartScenario) { s.restarts, s.ratio, s.requests = 0.02, 0.2, 5*n },
		} {
			if n > 78 && name != "mass" {
				continue
			}
			s := base
			s.instances, s.extra = n, float64(12*n)
			configure(&s)
			for seed := range uint64(3) {
				over, spent := s.run(t, seed, 6)
				if over > 0 || name == "none" && float64(spent) < 2*s.extra {
					t.Errorf("%d instances, restarts %s, seed %d: worst window %.0f over the bound, %d retries in total", n, name, seed, over, spent)
				}
			}
		}
	}
}

// Guards against the ratio's share of the requests being spent once before a restart and again after it within one
// window, when a fault begins shortly before the restart.
func TestARestartDoesNotRenewTheRatiosShare(t *testing.T) {
	const window, step, steps, ratio, extra = 10 * time.Second, 100 * time.Millisecond, 400, 0.2, 56.0
	for _, restarts := range [][]time.Duration{{14 * time.Second}, {14 * time.Second, 17 * time.Second}, {12 * time.Second, 13 * time.Second, 16 * time.Second, 19 * time.Second}} {
		for _, fault := range []time.Duration{8 * time.Second, 10 * time.Second, 11 * time.Second} {
			clock := quartz.NewMock(t).WithLogger(quartz.NoOpLogger)
			began := clock.Now()
			budgets := make([]*RetryBudget, 7)
			start := func() {
				for i := range budgets {
					budgets[i] = NewRetryBudget(RetryBudgetOptions{Ratio: ratio, Extra: extra, Window: window, Clock: clock, Instances: func() int { return len(budgets) }})
				}
			}
			start()
			clock.Set(began.Add(time.Minute)) // past the first window of every instance
			began = clock.Now()
			requests, repeats := make([]int, steps), make([]int, steps)
			for n := range steps {
				at := time.Duration(n) * step
				clock.Set(began.Add(at))
				if slices.Contains(restarts, at) {
					start()
				}
				for _, b := range budgets {
					b.Request("s")
					requests[n]++
					for at >= fault && b.Spend("s") {
						repeats[n]++
					}
				}
			}
			if over := maxExcess(requests, repeats, int(window/step), ratio, extra); over > 0 {
				t.Errorf("restarts at %v, fault from %v: worst window %.0f over the bound", restarts, fault, over)
			}
		}
	}
}
