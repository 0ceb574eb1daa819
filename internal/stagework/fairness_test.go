package stagework

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestWaitPenalty(t *testing.T) {
	now := time.Unix(1e9, 0)
	count := func(s *fairness, route string, asked, late int) {
		for range asked {
			s.stats(route, now).requests++
		}
		for range late {
			s.stats(route, now).late++
		}
	}
	for _, c := range []struct {
		what               string
		otherAsked, others int // of the other kind, and how many of them are late
		want               float64
	}{
		{"both routes are on time", 10, 0, 0},
		{"half of the other route is late", 10, 5, maxWaitPenalty / 2},
		{"all of the other route is late", 10, 10, maxWaitPenalty},
		{"the other route has few requests", 1, 1, 0},
		{"more are late than were counted", 10, 20, maxWaitPenalty},
	} {
		var s fairness
		count(&s, "own", 20, 0)
		count(&s, "other", c.otherAsked, c.others)
		if got := s.waitPenalty("own", now); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: %v, want %v", c.what, got, c.want)
		}
		if got := s.waitPenalty("other", now); got > 1e-9 {
			t.Errorf("%s: the worse served route has a penalty of %v", c.what, got)
		}
	}
}

// TestIdleRoutesAreForgotten guards against memory and decision time that grow
// with the number of routes ever requested: a thousand routes are requested
// once, and one of them continues.
func TestIdleRoutesAreForgotten(t *testing.T) {
	var s fairness
	now := time.Unix(1e9, 0)
	for k := range 1000 {
		s.stats(fmt.Sprint("route ", k), now).requests++
	}
	now = now.Add(10 * fairnessDecay)
	for range 3 {
		s.stats("route 1", now).requests++
	}
	s.waitPenalty("route 1", now)
	if len(s.byRoute) != 1 {
		t.Errorf("%d routes are kept, want 1", len(s.byRoute))
	}
}
