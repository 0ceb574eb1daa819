package orders

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// fakeEngine is an engine that loads weights in loadTime.
type fakeEngine struct {
	checksFence bool
	models      []targetapi.LoadedModel
	role        string
	highFence   uint64
	running     int
	refuses     bool
	received    int // orders that reached it
	down        bool
}

// fakeEngines is a stagecall.Caller over engines in memory. It records the
// orders that were carried out.
type fakeEngines struct {
	stagecall.Caller // panics if the orders controller runs a stage

	mu       sync.Mutex // guards all below
	engines  map[string]*fakeEngine
	loadTime time.Duration
	delay    func() time.Duration // of each order and of each reply
	orders   []executedOrder
}

// executedOrder is an order that an engine carried out.
type executedOrder struct {
	engine      string
	order       targetapi.Order
	checksFence bool
	sent, at    time.Time
}

func newEngines(n int, checksFence bool) *fakeEngines {
	f := &fakeEngines{engines: make(map[string]*fakeEngine), loadTime: 5 * time.Second}
	for i := range n {
		f.engines[engineID(i)] = &fakeEngine{checksFence: checksFence}
	}
	return f
}

func engineID(i int) string { return fmt.Sprintf("e-%02d", i) }

// transitDelay returns how long an order or its reply is in transit.
func (f *fakeEngines) transitDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.delay == nil {
		return time.Millisecond
	}
	return f.delay()
}

func (f *fakeEngines) State(ctx context.Context, t stagecall.Target) (targetapi.LoadReport, error) {
	time.Sleep(time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[t.ID]
	if e.down || ctx.Err() != nil {
		return targetapi.LoadReport{}, &stagecall.Failure{Class: stagecall.ClassConnect}
	}
	models := make([]targetapi.LoadedModel, len(e.models))
	for i, m := range e.models {
		models[i] = m
		models[i].Adapters = slices.Clone(m.Adapters)
	}
	return targetapi.LoadReport{Target: t.ID, Slots: 8, Running: e.running, Role: e.role, Models: models, HighFence: e.highFence}, nil
}

// Order delivers the order even if the sender stops waiting for the reply.
func (f *fakeEngines) Order(ctx context.Context, t stagecall.Target, o targetapi.Order) error {
	if ctx.Err() != nil {
		return &stagecall.Failure{Class: stagecall.ClassCancelled, Err: ctx.Err(), NotRun: true}
	}
	sent := time.Now()
	there, back := f.transitDelay(), f.transitDelay()
	reply := make(chan error, 1)
	go func() {
		time.Sleep(there)
		err := f.carryOut(t.ID, o, sent)
		time.Sleep(back)
		reply <- err
	}()
	select {
	case err := <-reply:
		return err
	case <-ctx.Done():
		return &stagecall.Failure{Class: stagecall.ClassSilent, Err: ctx.Err()}
	}
}

func (f *fakeEngines) carryOut(id string, o targetapi.Order, sent time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[id]
	if e.down {
		return &stagecall.Failure{Class: stagecall.ClassConnect}
	}
	e.received++
	if e.refuses {
		return &stagecall.Failure{Class: stagecall.ClassFailed, Code: targetapi.CodeFailed}
	}
	if e.checksFence && o.Fence < e.highFence {
		return &stagecall.Failure{Class: stagecall.ClassRefused, Code: targetapi.CodeOldFence, NotRun: true}
	}
	e.highFence = max(e.highFence, o.Fence)
	f.orders = append(f.orders, executedOrder{engine: id, order: o, checksFence: e.checksFence, sent: sent, at: time.Now()})
	image := Engine{Models: e.models, Role: e.role}
	applyOrder(&image, o)
	e.models, e.role = image.Models, image.Role
	if o.Kind == targetapi.OrderLoad {
		time.AfterFunc(f.loadTime, func() { f.finishLoad(id, ModelVersion{o.Model, o.Version}) })
	}
	return nil
}

func (f *fakeEngines) finishLoad(id string, v ModelVersion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, m := range f.engines[id].models {
		if versionOf(m) == v {
			f.engines[id].models[i].Ready = true
		}
	}
}

// ready returns the number of engines that have the model version ready.
func (f *fakeEngines) ready(v ModelVersion) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.engines {
		if m, found := (Engine{Models: e.models}).model(v); found && m.Ready {
			n++
		}
	}
	return n
}

func (f *fakeEngines) executed() []executedOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.orders)
}
