package stagework

import (
	"testing"
	"time"
)

// TestForecastOfTheEndOfAnOverload guards against callers that are told to come back in the
// middle of an overload, or long after its end.
func TestForecastOfTheEndOfAnOverload(t *testing.T) {
	var o overloads
	start := time.Unix(1000, 0)
	refuse := func(from, to time.Duration) { // ten refusals a second
		for at := from; at <= to; at += 100 * ms {
			o.note(start.Add(at))
		}
	}
	expect := func(what string, at, left time.Duration, blip bool) {
		t.Helper()
		if got := o.left(start.Add(at)); got != left {
			t.Errorf("%s: %v are left, want %v", what, got, left)
		}
		if got := o.blip(start.Add(at)); got != blip {
			t.Errorf("%s: taken for a random peak: %v", what, got)
		}
	}
	expect("no overload", 0, 0, true)
	refuse(0, 500*ms)
	expect("at its beginning", 500*ms, 5500*ms, true)
	refuse(600*ms, 5*time.Second)
	expect("in its middle", 5*time.Second, time.Second, false)
	refuse(5100*ms, 7*time.Second)
	expect("longer than usual", 7*time.Second, 1500*ms, false)
	expect("over", 8500*ms, 0, true)
	refuse(20*time.Second, 20*time.Second)
	expect("the next one", 20*time.Second, 6300*ms, true) // 6 s, and 0.3 of the second that the first was longer
}

// TestRandomPeaksDoNotShortenOverloads guards against callers that are told to come back in the
// middle of a burst because single refusals in the time before it counted as overloads that
// were over at once.
func TestRandomPeaksDoNotShortenOverloads(t *testing.T) {
	var o overloads
	now := time.Unix(1000, 0)
	for range 40 { // single refusals, far apart
		o.note(now)
		now = now.Add(10 * time.Second)
	}
	for range 20 { // a burst
		o.note(now)
		now = now.Add(50 * ms)
	}
	if left, want := o.left(now), firstOverloadLength-time.Second; left != want {
		t.Errorf("%v of the overload are left, want %v", left, want)
	}
}

// Guards against an overload of an hour after which callers of short ones are told for
// several bursts that they last minutes.
func TestALongOverloadDoesNotSetTheUsualLength(t *testing.T) {
	var o overloads
	now := time.Unix(1000, 0)
	for range 7200 {
		o.note(now)
		now = now.Add(500 * ms)
	}
	now = now.Add(time.Minute)
	o.note(now)
	if left := o.left(now); left > overloadEndMax {
		t.Errorf("%v of the next overload are forecast to be left", left)
	}
}
