package invariant

import (
	"sync"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/metrics"
)

var metricViolations = metrics.Define("invariant_violations_total", "violations", "Broken invariants by rule. Any is a defect.")

// logInterval is the minimum time between two log events of the same rule.
// Without it, a defect on the request path would log one line per request.
const logInterval = 10 * time.Second

// Production is the Recorder of the daemon. It counts every violation and logs
// at most one per rule in ten seconds.
type Production struct {
	clock   clock.Clock
	logger  *event.Logger
	metrics *metrics.Registry

	mu   sync.Mutex // guards last
	last map[Rule]logState
}

// logState is the state of the rate limit of one rule's log events.
type logState struct {
	at      time.Time // of the last log event
	skipped int       // violations since then that were not logged
}

// NewProduction returns a recorder. A nil clk means the real clock; with a nil
// logger or registry nothing is logged or counted.
func NewProduction(clk clock.Clock, logger *event.Logger, registry *metrics.Registry) *Production {
	if clk == nil {
		clk = quartz.NewReal()
	}
	return &Production{clock: clk, logger: logger, metrics: registry, last: make(map[Rule]logState)}
}

// RecordViolation implements Recorder.
func (p *Production) RecordViolation(rule Rule, detail string) {
	p.metrics.Labelled(metricViolations).Add(string(rule), 1)
	skipped, log := p.mayLog(rule)
	if log {
		p.logger.Log(event.InvariantViolated, "rule", string(rule), "detail", detail, "skipped", skipped)
	}
}

// mayLog reports whether a violation of rule may be logged now. If so, it
// returns how many were skipped since the last log event of the rule.
func (p *Production) mayLog(rule Rule) (skipped int, log bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	row, found := p.last[rule]
	if found && now.Sub(row.at) < logInterval {
		row.skipped++
		p.last[rule] = row
		return 0, false
	}
	p.last[rule] = logState{at: now}
	return row.skipped, true
}

// Panic is a Recorder for tests that panics at the first violation.
type Panic struct{}

// RecordViolation implements Recorder.
func (Panic) RecordViolation(rule Rule, detail string) {
	panic("invariant " + string(rule) + " violated: " + detail)
}
