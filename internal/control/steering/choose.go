package steering

import (
	"math"
	"sort"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

const (
	// minWeight keeps a full instance in the answers with a small share: its
	// room is known late, and with no weight it would never be tried.
	minWeight = 0.02
	// rampStart is the share of its weight that a new instance starts with.
	rampStart = 0.1
	// enoughRoom is the mean room of a place above which it keeps all its
	// callers; below it a growing share goes to the rest of the region.
	enoughRoom = 0.2
	// sparePart: one in so many addresses of an answer is a spare.
	sparePart = 3
	// thresholdSteps of halving find the threshold to nine digits.
	thresholdSteps = 30
)

// weight is an instance's share of callers: its free room, less while it is
// new. Without the ramp a new instance, empty and so the one with the most
// room, would get most callers within one keep time, before its room shows it.
func weight(room float64, age, ramp time.Duration) float64 {
	w := max(minWeight, min(room, 1))
	if age >= ramp {
		return w
	}
	part := rampStart + (1-rampStart)*float64(age)/float64(ramp)
	return w * part
}

// distribution is what callers of one place are answered from. It is made once for
// all callers of a place, since an answer takes only the drawing.
type distribution struct {
	place, region string
	shares        []board.SteeringAddress // with their weights in an answer
	rates         []float64               // of the draw, by index of shares
	spares        []board.SteeringAddress
	spareRates    []float64
	spare         int // spares in an answer
}

// newDistribution prepares answers of n addresses: most of them by their share for
// the place, and some spare ones with weight 0, to be used only when the others
// fail. The spare ones lie further away, so that a caller whose whole place is
// lost still knows somebody, and are drawn at random, so that callers of a lost
// place spread over the rest.
func newDistribution(all []board.SteeringAddress, place, region string, n int) *distribution {
	d := &distribution{place: place, region: region}
	d.shares, d.spares = split(scaleByNearness(all, place, region), all)
	d.spare = min(n/sparePart, len(d.spares))
	d.rates, d.spareRates = weights(d.shares), weights(d.spares)
	correct(d.shares, n-d.spare)
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

// answer draws n addresses, nearest first.
func (d *distribution) answer(n int, random func() float64) []lynxapi.Address {
	first := draw(d.shares, d.rates, n-d.spare, random)
	second := draw(d.spares, d.spareRates, n-len(first), random)
	answer := make([]lynxapi.Address, 0, len(first)+len(second))
	for _, a := range append(first, second...) {
		answer = append(answer, addressOf(a))
	}
	sort.SliceStable(answer, func(i, j int) bool {
		return tierOf(answer[i].Place, answer[i].Region, d.place, d.region) < tierOf(answer[j].Place, answer[j].Region, d.place, d.region)
	})
	return answer
}

func addressOf(a board.SteeringAddress) lynxapi.Address {
	return lynxapi.Address{ID: a.ID, Address: a.Address, Place: a.Place, Region: a.Region, Weight: a.Weight}
}

// split separates the addresses with a share from those without; the latter
// keep their weights of before.
func split(scaled, all []board.SteeringAddress) (shares, spares []board.SteeringAddress) {
	for i, a := range scaled {
		if a.Weight > 0 {
			shares = append(shares, a)
		} else {
			spares = append(spares, all[i])
		}
	}
	return shares, spares
}

// scaleByNearness scales the weights by nearness: a place with room keeps its callers,
// one without sends a share to the region, a region without to the others.
func scaleByNearness(all []board.SteeringAddress, place, region string) []board.SteeringAddress {
	scaled := append([]board.SteeringAddress(nil), all...)
	left := 1.0
	for tier := range tiers {
		members := inTier(scaled, place, region, tier)
		if len(members) == 0 {
			continue
		}
		share := left
		if tier < tiers-1 && further(scaled, place, region, tier) {
			share = left * keepShare(scaled, members)
		}
		setShare(scaled, members, share)
		left -= share
	}
	return scaled
}

// Tiers of nearness.
const (
	tierPlace = iota
	tierRegion
	tierElsewhere
	tiers
)

func tierOf(itsPlace, itsRegion, place, region string) int {
	switch {
	case itsPlace == place:
		return tierPlace
	case itsRegion == region:
		return tierRegion
	default:
		return tierElsewhere
	}
}

func inTier(all []board.SteeringAddress, place, region string, tier int) []int {
	var members []int
	for i, a := range all {
		if tierOf(a.Place, a.Region, place, region) == tier {
			members = append(members, i)
		}
	}
	return members
}

func further(all []board.SteeringAddress, place, region string, tier int) bool {
	for _, a := range all {
		if tierOf(a.Place, a.Region, place, region) > tier {
			return true
		}
	}
	return false
}

// keepShare is the share of its callers that a tier keeps. It goes by room
// alone: when all instances of a place are new, their callers stay there.
func keepShare(all []board.SteeringAddress, members []int) float64 {
	sum := 0.0
	for _, i := range members {
		sum += all[i].Room
	}
	return min(1, sum/float64(len(members))/enoughRoom)
}

// setShare scales the weights of the members to add up to share.
func setShare(all []board.SteeringAddress, members []int, share float64) {
	sum := 0.0
	for _, i := range members {
		sum += all[i].Weight
	}
	for _, i := range members {
		all[i].Weight *= share / sum
	}
}

// draw picks n of the addresses without replacement, by the rates: the n lowest
// of exponential draws.
func draw(all []board.SteeringAddress, rates []float64, n int, random func() float64) []board.SteeringAddress {
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

// correct divides the weights by the chance of being drawn into an answer with
// n of the addresses. Heavy addresses are drawn more often, and a caller then
// picks among those drawn by weight once more; without the correction the weight
// would count twice.
func correct(all []board.SteeringAddress, n int) {
	threshold := drawThreshold(all, n)
	for i, a := range all {
		all[i].Weight = a.Weight / (1 - math.Exp(-threshold*a.Weight))
	}
}

// drawThreshold is the draw below which n of the addresses lie on average.
func drawThreshold(all []board.SteeringAddress, n int) float64 {
	if n >= len(all) {
		return math.Inf(1)
	}
	low, high := 0.0, 1.0
	for expected(all, high) < float64(n) {
		high *= 2
	}
	for range thresholdSteps {
		middle := (low + high) / 2
		if expected(all, middle) < float64(n) {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

func expected(all []board.SteeringAddress, threshold float64) float64 {
	sum := 0.0
	for _, a := range all {
		sum += 1 - math.Exp(-threshold*a.Weight)
	}
	return sum
}
