package daemon

import (
	"sync/atomic"

	"lynxhill.example/lynxhill/internal/invariant"
)

// violationCounter counts broken invariants and passes them to the next recorder.
type violationCounter struct {
	count atomic.Int64
	next  invariant.Recorder
}

// Violated implements invariant.Recorder.
func (v *violationCounter) Violated(rule invariant.Rule, detail string) {
	v.count.Add(1)
	v.next.Violated(rule, detail)
}
