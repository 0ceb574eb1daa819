package admission

import (
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
)

const (
	sketchAccuracy = 0.02 // relative error of a quantile
	sketchBins     = 512  // covers 1 us to 13 min at that accuracy
)

// distribution estimates quantiles of durations over a sliding window. It keeps
// two sketches that overlap by half a window: each sample is added to both,
// quantiles are read from current, and every half window next replaces current.
// With few samples the replacement is delayed, so that a target with little
// traffic keeps its distribution.
type distribution struct {
	current, next *ddsketch.DDSketch
	rotatedAt     time.Time
}

func newSketch() *ddsketch.DDSketch {
	s, err := ddsketch.LogCollapsingLowestDenseDDSketch(sketchAccuracy, sketchBins)
	if err != nil {
		panic(err) // only for an accuracy outside 0 to 1
	}
	return s
}

func (d *distribution) add(v time.Duration, now time.Time, window time.Duration, minSamples int) {
	if d.current == nil {
		d.current, d.next, d.rotatedAt = newSketch(), newSketch(), now
	}
	if now.Sub(d.rotatedAt) >= window/2 && d.next.GetCount() >= float64(minSamples) {
		d.current, d.next, d.rotatedAt = d.next, newSketch(), now
	}
	seconds := max(v, time.Microsecond).Seconds()
	// Add fails only for values outside the range of the sketch.
	_ = d.current.Add(seconds)
	_ = d.next.Add(seconds)
}

// quantile returns false with fewer than minSamples samples.
func (d *distribution) quantile(q float64, minSamples int) (time.Duration, bool) {
	if d == nil || d.current == nil || d.current.GetCount() < float64(minSamples) {
		return 0, false
	}
	v, err := d.current.GetValueAtQuantile(q)
	if err != nil {
		return 0, false
	}
	return time.Duration(v * float64(time.Second)), true
}

// waitTimes holds the distributions of how long calls wait for data. Failed
// calls are included.
type waitTimes struct {
	firstByte distribution // until the first byte
	gap       distribution // longest wait between two frames
}

func (s *waitTimes) addWaitTimes(r Result, now time.Time, l *GateLimits) {
	if r.FirstByte > 0 {
		s.firstByte.add(r.FirstByte, now, l.Window, l.MinSamples)
	}
	if r.Gap > 0 {
		s.gap.add(r.Gap, now, l.Window, l.MinSamples)
	}
}
