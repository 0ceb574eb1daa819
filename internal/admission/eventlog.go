package admission

import (
	"time"

	"lynxhill.example/lynxhill/internal/event"
)

type logKind int

const logEjected logKind = iota

// logEntry is an event that happened under a service's lock and is logged once
// the lock is released.
type logEntry struct {
	kind     logKind
	target   string
	service  string
	failures int
	slowness float64
	duration time.Duration
}

func (g *ServiceGate) writeLog(entries []logEntry) {
	for _, n := range entries {
		if n.kind == logEjected {
			g.options.Logger.Log(event.AdmissionTargetEjected, "target", n.target, "service", n.service,
				"failures", n.failures, "slowness", n.slowness, "for", n.duration)
		}
	}
}
