// Package loop runs a controller's step periodically, with jitter, and sooner when
// data that the step reads has changed. It also provides the cancellable sleeps,
// timeouts and sets of tasks that controllers use.
package loop

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/clock"
)

// Rand is a seeded random source that is safe for concurrent use.
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

// Jitter returns d with a jitter of up to share in both directions, so that
// instances started together do not call the platform at the same time.
func (r *Rand) Jitter(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * (1 - share + 2*share*r.Float64()))
}

// Options configure a loop.
type Options struct {
	Clock  clock.Clock
	Rand   *Rand
	Period time.Duration
	// Jitter is the share by which each period varies.
	Jitter float64
	// Changed, if set, returns a channel that is closed at the next change of
	// what the step reads. Run calls it before each step, so that no change is
	// missed.
	Changed func() <-chan struct{}
	// MinInterval is the shortest time between two steps, so that many simultaneous
	// changes cause one step.
	MinInterval time.Duration
}

// Run calls step until ctx ends.
func Run(ctx context.Context, o Options, step func(context.Context)) {
	for ctx.Err() == nil {
		var changed <-chan struct{}
		if o.Changed != nil {
			changed = o.Changed()
		}
		step(ctx)
		if !Sleep(ctx, o.Clock, o.MinInterval) {
			return
		}
		SleepOr(ctx, o.Clock, o.Rand.Jitter(o.Period, o.Jitter), changed)
	}
}

// Sleep waits for d and returns false if ctx ended first.
func Sleep(ctx context.Context, c clock.Clock, d time.Duration) bool {
	return SleepOr(ctx, c, d, nil)
}

// SleepOr waits for d or until woken is readable or closed, and returns false if ctx
// ended first. woken may be nil.
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

// WithTimeout returns a context that is cancelled after d by the given clock, with
// context.DeadlineExceeded as its cause.
func WithTimeout(ctx context.Context, c clock.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := c.AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}
