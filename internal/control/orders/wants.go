package orders

import (
	"slices"
	"sort"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// requirement holds the adapters and the bounds on the number of engines of a model
// version that a profile or plan names.
type requirement struct {
	adapters []string
	min, max int
}

// inForce returns the model versions of a service that the profiles in force and
// the plan name. Providers with weight 0 count, since operators name a version
// before they shift traffic to it.
func inForce(service string, profiles map[string]profile.Versioned, plan lynxapi.ModelPlan, minReady int) map[ModelVersion]requirement {
	all := make(map[ModelVersion]requirement)
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

func addStage(all map[ModelVersion]requirement, service string, stage profile.Stage, minReady int) {
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

// memory is the state that the lease holder of a service keeps between plans. It
// only delays changes, so that a new lease holder can start without it.
type memory struct {
	scaler *scaler
	// lastInForce is when each model version and its adapters were last in force.
	lastInForce map[ModelVersion]lastUse
}

type lastUse struct {
	at       time.Time
	adapters map[string]time.Time
}

func newMemory(scaling Scaling) *memory {
	return &memory{scaler: newScaler(scaling), lastInForce: make(map[ModelVersion]lastUse)}
}

// input assembles the planner's input.
func (m *memory) input(o Options, now time.Time, engines []Engine, all map[ModelVersion]requirement) PlanInput {
	f := PlanInput{Engines: engines, ModelsPerEngine: o.ModelsPerEngine}
	usable := countUsable(engines)
	f.MaxLoading = max(1, int(o.MaxLoadingShare*float64(usable)))
	m.observe(now, engines, all)
	force := make(map[ModelVersion]bool)
	for v, n := range all {
		force[v] = true
		lowest, highest := bounds(n, usable)
		f.Wants = append(f.Wants, Want{
			ModelVersion: v, Adapters: m.adapters(v, n, now, o.UnloadDelay), Min: lowest,
			Count: m.scaler.count(now, v, engines, lowest, highest),
		})
	}
	for v, r := range m.lastInForce {
		if !force[v] && now.Sub(r.at) < o.UnloadDelay {
			f.Retained = append(f.Retained, v)
		}
	}
	m.scaler.retain(force)
	sort.Slice(f.Wants, func(i, j int) bool { return less(f.Wants[i].ModelVersion, f.Wants[j].ModelVersion) })
	return f
}

// bounds returns the minimum and maximum number of engines of a version, limited by
// the number of usable engines; both are at least 1.
func bounds(n requirement, usable int) (int, int) {
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

// observe records what is in force now. A version or adapter that an engine has and
// that was never observed in force counts as in force until now: after a change of
// the lease holder it is unknown how long ago a profile named it.
func (m *memory) observe(now time.Time, engines []Engine, all map[ModelVersion]requirement) {
	for v, n := range all {
		r := m.lookup(v, now)
		r.at = now
		for _, adapter := range n.adapters {
			r.adapters[adapter] = now
		}
		m.lastInForce[v] = r
	}
	for _, e := range engines {
		for _, model := range e.Models {
			r := m.lookup(versionOf(model), now)
			for _, adapter := range model.Adapters {
				if _, known := r.adapters[adapter]; !known {
					r.adapters[adapter] = now
				}
			}
			m.lastInForce[versionOf(model)] = r
		}
	}
}

func (m *memory) lookup(v ModelVersion, now time.Time) lastUse {
	if r, known := m.lastInForce[v]; known {
		return r
	}
	return lastUse{at: now, adapters: make(map[string]time.Time)}
}

// adapters returns the adapters in force and those that were in force, or first
// seen loaded on an engine, less than keep ago.
func (m *memory) adapters(v ModelVersion, n requirement, now time.Time, keep time.Duration) []string {
	adapters := slices.Clone(n.adapters)
	for adapter, at := range m.lastInForce[v].adapters {
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
