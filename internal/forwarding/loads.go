package forwarding

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
)

// Parameters of the load estimates of plain targets. Penalties are in units of
// the score: requests in flight per slot.
const (
	reportLifetime   = 2 * time.Second // after which a reported load no longer counts
	latencyWeight    = 0.15            // of the newest response in the moving average of a target's slowness
	failureWeight    = 0.15            // of the newest outcome in the moving average of a target's failure rate
	failureHalfLife  = 2 * time.Second // of the failure rate of a target that gets no requests
	slownessHalfLife = 2 * time.Second // of the excess of slowness above 1 of a target that gets no requests
	maxSlowness      = 4.0             // cap of one response's slowness, so that one outlier does not count like many slow responses
	minBackoff       = 300 * time.Millisecond
	maxBackoff       = 4 * time.Second
	zonePenalty      = 0.15 // of a target in another availability zone
	failurePenalty   = 4.0  // of a target with a failure rate of 1
	maxTargets       = 4096 // number of targets whose state is kept, beside those with requests in flight
)

// Loads estimates the load and health of plain targets from this instance's own
// requests and from the loads that targets report in responses. It is safe for
// concurrent use.
type Loads struct {
	clock clock.Clock
	zone  string

	mu      sync.Mutex // guards all below
	onPace  func()     // called, with no lock held, when a target states its pace; nil = not called
	rand    *rand.Rand
	targets map[string]*targetLoad
	means   map[string]float64 // by service: moving average of its response times, in milliseconds
	paced   map[string]bool    // services of which a target has stated its pace
}

// targetLoad is the state of one start of a target.
type targetLoad struct {
	started             int64 // see fleet.Target.Started
	inFlight            int   // requests of this instance
	reported            relay.Load
	reportedAt          time.Time // time of the report
	slowness            float64   // moving average of its response times, relative to the service's mean at that time; 0 = no response yet
	respondedAt         time.Time // time of the last response in it
	failureRate         float64   // moving average of its failures, 0 to 1
	outcomeAt           time.Time // time of the last outcome in it
	consecutiveFailures int       // consecutive attempts without a response
	backoffUntil        time.Time // end of the backoff after them
}

// NewLoads returns estimates without any data.
func NewLoads(c clock.Clock, zone string, source *rand.Rand) *Loads {
	return &Loads{clock: c, zone: zone, rand: source, targets: make(map[string]*targetLoad), means: make(map[string]float64), paced: make(map[string]bool)}
}

// state returns the state of a target, an empty one at a new start. What an earlier start
// still reports is recorded nowhere.
func (l *Loads) state(target fleet.Target) *targetLoad {
	t := l.targets[target.ID]
	switch {
	case t == nil:
		if len(l.targets) >= maxTargets {
			l.evictIdle()
		}
	case target.Started < t.started && target.Started != 0:
		return &targetLoad{}
	case target.Started <= t.started:
		return t
	case t.started == 0: // the start was not stated before
		t.started = target.Started
		return t
	}
	t = &targetLoad{started: target.Started}
	l.targets[target.ID] = t
	return t
}

// evictIdle drops the state of a quarter of the targets, of those without requests in
// flight. Which ones does not matter: they are learned again from a few requests.
func (l *Loads) evictIdle() {
	for id, t := range l.targets {
		if len(l.targets) <= maxTargets*3/4 {
			return
		}
		if t.inFlight == 0 {
			delete(l.targets, id)
		}
	}
}

// known returns the state of a target to be read only. Of a target without requests so far
// none is kept.
func (l *Loads) known(target fleet.Target) *targetLoad {
	if l.targets[target.ID] == nil {
		return &noLoad
	}
	return l.state(target)
}

// noLoad is the state of a target of which nothing is known. It is never modified.
var noLoad targetLoad

// Choose returns the target with the lowest score and counts a request in flight
// at it until Done is called. Targets that were tried are chosen only if there is
// no other. ok is false if there is no target.
func (l *Loads) Choose(targets []fleet.Target, tried []string) (best fleet.Target, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	bestScore := math.Inf(1)
	for _, t := range targets {
		score := l.score(t, now)
		for _, id := range tried {
			if id == t.ID {
				score += 1000
			}
		}
		if score < bestScore {
			best, bestScore, ok = t, score, true
		}
	}
	if ok {
		l.state(best).inFlight++
	}
	return best, ok
}

func (l *Loads) score(t fleet.Target, now time.Time) float64 {
	k := l.known(t)
	slots := float64(max(t.Slots, 1))
	busy := float64(k.inFlight)
	if now.Sub(k.reportedAt) < reportLifetime {
		fresh := 1 - float64(now.Sub(k.reportedAt))/float64(reportLifetime)
		others := float64(k.reported.Running+k.reported.Waiting) - busy
		busy += max(others, 0) * fresh
	}
	score := busy / slots
	if t.Zone != l.zone {
		score += zonePenalty
	}
	if slowness := k.slownessAt(now); slowness > 1.5 {
		score = score*slowness + slowness - 1
	}
	score += failurePenalty * k.failureRateAt(now)
	if now.Before(k.backoffUntil) {
		score += 100
	}
	return score + 0.05*l.rand.Float64()
}

// failureRateAt returns the failure rate, which decays while the target gets no
// requests.
func (k *targetLoad) failureRateAt(now time.Time) float64 {
	if k.failureRate == 0 {
		return 0
	}
	return k.failureRate * math.Pow(0.5, float64(now.Sub(k.outcomeAt))/float64(failureHalfLife))
}

// slownessAt returns the slowness, which approaches 1 while no responses arrive:
// otherwise a target that was slow for a moment would never get a request again.
func (k *targetLoad) slownessAt(now time.Time) float64 {
	if k.slowness == 0 {
		return 1
	}
	return 1 + (k.slowness-1)*math.Pow(0.5, float64(now.Sub(k.respondedAt))/float64(slownessHalfLife))
}

// Outcome is how an attempt at a target ended.
type Outcome int

// Outcomes of attempts.
const (
	Answered    Outcome = iota // the target answered with a status below 500
	ServerError                // the target answered with a status of 500 or above
	NoResponse                 // no usable response: the connection failed, the attempt timed out, or the response was truncated or unsigned
	Abandoned                  // the caller cancelled the request; says nothing about the target
	Refused                    // the target stated that it did not run the request
)

// Done ends a request in flight at the target and updates the target's state.
// took is the duration of the attempt; load is the load that the target reported,
// nil if it reported none.
func (l *Loads) Done(t fleet.Target, outcome Outcome, took time.Duration, load *relay.Load) {
	l.notePace(load)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	k := l.state(t)
	k.inFlight = max(k.inFlight-1, 0)
	if load.StatesPace() {
		l.paced[t.Service] = true
	} else if load != nil {
		k.reported, k.reportedAt = *load, now
	}
	switch outcome {
	case Answered:
		k.consecutiveFailures = 0
		l.addOutcome(k, 0, now)
		l.addResponseTime(k, t.Service, took, now)
	case ServerError:
		k.consecutiveFailures = 0
		l.addOutcome(k, 1, now)
	case NoResponse:
		l.addOutcome(k, 1, now)
		pause := time.Duration(float64(minBackoff) * math.Pow(2, float64(min(k.consecutiveFailures, 6))))
		k.consecutiveFailures++
		k.backoffUntil = now.Add(min(pause, maxBackoff))
	case Refused:
		k.reported.Running = max(k.reported.Running, t.Slots)
		k.reported.Waiting++
		k.reportedAt = now
	}
}

// OnPace sets a function that is called each time a target states its pace.
func (l *Loads) OnPace(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onPace = f
}

func (l *Loads) notePace(load *relay.Load) {
	if !load.StatesPace() {
		return
	}
	l.mu.Lock()
	f := l.onPace
	l.mu.Unlock()
	if f != nil {
		f()
	}
}

func (l *Loads) addOutcome(k *targetLoad, share float64, now time.Time) {
	was := k.failureRateAt(now)
	k.failureRate = was + failureWeight*(share-was)
	k.outcomeAt = now
}

func (l *Loads) addResponseTime(k *targetLoad, service string, took time.Duration, now time.Time) {
	ms := float64(took.Microseconds()) / 1000
	mean := l.means[service]
	if mean == 0 {
		mean = ms
	}
	was := k.slownessAt(now)
	k.slowness, k.respondedAt = was+latencyWeight*(min(ms/mean, maxSlowness)-was), now
	l.means[service] = mean + latencyWeight/4*(ms-mean)
}

// Mean returns the moving average of the service's response times, 0 if there was
// no response yet.
func (l *Loads) Mean(service string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.means[service] * float64(time.Millisecond))
}
