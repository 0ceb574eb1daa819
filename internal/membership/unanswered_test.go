package membership

import (
	"slices"
	"testing"
	"time"
)

// Guards against a share that counts a single lost call, expired outcomes, or outcomes
// superseded by a later call to the same member.
func TestUnansweredShare(t *testing.T) {
	var c callOutcomes
	at := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	expect := func(when string, now time.Duration, want float64) {
		t.Helper()
		if got := c.unansweredShare(now); got != want {
			t.Errorf("%s: %v, want %v", when, got, want)
		}
	}
	expect("no calls", at(0), 0)
	c.record("a", false, at(0))
	expect("one lost call", at(0), 0)
	c.record("b", false, at(100))
	expect("two lost calls", at(100), 1)
	c.record("c", true, at(200))
	c.record("d", true, at(300))
	expect("two of four lost", at(300), 0.5)
	c.record("a", true, at(400))
	expect("a later call answered", at(400), 0)
	c.record("e", false, at(500))
	expect("two of five lost", at(500), 0.4)
	expect("older outcomes expired", at(100)+outcomeRetention+1, 0)
}

// Guards against probes through members that do not answer themselves, which delay a
// suspicion by their own timeouts.
func TestProbesGoThroughMembersThatAnswer(t *testing.T) {
	var c callOutcomes
	now := 10 * time.Second
	c.record("lost", false, now)
	c.record("answered", true, now)
	c.record("answered long ago", true, now-outcomeRetention-1)
	got := c.answeredFirst([]string{"lost", "not called", "answered long ago", "answered"}, now)
	if want := []string{"answered", "not called", "answered long ago", "lost"}; !slices.Equal(got, want) {
		t.Errorf("order %q, want %q", got, want)
	}
}
