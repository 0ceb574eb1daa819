package allowance

import (
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/clock"
)

// Options of an Allowance.
type Options struct {
	Self string
	// Instances returns the sorted ids of all instances that were ever known,
	// including dead ones and this one; nil while the list is not known.
	Instances func() []string
	Bound     Bound
	Clock     clock.Clock
}

// Allowance limits what this instance may send to targets under one Bound. It
// is safe for concurrent use.
type Allowance struct {
	o         Options
	startedAt time.Time

	mu          sync.Mutex // guards all below
	instances   []string
	refreshedAt time.Time // when Options.Instances was last called
	shares      map[int]*Shares
	sent        Window
}

// NewAllowance returns the allowance of an instance that starts now. The
// instance may send nothing in the first Span.
func NewAllowance(o Options) *Allowance {
	return &Allowance{o: o, startedAt: o.Clock.Now(), shares: make(map[int]*Shares), sent: NewWindow(o.Bound.Span)}
}

// Span is the time over which requests are counted.
func (a *Allowance) Span() time.Duration { return a.o.Bound.Span }

// Share returns how many requests the given instance may send per Span to the
// target. rate is the target's limit in requests a second over all instances.
func (a *Allowance) Share(instance, target string, rate float64) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.share(instance, target, rate)
}

func (a *Allowance) share(instance, target string, rate float64) int {
	limit := a.o.Bound.Requests(rate)
	s := a.shares[limit]
	if s == nil {
		if len(a.shares) >= maxCachedLimits {
			clear(a.shares)
		}
		s = &Shares{}
		a.shares[limit] = s
	}
	s.Set(a.currentInstances(), limit)
	return s.Share(instance, target)
}

// maxCachedLimits bounds the cached Shares, of which there is one per limit; the
// cache is cleared when it is full.
const maxCachedLimits = 64

// instancesTTL is how long the list of instances is cached: a dispatcher queries
// the shares of many targets for each placement.
const instancesTTL = 250 * time.Millisecond

func (a *Allowance) currentInstances() []string {
	if now := a.o.Clock.Now(); a.refreshedAt.IsZero() || now.Sub(a.refreshedAt) >= instancesTTL {
		a.instances, a.refreshedAt = a.o.Instances(), now
	}
	return a.instances
}

// Allows reports whether this instance may send a request to the target now.
func (a *Allowance) Allows(target string, rate float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.may(target, rate, a.o.Clock.Now())
}

func (a *Allowance) may(target string, rate float64, now time.Time) bool {
	return now.Sub(a.startedAt) >= a.o.Bound.Span && a.sent.Count(target, now) < a.share(a.o.Self, target, rate)
}

// Take reports whether this instance may send a request to the target now, and
// if so counts it as sent. The caller must send the request at once.
func (a *Allowance) Take(target string, rate float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.o.Clock.Now()
	if !a.may(target, rate, now) {
		return false
	}
	a.sent.Add(target, now)
	return true
}
