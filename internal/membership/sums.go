package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/gossip"
)

// sumBuckets is the number of checksums of the rows. With more buckets, fewer rows
// are sent to repair a difference; each costs four bytes per digest.
const sumBuckets = 32

// Indexes of the checksums after those of the buckets.
const (
	sumConfig = sumBuckets     // the members' configuration in force and lost stores
	sumDead   = sumBuckets + 1 // the dead members that are kept
	sumCount  = sumBuckets + 2
)

// sums returns the checksums by bucket of the rows that are not dead, followed by
// those of the configuration and of the dead members.
func (v *view) sums(now time.Time) []uint32 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.sumsLocked(now)
}

// rowSums are the checksums of the rows that are not dead, as of the view's changes.
type rowSums struct {
	changes uint64
	sums    [sumCount]uint32
	dead    int // number of rows of dead members
}

// sumsLocked is sums for a caller that holds mu. Each exchange needs the checksums several
// times and few exchanges change a row, so they are kept until one changes.
func (v *view) sumsLocked(now time.Time) []uint32 {
	if v.known.changes != v.changes {
		v.known = v.sumRows()
	}
	sums := v.known.sums
	if v.known.dead > 0 {
		sums[sumDead] = v.deadSum(now) // depends on the time too
	}
	return sums[:]
}

func (v *view) sumRows() rowSums {
	s := rowSums{changes: v.changes}
	for _, r := range v.rows {
		if r.dead() {
			s.dead++
			continue
		}
		s.sums[r.bucket] += rowSum(r.member)
		s.sums[sumConfig] += configSum(r.member)
	}
	return s
}

// configSum returns the checksum of a member's configuration in force and of whether
// it has lost the store or the targets.
func configSum(m gossip.Member) uint32 {
	lost := uint64(0)
	if m.StoreLost {
		lost |= 1
	}
	if m.TargetsLost {
		lost |= 2
	}
	if lost == 0 {
		return mix(xxhash.Sum64String(m.ID), m.ConfigVersion)
	}
	return mix(xxhash.Sum64String(m.ID), m.ConfigVersion, lost)
}

func bucketOf(id string) int { return int(xxhash.Sum64String(id) % sumBuckets) }

// rowSum returns the checksum of what all instances should agree on. Suspicions are
// not included: they change faster than they spread.
func rowSum(m gossip.Member) uint32 {
	leaving := uint64(0)
	if m.State == string(board.MemberLeaving) {
		leaving = 1
	}
	return mix(xxhash.Sum64String(m.ID), m.Incarnation, leaving)
}

func mix(h uint64, parts ...uint64) uint32 {
	const multiplier = 0x9e3779b97f4a7c15
	for _, part := range parts {
		h = (h ^ part) * multiplier
		h ^= h >> 29
	}
	return uint32(h)
}
