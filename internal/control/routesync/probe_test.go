package routesync

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/store"
)

// Guards against reporting a slow store as lost, and against not reporting one that
// does not answer.
func TestStoreLostFollowsProbeResults(t *testing.T) {
	for _, c := range []struct {
		name          string
		latency       time.Duration // of a probe
		err           error         // returned to a probe
		answersOthers bool          // answers other calls
		lost          bool
	}{
		{"answers", 4 * time.Millisecond, nil, false, false},
		{"has no such object", 4 * time.Millisecond, store.ErrNotFound, false, false},
		{"answers slowly", 600 * time.Millisecond, nil, false, false},
		{"throttles probes", 4 * time.Millisecond, store.ErrThrottled, false, true},
		{"does not answer", time.Hour, nil, false, true},
		{"answers other calls only", time.Hour, nil, true, false},
	} {
		inWorld(t, func(w *world) {
			n := w.start("a", true)
			n.o.ProbeKey = "instances/a"
			n.link.set(func() {
				n.link.get = func(ctx context.Context) error {
					if err := waitUnanswered(ctx, c.latency); err != nil {
						return err
					}
					return c.err
				}
			})
			go n.runProbes(w.t.Context())
			for range 40 {
				time.Sleep(100 * time.Millisecond)
				if c.answersOthers {
					n.storeAnswered(TargetsPrefix, n.o.Boot.SinceBoot())
				}
			}
			if got := n.StoreLost(); got != c.lost {
				t.Errorf("a store that %s: lost %v", c.name, got)
			}
		})
	}
}

// Guards against unnecessary probes of a store that has just answered another call.
func TestNoProbesWhileTheStoreAnswersOtherCalls(t *testing.T) {
	for _, c := range []struct {
		every      time.Duration // between answers to other calls
		least, end int           // probes in 10 s: least <= n < end
	}{
		{500 * time.Millisecond, 0, 1},
		{time.Hour, 9, 12},
		{3 * time.Second, 5, 9},
	} {
		inWorld(t, func(w *world) {
			n := w.start("a", true)
			n.o.ProbeKey = "instances/a"
			probes := 0
			n.link.set(func() {
				n.link.get = func(context.Context) error { probes++; return nil }
			})
			n.storeAnswered(TargetsPrefix, n.o.Boot.SinceBoot())
			go n.runProbes(w.t.Context())
			for at := time.Duration(0); at < 10*time.Second; at += 100 * time.Millisecond {
				time.Sleep(100 * time.Millisecond)
				if (at+100*time.Millisecond)%c.every == 0 {
					n.storeAnswered(TargetsPrefix, n.o.Boot.SinceBoot())
				}
			}
			synctest.Wait()
			if probes < c.least || probes >= c.end {
				t.Errorf("an answer every %v: %d probes in 10 s, want %d to %d", c.every, probes, c.least, c.end-1)
			}
		})
	}
}
