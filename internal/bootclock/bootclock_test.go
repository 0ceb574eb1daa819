package bootclock

import (
	"testing"

	"lynxhill.example/lynxhill/internal/clock"
)

var _ clock.Boot = Clock{}

func TestSinceBootRises(t *testing.T) {
	var c Clock
	before := c.SinceBoot()
	if before <= 0 {
		t.Fatalf("time since boot is %v", before)
	}
	if after := c.SinceBoot(); after < before {
		t.Fatalf("clock went back from %v to %v", before, after)
	}
}
