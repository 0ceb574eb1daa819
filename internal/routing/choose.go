package routing

import (
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// RandSource generates random numbers; *rand.Rand of math/rand/v2 implements it.
type RandSource interface {
	IntN(n int) int
	NormFloat64() float64
}

// Chooser selects targets. Its only state is the index.
type Chooser struct {
	Board  *board.Board
	Index  *Index
	Zone   string
	Region string
	Tuning Tuning
}

// ChooseParams holds the arguments of Chooser.Choose.
type ChooseParams struct {
	Query    *Query
	Provider profile.Provider
	Policy   Policy
	Now      time.Time
	View     LocalView
	Rand     RandSource
	Turn     uint64 // number of choices made for the service, for PolicyRoundRobin
	Mean     ServiceMean
}

// Verdict is the result of a choice.
type Verdict int

// Results of a choice.
const (
	Chosen      Verdict = iota
	AllFull             // there are candidates, but none has capacity
	NoCandidate         // no target of the service is eligible for the call
)

// candidate is a target that is eligible for the call, with its known load.
type candidate struct {
	entry    *Entry
	load     board.Load
	reported bool
	local    LocalState
	score    time.Duration // set only where candidates are compared
}

// Choose selects a target for the query from the provider's service.
func (c *Chooser) Choose(p ChooseParams) (Choice, Verdict) {
	service := c.Index.Service(p.Provider.Service)
	if service == nil {
		return Choice{}, NoCandidate
	}
	best, ok := c.byPolicy(&p, service)
	if !ok {
		return c.fallback(&p, service)
	}
	return c.choice(&p, best), Chosen
}

func (c *Chooser) byPolicy(p *ChooseParams, s *Service) (candidate, bool) {
	switch p.Policy {
	case PolicyRandom:
		return c.drawOrScan(p, s.All)
	case PolicyRoundRobin:
		return c.roundRobin(p, s.All)
	case PolicyLeastInFlight:
		return c.leastInFlight(p, s.All)
	default:
		return c.twoChoices(p, s)
	}
}

func (c *Chooser) choice(p *ChooseParams, best candidate) Choice {
	return Choice{Target: best.entry.Target, Provider: p.Provider, Estimate: c.estimate(p, best)}
}

// fallback is used when no target is usable. It distinguishes a service whose
// targets are full from one without candidates. If all candidates are ejected,
// it chooses an ejected one with capacity, which is better than a refusal.
func (c *Chooser) fallback(p *ChooseParams, s *Service) (Choice, Verdict) {
	verdict := NoCandidate
	allEjected := true
	var spare candidate
	for _, e := range s.All {
		cand, ok := c.candidate(p, e)
		if !ok {
			continue
		}
		verdict = AllFull
		allEjected = allEjected && cand.local.Ejected
		if cand.local.Ejected && !cand.local.Full {
			spare = cand
		}
	}
	if verdict == AllFull && allEjected && spare.entry != nil {
		return c.choice(p, spare), Chosen
	}
	return Choice{}, verdict
}

// candidate reports whether the target is eligible for the call, whether or
// not it has capacity.
func (c *Chooser) candidate(p *ChooseParams, e *Entry) (candidate, bool) {
	if kind := p.Query.Stage.Kind; kind != "" && e.Target.Kind != kind {
		return candidate{}, false
	}
	if !matchesProvider(e.Target, p.Provider) {
		return candidate{}, false
	}
	if slices.Contains(p.Query.Exclude, e.Target.ID) {
		return candidate{}, false
	}
	load, reported := c.Board.Loads.Get(e.Target.ID)
	if reported && (load.Report.Leaving || !Serves(load.Report, p.Provider)) {
		return candidate{}, false
	}
	local := p.View.Local(e.Target.ID, load, reported)
	return candidate{entry: e, load: load, reported: reported, local: local}, true
}

// matchesProvider reports whether the target may serve the provider. During a
// migration from one provider to another, one service holds targets of both;
// without this check, a call for the old provider could run on the new one's
// engine and its cost would be attributed to the wrong provider. A target that
// names no provider serves all of them, and a provider without a name of its
// own is served by all targets.
func matchesProvider(t board.Target, provider profile.Provider) bool {
	if t.Provider == "" || provider.Name == "" || provider.Name == profile.DefaultProviderName {
		return true
	}
	return t.Provider == provider.Name
}

// usable returns the target as a candidate and reports whether it is eligible,
// has capacity and is not ejected.
func (c *Chooser) usable(p *ChooseParams, e *Entry) (candidate, bool) {
	cand, ok := c.candidate(p, e)
	return cand, ok && !cand.local.Full && !cand.local.Ejected
}

// Serves reports whether a target has the provider's model, version and
// adapter ready. If the report lists no models, the target is assumed to have
// them.
func Serves(report targetapi.LoadReport, provider profile.Provider) bool {
	if provider.Model == "" || len(report.Models) == 0 {
		return true
	}
	for i := range report.Models {
		m := &report.Models[i]
		if m.Ready && m.Model == provider.Model && hasVersion(m, provider.Version) && hasAdapter(m, provider.Adapter) {
			return true
		}
	}
	return false
}

func hasVersion(m *targetapi.LoadedModel, version string) bool {
	return version == "" || m.Version == version
}

func hasAdapter(m *targetapi.LoadedModel, adapter string) bool {
	return adapter == "" || slices.Contains(m.Adapters, adapter)
}

// estimate returns the expected time to completion.
func (c *Chooser) estimate(p *ChooseParams, cand candidate) time.Duration {
	return c.completion(p, cand, 0)
}

// score returns the time to completion for a load that is sampled from the
// distribution of the target's present load. Without sampling, all instances
// would rank two targets with second-old reports the same way, even when those
// reports hardly matter any more, and all calls would go to the same few targets
// until the next reports: worse than a random choice.
func (c *Chooser) score(p *ChooseParams, cand candidate) time.Duration {
	return c.completion(p, cand, p.Rand.NormFloat64())
}

// completion returns the expected time to completion at a load that lies the
// given number of standard deviations above the estimate.
func (c *Chooser) completion(p *ChooseParams, cand candidate, deviations float64) time.Duration {
	slots := cand.load.Report.Slots
	if slots <= 0 {
		slots = c.Tuning.DefaultSlots
	}
	service := c.serviceTime(p, cand)
	outstanding := p.Mean.PerSlot*float64(slots) + float64(cand.local.InFlight)
	if cand.reported {
		mid, deviation := c.Tuning.outstanding(cand.load, p.Now.Sub(cand.load.At), slots, service, p.Mean, cand.local)
		outstanding = max(mid+deviations*deviation, 0)
	}
	total := EstimateCompletion(outstanding, slots, service, c.Tuning.BatchSlowdown)
	return total + c.distance(cand.entry.Target)
}

func (c *Chooser) serviceTime(p *ChooseParams, cand candidate) time.Duration {
	switch {
	case cand.local.Median > 0:
		return cand.local.Median
	case cand.load.Report.MeanMS > 0:
		return time.Duration(cand.load.Report.MeanMS * float64(time.Millisecond))
	case p.Mean.Service > 0:
		return p.Mean.Service
	default:
		return c.Tuning.DefaultServiceTime
	}
}

// distance returns the latency penalty of a target in another zone or region.
func (c *Chooser) distance(t board.Target) time.Duration {
	switch {
	case t.Region != c.Region:
		return c.Tuning.RegionPenalty
	case t.Zone != c.Zone:
		return c.Tuning.ZonePenalty
	default:
		return 0
	}
}
