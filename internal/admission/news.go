package admission

import (
	"time"

	"lynxhill.example/lynxhill/internal/event"
)

type newsKind int

const newsEjected newsKind = iota

// news is something to log that happened under a service's lock; it is
// written once the lock is free.
type news struct {
	kind     newsKind
	target   string
	service  string
	failures int
	slowness float64
	duration time.Duration
}

func (g *ServiceGate) tell(told []news) {
	for _, n := range told {
		if n.kind == newsEjected {
			g.options.Logger.Log(event.AdmissionTargetEjected, "target", n.target, "service", n.service,
				"failures", n.failures, "slowness", n.slowness, "for", n.duration)
		}
	}
}
