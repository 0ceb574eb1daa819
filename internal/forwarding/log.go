package forwarding

import (
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
)

// logEnd writes the one line that tells how a request ended. A panic that ends
// the connection passes on.
func (fl *flight) logEnd() {
	id := event.ForwardAnswered
	if fl.outcome != "" || fl.status >= 500 {
		id = event.ForwardFailed
	}
	fl.o.Logger.Log(id, "request", fl.Request.ID, "route", fl.Route.Name, "table", fl.Table.Version,
		"service", fl.service, "priority", fl.priority(), "status", fl.status, "sends", fl.sends, "target", fl.last, "ran", fl.ran,
		"ms", fl.o.Clock.Now().Sub(fl.Arrived).Milliseconds(), "outcome", fl.outcome)
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
