package emulator

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

var errFull = errors.New("no slot and no place in the queue")

// gate gives out slots, and memory by weight, in the order of priority.
type gate struct {
	slots, queue, capacity int // capacity 0: no bound

	mu      sync.Mutex
	active  int
	used    int // weight in use
	waiting []*waiter
}

type waiter struct {
	priority, weight int
	ready            chan struct{}
}

// acquire waits for a slot. It returns errFull, or the error of ctx.
func (g *gate) acquire(ctx context.Context, priority, weight int) error {
	w := &waiter{priority, weight, make(chan struct{})}
	if err := g.enqueue(w); err != nil {
		return err
	}
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	i := slices.Index(g.waiting, w)
	if i >= 0 {
		g.waiting = slices.Delete(g.waiting, i, i+1)
		g.admit()
	}
	g.mu.Unlock()
	if i < 0 { // admitted meanwhile
		g.release(weight)
	}
	return ctx.Err()
}

func (g *gate) enqueue(w *waiter) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.capacity > 0 && w.weight > g.capacity {
		return errFull
	}
	i := len(g.waiting)
	for i > 0 && g.waiting[i-1].priority > w.priority {
		i--
	}
	g.waiting = slices.Insert(g.waiting, i, w)
	g.admit()
	if len(g.waiting) > g.queue && slices.Contains(g.waiting, w) {
		g.waiting = slices.Delete(g.waiting, i, i+1)
		return errFull
	}
	return nil
}

// admit lets the first waiters in; the caller holds mu.
func (g *gate) admit() {
	for len(g.waiting) > 0 && g.active < g.slots {
		w := g.waiting[0]
		if g.capacity > 0 && g.used+w.weight > g.capacity {
			return
		}
		g.waiting = g.waiting[1:]
		g.active++
		g.used += w.weight
		close(w.ready)
	}
}

func (g *gate) release(weight int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
	g.used -= weight
	g.admit()
}

// load returns the numbers of running and of waiting, and the weight in use.
func (g *gate) load() (active, waiting, used int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.active, len(g.waiting), g.used
}

// sleep waits for d; it returns the error of ctx if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
