package limits

import (
	"math"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

const (
	// evenShare is the fraction of a limit that is divided evenly, so that an
	// organisation has a share at every instance; the rest follows demand.
	evenShare = 0.1
	// priorDemand, as a fraction of the limit, is added to the demand and
	// distributed evenly: while an organisation has little demand, its shares stay
	// nearly even.
	priorDemand = 0.1
	// minSlotShare is the smallest fraction of a concurrency slot that the rate is
	// divided by; it bounds the share of the rate that goes with one slot.
	minSlotShare = 0.01
	// roundingSlack compensates for rounding errors of products that should be
	// integers.
	roundingSlack = 1e-9
)

// population holds the numbers of instances as seen by this one.
type population struct {
	known     int // instances that may be serving, visible or not
	visible   int // instances seen alive, including this one
	reporting int // instances whose usage is known, including this one
	rank      int // position of this instance's ID among the visible ones
}

// sameMembers reports whether both populations result in the same even shares.
func (p population) sameMembers(other population) bool {
	return p.known == other.known && p.visible == other.visible && p.rank == other.rank
}

// fraction returns the fraction of a limit that the visible instances may use
// together: all of it if they are more than half of the known ones, else the
// proportion of known instances that they are. So the sides of any network
// partition together use less than 1.5 times the limit, while a crash of a few
// instances does not reduce the usable limit.
func (p population) fraction() float64 {
	if 2*p.visible > p.known {
		return 1
	}
	return float64(p.visible) / float64(p.known)
}

// total estimates the demand at all visible instances: the demand of this one,
// and the demand reported by peers, scaled up to the instances without a report.
func (p population) total(own, peerDemand float64) float64 {
	if p.reporting <= 1 {
		return own * float64(p.visible)
	}
	return own + peerDemand*float64(p.visible-1)/float64(p.reporting-1)
}

// part returns this instance's share of a limit, from 0 to 1. When all instances
// see the same demand, their parts add up to fraction.
func (p population) part(limit, own, total float64) float64 {
	even := 1 / float64(max(p.visible, 1))
	prior := priorDemand * limit
	byDemand := even
	if total+prior > 0 {
		byDemand = (own + prior*even) / (total + prior)
	}
	return p.fraction() * (evenShare*even + (1-evenShare)*min(byDemand, 1))
}

// shareOf returns this instance's share of an organisation's limit. own and
// peerDemand are the organisation's demand in requests per second, at this
// instance and at the peers that reported it. offset, a hash of the organisation,
// varies which instances have the slots.
func (p population) shareOf(l lynxapi.OrganisationLimit, own, peerDemand float64, offset uint64) board.Limit {
	total := p.total(own, peerDemand)
	var out board.Limit
	if l.RatePerSecond > 0 {
		out.RatePerSecond = l.RatePerSecond * p.part(l.RatePerSecond, own, total)
	}
	if l.Concurrent > 0 {
		weight := l.RatePerSecond
		if weight <= 0 {
			weight = total
		}
		share := float64(l.Concurrent) * p.part(weight, own, total)
		out.Concurrent = p.wholeShare(share, offset)
		// With more instances than slots some instances have no slot. Their
		// part of the rate goes to the instances that have one; otherwise the
		// organisation would have only a part of its rate.
		out.RatePerSecond /= min(max(share, minSlotShare), 1)
	}
	out.RatePerSecond = min(out.RatePerSecond, l.RatePerSecond)
	return out
}

// wholeShare converts a fractional share of a concurrency limit to an integer, so
// that even shares add up to the limit. The instances are ordered by rank, rotated
// by offset, and each gets the integers between its position times share and the
// next position times share. Rounding each share independently would give fifty
// instances fifty slots of a limit of five, or none. It returns -1 for no slots,
// since 0 means no limit.
func (p population) wholeShare(share float64, offset uint64) int {
	position := uint64(p.rank)
	if p.visible > 0 {
		position = (position + offset%uint64(p.visible)) % uint64(p.visible)
	}
	from := math.Floor(float64(position)*share + roundingSlack)
	to := math.Floor(float64(position+1)*share + roundingSlack)
	if to <= from {
		return -1
	}
	return int(to - from)
}
