package orders

import (
	"math"
	"time"

	"lynxhill.example/lynxhill/internal/defaults"
)

// Scaling says how the number of engines of a model version follows demand.
// The distance between High and Low and the waiting times keep a load that
// swings from moving weights to and fro.
type Scaling struct {
	High   float64 // above this utilisation of its engines a version gets more
	Low    float64 // below this one it gets fewer
	Target float64 // the utilisation aimed at when it gets more
	// UpAfter and DownAfter are how long the utilisation has to stay beyond
	// the mark.
	UpAfter   time.Duration
	DownAfter time.Duration
}

func (s Scaling) withDefaults() Scaling {
	defaults.Positive(&s.High, 0.8)
	defaults.Positive(&s.Low, 0.3)
	defaults.Positive(&s.Target, 0.6)
	defaults.Positive(&s.UpAfter, 20*time.Second)
	defaults.Positive(&s.DownAfter, 5*time.Minute)
	return s
}

// scaler remembers since when the utilisation of each version has been beyond
// a mark. A new order-giver starts with the engines that there are.
type scaler struct {
	opts  Scaling
	marks map[ModelVersion]scale
}

type scale struct {
	count     int
	highSince time.Time
	lowSince  time.Time
}

func newScaler(opts Scaling) *scaler {
	return &scaler{opts: opts, marks: make(map[ModelVersion]scale)}
}

// count returns the number of engines for the version, from lowest to highest.
func (s *scaler) count(now time.Time, v ModelVersion, engines []Engine, lowest, highest int) int {
	m, known := s.marks[v]
	ready, used := utilisation(engines, v)
	if !known {
		m.count = ready
	}
	m.highSince = since(m.highSince, now, ready > 0 && used > s.opts.High)
	m.lowSince = since(m.lowSince, now, ready > 0 && used < s.opts.Low)
	switch {
	case held(m.highSince, now, s.opts.UpAfter):
		more := int(math.Ceil(float64(ready) * used / s.opts.Target))
		m.count = max(m.count, min(more, 2*ready))
		m.highSince = now
	case held(m.lowSince, now, s.opts.DownAfter) && ready >= m.count:
		m.count--
		m.lowSince = now
	}
	m.count = max(lowest, min(m.count, highest))
	s.marks[v] = m
	return m.count
}

// utilisation returns the ready engines of the version and their mean load. An
// engine's work is not told apart by model, so that it counts for all of them.
func utilisation(engines []Engine, v ModelVersion) (ready int, used float64) {
	work, slots := 0, 0
	for _, e := range engines {
		if e.readyOn(v) {
			ready++
			work += e.Running + e.Queued
			slots += max(1, e.Slots)
		}
	}
	if slots == 0 {
		return ready, 0
	}
	return ready, float64(work) / float64(slots)
}

func since(began, now time.Time, holds bool) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case began.IsZero():
		return now
	default:
		return began
	}
}

func held(began, now time.Time, long time.Duration) bool {
	return !began.IsZero() && now.Sub(began) >= long
}

// retain drops versions that are no longer in force.
func (s *scaler) retain(inForce map[ModelVersion]bool) {
	for v := range s.marks {
		if !inForce[v] {
			delete(s.marks, v)
		}
	}
}
