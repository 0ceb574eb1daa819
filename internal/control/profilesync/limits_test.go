package profilesync_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/control/limits"
	"lynxhill.example/lynxhill/internal/control/profilesync"
	"lynxhill.example/lynxhill/internal/gossip"
)

type noUse struct{}

func (noUse) Usage() []gossip.Usage { return nil }

// Guards against limits reaching instances without a watch only half a minute
// late, and against each instance reading them from the store itself. The objects
// under limits/ are distributed with the configuration, so all instances follow
// within seconds without calls other than those of the watchers.
func TestLimitsReachAllAtNoCallsOfTheirOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8, profilesync.Options{})
		defer f.stop()
		f.settle()
		f.putLimit(10)
		controllers := f.runLimits()
		hold := func(rate float64) func() bool {
			return func() bool {
				for _, c := range controllers {
					if all := c.Limits(); len(all) != 1 || all[0].RatePerSecond != rate {
						return false
					}
				}
				return true
			}
		}
		f.until(10*time.Second, "all have the limit", hold(10))
		time.Sleep(30 * time.Second)
		before := f.store.Counts().Total()
		f.putLimit(50)
		took := f.until(8*time.Second, "all have the new limit", hold(50))
		calls := f.store.Counts().Total() - before
		t.Logf("all have the new limit after %v", took)
		// The profiles are watched by 8 instances, with one call a second each;
		// the other prefixes every 10 s; the instance list is refreshed every 30 s.
		if limit := 8 + uint64(took/time.Second+1)*12; calls > limit {
			t.Errorf("%d calls, more than %d", calls, limit)
		}
	})
}

func (f *fleet) putLimit(rate int) {
	f.t.Helper()
	old, _ := f.store.Get(context.Background(), "limits/acme")
	value := fmt.Appendf(nil, `{"rate_per_second":%d}`, rate)
	if _, err := f.store.Put(context.Background(), "limits/acme", value, old.Version); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) runLimits() (all []*limits.Controller) {
	for _, n := range f.nodes {
		c := limits.New(limits.Options{Board: n.board, Admitter: noUse{}, Self: n.id, Clock: f.clock})
		ctx, cancel := context.WithCancel(context.Background())
		stop := n.stop
		n.stop = func() { stop(); cancel() }
		f.wg.Go(func() { c.Run(ctx) })
		all = append(all, c)
	}
	return all
}
