package crashguard

import (
	"maps"
	"slices"
	"time"
)

// Begin records that an attempt of the request starts on the target, and returns
// the function to call when the attempt ends. Only attempts of suspected
// requests are recorded.
func (g *Guard) Begin(fingerprint, targetID string) (end func()) {
	if g == nil || !g.Suspected(fingerprint) {
		return func() {}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running[targetID] == nil {
		g.running[targetID] = make(map[string]int)
	}
	g.running[targetID][fingerprint]++
	return func() { g.end(fingerprint, targetID) }
}

func (g *Guard) end(fingerprint, targetID string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	attempts := g.running[targetID]
	attempts[fingerprint]--
	if attempts[fingerprint] == 0 {
		delete(attempts, fingerprint)
	}
	if len(attempts) == 0 {
		delete(g.running, targetID)
	}
}

// TargetsWithSuspects returns the sorted ids of the targets that run another suspected
// request; nil if the request is not suspected. When a target crashes, every
// request on it becomes suspected. If a harmless one and the one that caused the
// crash ran together on the next target and it crashed too, both would be
// refused. Running them on different targets clears the harmless one.
func (g *Guard) TargetsWithSuspects(fingerprint string) []string {
	return g.targetsWithSuspects(fingerprint, 1)
}

// crashedTTL is how long TargetsToAvoid includes a crashed target. It is longer than
// a crashed target stays in the target list; a restarted target has another name, also
// if its id is the same (fleet.Target.Run).
const crashedTTL = 10 * time.Second

// TargetsToAvoid returns the ids of the targets that an attempt of the request must
// avoid; nil if the request is not suspected. listed are the targets to choose
// from; the result may contain others. At least one listed target that has not
// crashed stays available: if each of them runs another suspected request, only
// those are avoided that run a request with a higher crash count.
//
// Without this rule, the crash of a target with many requests makes more
// suspected requests than there are targets. No target can then be avoided, and
// a request that shared two crashed targets with the one that crashes targets
// shares a third one with it, so that harmless requests are refused. The request
// that crashes targets is always among those with the highest crash counts, and
// these are few.
func (g *Guard) TargetsToAvoid(fingerprint string, listed []string) []string {
	if g == nil || !g.Suspected(fingerprint) {
		return nil
	}
	crashed := g.listedCrashed(listed)
	for minCrashes := 1; minCrashes < g.opts.Limit; minCrashes++ {
		avoid := append(g.targetsWithSuspects(fingerprint, minCrashes), crashed...)
		if slices.ContainsFunc(listed, func(id string) bool { return !slices.Contains(avoid, id) }) {
			return avoid
		}
	}
	return crashed
}

// listedCrashed returns the listed targets that crashed within the last
// crashedTTL.
func (g *Guard) listedCrashed(listed []string) []string {
	now := g.opts.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var crashed []string
	for _, id := range listed {
		if until, ok := g.recentlyCrashed[id]; ok && now.Before(until) {
			crashed = append(crashed, id)
		}
	}
	return crashed
}

// recordCrashed records crashed targets and deletes the expired ones.
func (g *Guard) recordCrashed(targets []string) {
	now := g.opts.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.recentlyCrashed, func(_ string, until time.Time) bool { return !now.Before(until) })
	for _, id := range targets {
		if _, known := g.recentlyCrashed[id]; !known {
			g.recentlyCrashed[id] = now.Add(crashedTTL)
		}
	}
}

// targetsWithSuspects returns the sorted ids of the targets that run another
// request under which at least minCrashes targets crashed.
func (g *Guard) targetsWithSuspects(fingerprint string, minCrashes int) []string {
	if g == nil || !g.Suspected(fingerprint) {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var targets []string
	for target, attempts := range g.running {
		for other := range attempts {
			if other != fingerprint && len(g.crashes(other)) >= minCrashes {
				targets = append(targets, target)
				break
			}
		}
	}
	slices.Sort(targets)
	return targets
}
