package slo

import (
	"sync"
	"time"
)

// Steps of the rings.
const (
	countSteps        = 60 // of the long window: a minute each by default
	sketchSteps       = 12 // of the long window, for profiles and places
	organisationSteps = 2  // of the long window, for the times of organisations
	fineStep          = time.Second
	fineSteps         = 300 // seconds that a young series shows
	causeSteps        = 12  // of the long window
)

// cell is the counts and times of one profile, place or organisation.
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

// timesOf merges the sketches of the window.
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
