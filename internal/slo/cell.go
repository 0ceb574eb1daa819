package slo

import (
	"sync"
	"time"
)

// Numbers and length of the steps of the rings.
const (
	countSteps        = 60 // per long window: a minute each by default
	sketchSteps       = 12 // per long window, for profiles and availability zones
	organisationSteps = 2  // per long window, for the latencies of organisations
	fineStep          = time.Second
	fineSteps         = 300 // number of one-second steps that are kept
	causeSteps        = 12  // per long window
)

// cell holds the counts and latencies of one profile, zone or organisation.
type cell struct {
	counts *ring[counts]
	times  *ring[sketches]
}

func newCell(w Windows, timeSteps int) *cell {
	return &cell{
		counts: newRing[counts](w.Long, countSteps),
		times:  newRing[sketches](w.Long, timeSteps),
	}
}

func (c *cell) observe(now time.Time, o observation) {
	c.counts.at(now).observe(o)
	c.times.at(now).observe(o)
}

// timesOf merges the latency sketches of the window that ends now.
func (c *cell) timesOf(now time.Time, window time.Duration) sketches {
	var all sketches
	c.times.each(now, window, func(_ time.Time, s *sketches) { all.merge(*s) })
	return all
}

// cellShard holds the cells of the names that hash to it.
type cellShard struct {
	mu     sync.Mutex // guards byName and the cells
	byName map[string]*cell
}

func (s *cellShard) observe(now time.Time, w Windows, name string, o observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.byName[name]
	if c == nil {
		c = newCell(w, sketchSteps)
		s.byName[name] = c
	}
	c.observe(now, o)
}
