package crashguard

import (
	"time"

	"lynxhill.example/lynxhill/internal/control/rendezvous"
	"lynxhill.example/lynxhill/internal/event"
)

const (
	// trialTimeout is how long a trial may take. Until then no other one starts.
	trialTimeout = 20 * time.Second
	// maxTrials is how many trials may end without showing anything (the caller left, no
	// target took the request) before the next one waits for TrialInterval.
	maxTrials = 3
)

// Admission is the decision on a request that arrives.
type Admission struct {
	Refused bool
	// RetryAfter is the time until a refused request may be tried again.
	RetryAfter time.Duration
	// Trial reports that the request is refused in general and runs once, to find out
	// whether it still crashes targets.
	Trial bool
}

// trial is the state of the trials of a key at this instance.
type trial struct {
	crashedAt time.Time // the newest crash before the trials
	began     time.Time // the latest trial
	count     int
}

// Admit decides whether a request known under the keys may run. A refused one is tried
// again a while after the newest crash, one at a time, at the instance that the first
// refused key selects among those alive.
func (g *Guard) Admit(keys ...string) Admission {
	now := g.now()
	first, wait := g.nextTrial(keys, now)
	switch {
	case first == "":
		return Admission{}
	case wait > 0:
		return Admission{Refused: true, RetryAfter: wait}
	case !g.ownsTrial(first):
		return Admission{Refused: true, RetryAfter: trialTimeout}
	}
	g.beginTrials(keys, now)
	g.opts.Logger.Log(event.CrashguardTrial, "key", first)
	return Admission{Trial: true}
}

// RetryAfter returns the time until a request known under the keys may be tried again.
func (g *Guard) RetryAfter(keys ...string) time.Duration {
	first, wait := g.nextTrial(keys, g.now())
	if first != "" && wait <= 0 {
		return trialTimeout
	}
	return wait
}

// nextTrial returns the first refused one of the keys, "" if none is, and the time until
// such a request may be tried.
func (g *Guard) nextTrial(keys []string, now time.Time) (first string, wait time.Duration) {
	for _, key := range keys {
		crashes := g.crashes(key)
		if len(crashes) == 0 || len(crashes) < g.policyOf(key).limit {
			continue
		}
		if first == "" {
			first = key
		}
		newest := crashes[len(crashes)-1].At
		wait = max(wait, newest.Add(g.trialAfter(key, len(crashes))).Sub(now), g.trialWait(key, newest, now))
	}
	return first, wait
}

// trialWait returns the time until the next trial of the key here, as far as earlier ones
// since the newest crash delay it.
func (g *Guard) trialWait(key string, newest, now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	t, ok := g.trials[key]
	switch {
	case !ok || t.crashedAt.Before(newest):
		return 0
	case t.count >= maxTrials:
		return t.began.Add(g.opts.TrialInterval).Sub(now)
	}
	return t.began.Add(trialTimeout).Sub(now)
}

// beginTrials records the start of a trial here of the refused ones of the keys.
func (g *Guard) beginTrials(keys []string, now time.Time) {
	for _, key := range keys {
		crashes := g.crashes(key)
		if len(crashes) < g.policyOf(key).limit {
			continue
		}
		newest := crashes[len(crashes)-1].At
		g.mu.Lock()
		t := g.trials[key]
		if t.crashedAt.Before(newest) {
			t = trial{crashedAt: newest}
		}
		t.began = now
		if t.count++; t.count > maxTrials {
			t.count = 1
		}
		g.trials[key] = t
		g.mu.Unlock()
	}
}

// ownsTrial reports whether this instance is the one that tries the request again.
func (g *Guard) ownsTrial(key string) bool { return g.trialOwner(key) == g.opts.Self }

// trialOwner returns the instance that tries the key again.
func (g *Guard) trialOwner(key string) string {
	if g.opts.Self == "" {
		return ""
	}
	return rendezvous.Top(key, g.opts.Board.LiveMembers(g.opts.Self), 1)[0]
}
