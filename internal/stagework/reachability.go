package stagework

import (
	"maps"
	"slices"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/clock"
)

// Durations for tracking which instances are reachable.
const (
	// excludeFor is how long an instance that did not respond as dispatcher is
	// excluded.
	excludeFor = 2 * time.Second
	// probeTimeout is how long an instance stays excluded for other requests
	// while one request tries it again.
	probeTimeout = 500 * time.Millisecond
	// reachableFor is how long an instance counts as reachable after a
	// response.
	reachableFor = time.Second
	// forgetAfter is how long records of an instance are kept.
	forgetAfter = time.Minute
)

// reachability tracks which other instances respond to the calls of this one.
// It is safe for concurrent use.
type reachability struct {
	clock clock.Clock

	mu            sync.Mutex           // guards the fields below
	excludedUntil map[string]time.Time // by instance
	lastAnswer    map[string]time.Time // by instance
	members       []string             // members at the last call of usable
}

func newReachability(c clock.Clock) *reachability {
	return &reachability{clock: c, excludedUntil: make(map[string]time.Time), lastAnswer: make(map[string]time.Time)}
}

// usable returns the members that are not excluded, and whether any are. An
// instance that has rejoined is no longer excluded.
func (r *reachability) usable(members []string) (usable []string, skipped bool) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readmitJoined(members)
	for _, m := range members {
		if now.Before(r.excludedUntil[m]) {
			skipped = true
			continue
		}
		usable = append(usable, m)
	}
	return usable, skipped
}

// readmitJoined ends the exclusion of instances that have joined since the last
// call. The caller holds the lock.
func (r *reachability) readmitJoined(members []string) {
	if slices.Equal(members, r.members) {
		return
	}
	for _, m := range members {
		if !slices.Contains(r.members, m) {
			delete(r.excludedUntil, m)
		}
	}
	r.members = slices.Clone(members)
}

// startProbes is called with the instances that a request is about to try.
// Those whose exclusion has expired are excluded again for probeTimeout, so
// that this request alone probes them; otherwise all concurrent requests would
// wait for them in vain.
func (r *reachability) startProbes(instances []string) {
	until := r.clock.Now().Add(probeTimeout)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range instances {
		if _, ok := r.excludedUntil[m]; ok {
			r.excludedUntil[m] = until
		}
	}
}

// exclude excludes an instance that did not respond.
func (r *reachability) exclude(instance string) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	old := func(_ string, at time.Time) bool { return now.Sub(at) > forgetAfter }
	maps.DeleteFunc(r.excludedUntil, old)
	maps.DeleteFunc(r.lastAnswer, old)
	r.excludedUntil[instance] = now.Add(excludeFor)
}

// recordAnswer records a response of an instance.
func (r *reachability) recordAnswer(instance string) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.excludedUntil, instance)
	r.lastAnswer[instance] = now
}

// readmit ends the exclusion of an instance that is reported to be back.
func (r *reachability) readmit(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.excludedUntil, instance)
}

// recentlyAnswered reports whether the instance has responded within
// reachableFor.
func (r *reachability) recentlyAnswered(instance string) bool {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.lastAnswer[instance]
	return ok && now.Sub(at) < reachableFor
}
