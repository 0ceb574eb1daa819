package stagework

import (
	"math"
	"time"
)

// shareDecay is the time constant of the decay of the work that shares are
// computed from: a few times the duration of a request, and the time within
// which a new dispatcher knows the shares.
const shareDecay = 3 * time.Second

// onTimeAndLate holds exponentially decaying amounts of on-time and late work.
type onTimeAndLate struct {
	onTime, late float64
	updated      time.Time
}

// at decays the amounts to the given time.
func (a *onTimeAndLate) at(now time.Time) *onTimeAndLate {
	if passed := now.Sub(a.updated); passed > 0 && !a.updated.IsZero() {
		left := math.Exp(-float64(passed) / float64(shareDecay))
		a.onTime, a.late = a.onTime*left, a.late*left
	}
	a.updated = now
	return a
}

// add adds on-time work that arrives now.
func (a *onTimeAndLate) add(amount float64, now time.Time) { a.at(now).onTime += amount }

// becameLate moves work that was added at the given time from on time to late.
func (a *onTimeAndLate) becameLate(amount float64, added, now time.Time) {
	a.at(now)
	amount *= math.Exp(-float64(now.Sub(added)) / float64(shareDecay))
	a.onTime = max(a.onTime-amount, 0)
	a.late += amount
}

// all is the work on time and late.
func (a *onTimeAndLate) all() float64 { return a.onTime + a.late }

// onTimeShare is the part of the work that is on time; 1 if there is none.
func (a *onTimeAndLate) onTimeShare() float64 {
	if a.all() <= 0 {
		return 1
	}
	return a.onTime / a.all()
}
