package allowance

import (
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/clock"
)

// Options of an Allowance.
type Options struct {
	Self string
	// Instances returns the ids of all instances that were ever heard of, dead
	// ones and this one included, in order; nil while they are not known.
	Instances func() []string
	Bound     Bound
	Clock     clock.Clock
}

// Allowance is what this instance may send to targets of one bound. It is safe
// for concurrent use.
type Allowance struct {
	o     Options
	began time.Time

	mu        sync.Mutex // guards all below
	instances []string
	looked    time.Time // when Options.Instances was last asked
	shares    map[int]*Shares
	sent      Window
}

// NewAllowance returns the allowance of an instance that starts now.
func NewAllowance(o Options) *Allowance {
	return &Allowance{o: o, began: o.Clock.Now(), shares: make(map[int]*Shares), sent: NewWindow(o.Bound.Span)}
}

// Span is the time over which requests are counted.
func (a *Allowance) Span() time.Duration { return a.o.Bound.Span }

// Share returns how many requests the instance, this one or another, may send
// in a Span to the target with the rate.
func (a *Allowance) Share(instance, target string, rate float64) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.share(instance, target, rate)
}

func (a *Allowance) share(instance, target string, rate float64) int {
	limit := a.o.Bound.Requests(rate)
	s := a.shares[limit]
	if s == nil {
		if len(a.shares) >= maxLimits {
			clear(a.shares)
		}
		s = &Shares{}
		a.shares[limit] = s
	}
	s.Set(a.known(), limit)
	return s.Share(instance, target)
}

// maxLimits is how many different limits are remembered with their shares.
const maxLimits = 64

// knownFor is how long the instances are taken to be the same: a dispatcher asks
// for many targets with each placement.
const knownFor = 250 * time.Millisecond

func (a *Allowance) known() []string {
	if now := a.o.Clock.Now(); a.looked.IsZero() || now.Sub(a.looked) >= knownFor {
		a.instances, a.looked = a.o.Instances(), now
	}
	return a.instances
}

// May reports whether this instance may send a request to the target now.
func (a *Allowance) May(target string, rate float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.may(target, rate, a.o.Clock.Now())
}

func (a *Allowance) may(target string, rate float64, now time.Time) bool {
	return now.Sub(a.began) >= a.o.Bound.Span && a.sent.Count(target, now) < a.share(a.o.Self, target, rate)
}

// Take is May and, if so, counts the request, which is to be sent at once.
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
