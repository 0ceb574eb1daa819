package routing

import (
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// Source draws random numbers; *rand.Rand of math/rand/v2 is one.
type Source interface {
	IntN(n int) int
	NormFloat64() float64
}

// Chooser chooses targets. It keeps no state of its own but the index.
type Chooser struct {
	Board  *board.Board
	Index  *Index
	Place  string
	Region string
	Tuning Tuning
}

// Pick is one question to the chooser.
type Pick struct {
	Query    *Query
	Provider profile.Provider
	Policy   Policy
	Now      time.Time
	View     LocalView
	Rand     Source
	Turn     uint64 // counts the choices of the service, for PolicyRoundRobin
	Mean     Mean
}

// Verdict says how a choice ended.
type Verdict int

// Verdicts.
const (
	Chosen      Verdict = iota
	AllFull             // there are candidates, none has room
	NoCandidate         // no target of the service may take the call
)

// candidate is a target that may take the call, with what is known of it.
type candidate struct {
	entry    *Entry
	load     board.Load
	reported bool
	local    Local
	score    time.Duration // set where candidates are compared
}

// Choose picks a target for the query from the provider's service.
func (c *Chooser) Choose(p Pick) (Choice, Verdict) {
	service := c.Index.Service(p.Provider.Service)
	if service == nil {
		return Choice{}, NoCandidate
	}
	best, ok := c.byPolicy(&p, service)
	if !ok {
		return c.lastResort(&p, service)
	}
	return c.choice(&p, best), Chosen
}

func (c *Chooser) byPolicy(p *Pick, s *Service) (candidate, bool) {
	switch p.Policy {
	case PolicyRandom:
		return c.sample(p, s.All)
	case PolicyRoundRobin:
		return c.roundRobin(p, s.All)
	case PolicyLeastInFlight:
		return c.leastInFlight(p, s.All)
	default:
		return c.twoChoices(p, s)
	}
}

func (c *Chooser) choice(p *Pick, best candidate) Choice {
	return Choice{Target: best.entry.Target, Provider: p.Provider, Estimate: c.estimate(p, best)}
}

// lastResort tells full services from empty ones. When everything that could
// run the call is ejected, an ejected target is better than a refusal.
func (c *Chooser) lastResort(p *Pick, s *Service) (Choice, Verdict) {
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

// candidate reports whether the target may take the call, whether or not it
// has room.
func (c *Chooser) candidate(p *Pick, e *Entry) (candidate, bool) {
	if kind := p.Query.Stage.Kind; kind != "" && e.Target.Kind != kind {
		return candidate{}, false
	}
	if !belongs(e.Target, p.Provider) {
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

// belongs reports whether the target may answer for the provider. Targets of two
// providers stand in one service while work moves from one to the other; without
// this, a call for the old one could run on the new one's engine, and the costs
// of the two would be mixed up. A target that names no provider serves any, and a
// provider that was given no name is served by any.
func belongs(t board.Target, provider profile.Provider) bool {
	if t.Provider == "" || provider.Name == "" || provider.Name == profile.DefaultProviderName {
		return true
	}
	return t.Provider == provider.Name
}

// usable is a candidate with room that is not ejected.
func (c *Chooser) usable(p *Pick, e *Entry) (candidate, bool) {
	cand, ok := c.candidate(p, e)
	return cand, ok && !cand.local.Full && !cand.local.Ejected
}

// Serves reports whether a target has the provider's model, version and
// adapter ready. A report that names no models says nothing about them.
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

// estimate is the expected time to completion.
func (c *Chooser) estimate(p *Pick, cand candidate) time.Duration {
	return c.completion(p, cand, 0)
}

// score is the time to completion for one draw of the target's load from what
// it may be by now. Without the draw, the order of two targets with reports of
// a second ago would be the same for every instance, however little is left of
// the difference, and all calls would go to the same few until the next reports:
// worse than a random choice.
func (c *Chooser) score(p *Pick, cand candidate) time.Duration {
	return c.completion(p, cand, p.Rand.NormFloat64())
}

func (c *Chooser) completion(p *Pick, cand candidate, deviations float64) time.Duration {
	slots := cand.load.Report.Slots
	if slots <= 0 {
		slots = c.Tuning.UnknownSlots
	}
	service := c.serviceTime(p, cand)
	outstanding := p.Mean.PerSlot*float64(slots) + float64(cand.local.InFlight)
	if cand.reported {
		mid, deviation := c.Tuning.outstanding(cand.load, p.Now.Sub(cand.load.At), slots, service, p.Mean, cand.local)
		outstanding = max(mid+deviations*deviation, 0)
	}
	total := Completion(outstanding, slots, service, c.Tuning.BatchSlowdown)
	return total + c.distance(cand.entry.Target)
}

func (c *Chooser) serviceTime(p *Pick, cand candidate) time.Duration {
	switch {
	case cand.local.Median > 0:
		return cand.local.Median
	case cand.load.Report.MeanMS > 0:
		return time.Duration(cand.load.Report.MeanMS * float64(time.Millisecond))
	case p.Mean.Service > 0:
		return p.Mean.Service
	default:
		return c.Tuning.Unknown
	}
}

func (c *Chooser) distance(t board.Target) time.Duration {
	switch {
	case t.Region != c.Region:
		return c.Tuning.RegionPenalty
	case t.Place != c.Place:
		return c.Tuning.PlacePenalty
	default:
		return 0
	}
}
