package admission

import (
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
)

const (
	sketchAccuracy = 0.02 // relative error of a quantile
	sketchBins     = 512  // covers 1 us to 13 min at that accuracy
)

// distribution keeps durations of a sliding window. Two sketches overlap by
// half a window: each sample goes into both, the older one answers, and at
// each half window it is dropped and the younger takes its place. With few
// samples it is kept longer, so that a quiet target keeps its distribution.
type distribution struct {
	old, young *ddsketch.DDSketch
	rotated    time.Time
}

func newSketch() *ddsketch.DDSketch {
	s, err := ddsketch.LogCollapsingLowestDenseDDSketch(sketchAccuracy, sketchBins)
	if err != nil {
		panic(err) // only for an accuracy outside 0 to 1
	}
	return s
}

func (d *distribution) add(v time.Duration, now time.Time, window time.Duration, minSamples int) {
	if d.old == nil {
		d.old, d.young, d.rotated = newSketch(), newSketch(), now
	}
	if now.Sub(d.rotated) >= window/2 && d.young.GetCount() >= float64(minSamples) {
		d.old, d.young, d.rotated = d.young, newSketch(), now
	}
	seconds := max(v, time.Microsecond).Seconds()
	// Add fails only for values outside what the mapping can index.
	_ = d.old.Add(seconds)
	_ = d.young.Add(seconds)
}

// quantile returns false with fewer than minSamples samples.
func (d *distribution) quantile(q float64, minSamples int) (time.Duration, bool) {
	if d == nil || d.old == nil || d.old.GetCount() < float64(minSamples) {
		return 0, false
	}
	v, err := d.old.GetValueAtQuantile(q)
	if err != nil {
		return 0, false
	}
	return time.Duration(v * float64(time.Second)), true
}

// silences are the distributions of how long calls bring nothing. Failed calls
// count too.
type silences struct {
	firstByte distribution // until the first byte
	gap       distribution // longest wait between two frames
}

func (s *silences) addSilences(r Result, now time.Time, l *GateLimits) {
	if r.FirstByte > 0 {
		s.firstByte.add(r.FirstByte, now, l.Window, l.MinSamples)
	}
	if r.Gap > 0 {
		s.gap.add(r.Gap, now, l.Window, l.MinSamples)
	}
}
