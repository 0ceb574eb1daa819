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

// RecordViolation implements invariant.Recorder.
func (v *violationCounter) RecordViolation(rule invariant.Rule, detail string) {
	v.count.Add(1)
	v.next.RecordViolation(rule, detail)
}
