package engine

import (
	"errors"
	"slices"
	"sync"

	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// Roles of an engine.
const (
	RoleMixed   = "mixed"
	RolePrefill = "prefill"
	RoleDecode  = "decode"
)

var errOldFence = errors.New("fencing number below the highest seen")

// OrderRecord is an order as the engine took or refused it.
type OrderRecord struct {
	Order    targetapi.Order
	Accepted bool
}

// models is what an engine has loaded, and the orders that made it so.
type models struct {
	initial     []targetapi.LoadedModel
	checksFence bool

	mu        sync.Mutex // guards the fields below
	role      string
	highFence uint64
	loaded    []targetapi.LoadedModel
	orders    []OrderRecord
}

func newModels(initial []targetapi.LoadedModel, role string, checksFence bool) *models {
	m := &models{initial: initial, checksFence: checksFence, role: role}
	m.loaded = cloneModels(initial)
	return m
}

func cloneModels(all []targetapi.LoadedModel) []targetapi.LoadedModel {
	clone := slices.Clone(all)
	for i := range clone {
		clone[i].Adapters = slices.Clone(clone[i].Adapters)
	}
	return clone
}

// reset returns to what the engine started with: models come back, the
// fencing number, which was only in memory, doesn't.
func (m *models) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loaded = cloneModels(m.initial)
	m.highFence = 0
}

func (m *models) describe(report *targetapi.LoadReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	report.Role = m.role
	report.HighFence = m.highFence
	report.Models = cloneModels(m.loaded)
}

// ready tells whether a run can be served. An empty model or version asks
// for any.
func (m *models) ready(model, version, adapter string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(m.loaded, func(l targetapi.LoadedModel) bool {
		return l.Ready &&
			(model == "" || l.Model == model) &&
			(version == "" || l.Version == version) &&
			(adapter == "" || slices.Contains(l.Adapters, adapter))
	})
}

// apply carries out an order. It returns whether weights must now be fetched.
func (m *models) apply(order targetapi.Order) (fetch bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	stale := order.Fence < m.highFence
	if stale && m.checksFence {
		m.orders = append(m.orders, OrderRecord{Order: order})
		return false, errOldFence
	}
	m.highFence = max(m.highFence, order.Fence)
	m.orders = append(m.orders, OrderRecord{Order: order, Accepted: true})
	return m.change(order), nil
}

// change makes the engine's state what the order wants. The caller holds mu.
func (m *models) change(order targetapi.Order) (fetch bool) {
	i := m.index(order.Model, order.Version)
	switch order.Kind {
	case targetapi.OrderLoad:
		if i >= 0 {
			return false
		}
		m.loaded = append(m.loaded, targetapi.LoadedModel{Model: order.Model, Version: order.Version})
		return true
	case targetapi.OrderUnload:
		if i >= 0 {
			m.loaded = slices.Delete(m.loaded, i, i+1)
		}
	case targetapi.OrderLoadAdapter:
		return i >= 0 && !slices.Contains(m.loaded[i].Adapters, order.Adapter)
	case targetapi.OrderUnloadAdapter:
		if i >= 0 {
			m.loaded[i].Adapters = slices.DeleteFunc(m.loaded[i].Adapters, func(a string) bool { return a == order.Adapter })
		}
	case targetapi.OrderRole:
		m.role = order.Role
	}
	return false
}

func (m *models) index(model, version string) int {
	return slices.IndexFunc(m.loaded, func(l targetapi.LoadedModel) bool {
		return l.Model == model && l.Version == version
	})
}

// fetched marks what an order asked for as ready, if it is still wanted.
func (m *models) fetched(order targetapi.Order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := m.index(order.Model, order.Version)
	if i < 0 {
		return
	}
	if order.Kind == targetapi.OrderLoad {
		m.loaded[i].Ready = true
		return
	}
	if !slices.Contains(m.loaded[i].Adapters, order.Adapter) {
		m.loaded[i].Adapters = append(m.loaded[i].Adapters, order.Adapter)
	}
}

func (m *models) orderList() []OrderRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.orders)
}
