package stages

import (
	"slices"
	"time"
)

// Result is what a day came to.
type Result struct {
	// Requests arrived; each ends as one of the four after it.
	Requests, OnTime, Late, Refused, Left int
	RefusedAfter                          time.Duration // mean, after arrival
	Made                                  int           // pieces
	ThrownAway                            int           // pieces made that no answer came from
	NoRoom                                int           // pieces refused for want of room
	Full                                  int           // calls that found the target full
	Moved                                 int64         // bytes between zones
	ReadAgain                             int           // prompt tokens
	FirstMean, FirstP99                   time.Duration // of the first event

	refusedAfter time.Duration
	firsts       []time.Duration
}

// result sums the day up.
func (d *day) result() Result {
	out := d.out
	useful := 0
	for _, q := range d.requests {
		if q.answered {
			useful += len(q.pieces)
		}
	}
	out.ThrownAway = out.Made - useful
	if out.Refused > 0 {
		out.RefusedAfter = out.refusedAfter / time.Duration(out.Refused)
	}
	out.FirstMean, out.FirstP99 = meanAndP99(out.firsts)
	out.refusedAfter, out.firsts = 0, nil
	return out
}

func meanAndP99(times []time.Duration) (mean, p99 time.Duration) {
	if len(times) == 0 {
		return 0, 0
	}
	slices.Sort(times)
	sum := time.Duration(0)
	for _, t := range times {
		sum += t
	}
	return sum / time.Duration(len(times)), times[len(times)*99/100]
}

// share is n as a percentage of the requests.
func (r Result) share(n int) float64 {
	return 100 * float64(n) / float64(max(r.Requests, 1))
}
