package slo

import "time"

// ring keeps one accumulator a step over a bounded time. The current step is
// partial, so a window of n steps is covered by n+1 slots.
type ring[T any] struct {
	step  time.Duration
	slots []slot[T]
}

type slot[T any] struct {
	epoch int64 // number of the step since the Unix epoch; 0 = never used
	value T
}

func newRing[T any](window time.Duration, steps int) *ring[T] {
	return &ring[T]{step: max(window/time.Duration(steps), 1), slots: make([]slot[T], steps+1)}
}

func (r *ring[T]) epochOf(at time.Time) int64 { return at.UnixNano() / int64(r.step) }

// at returns the accumulator of the step that holds the time, emptied if it
// was last used for an older step.
func (r *ring[T]) at(now time.Time) *T { return r.slot(r.epochOf(now)) }

func (r *ring[T]) slot(epoch int64) *T {
	s := &r.slots[epoch%int64(len(r.slots))]
	if s.epoch != epoch {
		*s = slot[T]{epoch: epoch}
	}
	return &s.value
}

// each calls f for every used step of the window that ends now, oldest first.
func (r *ring[T]) each(now time.Time, window time.Duration, f func(start time.Time, value *T)) {
	last := r.epochOf(now)
	first := max(r.epochOf(now.Add(-window)), last-int64(len(r.slots))+1)
	for epoch := first; epoch <= last; epoch++ {
		s := &r.slots[epoch%int64(len(r.slots))]
		if s.epoch == epoch {
			f(time.Unix(0, epoch*int64(r.step)), &s.value)
		}
	}
}

// counts are the requests of one step.
type counts struct {
	total    uint64
	missed   uint64
	excluded uint64
	allowed  float64 // misses that the objectives allow for total
	cost     float64
}

func (c *counts) observe(o observation) {
	if o.excluded {
		c.excluded++
		return
	}
	c.total++
	c.allowed += o.allowed
	c.cost += o.cost
	if o.missed {
		c.missed++
	}
}

func (c *counts) add(other counts) {
	c.total += other.total
	c.missed += other.missed
	c.excluded += other.excluded
	c.allowed += other.allowed
	c.cost += other.cost
}

// sumOf adds up the steps of the window.
func sumOf(r *ring[counts], now time.Time, window time.Duration) counts {
	var sum counts
	r.each(now, window, func(_ time.Time, c *counts) { sum.add(*c) })
	return sum
}

// fold adds every live step of other to r; both have the same step.
func fold(r, other *ring[counts], now time.Time) {
	window := other.step * time.Duration(len(other.slots)-1)
	other.each(now, window, func(start time.Time, c *counts) { r.at(start).add(*c) })
}
