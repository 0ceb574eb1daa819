// Package invariant asserts inside the program what must always hold. In
// tests and on the bench a broken invariant panics or is collected; in
// production it is counted and logged, and the caller gets an error instead of
// a wrong answer.
package invariant

import (
	"fmt"
	"sync"
)

// Rule is an invariant by name.
type Rule string

// The rules.
const (
	OneDelivery         Rule = "one_delivery"          // a request is delivered once
	OffsetsContiguous   Rule = "offsets_contiguous"    // frames reach the caller without gap or repeat
	ClaimBeforeDispatch Rule = "claim_before_dispatch" // a stage that is not idempotent is dispatched under a claim
	RunStateTrue        Rule = "run_state_true"        // not_run is said only if nothing was dispatched
	NoLeavingDispatch   Rule = "no_leaving_dispatch"   // a leaving target gets no work after the grace
	VersionsRise        Rule = "versions_rise"         // a profile never goes back to a lower version
	OneOrderGiver       Rule = "one_order_giver"       // orders are given only inside one's lease
	LastReadyKept       Rule = "last_ready_kept"       // a model's last ready target is not taken away
	OwnAnswer           Rule = "own_answer"            // an answer carries the ids of its request and attempt
)

// Recorder is told of each violation.
type Recorder interface {
	Violated(rule Rule, detail string)
}

// Checker asserts rules. A nil Checker asserts nothing.
type Checker struct {
	recorder Recorder
}

// New returns a checker that tells recorder.
func New(recorder Recorder) *Checker { return &Checker{recorder: recorder} }

// Check tells the recorder if ok is false, and returns ok.
func (c *Checker) Check(ok bool, rule Rule, format string, args ...any) bool {
	if ok || c == nil {
		return ok
	}
	c.recorder.Violated(rule, fmt.Sprintf(format, args...))
	return false
}

// Collector is a Recorder for tests and the bench: it keeps violations.
type Collector struct {
	mu         sync.Mutex // guards violations
	violations []Violation
}

// Violation is one broken invariant.
type Violation struct {
	Rule   Rule
	Detail string
}

// Violated implements Recorder.
func (c *Collector) Violated(rule Rule, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, Violation{Rule: rule, Detail: detail})
}

// Violations returns what was collected.
func (c *Collector) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Violation(nil), c.violations...)
}
