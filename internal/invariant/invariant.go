// Package invariant checks at run time conditions that must always hold. In
// tests and in internal/bench a violation panics or is collected; in production
// it is counted and logged, and Check returns false so that its caller can return an
// error instead of a wrong answer.
package invariant

import (
	"fmt"
	"sync"
)

// Rule is the name of an invariant.
type Rule string

// The invariants that the system checks.
const (
	OneDelivery         Rule = "one_delivery"          // a request is delivered once
	OffsetsContiguous   Rule = "offsets_contiguous"    // frames reach the caller without gaps or duplicates
	ClaimBeforeDispatch Rule = "claim_before_dispatch" // a stage that is not idempotent is dispatched under a claim
	RunStateCorrect     Rule = "run_state_true"        // the state not_run is reported only if nothing was dispatched
	NoLeavingDispatch   Rule = "no_leaving_dispatch"   // a leaving target gets no work after the grace period
	VersionsIncrease    Rule = "versions_rise"         // a profile never goes back to a lower version
	OrdersUnderLease    Rule = "one_order_giver"       // an instance gives orders only while it holds its lease
	LastReadyKept       Rule = "last_ready_kept"       // the last ready target of a model is not removed
	OwnAnswer           Rule = "own_answer"            // an answer carries the IDs of its request and attempt
)

// Recorder receives each violation.
type Recorder interface {
	// RecordViolation records one violation of rule.
	RecordViolation(rule Rule, detail string)
}

// Checker checks invariants. A nil Checker records nothing.
type Checker struct {
	recorder Recorder
}

// New returns a checker that reports violations to recorder.
func New(recorder Recorder) *Checker { return &Checker{recorder: recorder} }

// Check returns ok. If ok is false, it reports a violation of rule, with the
// formatted detail, to the recorder.
func (c *Checker) Check(ok bool, rule Rule, format string, args ...any) bool {
	if ok || c == nil {
		return ok
	}
	c.recorder.RecordViolation(rule, fmt.Sprintf(format, args...))
	return false
}

// Collector is a Recorder for tests and internal/bench that keeps all violations.
type Collector struct {
	mu         sync.Mutex // guards violations
	violations []Violation
}

// Violation is one recorded violation of an invariant.
type Violation struct {
	Rule   Rule
	Detail string
}

// RecordViolation implements Recorder.
func (c *Collector) RecordViolation(rule Rule, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, Violation{Rule: rule, Detail: detail})
}

// Violations returns a copy of the collected violations.
func (c *Collector) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Violation(nil), c.violations...)
}
