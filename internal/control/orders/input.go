package orders

import (
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// ModelVersion identifies the weights of a model.
type ModelVersion struct {
	Model   string
	Version string
}

// Engine is the planner's view of an engine.
type Engine struct {
	ID   string
	Zone string
	// Usable is whether the engine responds, is not leaving and is not drained.
	// Engines that are not usable get no orders and do not count as ready.
	Usable bool
	// Refuses is whether the engine's last order failed and its backoff has not
	// ended. Until then it gets no orders, so that the planner chooses another
	// engine.
	Refuses bool
	Models  []targetapi.LoadedModel
	Role    string
	Running int
	Queued  int
	Slots   int
}

// Want is a model version in force with the number of engines wanted for it.
type Want struct {
	ModelVersion
	Adapters []string
	Min      int // minimum number of engines, also when other versions need the room
	Count    int // number of engines according to demand, at least Min
}

// PlanInput is all the input of a plan.
type PlanInput struct {
	Engines []Engine
	// Wants are the model versions in force.
	Wants []Want
	// Retained are the model versions that were in force until recently. They
	// are not loaded on further engines, and not unloaded unless a version in
	// force needs the room to reach its minimum.
	Retained        []ModelVersion
	Roles           []lynxapi.RoleWant
	ModelsPerEngine int
	// Loads is the number of loads of weights that the rate limit of the weight
	// store allows now.
	Loads int
	// MaxLoading is the number of engines that may be loading weights at a time.
	MaxLoading int
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

// acceptsOrders reports whether orders may be sent to the engine.
func (e Engine) acceptsOrders() bool { return e.Usable && !e.Refuses }

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

// loading reports whether the engine is loading weights.
func (e Engine) loading() bool {
	for _, m := range e.Models {
		if !m.Ready {
			return true
		}
	}
	return false
}

// load returns the engine's running and queued work divided by its slots; above 1
// there is a queue.
func (e Engine) load() float64 {
	return float64(e.Running+e.Queued) / float64(max(1, e.Slots))
}

// countReady returns the number of engines that can serve the model version.
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
