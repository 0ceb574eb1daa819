package stagework

import (
	"slices"
	"strings"
	"time"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/relay"
)

// logCall writes a line for a call that did not make all its pieces.
func (d *Dispatcher) logCall(c *call, results []relay.PieceResult, full bool, err error, now time.Time) {
	if err == nil && !full && allMade(results) {
		return
	}
	faults := make(map[string]int)
	for _, r := range results {
		faults[r.Fault.String()]++
	}
	d.o.Logger.Log(event.StageCallFailed, "target", c.server.target.ID, "pieces", len(c.pieces), "full", full,
		"took_ms", now.Sub(c.sent).Milliseconds(), "expected_ms", c.expected.Milliseconds(),
		"room", faults["room"], "gone", faults["gone"], "late", faults["late"], "error", faults["error"],
		"requests", unmadeRequests(c, results), "err", err)
}

// maxNamed bounds the requests that a line names.
const maxNamed = 4

// unmadeRequests names requests of the call of which pieces were not made.
func unmadeRequests(c *call, results []relay.PieceResult) string {
	var ids []string
	for i, q := range c.pieces {
		made := i < len(results) && results[i].Fault == relay.PieceMade
		if id := q.unit.job.ID; !made && len(ids) < maxNamed && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return strings.Join(ids, ",")
}

// logGivenUp writes why a job that was taken ends without an engine.
func (t *Ticket) logGivenUp(r *Refusal) {
	j := t.j
	made, all := 0, 0
	for _, u := range j.units {
		all += len(u.pieces)
		made += len(u.pieces) - u.unmade
	}
	now := t.d.o.Clock.Now()
	t.d.o.Logger.Log(event.StageJobGivenUp, "request", j.ID, "cell", t.p.cell.Name(), "reason", r.Reason,
		"waited_ms", now.Sub(j.arrived).Milliseconds(), "aim_ms", j.Aim.Sub(now).Milliseconds(),
		"deadline_ms", j.Deadline.Sub(now).Milliseconds(), "late", j.late, "made", made, "pieces", all, "jobs", len(t.p.jobs))
}

// logRefusal writes what a refusal rests on.
func (d *Dispatcher) logRefusal(p *Planner, in Job, r *Refusal) {
	now := d.o.Clock.Now()
	d.o.Logger.Log(event.StageJobRefused, "request", in.ID, "cell", p.cell.Name(), "reason", r.Reason,
		"retry_after_ms", r.RetryAfter.Milliseconds(), "aim_ms", in.Aim.Sub(now).Milliseconds(),
		"deadline_ms", in.Deadline.Sub(now).Milliseconds(), "forecast_ms", r.Forecast.Milliseconds(), "jobs", len(p.jobs))
}

func allMade(results []relay.PieceResult) bool {
	for _, r := range results {
		if r.Fault != relay.PieceMade {
			return false
		}
	}
	return true
}
