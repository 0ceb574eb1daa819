package stagework

import (
	"math"
	"time"

	"lynxhill.example/lynxhill/internal/control/rendezvous"
)

// Weights of the choice of an engine, in milliseconds of equivalent delay.
const (
	// prefillWeight is the cost of processing a thousand tokens of a shared
	// prompt part that another engine has cached.
	prefillWeight = 60.0
	// firstEventWeight is the cost of a millisecond until the first event, as
	// long as that is on time.
	firstEventWeight = 0.2
	// homeWeight is the cost of an engine other than the one that a new
	// dispatcher would choose for the session.
	homeWeight = 3.0
	// crossZoneWeight is the cost of a megabyte of results that crosses
	// availability zones. The transfer itself takes a millisecond; the weight
	// reflects the price of cross-zone traffic that users pay. With 84, a
	// request whose stages transfer 1.4 MB waits up to 120 ms for a target in
	// the zone of its results. Of 28, 84 and 140, measured as credit minus
	// costs, 84 was best: with 28, twice as many bytes cross zones; with 140, a
	// quarter fewer do, and more answers are late.
	crossZoneWeight = 84.0
	// zoneWeight is the cost of an engine in another zone than the job's owner.
	zoneWeight = 2.0
	// lateWeight is the cost of a millisecond beyond the on-time limit.
	lateWeight = 20.0
	// utilizationWeight is the cost of a full engine relative to an empty one.
	utilizationWeight = 120.0
)

// predictFirstEvent predicts the time to the first event, in milliseconds, if
// the job went to the engine now.
func (p *pool) predictFirstEvent(e *engine, uncachedTokens int, now time.Time) float64 {
	queue := 0.0
	if over := e.running - p.limits.Slots; p.limits.Slots > 0 && over >= 0 {
		queue = p.firstEventBase * float64(over+1)
	}
	return (float64(e.prefillTokens+uncachedTokens)/p.prefillRate + p.firstEventBase + queue) * p.slowness(e, now)
}

// choose returns the engine with the least cost for the job and the prompt
// tokens that it has to process.
func (p *pool) choose(j *job, now time.Time) (*engine, int) {
	var best *engine
	bestCost, bestUncached := math.Inf(1), 0
	usable := p.usable(j, now)
	home := sessionHome(j.session, usable)
	var redundantFrom []int
	if j.Prompt != nil {
		redundantFrom = p.redundantTokens(j.Prompt, now)
	}
	for _, e := range usable {
		cost, uncached := p.cost(e, j, home, redundantFrom, now)
		if cost < bestCost {
			best, bestCost, bestUncached = e, cost, uncached
		}
	}
	return best, bestUncached
}

func (p *pool) cost(e *engine, j *job, home *engine, redundantFrom []int, now time.Time) (float64, int) {
	all, redundant := 0, 0
	if j.Prompt != nil {
		all, redundant = uncachedTokens(e, j.Prompt, redundantFrom)
	}
	if p.policy.LeastLoaded {
		return p.loadCost(e, j), all
	}
	first := p.predictFirstEvent(e, all, now)
	cost := firstEventWeight * first
	if late := first - float64(j.OnTimeUntil.Sub(now).Milliseconds()); late > 0 && now.Before(j.OnTimeUntil) {
		cost += lateWeight * late
	}
	cost += prefillWeight * float64(redundant) / 1000
	if e != home {
		cost += homeWeight
	}
	cost += p.policy.crossZoneWeight() * float64(j.bytesInOtherZones(e.info.Zone)) / 1e6
	if e.info.Zone != j.Zone {
		cost += zoneWeight
	}
	if p.limits.Slots > 0 {
		used := float64(e.running) / float64(p.limits.Slots)
		cost += utilizationWeight * (used * used)
	}
	if p.limits.MemoryTokens > 0 {
		used := float64(e.tokens) / float64(p.limits.MemoryTokens)
		cost += utilizationWeight * ((used * used) * (used * used))
	}
	return cost, all
}

// bytesInOtherZones is the size of the job's results for the engine that are
// stored outside the zone.
func (j *job) bytesInOtherZones(zone string) int64 {
	var bytes int64
	for _, u := range j.finalUnits {
		for _, q := range u.pieces {
			if q.state == pieceDone && q.target.info.Zone != zone {
				bytes += u.resultBytes
			}
		}
	}
	return bytes
}

// sessionHome returns the engine where the session's prompt parts are expected
// if nothing is known about them. It uses rendezvous hashing, so that a new
// dispatcher sends most sessions to the same engines as the previous one. Only
// usable engines are considered.
func sessionHome(session string, usable []*engine) *engine {
	if session == "" {
		return nil
	}
	var best *engine
	var bestScore uint64
	for _, e := range usable {
		if score := rendezvous.Score(session, e.info.ID); best == nil || score > bestScore {
			best, bestScore = e, score
		}
	}
	return best
}
