package slo

import (
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/pipeline"
)

// Names that are not those of an error kind, stage or profile, and limits on
// table sizes.
const (
	CauseLate   = "late"    // cause: the answer was complete but came after the deadline
	NameOther   = "other"   // row for everything beyond a table's limit
	NameUnknown = "unknown" // row for rejected requests whose profile has no cell
	maxCauses   = 256       // per profile
	maxCosts    = 256       // per profile
	maxProfiles = 64        // per shard; further ones are counted under NameOther
)

// profileCell is a cell with the additional data of a profile: counts in
// one-second steps, causes of misses, and costs.
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

// costCell holds the costs of a stage at one provider.
type costCell struct {
	sums *ring[costSums]
	// meanMS is the mean duration of the stage since the start, in
	// milliseconds. For a late request, responsibleStage compares it with the
	// durations of the stages.
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
		c.countCause(now, w, sample)
	}
	for _, stage := range sample.Stages {
		c.addCost(now, w, stage)
	}
}

// cell returns the cell of a profile, creating it if needed. Excluded requests
// may name a profile that does not exist, so they create no cell but that of
// NameUnknown: otherwise a caller could exhaust memory with invented names.
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

// countCause counts a miss under the stage, target and error kind that caused
// it.
func (c *profileCell) countCause(now time.Time, w Windows, s Sample) {
	key := causeKey{kind: CauseLate}
	if s.Err != nil {
		key.kind = errkind.Of(s.Err).String()
	}
	if stage, found := c.responsibleStage(s.Stages); found {
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

// dropIdleCauses deletes the causes that have not occurred in the long window.
func (c *profileCell) dropIdleCauses(now time.Time, w Windows) {
	for key, r := range c.causes {
		if sumUint(r, now, w.Long) == 0 {
			delete(c.causes, key)
		}
	}
}

// responsibleStage returns the last stage that failed or, if none failed, the
// stage that exceeded its mean duration by the most. Choosing the longest stage
// instead would always blame generation, even if a usually fast reranker
// stalled.
func (c *profileCell) responsibleStage(stages []pipeline.StageReport) (pipeline.StageReport, bool) {
	for i := len(stages) - 1; i >= 0; i-- {
		if stages[i].Err != nil {
			return stages[i], true
		}
	}
	var worst pipeline.StageReport
	worstExcess := 0.0
	for i, stage := range stages {
		excess := milliseconds(stage.Duration) - c.meanMS(stage)
		if i == 0 || excess > worstExcess {
			worst, worstExcess = stage, excess
		}
	}
	return worst, len(stages) > 0
}

func (c *profileCell) meanMS(stage pipeline.StageReport) float64 {
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
