package slo

import (
	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

// Accuracy of quantiles and bound of a sketch. From 1 ms to 10 s there are 461
// bins of 1 % relative accuracy, so nothing collapses in practice; when
// something does, it is the shortest times.
const (
	sketchAccuracy = 0.01
	sketchMaxBins  = 1024
)

// sketches hold the times of one step, in milliseconds. A nil sketch is empty.
type sketches struct {
	total *ddsketch.DDSketch
	first *ddsketch.DDSketch
}

func (s *sketches) observe(o observation) {
	if !o.answered {
		return
	}
	addTo(&s.total, o.totalMS)
	if o.firstMS > 0 {
		addTo(&s.first, o.firstMS)
	}
}

func (s *sketches) merge(other sketches) {
	mergeInto(&s.total, other.total)
	mergeInto(&s.first, other.first)
}

func newSketch() *ddsketch.DDSketch {
	sketch, err := ddsketch.LogCollapsingLowestDenseDDSketch(sketchAccuracy, sketchMaxBins)
	if err != nil {
		panic(err) // only for an accuracy outside 0 to 1
	}
	return sketch
}

// addTo adds a value. A value that the sketch cannot hold (not a number) is
// left out: it would be a defect of the clock, and no reason to lose the rest.
func addTo(sketch **ddsketch.DDSketch, value float64) {
	if *sketch == nil {
		*sketch = newSketch()
	}
	_ = (*sketch).Add(value)
}

func mergeInto(sketch **ddsketch.DDSketch, other *ddsketch.DDSketch) {
	if other == nil {
		return
	}
	if *sketch == nil {
		*sketch = newSketch()
	}
	_ = (*sketch).MergeWith(other) // fails only for other accuracies
}

// encodeSketch returns the serialised form, nil for an empty sketch.
func encodeSketch(sketch *ddsketch.DDSketch) []byte {
	if sketch == nil || sketch.IsEmpty() {
		return nil
	}
	var out []byte
	sketch.Encode(&out, false)
	return out
}

// decodeSketch returns nil for an empty or damaged form: a peer of another
// version then costs its quantiles, not the report.
func decodeSketch(data []byte) *ddsketch.DDSketch {
	if len(data) == 0 {
		return nil
	}
	provider := func() store.Store { return store.NewCollapsingLowestDenseStore(sketchMaxBins) }
	sketch, err := ddsketch.DecodeDDSketch(data, provider, nil)
	if err != nil || !sketch.IndexMapping.Equals(newSketch().IndexMapping) {
		return nil
	}
	return sketch
}

// quantile returns 0 for an empty sketch.
func quantile(sketch *ddsketch.DDSketch, q float64) float64 {
	if sketch == nil || sketch.IsEmpty() {
		return 0
	}
	value, err := sketch.GetValueAtQuantile(q)
	if err != nil {
		return 0
	}
	return value
}
