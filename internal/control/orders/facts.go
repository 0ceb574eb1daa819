package orders

import (
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// ModelVersion names weights.
type ModelVersion struct {
	Model   string
	Version string
}

// Engine is what the planner knows of an engine.
type Engine struct {
	ID    string
	Place string
	// Usable engines answer, are not leaving and not drained. Others get no
	// orders and do not count as ready.
	Usable bool
	// Refuses engines did not take their last orders: for a while they get no
	// others, so that the planner picks another engine.
	Refuses bool
	Models  []targetapi.LoadedModel
	Role    string
	Running int
	Queued  int
	Slots   int
}

// Want is a model version in force with the number of engines for it.
type Want struct {
	ModelVersion
	Adapters []string
	Min      int // engines at least, also when others need the room
	Count    int // engines by demand, Min or more
}

// Facts are all that a plan rests on.
type Facts struct {
	Engines []Engine
	// Wants are the model versions in force.
	Wants []Want
	// Kept are those that were in force until lately: not loaded anywhere
	// anew, and not unloaded.
	Kept            []ModelVersion
	Roles           []lynxapi.RoleWant
	ModelsPerEngine int
	// Loads is how many loads of weights the weight store's rate allows now.
	Loads int
	// MaxChanging is how many engines may be loading weights at a time.
	MaxChanging int
}

// Step is an order for one engine.
type Step struct {
	Engine string
	Order  targetapi.Order
}

// Plan is the outcome of planning.
type Plan struct {
	Steps []Step
	// Unmet are the model versions with fewer engines than their minimum for
	// which no engine has room.
	Unmet []ModelVersion
}

// ordered reports whether the engine gets orders.
func (e Engine) ordered() bool { return e.Usable && !e.Refuses }

// readyOn reports whether the engine can serve the model version.
func (e Engine) readyOn(v ModelVersion) bool {
	m, found := e.model(v)
	return e.Usable && found && m.Ready
}

func (e Engine) model(v ModelVersion) (targetapi.LoadedModel, bool) {
	for _, m := range e.Models {
		if m.Model == v.Model && m.Version == v.Version {
			return m, true
		}
	}
	return targetapi.LoadedModel{}, false
}

// changing reports whether the engine is loading weights.
func (e Engine) changing() bool {
	for _, m := range e.Models {
		if !m.Ready {
			return true
		}
	}
	return false
}

// load is the engine's work in its own slots; above 1 there is a queue.
func (e Engine) load() float64 {
	return float64(e.Running+e.Queued) / float64(max(1, e.Slots))
}

// countReady is the number of engines that can serve the model version.
func countReady(engines []Engine, v ModelVersion) int {
	n := 0
	for _, e := range engines {
		if e.readyOn(v) {
			n++
		}
	}
	return n
}

func versionOf(m targetapi.LoadedModel) ModelVersion {
	return ModelVersion{Model: m.Model, Version: m.Version}
}
