package slo

import "time"

// ring is a ring buffer with one accumulator per time step, over a bounded
// period. The current step is partial, so a window of n steps needs n+1 slots.
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

// at returns the accumulator of the step that contains now. It resets the
// accumulator if it was last used for another step.
func (r *ring[T]) at(now time.Time) *T { return r.slot(r.epochOf(now)) }

func (r *ring[T]) slot(epoch int64) *T {
	s := &r.slots[epoch%int64(len(r.slots))]
	if s.epoch != epoch {
		*s = slot[T]{epoch: epoch}
	}
	return &s.value
}

// each calls f for every used step of the window that ends at now, oldest first.
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

// counts are the request totals of one step.
type counts struct {
	total         uint64
	missed        uint64
	excluded      uint64
	allowedMisses float64 // number of misses that the objectives allow for total
	cost          float64
}

func (c *counts) observe(o observation) {
	if o.excluded {
		c.excluded++
		return
	}
	c.total++
	c.allowedMisses += o.allowedMisses
	c.cost += o.cost
	if o.missed {
		c.missed++
	}
}

func (c *counts) add(other counts) {
	c.total += other.total
	c.missed += other.missed
	c.excluded += other.excluded
	c.allowedMisses += other.allowedMisses
	c.cost += other.cost
}

// sumOf returns the sum of the steps of the window that ends at now.
func sumOf(r *ring[counts], now time.Time, window time.Duration) counts {
	var sum counts
	r.each(now, window, func(_ time.Time, c *counts) { sum.add(*c) })
	return sum
}

// fold adds every unexpired step of other to r. Both rings must have the same
// step length.
func fold(r, other *ring[counts], now time.Time) {
	window := other.step * time.Duration(len(other.slots)-1)
	other.each(now, window, func(start time.Time, c *counts) { r.at(start).add(*c) })
}
