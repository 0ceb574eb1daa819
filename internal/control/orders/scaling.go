package orders

import (
	"math"
	"time"

	"lynxhill.example/lynxhill/internal/defaults"
)

// Scaling configures how the number of engines of a model version follows demand.
// The hysteresis between High and Low and the delays prevent an oscillating load
// from causing repeated loads and unloads of weights.
type Scaling struct {
	High   float64 // utilisation of a version's engines above which it gets more engines
	Low    float64 // utilisation below which it gets fewer
	Target float64 // utilisation to reach when scaling up
	// UpAfter and DownAfter are how long the utilisation must stay above High or
	// below Low before the number changes.
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

// scaler tracks since when the utilisation of each version has been above High or
// below Low. A new lease holder starts with the current number of ready engines.
type scaler struct {
	opts   Scaling
	states map[ModelVersion]scaleState
}

type scaleState struct {
	count     int
	highSince time.Time
	lowSince  time.Time
}

func newScaler(opts Scaling) *scaler {
	return &scaler{opts: opts, states: make(map[ModelVersion]scaleState)}
}

// count returns the number of engines for the version, between lowest and highest.
func (s *scaler) count(now time.Time, v ModelVersion, engines []Engine, lowest, highest int) int {
	m, known := s.states[v]
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
	s.states[v] = m
	return m.count
}

// utilisation returns the number of ready engines of the version and their mean
// load. Engines do not report work per model, so an engine's work counts for each
// of its models.
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

func since(start, now time.Time, holds bool) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case start.IsZero():
		return now
	default:
		return start
	}
}

func held(start, now time.Time, long time.Duration) bool {
	return !start.IsZero() && now.Sub(start) >= long
}

// retain drops the state of versions that are no longer in force.
func (s *scaler) retain(inForce map[ModelVersion]bool) {
	for v := range s.states {
		if !inForce[v] {
			delete(s.states, v)
		}
	}
}
