package bench

import (
	"bytes"
	"strings"
	"testing"
)

func TestCompareGivesRatiosWithTheirSpread(t *testing.T) {
	results := func(p95 ...float64) Results {
		var r Results
		for i, v := range p95 {
			r.Summaries = append(r.Summaries, Summary{Deployment: "mediaplace", Variant: "lynxhill", Repetition: i, LatencyP95: v})
		}
		return r
	}
	var out bytes.Buffer
	Compare(&out, results(100, 200), results(150, 100))
	var row []string
	for line := range strings.Lines(out.String()) {
		if strings.Contains(line, "latency p95") {
			row = strings.Fields(line)
		}
	}
	// Means 150 and 125; of the repetitions the second is half and the first
	// one and a half times as much.
	want := "mediaplace lynxhill latency p95 150 125 0.833 0.500 1.500"
	if strings.Join(row, " ") != want {
		t.Errorf("row %q, want %q", strings.Join(row, " "), want)
	}
}

// What only one of the two has is left out: a ratio to nothing would read as
// a gain or a loss.
func TestCompareLeavesOutWhatOnlyOneHas(t *testing.T) {
	var out bytes.Buffer
	Compare(&out, Results{Summaries: []Summary{{Deployment: "a", Variant: "x"}}}, Results{Summaries: []Summary{{Deployment: "a", Variant: "y"}}})
	if strings.Contains(out.String(), "latency") {
		t.Errorf("compared:\n%s", out.String())
	}
}
