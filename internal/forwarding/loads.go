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

// Factors of the view of plain targets.
const (
	loadKeep     = 2 * time.Second // how long a report counts
	timeWeight   = 0.15            // of the newest answer in a target's slowness
	faultWeight  = 0.15            // of the newest outcome in a target's share of faults
	faultHalf    = 2 * time.Second // in which the share halves while nothing is sent there
	slowHalf     = 2 * time.Second // in which a slowness beyond 1 halves while nothing is sent there
	slowMost     = 4.0             // most that one answer counts, in means, so that one is not taken for many
	pauseMin     = 300 * time.Millisecond
	pauseMax     = 4 * time.Second
	placePenalty = 0.15 // of a target in another place, in requests in flight a slot
	faultPenalty = 4.0  // of a target all of whose answers are faults
	triesKept    = 4096 // targets remembered
)

// Loads is what this instance knows of plain targets from its own requests and
// from what answers say. It is safe for concurrent use.
type Loads struct {
	clock clock.Clock
	place string

	mu      sync.Mutex // guards all below
	rand    *rand.Rand
	targets map[string]*targetLoad
	means   map[string]float64 // mean time of a service's answers, milliseconds
}

// targetLoad is what is known of one target.
type targetLoad struct {
	inFlight int
	reported relay.Load
	at       time.Time // of the report
	slowness float64   // time of its answers, in means of its service at that time; 0 = no answer yet
	slowAt   time.Time // of the last of them
	faults   float64   // share of answers that are faults, newest first
	faultAt  time.Time
	fails    int // connections that failed in a row
	pausedTo time.Time
}

// NewLoads returns a view without knowledge.
func NewLoads(c clock.Clock, place string, source *rand.Rand) *Loads {
	return &Loads{clock: c, place: place, rand: source, targets: make(map[string]*targetLoad), means: make(map[string]float64)}
}

func (l *Loads) of(id string) *targetLoad {
	t := l.targets[id]
	if t == nil {
		if len(l.targets) > triesKept {
			clear(l.targets)
		}
		t = &targetLoad{}
		l.targets[id] = t
	}
	return t
}

// Choose returns the target with the least load, none of those that were
// tried unless there is no other, and counts a request in flight there until
// Done. ok is false if there is no target.
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
		l.of(best.ID).inFlight++
	}
	return best, ok
}

func (l *Loads) score(t fleet.Target, now time.Time) float64 {
	k := l.of(t.ID)
	slots := float64(max(t.Slots, 1))
	busy := float64(k.inFlight)
	if now.Sub(k.at) < loadKeep {
		fresh := 1 - float64(now.Sub(k.at))/float64(loadKeep)
		others := float64(k.reported.Running+k.reported.Waiting) - busy
		busy += max(others, 0) * fresh
	}
	score := busy / slots
	if t.Place != l.place {
		score += placePenalty
	}
	if slowness := k.slownessAt(now); slowness > 1.5 {
		score = score*slowness + slowness - 1
	}
	score += faultPenalty * k.faultsAt(now)
	if now.Before(k.pausedTo) {
		score += 100
	}
	return score + 0.05*l.rand.Float64()
}

// faultsAt is the share of faults, which fades while nothing is sent there.
func (k *targetLoad) faultsAt(now time.Time) float64 {
	if k.faults == 0 {
		return 0
	}
	return k.faults * math.Pow(0.5, float64(now.Sub(k.faultAt))/float64(faultHalf))
}

// slownessAt approaches 1 while no answers come: a target that was slow for a moment
// would otherwise never be asked again.
func (k *targetLoad) slownessAt(now time.Time) float64 {
	if k.slowness == 0 {
		return 1
	}
	return 1 + (k.slowness-1)*math.Pow(0.5, float64(now.Sub(k.slowAt))/float64(slowHalf))
}

// Outcome is how an attempt at a target ended.
type Outcome int

// Outcomes of attempts.
const (
	Answered  Outcome = iota // by the target, in whatever sense
	Faulty                   // an answer that may have been given because the target is unwell
	Broken                   // no answer: the connection failed or took too long
	Abandoned                // by the caller; says nothing about the target
	Refused                  // by the target, which did not run it
)

// Done ends a request in flight at the target.
func (l *Loads) Done(t fleet.Target, outcome Outcome, took time.Duration, load *relay.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	k := l.of(t.ID)
	k.inFlight = max(k.inFlight-1, 0)
	if load != nil {
		k.reported, k.at = *load, now
	}
	switch outcome {
	case Answered:
		k.fails = 0
		l.fault(k, 0, now)
		l.timed(k, t.Service, took, now)
	case Faulty:
		k.fails = 0
		l.fault(k, 1, now)
	case Broken:
		l.fault(k, 1, now)
		pause := time.Duration(float64(pauseMin) * math.Pow(2, float64(min(k.fails, 6))))
		k.fails++
		k.pausedTo = now.Add(min(pause, pauseMax))
	case Refused:
		k.reported.Running = max(k.reported.Running, t.Slots)
		k.reported.Waiting++
		k.at = now
	}
}

func (l *Loads) fault(k *targetLoad, share float64, now time.Time) {
	was := k.faultsAt(now)
	k.faults = was + faultWeight*(share-was)
	k.faultAt = now
}

func (l *Loads) timed(k *targetLoad, service string, took time.Duration, now time.Time) {
	ms := float64(took.Microseconds()) / 1000
	mean := l.means[service]
	if mean == 0 {
		mean = ms
	}
	was := k.slownessAt(now)
	k.slowness, k.slowAt = was+timeWeight*(min(ms/mean, slowMost)-was), now
	l.means[service] = mean + timeWeight/4*(ms-mean)
}

// Mean returns the mean time of the service's answers, 0 if none was seen.
func (l *Loads) Mean(service string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.means[service] * float64(time.Millisecond))
}
