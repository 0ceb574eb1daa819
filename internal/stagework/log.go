package stagework

import (
	"slices"
	"strings"
	"time"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/relay"
)

// logCall logs a call in which not all pieces succeeded.
func (d *Dispatcher) logCall(c *call, results []relay.PieceResult, noSlot bool, err error, now time.Time) {
	if err == nil && !noSlot && allSucceeded(results) {
		return
	}
	faults := make(map[string]int)
	for _, r := range results {
		faults[r.Status.String()]++
	}
	d.o.Logger.Log(event.StageCallFailed, "target", c.target.info.ID, "pieces", len(c.pieces), "full", noSlot,
		"took_ms", now.Sub(c.sent).Milliseconds(), "expected_ms", c.expected.Milliseconds(),
		"room", faults["room"], "gone", faults["gone"], "late", faults["late"], "error", faults["error"],
		"requests", failedRequests(c, results), "err", err)
}

// maxLoggedRequests is the maximum number of requests named in a log line.
const maxLoggedRequests = 4

// failedRequests lists requests of the call with pieces that did not succeed.
func failedRequests(c *call, results []relay.PieceResult) string {
	var ids []string
	for i, q := range c.pieces {
		made := i < len(results) && results[i].Status == relay.PieceDone
		if id := q.unit.job.ID; !made && len(ids) < maxLoggedRequests && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return strings.Join(ids, ",")
}

// logGivenUp logs why an accepted job ended without an engine.
func (t *LocalAssignment) logGivenUp(r *Refusal) {
	j := t.j
	made, all := 0, 0
	for _, u := range j.units {
		all += len(u.pieces)
		made += len(u.pieces) - u.unfinished
	}
	now := t.d.o.Clock.Now()
	t.d.o.Logger.Log(event.StageJobGivenUp, "request", j.ID, "cell", t.p.cell.Name(), "reason", r.Reason,
		"rule", r.Rule, "organisation", j.Organisation, "retry_after_ms", r.RetryAfter.Milliseconds(), "waited_ms", now.Sub(j.arrived).Milliseconds(), "aim_ms", j.OnTimeUntil.Sub(now).Milliseconds(),
		"deadline_ms", j.Deadline.Sub(now).Milliseconds(), "late", j.late, "made", made, "pieces", all, "jobs", len(t.p.jobs))
}

// logRefusal logs the data on which a refusal is based.
func (d *Dispatcher) logRefusal(p *Planner, in Job, r *Refusal) {
	now := d.o.Clock.Now()
	d.o.Logger.Log(event.StageJobRefused, "request", in.ID, "cell", p.cell.Name(), "reason", r.Reason, "rule", r.Rule,
		"organisation", in.Organisation, "retry_after_ms", r.RetryAfter.Milliseconds(), "aim_ms", in.OnTimeUntil.Sub(now).Milliseconds(),
		"deadline_ms", in.Deadline.Sub(now).Milliseconds(), "forecast_ms", r.Forecast.Milliseconds(), "jobs", len(p.jobs))
}

func allSucceeded(results []relay.PieceResult) bool {
	for _, r := range results {
		if r.Status != relay.PieceDone {
			return false
		}
	}
	return true
}

// logLate logs that a job became late by a rule of the shares. The caller holds
// the lock.
func (d *Dispatcher) logLate(p *Planner, j *job, rule Rule) {
	now := d.o.Clock.Now()
	use, level := 0.0, 0.0
	service := ""
	for _, s := range j.shares.at {
		k := s.service.shares.priority(j.Priority)
		if o := k.organisations[j.Organisation]; o != nil && o.at(now).onTime >= use {
			service, use, level = s.service.name, o.onTime, k.maxMinLevel(now)
		}
	}
	d.o.Logger.Log(event.StageJobLate, "request", j.ID, "cell", p.cell.Name(), "rule", rule.String(),
		"organisation", j.Organisation, "priority", j.Priority, "service", service,
		"use_ms", int64(use*1000), "share_ms", int64(level*1000), "counted_ms", shareDecay.Milliseconds(),
		"waited_ms", now.Sub(j.arrived).Milliseconds(), "aim_ms", j.OnTimeUntil.Sub(now).Milliseconds(), "jobs", len(p.jobs))
}
