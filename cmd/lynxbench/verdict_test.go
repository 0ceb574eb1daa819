package main

import (
	"errors"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"lynxhill.example/lynxhill/internal/bench"
)

// Symptom, if not: a script takes an interrupted run for a pass, or what the
// interrupt itself did for a fault.
func TestVerdict(t *testing.T) {
	for _, c := range []struct {
		lost        int
		interrupted bool
		says        string
		status      int
	}{
		{0, false, "", 0},
		{2, false, "promises broken: x: 2", 1},
		{0, true, "interrupted", 130},
		{2, true, "interrupted, and before that promises broken: x: 2", 1},
	} {
		var v verdict
		v.add(bench.Results{
			Experiment: bench.Experiment{Name: "x"}, Interrupted: c.interrupted,
			Summaries: []bench.Summary{{Breaches: bench.Breaches{Lost: c.lost}}},
		})
		status, says := 0, ""
		if err := v.err(); err != nil {
			status, says = 1, err.Error()
			var coder kong.ExitCoder
			if errors.As(err, &coder) {
				status = coder.ExitCode()
			}
		}
		if status != c.status || !strings.Contains(says, c.says) {
			t.Errorf("%+v: %q, status %d", c, says, status)
		}
	}
}
