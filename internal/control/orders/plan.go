package orders

import (
	"slices"
	"sort"

	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// MakePlan returns the orders to send now. It is a pure function of its input. It
// guarantees for every prefix of the steps, carried out or not, that each model
// version in force which is ready on some engine stays ready on some engine.
func MakePlan(f PlanInput) Plan {
	p := newPlanner(f)
	p.loadWanted()
	p.unloadUnwanted()
	p.unloadSurplus()
	p.adapters()
	p.roles()
	return p.plan
}

// planner works on a copy of the engines that assumes the worst case for the
// orders planned so far: a load has started but is not ready, and an unload has
// been carried out.
type planner struct {
	input    PlanInput
	engines  []Engine
	wants    map[ModelVersion]Want
	retained map[ModelVersion]bool
	loads    int
	// reserved is the number of model versions, by index of the engine, for which
	// room was freed on the engine and which are loaded once the engine reports the
	// room as free. If another version were loaded there, the next plan would
	// unload it again, and so on without end.
	reserved map[int]int
	plan     Plan
}

func newPlanner(f PlanInput) *planner {
	p := &planner{input: f, wants: make(map[ModelVersion]Want), retained: make(map[ModelVersion]bool), loads: f.Loads, reserved: make(map[int]int)}
	for _, e := range f.Engines {
		e.Models = slices.Clone(e.Models)
		p.engines = append(p.engines, e)
	}
	sort.Slice(p.engines, func(i, j int) bool { return p.engines[i].ID < p.engines[j].ID })
	for _, w := range f.Wants {
		p.wants[w.ModelVersion] = w
	}
	for _, v := range f.Retained {
		p.retained[v] = true
	}
	return p
}

// wantsByShortage returns the wants, ordered by the number of engines that have the
// version or load it, relative to its minimum; the lowest come first.
func (p *planner) wantsByShortage() []Want {
	wants := slices.Clone(p.input.Wants)
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

// holders returns the number of usable engines that have the model version or are
// loading it.
func (p *planner) holders(v ModelVersion) int {
	n := 0
	for _, e := range p.engines {
		if _, has := e.model(v); e.Usable && has {
			n++
		}
	}
	return n
}

func (p *planner) loading() int {
	n := 0
	for _, e := range p.engines {
		if e.Usable && e.loading() {
			n++
		}
	}
	return n
}

// loadWanted loads model versions that have too few engines.
func (p *planner) loadWanted() {
	for _, w := range p.wantsByShortage() {
		for p.holders(w.ModelVersion) < w.Count {
			if !p.loadOne(w) {
				break
			}
		}
	}
}

// loadOne plans one load, or the unload that frees room for it. It returns false if
// nothing more can be done for the want in this plan.
func (p *planner) loadOne(w Want) bool {
	if i, ok := p.roomFor(w.ModelVersion); ok {
		if p.loads <= 0 || p.loading() >= p.input.MaxLoading && !p.engines[i].loading() {
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
		return false // the load follows once the engine reports the room as free
	}
	if p.holders(w.ModelVersion) < w.Min {
		p.plan.Unmet = append(p.plan.Unmet, w.ModelVersion)
	}
	return false
}

// roomFor returns the best engine with room for the model version: in the zone with
// the fewest engines that have it, then with the fewest models, then with the
// lowest load.
func (p *planner) roomFor(v ModelVersion) (int, bool) {
	inZone := make(map[string]int)
	for _, e := range p.engines {
		if _, has := e.model(v); has && e.Usable {
			inZone[e.Zone]++
		}
	}
	return p.best(func(i int, e Engine) bool {
		_, has := e.model(v)
		return !has && len(e.Models)+p.reserved[i] < p.input.ModelsPerEngine
	}, func(a, b Engine) bool {
		if inZone[a.Zone] != inZone[b.Zone] {
			return inZone[a.Zone] < inZone[b.Zone]
		}
		if len(a.Models) != len(b.Models) {
			return len(a.Models) < len(b.Models)
		}
		return a.load() < b.load()
	})
}

// best returns the index of the best engine among those that accept orders and
// fit; among equals, the first by ID.
func (p *planner) best(fits func(int, Engine) bool, better func(a, b Engine) bool) (int, bool) {
	best, found := 0, false
	for i, e := range p.engines {
		if !e.acceptsOrders() || !fits(i, e) {
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
