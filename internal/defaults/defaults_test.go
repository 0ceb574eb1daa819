package defaults

import (
	"math"
	"testing"
	"time"
)

func TestSetReplacesZeroOnly(t *testing.T) {
	for _, c := range []struct{ given, want int }{{0, 7}, {3, 3}, {-1, -1}} {
		got := c.given
		Set(&got, 7)
		if got != c.want {
			t.Errorf("Set of %d: %d, want %d", c.given, got, c.want)
		}
	}
	for _, c := range []struct{ given, want string }{{"", "other"}, {"own", "own"}} {
		got := c.given
		Set(&got, "other")
		if got != c.want {
			t.Errorf("Set of %q: %q, want %q", c.given, got, c.want)
		}
	}
}

func TestPositiveReplacesZeroAndNegative(t *testing.T) {
	for _, c := range []struct{ given, want time.Duration }{{0, time.Second}, {-1, time.Second}, {1, 1}} {
		got := c.given
		Positive(&got, time.Second)
		if got != c.want {
			t.Errorf("Positive of %v: %v, want %v", c.given, got, c.want)
		}
	}
	for _, c := range []struct{ given, want float64 }{{0, 0.5}, {-0.1, 0.5}, {0.1, 0.1}, {math.Inf(1), math.Inf(1)}} {
		got := c.given
		Positive(&got, 0.5)
		if got != c.want {
			t.Errorf("Positive of %g: %g, want %g", c.given, got, c.want)
		}
	}
}
