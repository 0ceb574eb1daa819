package edge

import (
	"slices"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/store/memstore"
)

const (
	extraPerInstance  = 12                     // extra retries
	repeatWindow      = 10 * time.Second       // default retry window
	repeatInterval    = 200 * time.Millisecond // between attempts to retry
	partitionDuration = 35 * time.Second       // observed time after the partition begins
)

// maxRepeats makes all serving instances use all retries that they are allowed during partitionDuration. It returns the
// maximum within any window and the total. It calls beforeStep with the elapsed time before each step.
func (f *testFleet) maxRepeats(beforeStep func(elapsed time.Duration)) (most, total int) {
	var steps []int
	for elapsed := time.Duration(0); elapsed < partitionDuration; elapsed += repeatInterval {
		beforeStep(elapsed)
		time.Sleep(repeatInterval)
		n := 0
		for _, m := range f.all {
			for m.serving() && m.budget.Spend("s") {
				n++
			}
		}
		steps = append(steps, n)
	}
	width := int(repeatWindow / repeatInterval)
	for from, n := range steps {
		total += n
		sum := 0
		for _, n := range steps[from:min(from+width, len(steps))] {
			sum += n
		}
		most = max(most, sum)
	}
	return most, total
}

// Guards against more retries than operators allow when instances restart during a partition.
func TestRepeatsKeepToTheBoundInAPartition(t *testing.T) {
	threeRestarts := []time.Duration{time.Second, 4 * time.Second, 9 * time.Second}
	for name, c := range map[string]struct {
		restarts  []time.Duration // times at which all instances restart
		groups, n int
		outage    time.Duration // of the store, from the start of the partition
	}{
		"halves":                               {groups: 2, n: 8},
		"halves, one restart":                  {groups: 2, n: 8, restarts: threeRestarts[:1]},
		"halves, three restarts":               {groups: 2, n: 8, restarts: threeRestarts},
		"four groups, one restart":             {groups: 4, n: 8, restarts: threeRestarts[:1]},
		"halves, one restart, store outage":    {groups: 2, n: 8, restarts: threeRestarts[:1], outage: 5 * time.Second},
		"halves, three restarts, store outage": {groups: 2, n: 78, restarts: threeRestarts, outage: 5 * time.Second},
	} {
		runFleet(t, c.n, func(f *testFleet) {
			f.extra = float64(extraPerInstance * c.n)
			for i := range c.n {
				f.restart(i) // applies f.extra
			}
			time.Sleep(20 * time.Second)
			f.partition(func(i int) int { return i * c.groups / c.n })
			f.store.SetFaults(memstore.Faults{Outage: c.outage > 0})
			most, total := f.maxRepeats(func(elapsed time.Duration) {
				if elapsed >= c.outage {
					f.store.SetFaults(memstore.Faults{})
				}
				if slices.Contains(c.restarts, elapsed) {
					for i := range c.n {
						f.restart(i)
					}
				}
			})
			if bound := extraPerInstance * c.n; most > bound || total < bound/2 {
				t.Errorf("%d instances, %s: %d retries within a window, %d allowed; %d in total", c.n, name, most, bound, total)
			}
		})
	}
}

// Guards against exceeding the request rate of a cold target when instances restart during a partition.
func TestSharesOfAColdTargetKeepToTheBoundInAPartition(t *testing.T) {
	const rate = 16.0 // requests a second
	for _, n := range []int{8, 58} {
		runFleet(t, n, func(f *testFleet) {
			time.Sleep(20 * time.Second)
			f.partition(func(i int) int { return i * 2 / n })
			time.Sleep(time.Second)
			for i := range n {
				f.restart(i)
			}
			time.Sleep(15 * time.Second)
			sum := 0
			for _, m := range f.all {
				sum += m.cold.Share(m.id(), "a", rate)
			}
			if sum > rate || sum == 0 {
				t.Errorf("%d instances: %d requests a second, %v allowed", n, sum, rate)
			}
		})
	}
}
