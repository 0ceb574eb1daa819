package forwarding

import (
	"strings"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/route"
)

// logEnd logs how the request ended. It is deferred and does not recover, so a
// panic that closes the connection continues.
func (fl *flight) logEnd() {
	id := event.ForwardAnswered
	switch {
	case fl.outcome != "" || fl.status >= 500:
		id = event.ForwardFailed
	case fl.late() && fl.lateLines.allow(fl.Forwarder):
		id = event.ForwardLate
	case fl.attempts > 1:
		id = event.ForwardRetried
	}
	fields := []any{"request", fl.Request.ID, "route", fl.Route.Name, "table", fl.Table.Version,
		"service", fl.service, "priority", fl.priority(), "status", fl.status, "sends", fl.attempts, "target", fl.lastTarget, "list", fl.listRevision, "ran", fl.mayHaveRun,
		"slot", fl.slotID, "dispatcher", fl.dispatcher, "read_ms", fl.readAt.Sub(fl.Arrived).Milliseconds(), "wait_ms", fl.placementWait.Milliseconds(),
		"first_ms", fl.firstByteAfter.Milliseconds(), "ms", fl.elapsed().Milliseconds(), "outcome", fl.outcome}
	fields = append(fields, fl.connectionFields()...)
	fl.o.Logger.Log(id, append(fields, fl.attemptFields()...)...)
}

// connectionFields returns the log fields about the connection of the last attempt.
func (fl *flight) connectionFields() []any {
	use := fl.lastUse
	return []any{"conn", use.Connection, "conn_requests", use.Before, "conn_repeated", use.Repeated,
		"relayed", use.Relayed, "skipped", use.Skipped, "identified", use.Identified}
}

func (fl *flight) elapsed() time.Duration { return fl.o.Clock.Now().Sub(fl.Arrived) }

// noteFirstByte records when the first bytes of the response are forwarded.
func (fl *flight) noteFirstByte() {
	if fl.firstByteAfter == 0 {
		fl.firstByteAfter = fl.elapsed()
	}
}

// late reports whether a successful response missed the route's target latency.
// Streams are measured to their first byte.
func (fl *flight) late() bool {
	took := fl.elapsed()
	if fl.Route.Kind == route.Streaming {
		took = fl.firstByteAfter
	}
	return fl.status/100 == 2 && fl.Route.LatencyObjective > 0 && took > fl.Route.LatencyObjective
}

// maxLateLinesPerSecond limits the rate of log lines about late responses. When
// targets are overloaded most responses are late, and a log that can't be written
// fast enough delays other lines.
const maxLateLinesPerSecond = 10

// lateLines is the rate limiter of the log lines about late responses.
type lateLines struct {
	mu               sync.Mutex // guards all below
	until            time.Time  // end of the current second
	written, omitted int        // lines written and omitted in the current second
}

// allow reports whether one more line may be written. At the end of the second the
// number of omitted lines is logged.
func (l *lateLines) allow(f *Forwarder) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := f.o.Clock.Now()
	if !now.Before(l.until) {
		l.until, l.written = now.Add(time.Second), 0
	}
	if l.written < maxLateLinesPerSecond {
		l.written++
		return true
	}
	if l.omitted++; l.omitted == 1 {
		f.o.Clock.AfterFunc(l.until.Sub(now), func() { l.logOmitted(f) })
	}
	return false
}

func (l *lateLines) logOmitted(f *Forwarder) {
	l.mu.Lock()
	count := l.omitted
	l.omitted = 0
	l.mu.Unlock()
	f.o.Logger.Log(event.ForwardLateLeftOut, "count", count)
}

// logStreamBroken logs a stream that broke off.
func (ef *engineFlight) logStreamBroken(t fleet.Target, err error) {
	ef.o.Logger.Log(event.ForwardStreamBroke, "request", ef.Request.ID, "target", t.ID, "events", ef.stream.events,
		"build", t.Build, "last", ef.stream.last, "resumable", ef.Route.Resumable, "framing", ef.stream.framing, "unfinished", ef.stream.unfinished(), "err", err)
}

// logTargetCrashed logs that the target crashed while it had the request.
func (f *Forwarder) logTargetCrashed(e evidence, target fleet.Target) {
	parts := make([]string, 0, len(e.parts))
	for _, part := range e.parts {
		parts = append(parts, part.ID)
	}
	f.o.Logger.Log(event.ForwardTargetCrashed, "request", e.request, "target", target.ID, "first_event", e.firstEvent, "parts", strings.Join(parts, ","))
}

// logResumed logs that the target continues a stream. It does nothing for a run that
// begins one.
func (ef *engineFlight) logResumed(t fleet.Target) {
	if ef.stream.last == "" {
		return
	}
	ef.o.Logger.Log(event.ForwardStreamResumed, "request", ef.Request.ID, "resumes", ef.Request.Resumes, "after", ef.stream.last,
		"began", ef.boundBuild(), "target", t.ID, "build", t.Build)
}
