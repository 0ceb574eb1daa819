package stagework

import (
	"testing"
	"time"
)

// TestACallWaitsForWhatComesAMomentLater guards against a call that starts with
// the results of one call of the previous stage, while those of another, which
// ends shortly after, wait for a whole call of the same target. The second call
// ends 40 ms after the first and the target's own call takes 100 ms: one
// request that waits 40 ms saves another one 60 ms. The call must not wait for
// results that come after 60 ms, if a request would be late by it, or if
// another target is free then.
func TestACallWaitsForWhatComesAMomentLater(t *testing.T) {
	for name, c := range map[string]struct {
		later time.Duration // from the end of one call to the end of the other
		spare time.Duration // of the first request, until its latest start time
		late  bool          // the first request is late in any case
		want  time.Duration
	}{
		"worth the delay":         {later: 40 * ms, spare: time.Second, want: 40 * ms},
		"no slack":                {later: 40 * ms, spare: 30 * ms, want: 0},
		"ready too late":          {later: 60 * ms, spare: time.Second, want: 0},
		"late in any case":        {later: 60 * ms, late: true, want: 60 * ms},
		"ready after the maximum": {later: maxLookahead, late: true, want: 0},
		"ready at the same time":  {later: 0, spare: time.Second, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			p := twoStages(func([]string) {})
			first, _ := p.submit(stagedJob("a", 1, now), nil, now)
			next, _ := p.submit(stagedJob("b", 1, now), nil, now)
			maker := p.services["cut"].targets["c1"]
			for _, j := range []*job{first, next} {
				q := j.units[0].pieces[0]
				q.state, q.target, q.handle = pieceDone, maker, "h"
				j.units[0].waiting, j.units[0].unfinished = 0, 0
			}
			next.units[0].pieces[0].state, next.units[0].unfinished = pieceRunning, 1
			maker.busyUntil = now.Add(c.later)
			u := first.units[1]
			u.readyAt, u.job.late = now, c.late
			u.rank = rank{start: now.Add(c.spare)}
			r := p.services["join"].round(now)
			if hold := r.lookaheadDelay(&r.targets[0], []*workUnit{u}); hold != c.want {
				t.Errorf("the call waits for %v, want %v", hold, c.want)
			}
		})
	}
}
