package stagework

import "time"

// leadLostAfter is how long another instance must rank first before this one
// gives its jobs back: a member that comes and goes must not move them about.
const leadLostAfter = 300 * time.Millisecond

// lead follows whether this instance is the one that should schedule for a
// cell.
//
// An instance that stood in for one that was down or frozen has jobs when that
// one returns, and new jobs go there. Both would then fill the same targets for
// seconds; one notices it by calls that find a target full and take longer than
// expected at both. The one that stood in therefore gives back what has not
// begun. It does so once for each time that it led: an owner that does not
// reach the first one hands the job over again.
type lead struct {
	led   bool
	since time.Time // when another was first seen to rank first; zero = none does
}

// lost takes in whether this instance ranks first and reports whether it has
// just ceased to.
func (l *lead) lost(first bool, now time.Time) bool {
	switch {
	case first:
		l.led, l.since = true, time.Time{}
	case !l.led:
	case l.since.IsZero():
		l.since = now
	case now.Sub(l.since) > leadLostAfter:
		l.led, l.since = false, time.Time{}
		return true
	}
	return false
}
