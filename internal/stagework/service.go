package stagework

import (
	"maps"
	"math"
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/allowance"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/route"
)

// Parameters of the dispatcher's model of stage targets.
const (
	// latencyRatioWeight is the weight of the newest call in the moving average
	// of a target's latency ratio.
	latencyRatioWeight = 0.4
	// A call times out after callTimeoutFactor times its expected duration plus
	// callTimeoutMargin; its pieces are then executed on another target.
	// Without this timeout, a target that hangs keeps its pieces until the
	// caller has given up.
	callTimeoutFactor = 1.8
	callTimeoutMargin = 250 * time.Millisecond
	// failureBackoffMin and failureBackoffMax bound the exponential backoff
	// after a failed call, during which the target gets no calls; it doubles
	// with each consecutive failure.
	failureBackoffMin = 400 * time.Millisecond
	failureBackoffMax = 4 * time.Second
	// noSlotBackoff is how long a target that had no free slot gets no calls.
	noSlotBackoff = 40 * time.Millisecond
	// usableMemoryShare is the share of a target's declared result memory that
	// is used: the sizes of results are approximate.
	usableMemoryShare = 0.97
	// latencyRatioHalfLife is the half-life with which an idle target's latency
	// ratio decays to the service's average, so that a target that has
	// recovered gets calls again.
	latencyRatioHalfLife = 2 * time.Second
	// latencyRatioDecayed is the idle time after which nothing is left of the
	// target's own ratio: 0.5 to the power of 1100 is 0 in a float64.
	latencyRatioDecayed = 1100 * latencyRatioHalfLife
	// foreignBytesExpiry is how long a target that rejected pieces for lack of
	// result memory is assumed to hold results unknown to this dispatcher.
	foreignBytesExpiry = 500 * time.Millisecond
)

// stageTarget is the dispatcher's state of a stage target.
type stageTarget struct {
	info         fleet.Target
	service      *service
	removed      bool // no longer listed; kept until its calls have ended
	calls        int
	running      []*call
	busyUntil    time.Time
	usedBytes    int64   // result memory reserved for running pieces or taken by results
	latencyRatio float64 // moving average of actual to nominal call time
	failures     int
	pausedUntil  time.Time
	// foreignBytes is the result memory taken by results of other dispatchers;
	// it counts until foreignUntil.
	foreignBytes int64
	foreignUntil time.Time
	limitWindow  allowance.Window // calls sent while the target announces a rate limit
}

// usable reports whether the target may get a call now.
func (s *stageTarget) usable(now time.Time) bool {
	return s.hasFreeSlot() && !now.Before(s.pausedUntil) && !s.rateLimited(now)
}

// hasFreeSlot reports whether the target may get a call once it is neither in
// backoff nor rate limited.
func (s *stageTarget) hasFreeSlot() bool {
	return !s.removed && !s.info.Draining && s.calls < max(s.service.limits.Slots, 1)
}

// healthy reports whether the target counts as capacity.
func (s *stageTarget) healthy(now time.Time) bool {
	return !s.removed && !s.info.Draining && now.After(s.pausedUntil.Add(-failureBackoffMin)) && !s.rateLimited(now)
}

// fits reports whether the target has result memory for this size.
func (s *stageTarget) fits(bytes int64, now time.Time) bool { return bytes <= s.freeBytes(now) }

// freeBytes is the free result memory in bytes; it is negative if more is taken
// than may be used.
func (s *stageTarget) freeBytes(now time.Time) int64 {
	used := s.usedBytes
	if now.Before(s.foreignUntil) {
		used += s.foreignBytes
	}
	return int64(float64(s.service.limits.ResultMemory)*usableMemoryShare) - used
}

// outOfMemory records that the target unexpectedly rejected pieces for lack of
// result memory: the rest of its memory is assumed to be taken by unknown
// results, such as those of a dispatcher that crashed. Without this, the target
// is sent the same pieces again at once, in calls that are rejected within
// milliseconds.
func (s *stageTarget) outOfMemory(now time.Time) {
	s.foreignBytes = max(int64(float64(s.service.limits.ResultMemory)*usableMemoryShare)-s.usedBytes, 0)
	s.foreignUntil = now.Add(foreignBytesExpiry)
}

// applyReport updates the memory taken by results of other dispatchers from a
// report of the target.
func (s *stageTarget) applyReport(freeBytes int64, now time.Time) {
	s.foreignBytes = max(s.service.limits.ResultMemory-freeBytes-s.usedBytes, 0)
	s.foreignUntil = now.Add(s.service.limits.ResultLifetime)
}

// recordSuccess updates the target's state after a successful call.
func (s *stageTarget) recordSuccess(nominal, took time.Duration) {
	s.failures = 0
	if nominal <= 0 {
		return
	}
	s.latencyRatio += latencyRatioWeight * (float64(took)/float64(nominal) - s.latencyRatio)
}

// recordFailure starts the target's backoff after a failed call.
func (s *stageTarget) recordFailure(now time.Time) {
	pause := time.Duration(float64(failureBackoffMin) * math.Pow(2, float64(min(s.failures, 8))))
	s.failures++
	s.pausedUntil = now.Add(min(pause, failureBackoffMax))
}

// latencyRatioAt is the target's latency ratio, which decays to the service's
// average while the target has no calls.
func (s *stageTarget) latencyRatioAt(now time.Time) float64 {
	average := s.service.latencyRatio
	idle := now.Sub(s.busyUntil)
	switch {
	case idle <= 0:
		return s.latencyRatio
	case s.latencyRatio == average || idle > latencyRatioDecayed:
		return average
	}
	return average + (s.latencyRatio-average)*math.Pow(0.5, float64(idle)/float64(latencyRatioHalfLife))
}

// service is the state of a stage service.
type service struct {
	name         string
	number       int // index of the service in declaration order
	limits       route.Pieces
	bounds       RateLimits
	targets      map[string]*stageTarget
	byID         []*stageTarget // targets sorted by ID, so that decisions are deterministic
	pendingUnits []*workUnit    // units with waiting pieces, unordered
	enqueueCount int            // number of units enqueued so far
	// Buffers that are reused by each round.
	candidatesBuf     []candidate
	readyBuf, restBuf []*workUnit
	upcomingBuf       []upcomingUnit
	// reservedBytes is the result memory reserved for units, from before their
	// first piece runs until their results are released.
	reservedBytes int64
	// latencyRatio is the moving average of actual to nominal call time over
	// all targets.
	latencyRatio float64
	load         loadMeter
	overloads    overloads
	fairness     fairness
	shares       serviceShares
	// arrivals counts the pieces of requests' first stages.
	arrivals loadMeter
	// retention is the average time that results are kept after their call.
	retention time.Duration
}

// callTime is the nominal duration of a call with n pieces.
func (v *service) callTime(n int) time.Duration {
	return v.limits.CallTime + time.Duration(n)*v.limits.ItemTime
}

// expectedCallTime is the expected duration of a call with n pieces on an
// average target.
func (v *service) expectedCallTime(n int) time.Duration {
	return time.Duration(float64(v.callTime(n)) * v.latencyRatio)
}

// availability returns the number of healthy targets and the time until the
// first of them is free.
func (v *service) availability(now time.Time) (healthy int, firstFree time.Duration) {
	for _, s := range v.byID {
		if !s.healthy(now) {
			continue
		}
		if wait := max(s.busyUntil.Sub(now), 0); healthy == 0 || wait < firstFree {
			firstFree = wait
		}
		healthy++
	}
	return healthy, firstFree
}

// sortTargets updates byID after targets were added or removed.
func (v *service) sortTargets() {
	v.byID = slices.SortedFunc(maps.Values(v.targets), func(a, b *stageTarget) int { return compare(a.info.ID, b.info.ID) })
}

// batch is the maximum number of pieces in a call.
func (v *service) batch() int { return max(v.limits.Batch, 1) }

// canReserve reports whether the healthy targets have enough memory for all
// results of the unit, such that every unit with a reservation can still
// finish.
//
// Without reservations, targets fill up with the results of many partly
// executed requests, none of which gets memory for its last piece. The symptom
// is rejections for lack of result memory while no call is in progress. Memory
// is therefore reserved for whole units, less one result per target for
// fragmentation, since a result cannot be split.
//
// The reservation covers the units of the same service that depend on this one.
// Otherwise, first-stage results of requests that use the service twice in a
// row fill the memory, and no second stage ever fits.
func (v *service) canReserve(u *workUnit, healthy int) bool {
	need := int64(0)
	for _, w := range u.chain() {
		if !w.reserved {
			need += w.totalBytes()
		}
	}
	if v.reservedBytes == 0 {
		return true
	}
	n := int64(healthy)
	total := n*int64(float64(v.limits.ResultMemory)*usableMemoryShare) - n*u.resultBytes
	return v.reservedBytes+need <= total
}

// reserve reserves memory for the unit and for its dependents in the same
// service.
func (v *service) reserve(u *workUnit) {
	for _, w := range u.chain() {
		if !w.reserved {
			w.reserved = true
			v.reservedBytes += w.totalBytes()
		}
	}
}

// unreserve cancels the reservations of the unit and its dependents that have
// not started.
func (v *service) unreserve(u *workUnit) {
	for _, w := range u.chain() {
		if w.reserved && w.waiting == len(w.pieces) {
			w.reserved = false
			v.reservedBytes -= w.totalBytes()
		}
	}
}

// totalBytes is the size of all results of the unit.
func (u *workUnit) totalBytes() int64 { return int64(len(u.pieces)) * u.resultBytes }

// chain returns the unit and the units of its service that depend on it.
func (u *workUnit) chain() []*workUnit {
	list := []*workUnit{u}
	for _, f := range u.dependents {
		for _, w := range f.chain() {
			if w.service == u.service && !slices.Contains(list, w) && !w.freed {
				list = append(list, w)
			}
		}
	}
	return list
}
