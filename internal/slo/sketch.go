package slo

import (
	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

// Accuracy of quantiles and size limit of a sketch. The range from 1 ms to 10 s
// takes 461 bins at 1 % relative accuracy, so no bins are collapsed in practice;
// if the limit is reached, the bins of the shortest times are collapsed first.
const (
	sketchAccuracy = 0.01
	sketchMaxBins  = 1024
)

// sketches hold the latencies of one step, in milliseconds: total until the end
// of the answer, first until its first frame. A nil sketch is empty.
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
		panic(err) // only for an accuracy that is not between 0 and 1
	}
	return sketch
}

// addTo adds a value. A value that the sketch rejects (not a number) is
// dropped: it would come from a defective clock and must not affect the others.
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
	_ = (*sketch).MergeWith(other) // fails only if the accuracies differ
}

// encodeSketch serialises a sketch. It returns nil for an empty one.
func encodeSketch(sketch *ddsketch.DDSketch) []byte {
	if sketch == nil || sketch.IsEmpty() {
		return nil
	}
	var out []byte
	sketch.Encode(&out, false)
	return out
}

// decodeSketch parses a serialised sketch. It returns nil for empty, damaged or
// incompatible data, so that with a peer of another version only that peer's
// quantiles are lost, not the report.
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

// quantile returns the value at quantile q, or 0 for an empty sketch.
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
