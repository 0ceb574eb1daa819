package stagework

import (
	"testing"
	"time"
)

// Pattern: two calls of a stage end a moment apart, and what they made is for the
// same target of the next stage. Symptom: that one begins a call for the first
// few results, and those that come next wait for its end. Grounds: the second
// call ends 40 ms after the first and the target's own call takes 100 ms; one
// request that waits 40 ms saves another one 60. It does not wait for what comes
// after 60 ms, for what it would be late by, or if another target is free then.
func TestACallWaitsForWhatComesAMomentLater(t *testing.T) {
	for name, c := range map[string]struct {
		later time.Duration // from the end of one call to that of the other
		spare time.Duration // of the first request, before it has to start
		late  bool          // the first request is late in any case
		want  time.Duration
	}{
		"worth it":           {later: 40 * ms, spare: time.Second, want: 40 * ms},
		"no time to spare":   {later: 40 * ms, spare: 30 * ms, want: 0},
		"comes too late":     {later: 60 * ms, spare: time.Second, want: 0},
		"late in any case":   {later: 60 * ms, late: true, want: 60 * ms},
		"others much later":  {later: longestHold, late: true, want: 0},
		"at the same moment": {later: 0, spare: time.Second, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			p := twoStages(func([]string) {})
			first, _ := p.submit(stagedJob("a", 1, now), nil, now)
			next, _ := p.submit(stagedJob("b", 1, now), nil, now)
			maker := p.services["cut"].servers["c1"]
			for _, j := range []*job{first, next} {
				q := j.units[0].pieces[0]
				q.state, q.server, q.handle = pieceMade, maker, "h"
				j.units[0].waiting, j.units[0].unmade = 0, 0
			}
			next.units[0].pieces[0].state, next.units[0].unmade = pieceRunning, 1
			maker.busyTill = now.Add(c.later)
			u := first.units[1]
			u.readyAt, u.job.late = now, c.late
			u.rank = rank{start: now.Add(c.spare)}
			r := p.services["join"].round(now)
			if hold := r.holdFor(&r.targets[0], []*unit{u}); hold != c.want {
				t.Errorf("the call waits for %v, want %v", hold, c.want)
			}
		})
	}
}
