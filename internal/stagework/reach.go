package stagework

import (
	"maps"
	"slices"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/clock"
)

// Times of what is known of instances.
const (
	// avoidFor is how long an instance that did not answer as dispatcher is
	// left out.
	avoidFor = 2 * time.Second
	// probeTime is how long the one request that asks it again may take.
	probeTime = 500 * time.Millisecond
	// sureFor is how long an instance counts as reached after an answer.
	sureFor = time.Second
	// forgetAfter is how long what is known of an instance is kept.
	forgetAfter = time.Minute
)

// reach is what an instance knows from its own calls of which others it
// reaches. It is safe for concurrent use.
type reach struct {
	clock clock.Clock

	mu      sync.Mutex           // guards all below
	avoided map[string]time.Time // until when an instance is left out
	heard   map[string]time.Time // when it last answered
	members []string             // at the last look
}

func newReach(c clock.Clock) *reach {
	return &reach{clock: c, avoided: make(map[string]time.Time), heard: make(map[string]time.Time)}
}

// usable returns the members that are not left out, and whether some are. One
// that has become a member again is not.
func (r *reach) usable(members []string) (usable []string, skipped bool) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.welcome(members)
	for _, m := range members {
		if now.Before(r.avoided[m]) {
			skipped = true
			continue
		}
		usable = append(usable, m)
	}
	return usable, skipped
}

// welcome takes in those that were no members at the last look. The lock is
// held.
func (r *reach) welcome(members []string) {
	if slices.Equal(members, r.members) {
		return
	}
	for _, m := range members {
		if !slices.Contains(r.members, m) {
			delete(r.avoided, m)
		}
	}
	r.members = slices.Clone(members)
}

// probe is told which instances a request is going to ask. Of those that were
// left out it finds out whether they are reached again; without this all
// requests of that moment would wait for them in vain.
func (r *reach) probe(instances []string) {
	until := r.clock.Now().Add(probeTime)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range instances {
		if _, ok := r.avoided[m]; ok {
			r.avoided[m] = until
		}
	}
}

// avoid leaves an instance out that did not answer.
func (r *reach) avoid(instance string) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	old := func(_ string, at time.Time) bool { return now.Sub(at) > forgetAfter }
	maps.DeleteFunc(r.avoided, old)
	maps.DeleteFunc(r.heard, old)
	r.avoided[instance] = now.Add(avoidFor)
}

// answered takes in that an instance has answered.
func (r *reach) answered(instance string) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.avoided, instance)
	r.heard[instance] = now
}

// restore takes in an instance that is said to be there again.
func (r *reach) restore(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.avoided, instance)
}

// sure reports whether the instance has answered of late.
func (r *reach) sure(instance string) bool {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.heard[instance]
	return ok && now.Sub(at) < sureFor
}
