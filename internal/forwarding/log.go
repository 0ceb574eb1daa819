package forwarding

import (
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
)

// logEnd writes the one line that tells how a request ended. A panic that ends
// the connection passes on.
func (fl *flight) logEnd() {
	id := event.ForwardAnswered
	switch {
	case fl.outcome != "" || fl.status >= 500:
		id = event.ForwardFailed
	case fl.late() && fl.lateLines.take(fl.Forwarder):
		id = event.ForwardLate
	}
	fl.o.Logger.Log(id, "request", fl.Request.ID, "route", fl.Route.Name, "table", fl.Table.Version,
		"service", fl.service, "priority", fl.priority(), "status", fl.status, "sends", fl.sends, "target", fl.last, "ran", fl.ran,
		"dispatcher", fl.dispatcher, "read_ms", fl.begun.Sub(fl.Arrived).Milliseconds(), "wait_ms", fl.waited.Milliseconds(),
		"first_ms", fl.first.Milliseconds(), "ms", fl.took().Milliseconds(), "outcome", fl.outcome)
}

func (fl *flight) took() time.Duration { return fl.o.Clock.Now().Sub(fl.Arrived) }

// noteFirst notes that the first bytes of the answer are passed on.
func (fl *flight) noteFirst() {
	if fl.first == 0 {
		fl.first = fl.took()
	}
}

// late reports whether the answer is one that operators take for too late.
func (fl *flight) late() bool {
	took := fl.took()
	if fl.Route.Kind == route.Streaming {
		took = fl.first
	}
	return fl.status/100 == 2 && fl.Route.TargetLatency > 0 && took > fl.Route.TargetLatency
}

// lateLinesASecond bounds the lines about answers that came too late: when
// targets are overloaded, most answers are, and a log that cannot be written in
// time holds other lines up.
const lateLinesASecond = 10

// lateLines counts the lines about late answers of a second.
type lateLines struct {
	mu            sync.Mutex // guards all below
	until         time.Time  // the end of the second
	told, leftOut int
}

// take reports whether one more line may be written. At the end of the second a
// line tells how many were not.
func (l *lateLines) take(f *Forwarder) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := f.o.Clock.Now()
	if !now.Before(l.until) {
		l.until, l.told = now.Add(time.Second), 0
	}
	if l.told < lateLinesASecond {
		l.told++
		return true
	}
	if l.leftOut++; l.leftOut == 1 {
		f.o.Clock.AfterFunc(l.until.Sub(now), func() { l.report(f) })
	}
	return false
}

func (l *lateLines) report(f *Forwarder) {
	l.mu.Lock()
	count := l.leftOut
	l.leftOut = 0
	l.mu.Unlock()
	f.o.Logger.Log(event.ForwardLateLeftOut, "count", count)
}

// logAttempt writes a line for an attempt that a target refused or failed.
func (fl *flight) logAttempt(c relay.Call, status int, err error) {
	fl.o.Logger.Log(event.ForwardAttemptFailed, "request", fl.Request.ID, "service", fl.service, "target", c.Target.ID,
		"attempt", fl.sends, "status", status, "sent", err == nil || wasSent(err), "err", err,
		"ms", fl.o.Clock.Now().Sub(fl.Arrived).Milliseconds())
}

// logBroke writes a line for a stream that broke off.
func (ef *engineFlight) logBroke(t fleet.Target, err error) {
	ef.o.Logger.Log(event.ForwardStreamBroke, "request", ef.Request.ID, "target", t.ID, "events", ef.stream.events,
		"last", ef.stream.last, "resumable", ef.Route.Resumable, "err", err)
}
