package stagework

import (
	"math"
	"time"

	"lynxhill.example/lynxhill/internal/control/rendezvous"
)

// Weights of the choice of an engine, in milliseconds of delay that are as bad.
const (
	// readWeight is for a thousand tokens of a shared part that have to be read
	// though some engine has them.
	readWeight = 60.0
	// firstWeight is for the time to the first event as long as it is on time.
	firstWeight = 0.2
	// homeWeight is for an engine that is not the one where a new dispatcher
	// would expect the session.
	homeWeight = 3.0
	// moveWeight is for a megabyte of results that lie in another place. A link
	// carries it in a millisecond; what it buys is the cost of bytes between
	// places, for which users pay: at 84 a request whose stages move 1.4 MB
	// waits up to 120 ms for a target where they lie. Of 28, 84 and 140, measured
	// as credit less prices, 84 was best: at 28 twice the bytes cross, at 140 a
	// quarter less do, and more answers are late.
	moveWeight = 84.0
	// placeWeight is for an answer that comes from another place than the
	// caller's instance.
	placeWeight = 2.0
	// lateWeight multiplies the delay beyond the aim.
	lateWeight = 20.0
	// spreadWeight is for a full engine against an empty one.
	spreadWeight = 120.0
)

// predict is the time to the first event in milliseconds if the job went to
// the engine now.
func (p *pool) predict(e *engine, missing int) float64 {
	queue := 0.0
	if over := e.running - p.limits.Slots; p.limits.Slots > 0 && over >= 0 {
		queue = p.first * float64(over+1)
	}
	return (float64(e.reading+missing)/p.rate + p.first + queue) * e.slow
}

// choose returns the engine with the least cost for the job, with the prompt
// tokens that it has to read.
func (p *pool) choose(j *job, now time.Time) (*engine, int) {
	var best *engine
	bestCost, bestMissing := math.Inf(1), 0
	usable := p.usable(j, now)
	home := home(j.session, usable)
	var wastes []int
	if j.Prompt != nil {
		wastes = p.wastes(j.Prompt, now)
	}
	for _, e := range usable {
		cost, missing := p.cost(e, j, home, wastes, now)
		if cost < bestCost {
			best, bestCost, bestMissing = e, cost, missing
		}
	}
	return best, bestMissing
}

func (p *pool) cost(e *engine, j *job, home *engine, wastes []int, now time.Time) (float64, int) {
	all, again := 0, 0
	if j.Prompt != nil {
		all, again = missing(e, j.Prompt, wastes)
	}
	if p.policy.LeastLoaded {
		return p.loadCost(e, j), all
	}
	first := p.predict(e, all)
	cost := firstWeight * first
	if late := first - float64(j.Aim.Sub(now).Milliseconds()); late > 0 && now.Before(j.Aim) {
		cost += lateWeight * late
	}
	cost += readWeight * float64(again) / 1000
	if e != home {
		cost += homeWeight
	}
	cost += p.policy.moveWeight() * float64(j.resultsElsewhere(e.target.Place)) / 1e6
	if e.target.Place != j.Place {
		cost += placeWeight
	}
	if p.limits.Slots > 0 {
		full := float64(e.running) / float64(p.limits.Slots)
		cost += spreadWeight * (full * full)
	}
	if p.limits.MemoryTokens > 0 {
		full := float64(e.tokens) / float64(p.limits.MemoryTokens)
		cost += spreadWeight * ((full * full) * (full * full))
	}
	return cost, all
}

// resultsElsewhere is the bytes of the job's results that lie outside place.
func (j *job) resultsElsewhere(place string) int64 {
	var bytes int64
	for _, u := range j.leaves {
		for _, q := range u.pieces {
			if q.state == pieceMade && q.server.target.Place != place {
				bytes += u.bytes
			}
		}
	}
	return bytes
}

// home is the engine where the session's parts are expected when nothing is
// known about them: rendezvous hashing, so that a new dispatcher sends most
// sessions where the one before did. Engines under suspicion are left out.
func home(session string, usable []*engine) *engine {
	if session == "" {
		return nil
	}
	var best *engine
	var bestScore uint64
	for _, e := range usable {
		if score := rendezvous.Score(session, e.target.ID); best == nil || score > bestScore {
			best, bestScore = e, score
		}
	}
	return best
}
