package orders

import (
	"slices"

	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// applyPlan returns the engines as they are once the plan has been carried out.
func applyPlan(engines []Engine, plan Plan) []Engine {
	byID := make(map[string]int)
	next := slices.Clone(engines)
	for i, e := range next {
		next[i].Models = slices.Clone(e.Models)
		byID[e.ID] = i
	}
	for _, step := range plan.Steps {
		if i, there := byID[step.Engine]; there {
			applyOrder(&next[i], step.Order)
		}
	}
	return next
}

func applyOrder(e *Engine, o targetapi.Order) {
	v := ModelVersion{Model: o.Model, Version: o.Version}
	switch o.Kind {
	case targetapi.OrderLoad:
		if _, has := e.model(v); !has {
			e.Models = append(e.Models, targetapi.LoadedModel{Model: o.Model, Version: o.Version})
		}
	case targetapi.OrderUnload:
		e.Models = slices.DeleteFunc(e.Models, func(m targetapi.LoadedModel) bool { return versionOf(m) == v })
	case targetapi.OrderLoadAdapter, targetapi.OrderUnloadAdapter:
		for i, m := range e.Models {
			if versionOf(m) == v {
				e.Models[i].Adapters = applyAdapter(m.Adapters, o)
			}
		}
	case targetapi.OrderRole:
		e.Role = o.Role
	}
}

func applyAdapter(adapters []string, o targetapi.Order) []string {
	if o.Kind == targetapi.OrderLoadAdapter {
		return withAdapter(adapters, o.Adapter)
	}
	return slices.DeleteFunc(slices.Clone(adapters), func(a string) bool { return a == o.Adapter })
}
