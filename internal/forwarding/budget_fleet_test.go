package forwarding

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/control/rendezvous"
)

// Guards against a fleet with more instances than extra retries that never sends a failed
// request once more: each instance has less than one retry. Failures are spread over all
// instances, at half a request a second each, as in a deployment of 985 instances.
func TestFleetLargerThanItsExtraRetries(t *testing.T) {
	const extra, ratio, window = 1040, 0.2, 10 * time.Second
	for _, n := range []int{985, 2000} {
		synctest.Test(t, func(t *testing.T) {
			ids := make([]string, n)
			for i := range ids {
				ids[i] = fmt.Sprintf("i-%04d", i)
			}
			budgets := make([]*RetryBudget, n)
			for i, id := range ids {
				budgets[i] = NewRetryBudget(RetryBudgetOptions{
					Ratio: ratio, Extra: extra, Window: window, Clock: quartz.NewReal(), Instances: func() int { return n },
					Rank: func(service string) int { return rendezvous.Position(service, id, ids) },
				})
			}
			spend := func() (spent int) {
				for _, b := range budgets {
					for b.Spend("s") {
						spent++
					}
				}
				return spent
			}
			const steps = 10 // a window
			var spent []int
			highest := func() (highest int) {
				for i := range spent {
					highest = max(highest, sum(spent[max(0, i-steps+1):i+1]))
				}
				return highest
			}
			for time.Sleep(window / steps); time.Since(budgets[0].startedAt) < window+joinDelay; time.Sleep(window / steps) {
				spent = append(spent, spend())
			}
			starting := highest()
			spent = append(spent, spend())
			time.Sleep(3 * window)
			later := spend()
			t.Logf("%d instances: %d retries in a window while they start, %d with the first after that, %d in a later one", n, starting, highest(), later)
			if most := int(extra * joiningExtraShare); starting > most || highest() > extra {
				t.Errorf("%d instances: %d and %d retries in a window, want %d and %d at most", n, starting, highest(), most, extra)
			}
			if most := int(extra * extraShare); later > most || later < most/2 {
				t.Errorf("%d instances: %d retries in a window, want %d to %d", n, later, most/2, most)
			}
		})
	}
}
