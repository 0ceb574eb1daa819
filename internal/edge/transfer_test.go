package edge

import (
	"testing"
	"time"
)

// maxTransferTime is the time after a common start within which all instances have to know
// all targets.
const maxTransferTime = 3 * time.Second

// Guards against a fleet that serves nothing for half a minute after a common start: each
// instance reads thousands of targets from the store, or waits for sources that serve too
// many others. All instances start at once, and later half of them again.
func TestManyTargetsReachAFleetThatStarts(t *testing.T) {
	const n, targets, pages = 58, 4000, 8
	runFleetWithTargets(t, n, targets, func(*testFleet) {}, func(f *testFleet) {
		complete := func(m *member) bool { return m.serving() && m.routes.Targets().Len() == targets }
		started := f.until(10*time.Second, "all serve", complete)
		time.Sleep(10 * time.Second)
		lists := f.calls()["list targets"]
		half := f.all[:n/2]
		for i := range half {
			f.restart(i)
		}
		restarted := f.until(10*time.Second, "all serve again", complete)
		time.Sleep(10 * time.Second)
		again := f.calls()["list targets"] - f.callsOf(f.all[n/2:])["list targets"]
		t.Logf("%d instances, %d targets: all serve after %v, after a start of half of them %v; pages read from the store: %d, then %d",
			n, targets, started, restarted, lists, again)
		if started > maxTransferTime || restarted > maxTransferTime {
			t.Errorf("all serve after %v and %v, want %v at most", started, restarted, maxTransferTime)
		}
		// A page each, and the others by the seeds and the first eight in rank.
		if most := int64(n + (3+8)*pages); lists > most {
			t.Errorf("%d pages of targets read at the start, want %d at most", lists, most)
		}
		if most := int64(n/2 + (3+8)*pages); again > most {
			t.Errorf("%d pages of targets read by those that started again, want %d at most", again, most)
		}
	})
}
