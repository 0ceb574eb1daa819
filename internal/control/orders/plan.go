package orders

import (
	"slices"
	"sort"

	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// Make returns the orders that are due now. It is a pure function of the
// facts. Every prefix of the steps, carried out or not, leaves each model
// version in force that is ready somewhere ready somewhere.
func Make(f Facts) Plan {
	p := newPlanner(f)
	p.loadWanted()
	p.unloadUnwanted()
	p.unloadSurplus()
	p.adapters()
	p.roles()
	return p.plan
}

// planner works on a copy of the engines in which the orders planned so far
// have been carried out in the worst way: a load is not ready yet, an unload
// has happened.
type planner struct {
	facts   Facts
	engines []Engine
	wants   map[ModelVersion]Want
	kept    map[ModelVersion]bool
	loads   int
	// reserved is the room made on an engine for a model version that is
	// loaded once the room is seen to be free. Another version that took it
	// would be unloaded again in the next plan, without end.
	reserved map[int]int
	plan     Plan
}

func newPlanner(f Facts) *planner {
	p := &planner{facts: f, wants: make(map[ModelVersion]Want), kept: make(map[ModelVersion]bool), loads: f.Loads, reserved: make(map[int]int)}
	for _, e := range f.Engines {
		e.Models = slices.Clone(e.Models)
		p.engines = append(p.engines, e)
	}
	sort.Slice(p.engines, func(i, j int) bool { return p.engines[i].ID < p.engines[j].ID })
	for _, w := range f.Wants {
		p.wants[w.ModelVersion] = w
	}
	for _, v := range f.Kept {
		p.kept[v] = true
	}
	return p
}

// ordered returns the wants, those with the fewest ready engines for their
// minimum first.
func (p *planner) ordered() []Want {
	wants := slices.Clone(p.facts.Wants)
	short := func(w Want) float64 { return float64(p.holders(w.ModelVersion)) / float64(max(1, w.Min)) }
	sort.SliceStable(wants, func(i, j int) bool {
		a, b := wants[i], wants[j]
		if sa, sb := short(a), short(b); sa != sb {
			return sa < sb
		}
		return less(a.ModelVersion, b.ModelVersion)
	})
	return wants
}

func less(a, b ModelVersion) bool {
	if a.Model != b.Model {
		return a.Model < b.Model
	}
	return a.Version < b.Version
}

// holders counts the usable engines that have the model version or load it.
func (p *planner) holders(v ModelVersion) int {
	n := 0
	for _, e := range p.engines {
		if _, has := e.model(v); e.Usable && has {
			n++
		}
	}
	return n
}

func (p *planner) changing() int {
	n := 0
	for _, e := range p.engines {
		if e.Usable && e.changing() {
			n++
		}
	}
	return n
}

// loadWanted loads model versions that have too few engines.
func (p *planner) loadWanted() {
	for _, w := range p.ordered() {
		for p.holders(w.ModelVersion) < w.Count {
			if !p.loadOne(w) {
				break
			}
		}
	}
}

// loadOne plans one load, or the unload that makes room for it. It returns
// false if nothing more can be done for the want now.
func (p *planner) loadOne(w Want) bool {
	if i, ok := p.roomFor(w.ModelVersion); ok {
		if p.loads <= 0 || p.changing() >= p.facts.MaxChanging && !p.engines[i].changing() {
			return false
		}
		p.loads--
		p.add(i, targetapi.Order{Kind: targetapi.OrderLoad, Model: w.Model, Version: w.Version})
		p.engines[i].Models = append(p.engines[i].Models, targetapi.LoadedModel{Model: w.Model, Version: w.Version})
		return true
	}
	if i, victim, ok := p.evictable(w); ok {
		p.unload(i, victim)
		p.reserved[i]++
		return false // the load follows when the room is seen to be free
	}
	if p.holders(w.ModelVersion) < w.Min {
		p.plan.Unmet = append(p.plan.Unmet, w.ModelVersion)
	}
	return false
}

// roomFor returns the best engine with room for the model version.
func (p *planner) roomFor(v ModelVersion) (int, bool) {
	inPlace := make(map[string]int)
	for _, e := range p.engines {
		if _, has := e.model(v); has && e.Usable {
			inPlace[e.Place]++
		}
	}
	return p.best(func(i int, e Engine) bool {
		_, has := e.model(v)
		return !has && len(e.Models)+p.reserved[i] < p.facts.ModelsPerEngine
	}, func(a, b Engine) bool {
		if inPlace[a.Place] != inPlace[b.Place] {
			return inPlace[a.Place] < inPlace[b.Place]
		}
		if len(a.Models) != len(b.Models) {
			return len(a.Models) < len(b.Models)
		}
		return a.load() < b.load()
	})
}

// best returns the usable engine that takes orders, fits and is better than the
// others, the first by id among equals.
func (p *planner) best(fits func(int, Engine) bool, better func(a, b Engine) bool) (int, bool) {
	best, found := 0, false
	for i, e := range p.engines {
		if !e.ordered() || !fits(i, e) {
			continue
		}
		if !found || better(e, p.engines[best]) {
			best, found = i, true
		}
	}
	return best, found
}

func (p *planner) add(i int, order targetapi.Order) {
	p.plan.Steps = append(p.plan.Steps, Step{Engine: p.engines[i].ID, Order: order})
}
