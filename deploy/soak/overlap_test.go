package main

import (
	"testing"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

// Guards against a request that goes on at another server while the one before works on,
// and is not reported, and against requests that are reported without cause.
func TestOverlaps(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name           string
		second, server string
		began, ended   int    // of the second run, and of the first; 0 = it has not ended
		outcome        string // of the second run
		want           int
	}{
		{"elsewhere, the first works on", "a", "s2", 100, 600, emulator.Whole, 1},
		{"elsewhere, the first never ended", "a", "s2", 100, 0, emulator.Whole, 1},
		{"elsewhere, the first ends soon", "a", "s2", 100, 400, emulator.Whole, 0},
		{"the same server", "a", "s1", 100, 600, emulator.Whole, 0},
		{"dropped as it began, of an earlier attempt", "a", "s2", 1, 600, emulator.Dropped, 0},
		{"dropped later", "a", "s2", 500, 1200, emulator.Dropped, 1},
		{"another request", "b", "s2", 100, 600, emulator.Whole, 0},
	} {
		first := emulator.Run{ID: "1", Attempt: "a", Server: "s1", Began: at(0)}
		if c.ended > 0 {
			first.Ended = at(c.ended)
		}
		second := emulator.Run{ID: "2", Attempt: c.second, Server: c.server, Began: at(c.began), Ended: at(c.began + 10), Outcome: c.outcome}
		if found := overlaps([]emulator.Run{first, second}); len(found) != c.want {
			t.Errorf("%s: %v", c.name, found)
		}
	}
}
