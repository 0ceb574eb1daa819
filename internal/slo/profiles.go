package slo

import (
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/pipeline"
)

// Names of causes that no errkind has.
const (
	CauseLate   = "late"    // the whole answer came after the deadline
	NameOther   = "other"   // what was folded together for room
	NameUnknown = "unknown" // profiles that have answered nothing
	maxCauses   = 256       // of one profile
	maxCosts    = 256       // of one profile
	maxProfiles = 64        // of one shard; more are folded into NameOther
)

// profileCell adds to a cell what only profiles have: a series by second,
// causes and costs.
type profileCell struct {
	cell
	fine   *ring[counts]
	causes map[causeKey]*ring[uint64]
	costs  map[costKey]*costCell
}

type causeKey struct {
	stage  string
	target string
	kind   string
}

type costKey struct {
	stage    string
	provider string
}

// costCell is what a stage cost at one provider.
type costCell struct {
	sums *ring[costSums]
	// meanMS is the mean time of the stage since the start, by which a late
	// request finds the stage that made it late.
	meanMS float64
	calls  float64
}

type costSums struct {
	calls    uint64
	cost     float64
	wasted   float64
	tokens   uint64
	duration time.Duration
}

// profileShard holds the profiles whose names hash to it.
type profileShard struct {
	mu     sync.Mutex // guards byName and the cells
	byName map[string]*profileCell
}

func (s *profileShard) observe(now time.Time, w Windows, sample Sample, o observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.cell(sample.Profile, w, o.excluded)
	c.observe(now, o)
	c.fine.at(now).observe(o)
	if o.missed {
		c.blame(now, w, sample)
	}
	for _, stage := range sample.Stages {
		c.addCost(now, w, stage)
	}
}

// cell returns the cell of a profile. Requests that fail by the caller's own
// doing may name any profile, even one that does not exist: they get no cell
// of their own, or a caller could fill the memory with names.
func (s *profileShard) cell(name string, w Windows, excluded bool) *profileCell {
	if c := s.byName[name]; c != nil {
		return c
	}
	switch {
	case excluded:
		name = NameUnknown
	case len(s.byName) >= maxProfiles:
		name = NameOther
	}
	if c := s.byName[name]; c != nil {
		return c
	}
	c := &profileCell{
		cell:   *newCell(w, sketchSteps),
		fine:   newRing[counts](fineStep*fineSteps, fineSteps),
		causes: make(map[causeKey]*ring[uint64]),
		costs:  make(map[costKey]*costCell),
	}
	s.byName[name] = c
	return c
}

// blame counts the miss under the stage, target and kind of error that caused
// it.
func (c *profileCell) blame(now time.Time, w Windows, s Sample) {
	key := causeKey{kind: CauseLate}
	if s.Err != nil {
		key.kind = errkind.Of(s.Err).String()
	}
	if stage, found := c.culprit(s.Stages); found {
		key.stage, key.target = stage.Stage, stage.Target
	}
	r := c.causes[key]
	if r == nil {
		if len(c.causes) >= maxCauses {
			c.dropIdleCauses(now, w)
		}
		if len(c.causes) >= maxCauses {
			key = causeKey{stage: NameOther, target: NameOther, kind: key.kind}
		}
		if r = c.causes[key]; r == nil {
			r = newRing[uint64](w.Long, causeSteps)
			c.causes[key] = r
		}
	}
	*r.at(now)++
}

// dropIdleCauses frees the causes that have not occurred in the long window.
func (c *profileCell) dropIdleCauses(now time.Time, w Windows) {
	for key, r := range c.causes {
		if sumUint(r, now, w.Long) == 0 {
			delete(c.causes, key)
		}
	}
}

// culprit returns the stage that failed, else the one that took the most time
// beyond its usual. The longest stage alone would always be the generation,
// also where a reranker that is usually quick stood still.
func (c *profileCell) culprit(stages []pipeline.StageReport) (pipeline.StageReport, bool) {
	for i := len(stages) - 1; i >= 0; i-- {
		if stages[i].Err != nil {
			return stages[i], true
		}
	}
	var worst pipeline.StageReport
	worstExcess := 0.0
	for i, stage := range stages {
		excess := milliseconds(stage.Duration) - c.usualMS(stage)
		if i == 0 || excess > worstExcess {
			worst, worstExcess = stage, excess
		}
	}
	return worst, len(stages) > 0
}

func (c *profileCell) usualMS(stage pipeline.StageReport) float64 {
	cost := c.costs[costKey{stage.Stage, stage.Provider}]
	if cost == nil {
		return 0
	}
	return cost.meanMS
}

func (c *profileCell) addCost(now time.Time, w Windows, stage pipeline.StageReport) {
	if stage.Attempts == 0 && stage.Cost == 0 {
		return // never called
	}
	key := costKey{stage.Stage, stage.Provider}
	cost := c.costs[key]
	if cost == nil {
		if len(c.costs) >= maxCosts {
			key = costKey{NameOther, NameOther}
		}
		if cost = c.costs[key]; cost == nil {
			cost = &costCell{sums: newRing[costSums](w.Long, causeSteps)}
			c.costs[key] = cost
		}
	}
	sums := cost.sums.at(now)
	sums.calls++
	sums.cost += stage.Cost
	sums.wasted += stage.Wasted
	sums.tokens += uint64(max(stage.Tokens, 0))
	sums.duration += stage.Duration
	cost.calls++
	cost.meanMS += (milliseconds(stage.Duration) - cost.meanMS) / cost.calls
}

func sumUint(r *ring[uint64], now time.Time, window time.Duration) uint64 {
	var sum uint64
	r.each(now, window, func(_ time.Time, v *uint64) { sum += *v })
	return sum
}
