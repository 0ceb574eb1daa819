package orders

import (
	"slices"

	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// unload plans the unloading of the model version from the engine.
func (p *planner) unload(i int, v ModelVersion) {
	p.add(i, targetapi.Order{Kind: targetapi.OrderUnload, Model: v.Model, Version: v.Version})
	p.engines[i].Models = slices.DeleteFunc(p.engines[i].Models, func(m targetapi.LoadedModel) bool {
		return versionOf(m) == v
	})
}

// removable reports whether the model version can be unloaded from the engine with
// at least keep ready engines left; if the engine is ready for it, at least one
// must be left. An engine that is not ready for the version serves no requests for
// it and does not count.
func (p *planner) removable(e Engine, v ModelVersion, keep int) bool {
	if !e.readyOn(v) {
		return countReady(p.engines, v) >= keep
	}
	return countReady(p.engines, v)-1 >= max(1, keep)
}

// evictable finds an engine and a model version on it that can be unloaded to free
// room for the want: a version with more engines than it needs or, if the want has
// fewer engines than its minimum, a version with more than its own minimum.
func (p *planner) evictable(w Want) (int, ModelVersion, bool) {
	urgent := p.holders(w.ModelVersion) < w.Min
	for i, e := range p.engines {
		if _, has := e.model(w.ModelVersion); has || !e.acceptsOrders() {
			continue
		}
		for _, m := range e.Models {
			if v := versionOf(m); p.canEvict(e, v, urgent) {
				return i, v, true
			}
		}
	}
	return 0, ModelVersion{}, false
}

func (p *planner) canEvict(e Engine, v ModelVersion, urgent bool) bool {
	other, wanted := p.wants[v]
	if !wanted {
		if p.retained[v] {
			return urgent && p.removable(e, v, 1)
		}
		return urgent || p.unwanted(v)
	}
	if e.loading() {
		return false // an unload would abort the load in progress or lose its model
	}
	keep := other.Count
	if urgent {
		keep = other.Min
	}
	return p.removable(e, v, keep)
}

// unwanted reports whether the model version may be unloaded everywhere: no
// profile or plan names it or did recently, and every version in force of the
// model is ready on some engine. Until then, the old version is kept for a
// rollback.
func (p *planner) unwanted(v ModelVersion) bool {
	if _, wanted := p.wants[v]; wanted || p.retained[v] {
		return false
	}
	for other := range p.wants {
		if other.Model == v.Model && countReady(p.engines, other) == 0 {
			return false
		}
	}
	return true
}

// unloadUnwanted unloads the versions that are no longer in force.
func (p *planner) unloadUnwanted() {
	for i, e := range p.engines {
		if !e.acceptsOrders() {
			continue
		}
		for _, m := range slices.Clone(e.Models) {
			if v := versionOf(m); p.unwanted(v) {
				p.unload(i, v)
			}
		}
	}
}

// unloadSurplus unloads each want that has more engines than it needs from one
// engine, the one with the lowest load.
func (p *planner) unloadSurplus() {
	for _, w := range p.wantsByShortage() {
		if p.holders(w.ModelVersion) <= w.Count {
			continue
		}
		i, found := p.best(func(_ int, e Engine) bool {
			_, has := e.model(w.ModelVersion)
			return has && p.removable(e, w.ModelVersion, max(w.Min, w.Count))
		}, func(a, b Engine) bool { return a.load() < b.load() })
		if found {
			p.unload(i, w.ModelVersion)
		}
	}
}
