package orders

import (
	"slices"
	"sort"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// named is a model version that a profile or plan names, with its adapters.
type named struct {
	adapters []string
	min, max int
}

// inForce collects the model versions of a service that profiles in force and
// the plan name. Providers of weight 0 count: operators name a version before
// they shift work to it.
func inForce(service string, profiles map[string]profile.Versioned, plan lynxapi.ModelPlan, minReady int) map[ModelVersion]named {
	all := make(map[ModelVersion]named)
	for _, p := range profiles {
		if p.Deleted {
			continue
		}
		for _, stage := range p.Profile.Stages {
			addStage(all, service, stage, minReady)
		}
	}
	for _, w := range plan.Models {
		v := ModelVersion{Model: w.Model, Version: w.Version}
		n := all[v]
		n.min, n.max = max(1, w.Min), w.Max
		for _, adapter := range w.Adapters {
			n.adapters = withAdapter(n.adapters, adapter)
		}
		all[v] = n
	}
	return all
}

func addStage(all map[ModelVersion]named, service string, stage profile.Stage, minReady int) {
	for _, provider := range stage.Providers {
		if provider.Service != service || provider.Model == "" {
			continue
		}
		v := ModelVersion{Model: provider.Model, Version: provider.Version}
		n := all[v]
		n.min = minReady
		if provider.Adapter != "" {
			n.adapters = withAdapter(n.adapters, provider.Adapter)
		}
		all[v] = n
	}
}

func withAdapter(adapters []string, adapter string) []string {
	if slices.Contains(adapters, adapter) {
		return adapters
	}
	adapters = append(slices.Clone(adapters), adapter)
	sort.Strings(adapters)
	return adapters
}

// memory is what a service's order-giver remembers from plan to plan. All of it
// only delays changes, so that a new order-giver may start with none.
type memory struct {
	scaler *scaler
	// named is when each model version was last in force, and its adapters.
	named map[ModelVersion]remembered
}

type remembered struct {
	at       time.Time
	adapters map[string]time.Time
}

func newMemory(scaling Scaling) *memory {
	return &memory{scaler: newScaler(scaling), named: make(map[ModelVersion]remembered)}
}

// facts assembles the planner's facts.
func (m *memory) facts(o Options, now time.Time, engines []Engine, all map[ModelVersion]named) Facts {
	f := Facts{Engines: engines, ModelsPerEngine: o.ModelsPerEngine}
	usable := countUsable(engines)
	f.MaxChanging = max(1, int(o.ChangingShare*float64(usable)))
	m.note(now, engines, all)
	force := make(map[ModelVersion]bool)
	for v, n := range all {
		force[v] = true
		lowest, highest := bounds(n, usable)
		f.Wants = append(f.Wants, Want{
			ModelVersion: v, Adapters: m.adapters(v, n, now, o.KeepAfter), Min: lowest,
			Count: m.scaler.count(now, v, engines, lowest, highest),
		})
	}
	for v, r := range m.named {
		if !force[v] && now.Sub(r.at) < o.KeepAfter {
			f.Kept = append(f.Kept, v)
		}
	}
	m.scaler.retain(force)
	sort.Slice(f.Wants, func(i, j int) bool { return less(f.Wants[i].ModelVersion, f.Wants[j].ModelVersion) })
	return f
}

// bounds are the fewest and most engines of a version, within those that are.
func bounds(n named, usable int) (int, int) {
	highest := usable
	if n.max > 0 {
		highest = min(usable, n.max)
	}
	return min(max(1, n.min), max(1, highest)), max(1, highest)
}

func countUsable(engines []Engine) int {
	n := 0
	for _, e := range engines {
		if e.Usable {
			n++
		}
	}
	return n
}

// note remembers what is in force now. What engines have that was never seen
// in force counts as in force until now: after a change of the order-giver
// nobody knows how long ago a profile named it.
func (m *memory) note(now time.Time, engines []Engine, all map[ModelVersion]named) {
	for v, n := range all {
		r := m.remember(v, now)
		r.at = now
		for _, adapter := range n.adapters {
			r.adapters[adapter] = now
		}
		m.named[v] = r
	}
	for _, e := range engines {
		for _, model := range e.Models {
			r := m.remember(versionOf(model), now)
			for _, adapter := range model.Adapters {
				if _, known := r.adapters[adapter]; !known {
					r.adapters[adapter] = now
				}
			}
			m.named[versionOf(model)] = r
		}
	}
}

func (m *memory) remember(v ModelVersion, now time.Time) remembered {
	if r, known := m.named[v]; known {
		return r
	}
	return remembered{at: now, adapters: make(map[string]time.Time)}
}

// adapters returns those in force and those that were until lately and are
// loaded somewhere.
func (m *memory) adapters(v ModelVersion, n named, now time.Time, keep time.Duration) []string {
	adapters := slices.Clone(n.adapters)
	for adapter, at := range m.named[v].adapters {
		if now.Sub(at) < keep {
			adapters = withAdapter(adapters, adapter)
		}
	}
	return adapters
}

// serviceTargets returns the targets of the service.
func serviceTargets(b *board.Board, service string) []board.Target {
	var targets []board.Target
	for _, t := range b.Targets.Snapshot() {
		if t.Service == service {
			targets = append(targets, t)
		}
	}
	sort.Slice(targets, func(i, j int) bool { return targets[i].ID < targets[j].ID })
	return targets
}
