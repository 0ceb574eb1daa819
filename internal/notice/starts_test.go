package notice

import (
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/gossip"
)

// Guards against a target that started again under its id and gets little or no work, because it announced its end, a limit
// or a pause in its earlier start: here, by a late response, or by another instance that does not know of the new start.
func TestNoticesAreOfOneStart(t *testing.T) {
	started := int64(100)
	newTracker := func(started *int64) *Tracker {
		return New(Options{Self: "x", Board: board.New(), Started: func(string) int64 { return *started }})
	}
	k, behind := newTracker(&started), newTracker(func() *int64 { s := int64(100); return &s }())
	all := fleet.Notice{Leaving: true, Limit: limitOf(1).Limit, Pause: time.Minute}
	check := func(when string, want bool) {
		t.Helper()
		_, limited := k.Limit("a")
		if k.Leaves("a") != want || limited != want || k.Pause("a").IsZero() == want {
			t.Errorf("%s: leaves %v, limited %v, paused until %v", when, k.Leaves("a"), limited, k.Pause("a"))
		}
	}
	late := k.BeginRequest("a")
	k.BeginRequest("a").ResponseReceived(all, false)
	behind.BeginRequest("a").ResponseReceived(all, false)
	check("announced", true)
	if !k.RunLeaves(fleet.Target{ID: "a", Started: 100}) || k.RunLeaves(fleet.Target{ID: "a", Started: 200}) {
		t.Error("the announcement is not that of the start")
	}
	started = 200
	late.ResponseReceived(all, false)
	var digest gossip.Digest
	behind.Fill(&digest, "", largeBudget)
	k.Absorb(digest)
	check("started again", false)
	k.BeginRequest("a").ResponseReceived(all, false)
	check("announced again", true)
}
