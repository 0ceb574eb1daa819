package forwarding

import (
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
)

// Begin counts a request in flight at a target that was not chosen here, until Done is
// called.
func (l *Loads) Begin(t fleet.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state(t).inFlight++
}

// InBackoff reports whether the target has recently not responded to this instance.
func (l *Loads) InBackoff(t fleet.Target) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock.Now().Before(l.known(t).backoffUntil)
}

// StatesPace reports whether a target of the service has ever stated its pace to this
// instance.
func (l *Loads) StatesPace(service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.paced[service]
}

// ChooseOfTwo is Choose for a service whose slots other instances share while there is no
// coordinator: it chooses the better of two random targets by what this instance itself has
// in flight there, by slowness and by failures. Targets that were tried, or are in their
// backoff, are candidates only if there is no other.
//
// The best of all targets by reported loads would be the same for all instances until the
// next report, and get the requests of all of them.
func (l *Loads) ChooseOfTwo(targets []fleet.Target, tried []string) (best fleet.Target, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	candidates := l.preferred(targets, tried, now)
	if len(candidates) == 0 {
		return fleet.Target{}, false
	}
	n := l.rand.IntN(len(candidates))
	best = candidates[n]
	if len(candidates) > 1 {
		other := candidates[(n+1+l.rand.IntN(len(candidates)-1))%len(candidates)]
		if l.ownScore(other, now) < l.ownScore(best, now) {
			best = other
		}
	}
	l.state(best).inFlight++
	return best, true
}

// preferred returns the targets that were not tried and are not in their backoff; if there
// is none, those that were not tried; if there is none either, all. The caller holds l.mu.
func (l *Loads) preferred(targets []fleet.Target, tried []string, now time.Time) []fleet.Target {
	untried := slices.DeleteFunc(slices.Clone(targets), func(t fleet.Target) bool { return slices.Contains(tried, t.ID) })
	if len(untried) == 0 {
		untried = targets
	}
	ready := slices.DeleteFunc(slices.Clone(untried), func(t fleet.Target) bool { return now.Before(l.known(t).backoffUntil) })
	if len(ready) == 0 {
		return untried
	}
	return ready
}

// ownScore returns how long a further request would take at the target by what this
// instance itself has sent there. The caller holds l.mu.
func (l *Loads) ownScore(t fleet.Target, now time.Time) float64 {
	k := l.known(t)
	return float64(k.inFlight+1)/float64(max(t.Slots, 1))*k.slownessAt(now) + failurePenalty*k.failureRateAt(now)
}
