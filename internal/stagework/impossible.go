package stagework

import (
	"math"
	"time"
)

// speedMargin is how many times faster than declared the targets of a service may be when a
// job is judged as impossible.
const speedMargin = 4

// refuseImpossible returns the refusal of a new job whose number of pieces its targets can't
// work on before its deadline, or whose results they can't keep, or that this instance can't
// keep itself. The caller states the numbers, and each piece takes memory, so they are
// checked before anything is allocated for them. Without this a single request can make an
// instance allocate until it is killed.
func (p *Planner) refuseImpossible(j *job, now time.Time) *Refusal {
	pieces := 0
	for i, st := range j.Stages {
		n := j.pieces(i)
		v := p.services[st.Service]
		if n == 0 || v == nil {
			continue
		}
		if float64(n) > v.mostPieces(j.Deadline.Sub(now), st.ResultBytes) {
			return &Refusal{Reason: ReasonTooManyPieces, RetryAfter: retryAfterMax}
		}
		pieces += n
	}
	if most := p.limits.Pieces; most > 0 && p.pieces+pieces > most {
		return &Refusal{Reason: ReasonPiecesFull, RetryAfter: retryAfterMin}
	}
	return nil
}

// mostPieces returns an upper bound on the pieces of one job that the service can work on
// within the time and whose results it can keep.
func (v *service) mostPieces(within time.Duration, resultBytes int64) float64 {
	targets := float64(max(len(v.targets), 1))
	most := math.Inf(1)
	if call := v.callTime(v.batch()); call > 0 {
		calls := max(float64(within)/float64(call)*speedMargin, 1)
		most = targets * float64(max(v.limits.Slots, 1)) * calls * float64(v.batch())
	}
	if resultBytes > 0 && v.limits.ResultMemory > 0 {
		most = min(most, targets*float64(v.limits.ResultMemory)/float64(resultBytes))
	}
	return most
}

// countPieces returns the number of the job's pieces that are kept in memory.
func (j *job) countPieces() int {
	n := 0
	for _, u := range j.units {
		n += len(u.pieces)
	}
	return n
}
