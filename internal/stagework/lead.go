package stagework

import "time"

// leadLostAfter is how long another instance must rank first before this one
// gives its jobs back: a member that comes and goes must not move them about.
const leadLostAfter = 300 * time.Millisecond

// lead follows whether another instance should schedule for a cell.
//
// An instance that stood in for one that was down or frozen has jobs when that
// one returns, and new jobs go there. Both would then fill the same targets for
// seconds; one notices it by calls that find a target full and take longer than
// expected at both. The one that stood in therefore gives its jobs back.
type lead struct {
	since time.Time // when another was first seen to rank first; zero = none does
}

// lost takes in whether another instance ranks first and reports whether it has
// done so for long enough.
func (l *lead) lost(another bool, now time.Time) bool {
	switch {
	case !another:
		l.since = time.Time{}
	case l.since.IsZero():
		l.since = now
	}
	return another && now.Sub(l.since) > leadLostAfter
}
