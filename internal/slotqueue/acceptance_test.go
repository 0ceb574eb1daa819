package slotqueue

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a queue that sends requests to targets that are slow at the moment:
// reading load reports as they come gave 0.833 at 420 requests a second.
func TestShareOnTimeWithTargetsThatTurnSlow(t *testing.T) {
	for _, rate := range []float64{117, 330, 420} {
		for _, instances := range []int{8, 112, 300} {
			t.Run(fmt.Sprintf("%v requests/s, %d instances", rate, instances), func(t *testing.T) {
				t.Parallel()
				all := tally{}
				for seed := range uint64(3) {
					synctest.Test(t, func(t *testing.T) {
						w := newWorld(seed, instances, time.Millisecond)
						w.slowPeriods(2.5, 600*time.Millisecond, 7, 30*time.Second)
						w.load(rate, 20*time.Second, nil)
						time.Sleep(25 * time.Second)
						r := w.tally("")
						t.Logf("seed %d: %.4f %+v", seed, r.share(), *r)
						all.all += r.all
						all.onTime += r.onTime
					})
				}
				if all.share() < 0.985 {
					t.Errorf("%.4f of %d requests on time, want 0.985", all.share(), all.all)
				}
			})
		}
	}
}
