package membership

import (
	"slices"
	"sync"
	"time"
)

const (
	// outcomeRetention is how long the outcome of a call to a member counts.
	outcomeRetention = 1200 * time.Millisecond
	// minUnanswered is the number of members without an answer below which the share
	// is reported as 0, so that a single lost call has no effect.
	minUnanswered = 2
)

// callOutcomes holds the outcome of this instance's latest call to each member.
type callOutcomes struct {
	mu     sync.Mutex // guards latest
	latest map[string]callOutcome
}

type callOutcome struct {
	at time.Duration // on the boot clock
	ok bool
}

// record replaces the outcome of the latest call to the member.
func (c *callOutcomes) record(id string, ok bool, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latest == nil {
		c.latest = make(map[string]callOutcome)
	}
	c.latest[id] = callOutcome{now, ok}
}

// unanswered returns how many members called within outcomeRetention did not answer.
func (c *callOutcomes) unanswered(now time.Duration) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, last := range c.latest {
		if !last.ok && now-last.at <= outcomeRetention {
			n++
		}
	}
	return n
}

// answeredFirst moves the members that answered within outcomeRetention to the front
// and those that did not to the end.
func (c *callOutcomes) answeredFirst(ids []string, now time.Duration) []string {
	const answered, notCalled, unanswered = 0, 1, 2
	c.mu.Lock()
	defer c.mu.Unlock()
	order := func(id string) int {
		last, known := c.latest[id]
		switch {
		case !known || now-last.at > outcomeRetention:
			return notCalled
		case last.ok:
			return answered
		}
		return unanswered
	}
	slices.SortStableFunc(ids, func(a, b string) int { return order(a) - order(b) })
	return ids
}

// maxExtraHeartbeats bounds the heartbeats that are added while members do not answer.
const maxExtraHeartbeats = 4

// extraHeartbeats returns how many heartbeats are added now. If many members fail at
// once, each would otherwise be detected only when its turn comes.
func (m *Manager) extraHeartbeats() int {
	return min(m.callOutcomes.unanswered(m.o.Boot.SinceBoot()), maxExtraHeartbeats)
}

// unansweredShare returns the share of members called within outcomeRetention that did
// not answer, or 0 if fewer than minUnanswered did not.
func (c *callOutcomes) unansweredShare(now time.Duration) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	called, failed := 0, 0
	for id, last := range c.latest {
		if now-last.at > outcomeRetention {
			delete(c.latest, id)
			continue
		}
		called++
		if !last.ok {
			failed++
		}
	}
	if failed < minUnanswered {
		return 0
	}
	return float64(failed) / float64(called)
}

// UnansweredShare returns the share of members that this instance called recently and
// that did not answer, or 0 if fewer than two did not. It reveals the failure of many
// members before each of them is suspected.
func (m *Manager) UnansweredShare() float64 {
	return m.callOutcomes.unansweredShare(m.o.Boot.SinceBoot())
}
