package slotqueue

import (
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/event"
)

// maxRefusalLines bounds the refusals that are logged in a second.
const maxRefusalLines = 10

// refusalLines bounds the log lines of refusals. It is safe for concurrent use.
type refusalLines struct {
	logger *event.Logger

	mu      sync.Mutex // guards the fields below
	began   time.Time  // of the second that counts
	lines   int
	leftOut int
}

// admit reports whether a refusal is logged, and how many were left out in the second
// before it.
func (l *refusalLines) admit(now time.Time) (ok bool, leftOut int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.began) >= time.Second {
		leftOut = l.leftOut
		l.began, l.lines, l.leftOut = now, 0, 0
	}
	l.lines++
	if l.lines > maxRefusalLines {
		l.leftOut++
		return false, leftOut
	}
	return true, leftOut
}

func (l *refusalLines) add(d decision, service string, shard int, now time.Time) {
	ok, leftOut := l.admit(now)
	if leftOut > 0 {
		l.logger.Log(event.SlotRefusedLeftOut, "refusals", leftOut)
	}
	if !ok {
		return
	}
	r, f := d.reason.request, d.answer.Refusal
	l.logger.Log(event.SlotRefused, "owner", d.owner.instance, "request", d.answer.ID, "service", service, "shard", shard,
		"organisation", r.Organisation, "route", r.Route, "priority", r.Priority, "reason", f.Reason,
		"retry_after_ms", f.RetryAfter.Milliseconds(), "wait_ms", d.reason.wait.Milliseconds(), "left_ms", r.Deadline.Sub(now).Milliseconds(),
		"capacity", d.reason.capacity, "demand", d.reason.demand)
}

// logDecisions writes a line for each grant and refusal. It is called without a lock.
func (c *Coordinator) logDecisions(decisions []decision, service string, shard int, now time.Time) {
	for _, d := range decisions {
		switch {
		case d.answer.Refusal != nil:
			c.log.add(d, service, shard, now)
		case d.answer.Target != "":
			c.o.Logger.Log(event.SlotGranted, "owner", d.owner.instance, "request", d.answer.ID, "service", service,
				"target", d.answer.Target, "waited_ms", d.reason.wait.Milliseconds(), "pace", d.reason.pace,
				"pace_age_ms", d.reason.paceAge.Milliseconds(), "free", d.reason.free)
		}
	}
}
