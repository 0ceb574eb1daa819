package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"sort"
	"text/tabwriter"
)

// ReadResults reads results that a run has written as JSON.
func ReadResults(name string) (Results, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return Results{}, err
	}
	var r Results
	if err := json.Unmarshal(text, &r); err != nil {
		return Results{}, fmt.Errorf("%s: %w", name, err)
	}
	return r, nil
}

// measure is one figure of a summary to compare.
type measure struct {
	name string
	of   func(s Summary) float64
}

var measures = []measure{
	{"attainment", func(s Summary) float64 { return s.Attainment }},
	{"latency p50", func(s Summary) float64 { return s.LatencyP50 }},
	{"latency p95", func(s Summary) float64 { return s.LatencyP95 }},
	{"latency p99", func(s Summary) float64 { return s.LatencyP99 }},
	{"first token p95", func(s Summary) float64 { return s.FirstP95 }},
	{"between tokens p95", func(s Summary) float64 { return s.BetweenP95 }},
	{"cost per whole answer", func(s Summary) float64 { return s.CostPerWhole }},
	{"wasted cost", func(s Summary) float64 { return s.Wasted }},
}

// Compare writes b as a multiple of a, by deployment, variant and measure, with
// the spread over the repetitions.
func Compare(out io.Writer, a, b Results) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "deployment\tvariant\tmeasure\tfirst\tsecond\tratio\tlowest\thighest\t\n")
	for _, key := range keysOf(a) {
		for _, m := range measures {
			compareOne(table, key, m, valuesOf(a, key, m), valuesOf(b, key, m))
		}
	}
	_ = table.Flush()
}

type summaryKey struct{ deployment, variant string }

func keysOf(r Results) []summaryKey {
	seen := make(map[summaryKey]bool)
	var keys []summaryKey
	for _, s := range r.Summaries {
		k := summaryKey{s.Deployment, s.Variant}
		if !seen[k] {
			seen[k] = true
			keys = append(keys, k)
		}
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].deployment != keys[j].deployment {
			return keys[i].deployment < keys[j].deployment
		}
		return keys[i].variant < keys[j].variant
	})
	return keys
}

func valuesOf(r Results, key summaryKey, m measure) []float64 {
	var values []float64
	for _, s := range r.Summaries {
		if s.Deployment == key.deployment && s.Variant == key.variant {
			values = append(values, m.of(s))
		}
	}
	return values
}

// compareOne writes the ratio of the means, and the lowest and highest ratio of
// any repetition of b to the one of a with the same number.
func compareOne(out io.Writer, key summaryKey, m measure, a, b []float64) {
	if len(a) == 0 || len(b) == 0 {
		return
	}
	lowest, highest := math.Inf(1), math.Inf(-1)
	for i := range min(len(a), len(b)) {
		r := ratio(b[i], a[i])
		lowest, highest = min(lowest, r), max(highest, r)
	}
	fmt.Fprintf(out, "%s\t%s\t%s\t%.4g\t%.4g\t%.3f\t%.3f\t%.3f\t\n",
		key.deployment, key.variant, m.name, mean(a), mean(b), ratio(mean(b), mean(a)), lowest, highest)
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}
