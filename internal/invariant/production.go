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

// logEvery is the shortest time between two log events of one rule. Without
// it a defect on the request path would fill the log with one line a request.
const logEvery = 10 * time.Second

// Production is the Recorder of the daemon: it counts every violation and logs
// at most one a rule in ten seconds.
type Production struct {
	clock   clock.Clock
	logger  *event.Logger
	metrics *metrics.Registry

	mu   sync.Mutex // guards last
	last map[Rule]logged
}

type logged struct {
	at      time.Time
	skipped int
}

// NewProduction returns a recorder. All arguments may be nil.
func NewProduction(clk clock.Clock, logger *event.Logger, registry *metrics.Registry) *Production {
	if clk == nil {
		clk = quartz.NewReal()
	}
	return &Production{clock: clk, logger: logger, metrics: registry, last: make(map[Rule]logged)}
}

// Violated implements Recorder.
func (p *Production) Violated(rule Rule, detail string) {
	p.metrics.Labelled(metricViolations).Add(string(rule), 1)
	skipped, log := p.mayLog(rule)
	if log {
		p.logger.Log(event.InvariantViolated, "rule", string(rule), "detail", detail, "skipped", skipped)
	}
}

func (p *Production) mayLog(rule Rule) (skipped int, log bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	row, found := p.last[rule]
	if found && now.Sub(row.at) < logEvery {
		row.skipped++
		p.last[rule] = row
		return 0, false
	}
	p.last[rule] = logged{at: now}
	return row.skipped, true
}

// Panic is a Recorder for tests: a violation stops the test where it happens.
type Panic struct{}

// Violated implements Recorder.
func (Panic) Violated(rule Rule, detail string) {
	panic("invariant " + string(rule) + " violated: " + detail)
}
