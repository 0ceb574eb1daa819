package stagework

import (
	"math"
	"time"

	"lynxhill.example/lynxhill/internal/relay"
)

const (
	// paceHalfLife is the half-life of the weight of an engine's stated pace. An
	// engine that shares its host is slow for about 600 ms at a time, so a pace
	// stated a second ago says little about the present.
	paceHalfLife = 300 * time.Millisecond
	// maxPace bounds stated paces, so that one absurd value does not make all
	// other engines look fast.
	maxPace = 10.0
)

// enginePace is the last pace that an engine stated, and when it did.
type enginePace struct {
	value float64 // 1 = usual; 0 = the engine has stated none
	at    time.Time
}

// statePace records the pace that the engine of the job stated with the head of
// its response. load may be nil: some engines state none.
func (p *Planner) statePace(j *job, load *relay.Load, now time.Time) {
	if j.state != jobPlaced || !load.StatesPace() {
		return
	}
	j.engine.pace = enginePace{min(load.Pace, maxPace), now}
	j.pool.meanPace = j.pool.averagePace()
}

// averagePace is the mean of the last paces that listed engines have stated.
func (p *pool) averagePace() float64 {
	sum, n := 0.0, 0
	for _, e := range p.byID {
		if e.pace.value > 0 {
			sum += e.pace.value
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// slowness is the factor by which the engine's time to the first event differs
// from the estimate of the pool. The estimate is learned from all engines, so
// a stated pace counts relative to their mean. The older the pace, the more the
// moving average of the engine's past times counts instead; for an engine that
// has stated none, it is all that counts.
func (p *pool) slowness(e *engine, now time.Time) float64 {
	if e.pace.value == 0 || p.meanPace == 0 {
		return e.latencyRatio
	}
	weight := math.Exp2(-float64(max(now.Sub(e.pace.at), 0)) / float64(paceHalfLife))
	return e.latencyRatio + weight*(e.pace.value/p.meanPace-e.latencyRatio)
}

// EnginePaces summarises the last paces that engines have stated.
type EnginePaces struct {
	Stating       int // engines that have stated one
	Mean, Slowest float64
}

// EnginePaces returns the summary of the engines that this dispatcher schedules
// for.
func (d *Dispatcher) EnginePaces() (all EnginePaces) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.planners {
		for _, o := range p.pools {
			for _, e := range o.byID {
				if e.pace.value > 0 {
					all.Stating++
					all.Mean += e.pace.value
					all.Slowest = max(all.Slowest, e.pace.value)
				}
			}
		}
	}
	all.Mean /= float64(max(all.Stating, 1))
	return all
}
