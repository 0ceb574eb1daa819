package crashguard

import (
	"maps"
	"slices"
	"time"
)

// Begin notes that an attempt of the request starts on the target and returns
// what ends it. Only suspected requests are noted.
func (g *Guard) Begin(fingerprint, targetID string) (end func()) {
	if g == nil || !g.Suspect(fingerprint) {
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

// Occupied returns the targets that run another suspected request. When a
// target dies, every request on it becomes suspected; if two of them met again
// on the next target and it died as well, the innocent one would be refused
// with the guilty one. Keeping them apart clears the innocent.
func (g *Guard) Occupied(fingerprint string) []string { return g.occupied(fingerprint, 1) }

// deadKeep is how long a target that died is kept off by Apart. It is longer
// than a dead target stays listed; one that starts again has another id.
const deadKeep = 10 * time.Second

// Apart returns the targets that the request is to be kept off, of those and
// others that are listed; nil if it is not suspected. One living target is
// always left: if each of them runs another suspected request, those are avoided
// that run one under which more targets died.
//
// What goes wrong without that: the death of a target with many requests makes
// more suspects than there are targets, each is then as bad as the other, and a
// request that met the guilty one twice meets it a third time. One notices it
// by harmless requests that are refused. The guilty one is always among those
// with most deaths, and these are few.
func (g *Guard) Apart(fingerprint string, listed []string) []string {
	if g == nil || !g.Suspect(fingerprint) {
		return nil
	}
	dead := g.deadOf(listed)
	for least := 1; least < g.opts.Limit; least++ {
		avoid := append(g.occupied(fingerprint, least), dead...)
		if slices.ContainsFunc(listed, func(id string) bool { return !slices.Contains(avoid, id) }) {
			return avoid
		}
	}
	return dead
}

// deadOf returns those of the targets that died lately.
func (g *Guard) deadOf(listed []string) []string {
	now := g.opts.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var dead []string
	for _, id := range listed {
		if until, ok := g.dead[id]; ok && now.Before(until) {
			dead = append(dead, id)
		}
	}
	return dead
}

// noteDead remembers targets that died, and forgets those that died long ago.
func (g *Guard) noteDead(targets []string) {
	now := g.opts.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.dead, func(_ string, until time.Time) bool { return !now.Before(until) })
	for _, id := range targets {
		if _, known := g.dead[id]; !known {
			g.dead[id] = now.Add(deadKeep)
		}
	}
}

// occupied returns, by id, the targets that run another request under which at
// least so many targets died.
func (g *Guard) occupied(fingerprint string, least int) []string {
	if g == nil || !g.Suspect(fingerprint) {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var occupied []string
	for target, attempts := range g.running {
		for other := range attempts {
			if other != fingerprint && g.deaths(other) >= least {
				occupied = append(occupied, target)
				break
			}
		}
	}
	slices.Sort(occupied)
	return occupied
}
