package steering

import (
	"math"
	"sort"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

const (
	// minWeight is the lowest weight of an instance. It keeps a full instance in
	// the answers: its free capacity is reported with a delay, and with weight 0
	// it would receive no callers after capacity became free again.
	minWeight = 0.02
	// rampStart is the fraction of its weight that a new instance starts with.
	rampStart = 0.1
	// spillThreshold is the mean free capacity of a zone above which the zone
	// keeps all its callers. Below it, a growing share of them is sent to the rest
	// of the region.
	spillThreshold = 0.2
	// spareDivisor is the number of addresses in an answer per spare address.
	spareDivisor = 3
	// bisectionSteps is the number of bisection steps of inclusionThreshold; 30
	// of them find the threshold to nine digits.
	bisectionSteps = 30
)

// weight returns an instance's relative share of callers: its free capacity,
// reduced while the instance is new. Without this ramp, a new instance, which is
// empty and so has the most free capacity, would receive most callers within one
// TTL, before its reported capacity reflects them.
func weight(room float64, age, ramp time.Duration) float64 {
	w := max(minWeight, min(room, 1))
	if age >= ramp {
		return w
	}
	part := rampStart + (1-rampStart)*float64(age)/float64(ramp)
	return w * part
}

// distribution is the weighted set of addresses from which callers of one
// availability zone are answered. It is computed once for all callers of a zone;
// each answer is only a random sample of it.
type distribution struct {
	zone, region string
	primaries    []board.SteeringAddress // with their weights in an answer
	primaryRates []float64               // sampling rates, by index of primaries
	spares       []board.SteeringAddress
	spareRates   []float64
	spareCount   int // number of spares in an answer
}

// newDistribution prepares answers of n addresses. Most of them are primaries,
// sampled by their share of the zone's callers; the rest are spares with weight
// 0, to be used only when the primaries fail. Spares are farther away, so that a
// caller still has an address to use when its whole zone is lost. They are
// sampled at random, so that the callers of a lost zone spread over the remaining
// instances.
func newDistribution(all []board.SteeringAddress, zone, region string, n int) *distribution {
	d := &distribution{zone: zone, region: region}
	d.primaries, d.spares = split(scaleByNearness(all, zone, region), all)
	d.spareCount = min(n/spareDivisor, len(d.spares))
	d.primaryRates, d.spareRates = weights(d.primaries), weights(d.spares)
	correctForInclusion(d.primaries, n-d.spareCount)
	for i := range d.spares {
		d.spares[i].Weight = 0
	}
	return d
}

func weights(all []board.SteeringAddress) []float64 {
	rates := make([]float64, len(all))
	for i, a := range all {
		rates[i] = a.Weight
	}
	return rates
}

// answer samples n addresses and returns them nearest first.
func (d *distribution) answer(n int, random func() float64) []lynxapi.Address {
	first := sample(d.primaries, d.primaryRates, n-d.spareCount, random)
	second := sample(d.spares, d.spareRates, n-len(first), random)
	answer := make([]lynxapi.Address, 0, len(first)+len(second))
	for _, a := range append(first, second...) {
		answer = append(answer, addressOf(a))
	}
	sort.SliceStable(answer, func(i, j int) bool {
		return tierOf(answer[i].Zone, answer[i].Region, d.zone, d.region) < tierOf(answer[j].Zone, answer[j].Region, d.zone, d.region)
	})
	return answer
}

func addressOf(a board.SteeringAddress) lynxapi.Address {
	return lynxapi.Address{ID: a.ID, Address: a.Address, Zone: a.Zone, Region: a.Region, Weight: a.Weight}
}

// split separates the addresses with a share of the callers (primaries) from
// those without (spares). Spares keep their unscaled weights.
func split(scaled, all []board.SteeringAddress) (primaries, spares []board.SteeringAddress) {
	for i, a := range scaled {
		if a.Weight > 0 {
			primaries = append(primaries, a)
		} else {
			spares = append(spares, all[i])
		}
	}
	return primaries, spares
}

// scaleByNearness scales the weights by nearness. A zone with enough free
// capacity keeps all its callers; one without sends a share of them to the rest
// of its region, and a region without sends a share to the other regions.
func scaleByNearness(all []board.SteeringAddress, zone, region string) []board.SteeringAddress {
	scaled := append([]board.SteeringAddress(nil), all...)
	left := 1.0
	for tier := range tiers {
		members := inTier(scaled, zone, region, tier)
		if len(members) == 0 {
			continue
		}
		share := left
		if tier < tiers-1 && hasFartherTier(scaled, zone, region, tier) {
			share = left * localShare(scaled, members)
		}
		setShare(scaled, members, share)
		left -= share
	}
	return scaled
}

// Tiers of nearness.
const (
	tierZone = iota
	tierRegion
	tierElsewhere
	tiers
)

func tierOf(itsZone, itsRegion, zone, region string) int {
	switch {
	case itsZone == zone:
		return tierZone
	case itsRegion == region:
		return tierRegion
	default:
		return tierElsewhere
	}
}

func inTier(all []board.SteeringAddress, zone, region string, tier int) []int {
	var members []int
	for i, a := range all {
		if tierOf(a.Zone, a.Region, zone, region) == tier {
			members = append(members, i)
		}
	}
	return members
}

func hasFartherTier(all []board.SteeringAddress, zone, region string, tier int) bool {
	for _, a := range all {
		if tierOf(a.Zone, a.Region, zone, region) > tier {
			return true
		}
	}
	return false
}

// localShare returns the share of its callers that a tier keeps. It depends on
// free capacity only, not on weights: when all instances of a zone are new, their
// callers stay in the zone.
func localShare(all []board.SteeringAddress, members []int) float64 {
	sum := 0.0
	for _, i := range members {
		sum += all[i].FreeShare
	}
	return min(1, sum/float64(len(members))/spillThreshold)
}

// setShare scales the weights of the members so that they add up to share.
func setShare(all []board.SteeringAddress, members []int, share float64) {
	sum := 0.0
	for _, i := range members {
		sum += all[i].Weight
	}
	for _, i := range members {
		all[i].Weight *= share / sum
	}
}

// sample picks n of the addresses at random without replacement, in proportion
// to rates. It draws an exponential variate per address and takes the n lowest.
func sample(all []board.SteeringAddress, rates []float64, n int, random func() float64) []board.SteeringAddress {
	type keyed struct {
		key   float64
		index int
	}
	keys := make([]keyed, len(all))
	for i, rate := range rates {
		keys[i] = keyed{-math.Log(1-random()) / rate, i}
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].key < keys[j].key })
	drawn := make([]board.SteeringAddress, max(0, min(n, len(keys))))
	for i := range drawn {
		drawn[i] = all[keys[i].index]
	}
	return drawn
}

// correctForInclusion divides each weight by the probability that the address is
// included in an answer of n addresses. Heavy addresses are sampled more often,
// and a caller then chooses by weight among the addresses it received; without
// the correction the weight would count twice.
func correctForInclusion(all []board.SteeringAddress, n int) {
	threshold := inclusionThreshold(all, n)
	for i, a := range all {
		all[i].Weight = a.Weight / (1 - math.Exp(-threshold*a.Weight))
	}
}

// inclusionThreshold returns the value below which the exponential variates of n
// of the addresses lie on average.
func inclusionThreshold(all []board.SteeringAddress, n int) float64 {
	if n >= len(all) {
		return math.Inf(1)
	}
	low, high := 0.0, 1.0
	for expectedInclusions(all, high) < float64(n) {
		high *= 2
	}
	for range bisectionSteps {
		middle := (low + high) / 2
		if expectedInclusions(all, middle) < float64(n) {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

// expectedInclusions returns the expected number of addresses whose exponential
// variate lies below threshold.
func expectedInclusions(all []board.SteeringAddress, threshold float64) float64 {
	sum := 0.0
	for _, a := range all {
		sum += 1 - math.Exp(-threshold*a.Weight)
	}
	return sum
}
