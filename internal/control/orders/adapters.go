package orders

import (
	"slices"

	"lynxhill.example/lynxhill/internal/wire/lynxapi"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// adapters plans loads and unloads of adapters, so that ready model versions have
// the wanted ones.
func (p *planner) adapters() {
	for i, e := range p.engines {
		if !e.acceptsOrders() {
			continue
		}
		for _, m := range e.Models {
			if w, wanted := p.wants[versionOf(m)]; wanted && m.Ready {
				p.adaptersOf(i, m, w)
			}
		}
	}
}

func (p *planner) adaptersOf(i int, m targetapi.LoadedModel, w Want) {
	order := targetapi.Order{Model: m.Model, Version: m.Version}
	for _, adapter := range w.Adapters {
		if slices.Contains(m.Adapters, adapter) || p.loads <= 0 {
			continue
		}
		p.loads--
		order.Kind, order.Adapter = targetapi.OrderLoadAdapter, adapter
		p.add(i, order)
	}
	for _, adapter := range m.Adapters {
		if !slices.Contains(w.Adapters, adapter) {
			order.Kind, order.Adapter = targetapi.OrderUnloadAdapter, adapter
			p.add(i, order)
		}
	}
}

// roles moves one engine to each role that has too few, from a role that has too
// many or that the plan does not name.
func (p *planner) roles() {
	counts := make(map[string]int)
	for _, e := range p.engines {
		if e.Usable {
			counts[e.Role]++
		}
	}
	wanted := make(map[string]int)
	for _, r := range p.input.Roles {
		wanted[r.Role] = r.Engines
	}
	for _, r := range p.input.Roles {
		p.roleOne(r, counts, wanted)
	}
}

func (p *planner) roleOne(r lynxapi.RoleWant, counts, wanted map[string]int) {
	if counts[r.Role] >= r.Engines {
		return
	}
	i, found := p.best(func(_ int, e Engine) bool {
		return e.Role != r.Role && counts[e.Role] > wanted[e.Role]
	}, func(a, b Engine) bool { return a.load() < b.load() })
	if !found {
		return
	}
	counts[p.engines[i].Role]--
	counts[r.Role]++
	p.engines[i].Role = r.Role
	p.add(i, targetapi.Order{Kind: targetapi.OrderRole, Role: r.Role})
}
