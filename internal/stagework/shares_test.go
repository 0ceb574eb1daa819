package stagework

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestSurplus(t *testing.T) {
	now := time.Unix(1e9, 0)
	count := func(s *shares, route string, asked, late int) {
		for range asked {
			s.of(route, now).asked++
		}
		for range late {
			s.of(route, now).late++
		}
	}
	for _, c := range []struct {
		what               string
		otherAsked, others int // of the other kind, and how many of them are late
		want               float64
	}{
		{"both are on time", 10, 0, 0},
		{"half of the other is late", 10, 5, fairWait / 2},
		{"all of the other are late", 10, 10, fairWait},
		{"the other hardly comes", 1, 1, 0},
		{"more are late than came of late", 10, 20, fairWait},
	} {
		var s shares
		count(&s, "own", 20, 0)
		count(&s, "other", c.otherAsked, c.others)
		if got := s.surplus("own", now); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: %v, want %v", c.what, got, c.want)
		}
		if got := s.surplus("other", now); got > 1e-9 {
			t.Errorf("%s: the worse served kind is held to %v more", c.what, got)
		}
	}
}

// Symptom: a dispatcher's memory and the time of its decisions grow with the
// routes that were ever asked for.
// Events: a thousand routes are asked for once, and one of them goes on.
// Cause: kinds are never forgotten.
func TestKindsAreForgotten(t *testing.T) {
	var s shares
	now := time.Unix(1e9, 0)
	for k := range 1000 {
		s.of(fmt.Sprint("route ", k), now).asked++
	}
	now = now.Add(10 * sharesFade)
	for range 3 {
		s.of("route 1", now).asked++
	}
	s.surplus("route 1", now)
	if len(s.kinds) != 1 {
		t.Errorf("%d kinds are kept, want 1", len(s.kinds))
	}
}
