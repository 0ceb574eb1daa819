// Package telemetry shows a registry of metrics as text and counts how long
// things took.
package telemetry

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"lynxhill.example/lynxhill/internal/metrics"
)

// Handler answers with all metrics of the registry.
func Handler(r *metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		Write(w, r)
	})
}

// Write writes the metrics by name, one value a line: NAME VALUE, or
// NAME{LABEL} VALUE where a metric has labels. What is no number is left out.
func Write(w io.Writer, r *metrics.Registry) {
	for _, d := range metrics.All() {
		var value any
		if json.Unmarshal([]byte(r.Value(d)), &value) != nil {
			continue // the metric was not used yet
		}
		if labelled, ok := value.(map[string]any); ok {
			for _, label := range slices.Sorted(maps.Keys(labelled)) {
				writeLine(w, d.Name+"{"+label+"}", labelled[label])
			}
			continue
		}
		writeLine(w, d.Name, value)
	}
}

func writeLine(w io.Writer, name string, value any) {
	if number, ok := value.(float64); ok {
		fmt.Fprintln(w, name, strconv.FormatFloat(number, 'f', -1, 64))
	}
}

// limits are the upper bounds of a Histogram's buckets, in milliseconds.
var limits = [...]int64{5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000}

// Histogram counts durations by size. The zero value is empty, and an addition
// is one atomic one, so that it costs nothing worth a switch. It is safe for
// concurrent use.
type Histogram struct {
	buckets [len(limits) + 1]atomic.Int64
	sumUS   atomic.Int64
}

// Add counts a duration.
func (h *Histogram) Add(d time.Duration) {
	n := 0
	for n < len(limits) && d > time.Duration(limits[n])*time.Millisecond {
		n++
	}
	h.buckets[n].Add(1)
	h.sumUS.Add(d.Microseconds())
}

// Into adds the counts to the values of a metric with labels: label,le=N is how
// many took N milliseconds at most, label,le=all how many there were, and
// label,sum_ms how long they took together.
func (h *Histogram) Into(values map[string]int64, label string) {
	var count int64
	for n, limit := range limits {
		count += h.buckets[n].Load()
		values[fmt.Sprintf("%s,le=%d", label, limit)] = count
	}
	values[label+",le=all"] = count + h.buckets[len(limits)].Load()
	values[label+",sum_ms"] = h.sumUS.Load() / int64(time.Millisecond/time.Microsecond)
}
