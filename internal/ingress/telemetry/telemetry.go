// Package telemetry serves the metrics of a registry as text, and provides a
// histogram of durations.
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

// Handler returns a handler that responds with all metrics of the registry.
func Handler(r *metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		Write(w, r)
	})
}

// Write writes the metrics, one value per line: NAME VALUE, or NAME{LABEL} VALUE if
// the metric has labels. Values that are not numbers are omitted.
func Write(w io.Writer, r *metrics.Registry) {
	for _, d := range metrics.All() {
		var value any
		if json.Unmarshal([]byte(r.Value(d)), &value) != nil {
			continue // the metric has no value yet
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

// bucketBounds are the upper bounds of a Histogram's buckets, in milliseconds.
var bucketBounds = [...]int64{5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000}

// Histogram counts durations in buckets. The zero value is empty. Adding a duration
// costs two atomic additions, so there is no setting to disable it. It is safe
// for concurrent use.
type Histogram struct {
	buckets [len(bucketBounds) + 1]atomic.Int64
	sumUS   atomic.Int64
}

// Add adds a duration.
func (h *Histogram) Add(d time.Duration) {
	n := 0
	for n < len(bucketBounds) && d > time.Duration(bucketBounds[n])*time.Millisecond {
		n++
	}
	h.buckets[n].Add(1)
	h.sumUS.Add(d.Microseconds())
}

// SetValues sets the values of a labelled metric: label,le=N is the number of durations of
// at most N milliseconds, label,le=all the number of all durations, and label,sum_ms
// their sum in milliseconds.
func (h *Histogram) SetValues(values map[string]int64, label string) {
	var count int64
	for n, limit := range bucketBounds {
		count += h.buckets[n].Load()
		values[fmt.Sprintf("%s,le=%d", label, limit)] = count
	}
	values[label+",le=all"] = count + h.buckets[len(bucketBounds)].Load()
	values[label+",sum_ms"] = h.sumUS.Load() / int64(time.Millisecond/time.Microsecond)
}
