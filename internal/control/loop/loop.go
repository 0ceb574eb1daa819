// Package loop runs a controller's step again and again: at a jittered period
// and, sooner, when something it reads has changed.
package loop

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/clock"
)

// Rand is a seeded source that several goroutines may use.
type Rand struct {
	mu  sync.Mutex // guards src
	src *rand.Rand
}

// NewRand wraps src; nil gives a source with a fixed seed.
func NewRand(src *rand.Rand) *Rand {
	if src == nil {
		src = rand.New(rand.NewPCG(1, 1))
	}
	return &Rand{src: src}
}

// Float64 returns a number in [0, 1).
func (r *Rand) Float64() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.src.Float64()
}

// Spread returns d varied by up to share in both directions, so that instances
// started together do not call the platform in step.
func (r *Rand) Spread(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * (1 - share + 2*share*r.Float64()))
}

// Options govern a loop.
type Options struct {
	Clock  clock.Clock
	Rand   *Rand
	Period time.Duration
	// Jitter is the share by which each period varies.
	Jitter float64
	// Changed, if set, returns a channel that is closed at the next change of
	// what the step reads; it is taken before the step runs, so that no
	// change is missed.
	Changed func() <-chan struct{}
	// Settle is the shortest time between two steps, so that many changes at
	// once cause one step.
	Settle time.Duration
}

// Run calls step until ctx ends.
func Run(ctx context.Context, o Options, step func(context.Context)) {
	for ctx.Err() == nil {
		var changed <-chan struct{}
		if o.Changed != nil {
			changed = o.Changed()
		}
		step(ctx)
		if !Sleep(ctx, o.Clock, o.Settle) {
			return
		}
		SleepOr(ctx, o.Clock, o.Rand.Spread(o.Period, o.Jitter), changed)
	}
}

// Sleep waits for d and returns false if ctx ended first.
func Sleep(ctx context.Context, c clock.Clock, d time.Duration) bool {
	return SleepOr(ctx, c, d, nil)
}

// SleepOr waits for d or until woken is closed, and returns false if ctx ended
// first. woken may be nil.
func SleepOr(ctx context.Context, c clock.Clock, d time.Duration, woken <-chan struct{}) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := c.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	case <-woken:
		return true
	}
}

// WithTimeout returns a context that ends after d by the given clock.
func WithTimeout(ctx context.Context, c clock.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := c.AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}
