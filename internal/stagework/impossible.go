package stagework

import (
	"math"
	"time"
)

const (
	// speedMargin is how many times faster than declared the targets of a service may be
	// when a job is judged as impossible.
	speedMargin = 4
	// pieceCost is a high estimate of the memory, in bytes, of a piece that waits.
	pieceCost = 256
	// piecesShare is the share of the process's memory for pieces.
	piecesShare = 0.15
)

// MaxPieces returns the number of pieces that the jobs of a cell may have together, if
// the process has the given memory, in MiB; 0 = no limit.
func MaxPieces(memoryMB int) int {
	return int(piecesShare * float64(memoryMB) * (1 << 20) / pieceCost)
}

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
	if p.maxPieces > 0 && p.pieces+pieces > p.maxPieces {
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
