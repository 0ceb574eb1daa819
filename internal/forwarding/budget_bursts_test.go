package forwarding

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/coder/quartz"
)

// Guards against retries in excess of the bound when the last window contains two
// bursts of requests but each window that the bound considers contains only one.
func TestBudgetBoundAfterBursts(t *testing.T) {
	const window, step, windows, instances, baseRequests = 10 * time.Second, 100 * time.Millisecond, 8, 4, 4
	for seed := range uint64(100) {
		clock, source := quartz.NewMock(t).WithLogger(quartz.NoOpLogger), rand.New(rand.NewPCG(seed, 41))
		began := clock.Now()
		budgets := make([]*RetryBudget, instances)
		for i := range budgets {
			budgets[i] = NewRetryBudget(RetryBudgetOptions{Ratio: 0.2, Extra: 56, Window: window, Clock: clock, Instances: func() int { return instances }})
		}
		var requests, repeats []int
		nextBurst, burstEnd, failuresStart := window, time.Duration(0), time.Duration(0)
		for at := time.Duration(0); at < windows*window; at += step {
			clock.Set(began.Add(at))
			arrived := baseRequests
			if at >= nextBurst {
				burstEnd = at + time.Duration(200+source.IntN(4000))*time.Millisecond
				nextBurst = burstEnd + time.Duration(2000+source.IntN(8000))*time.Millisecond
				failuresStart = at + time.Duration(source.IntN(3000))*time.Millisecond
			}
			if at < burstEnd {
				arrived *= 12
			}
			for range arrived {
				budgets[source.IntN(instances)].Request("s")
			}
			spent := 0
			if at >= failuresStart && at < failuresStart+4*time.Second {
				for _, b := range budgets {
					for b.Spend("s") {
						spent++
					}
				}
			}
			requests, repeats = append(requests, arrived), append(repeats, spent)
		}
		if over := maxExcess(requests, repeats, int(window/step), 0.2, 56); over > 0 {
			t.Errorf("seed %d: %.1f retries more than allowed in some window", seed, over)
		}
	}
}
