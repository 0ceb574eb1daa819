package forwarding

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/coder/quartz"
)

// Guards against counting the same requests at two instances when traffic moves between
// them within a window.
func TestBudgetBoundWhenTrafficMoves(t *testing.T) {
	const window, step, instances, requestsPerStep, maxRepeats, extra = 10 * time.Second, 100 * time.Millisecond, 8, 20, 2, 56.0
	for seed := range uint64(100) {
		clock, source := quartz.NewMock(t).WithLogger(quartz.NoOpLogger), rand.New(rand.NewPCG(seed, 43))
		began := clock.Now()
		newBudget := func() *RetryBudget {
			return NewRetryBudget(RetryBudgetOptions{Ratio: 0.2, Extra: extra, Window: window, Clock: clock, Instances: func() int { return instances }})
		}
		budgets := make([]*RetryBudget, instances)
		for i := range budgets {
			budgets[i] = newBudget()
		}
		failuresStart := 25*time.Second + time.Duration(source.IntN(3000))*time.Millisecond
		failuresEnd := failuresStart + time.Duration(4000+source.IntN(10000))*time.Millisecond
		movesAt := failuresStart + time.Duration(source.IntN(3000))*time.Millisecond
		returnsAt := movesAt + time.Duration(2000+source.IntN(8000))*time.Millisecond
		restart, restarted := source.IntN(2) == 0, false
		movedInstances := 1 + source.IntN(instances-2)
		var requests, repeats []int
		for at := time.Duration(0); at < 60*time.Second; at += step {
			clock.Set(began.Add(at))
			serving := budgets
			if at >= movesAt && at < returnsAt {
				serving = budgets[movedInstances:]
			}
			if at >= returnsAt && restart && !restarted {
				restarted = true
				for i := range movedInstances {
					budgets[i] = newBudget()
				}
			}
			spent := 0
			for range requestsPerStep {
				b := serving[source.IntN(len(serving))]
				b.Request("s")
				for n := 0; n < maxRepeats && at >= failuresStart && at < failuresEnd && b.Spend("s"); n++ {
					spent++
				}
			}
			requests, repeats = append(requests, requestsPerStep), append(repeats, spent)
		}
		if over := maxExcess(requests, repeats, int(window/step), 0.2, extra); over > 0 {
			t.Errorf("seed %d: %.1f retries more than allowed in some window", seed, over)
		}
	}
}
