package stagework

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestOperatorsSeeWhoWaitsAndWhoWasRefused guards against figures for operators that differ
// from what the dispatcher decided, in a burst of five times the usual load for 3 s with shares and
// reservations: jobs that are missing or counted twice, refusals on arrival or after
// acceptance that are not counted, and refusals under another rule.
func TestOperatorsSeeWhoWaitsAndWhoWasRefused(t *testing.T) {
	const burst = 3 * time.Second // all requests end within the window of the refusals
	check := zoneKind("check", 1)
	check.rate = 0.4 * billingCapacity() / piecesOfBilling
	withEnv(t, zoneServices(), func(w *testEnv) {
		w.d.SetOverload(Overload{Shares: true, Reservations: true})
		most := 0
		var looks sync.WaitGroup
		looks.Go(func() {
			for range 30 {
				time.Sleep(100 * ms)
				synctest.Wait() // nothing changes between the two looks
				most = max(most, w.checkQueued())
			}
		})
		runShared(w, sharedLoad{[]sharedKind{check}, 5, 0, burst, burst, 0}, 1, 0, burst)
		looks.Wait()
		byRule, refused := make(map[string]int), 0
		for _, r := range w.d.RecentRefusals() {
			byRule[r.Rule] += r.Count
			refused += r.Count
			if r.Service != "lm" || r.Organisation != "one" || r.Route != "check" || !r.Until.After(r.Last) {
				t.Errorf("refusal %+v", r)
			}
		}
		if most == 0 || refused == 0 || refused != w.d.Counts().Refused {
			t.Errorf("at most %d jobs waited; %d refusals, the dispatcher counted %d", most, refused, w.d.Counts().Refused)
		}
		for rule, n := range w.d.ShareCounts().Refused {
			if byRule[rule] != n {
				t.Errorf("%d refusals by rule %s, the dispatcher counted %d", byRule[rule], rule, n)
			}
		}
	})
}

// checkQueued compares the queued jobs with the dispatcher's, and returns how many wait.
func (w *testEnv) checkQueued() (waiting int) {
	w.d.mu.Lock()
	all := make(map[bool]int) // jobs by whether they wait
	for _, p := range w.d.planners {
		all[true] += len(p.arrivalQueue.jobs)
		all[false] += len(p.jobs) - len(p.arrivalQueue.jobs)
	}
	w.d.mu.Unlock()
	got := make(map[bool]int)
	for _, q := range w.d.Queued() {
		got[true] += q.Waiting
		got[false] += q.Placed
		if q.Service != "lm" || q.Organisation != "one" || q.Route != "check" || q.Late > q.Waiting || q.Oldest < 0 {
			w.t.Errorf("queued %+v", q)
		}
	}
	if got[true] != all[true] || got[false] != all[false] {
		w.t.Errorf("%d wait and %d are placed, want %d and %d", got[true], got[false], all[true], all[false])
	}
	return got[true]
}
