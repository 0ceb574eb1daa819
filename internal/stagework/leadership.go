package stagework

import "time"

// handoverDelay is how long another instance must rank first before this one
// returns its jobs. It keeps a member that flaps from moving jobs back and
// forth.
const handoverDelay = 300 * time.Millisecond

// leadership tracks whether another instance should schedule for a cell.
//
// An instance that stood in for a crashed or frozen dispatcher still has jobs
// when that one returns and gets the new jobs. Both would then schedule for the
// same targets for seconds; the symptom is calls that find a target busy or
// take longer than expected, at both. The stand-in therefore returns its jobs.
type leadership struct {
	anotherSince time.Time // since when another instance ranks first; zero = none does
}

// shouldHandOver records whether another instance ranks first and reports
// whether it has done so for longer than handoverDelay.
func (l *leadership) shouldHandOver(another bool, now time.Time) bool {
	switch {
	case !another:
		l.anotherSince = time.Time{}
	case l.anotherSince.IsZero():
		l.anotherSince = now
	}
	return another && now.Sub(l.anotherSince) > handoverDelay
}
