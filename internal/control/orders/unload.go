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

// spared reports whether the model version may go from the engine without
// leaving fewer than keep engines that are ready for it. One that is not ready
// there serves nobody.
func (p *planner) spared(e Engine, v ModelVersion, keep int) bool {
	if !e.readyOn(v) {
		return countReady(p.engines, v) >= keep
	}
	return countReady(p.engines, v)-1 >= max(1, keep)
}

// evictable finds an engine and a model version on it that gives way to the
// want: one with more engines than it needs; or, if the want has fewer than
// its minimum, one with more than its own minimum.
func (p *planner) evictable(w Want) (int, ModelVersion, bool) {
	urgent := p.holders(w.ModelVersion) < w.Min
	for i, e := range p.engines {
		if _, has := e.model(w.ModelVersion); has || !e.ordered() {
			continue
		}
		for _, m := range e.Models {
			if v := versionOf(m); p.givesWay(e, v, urgent) {
				return i, v, true
			}
		}
	}
	return 0, ModelVersion{}, false
}

func (p *planner) givesWay(e Engine, v ModelVersion, urgent bool) bool {
	other, wanted := p.wants[v]
	if !wanted {
		if p.kept[v] {
			return urgent && p.spared(e, v, 1)
		}
		return urgent || p.unwanted(v)
	}
	if e.changing() {
		return false // one load at a time: it would be cut or its model lost
	}
	keep := other.Count
	if urgent {
		keep = other.Min
	}
	return p.spared(e, v, keep)
}

// unwanted reports whether the model version may be unloaded everywhere: no
// profile or plan names it, none did lately, and every version in force of the
// model is ready somewhere. Until then the old version is what a rollback
// would fall back to.
func (p *planner) unwanted(v ModelVersion) bool {
	if _, wanted := p.wants[v]; wanted || p.kept[v] {
		return false
	}
	for other := range p.wants {
		if other.Model == v.Model && countReady(p.engines, other) == 0 {
			return false
		}
	}
	return true
}

// unloadUnwanted frees the room of versions that are out of force.
func (p *planner) unloadUnwanted() {
	for i, e := range p.engines {
		if !e.ordered() {
			continue
		}
		for _, m := range slices.Clone(e.Models) {
			if v := versionOf(m); p.unwanted(v) {
				p.unload(i, v)
			}
		}
	}
}

// unloadSurplus takes one engine from each want that has more than it needs,
// the one with the least work.
func (p *planner) unloadSurplus() {
	for _, w := range p.ordered() {
		if p.holders(w.ModelVersion) <= w.Count {
			continue
		}
		i, found := p.best(func(_ int, e Engine) bool {
			_, has := e.model(w.ModelVersion)
			return has && p.spared(e, w.ModelVersion, max(w.Min, w.Count))
		}, func(a, b Engine) bool { return a.load() < b.load() })
		if found {
			p.unload(i, w.ModelVersion)
		}
	}
}
