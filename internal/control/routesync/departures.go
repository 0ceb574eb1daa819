package routesync

import (
	"strings"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/fleet"
)

// maxNamedTargets bounds the targets that one log line names.
const maxNamedTargets = 16

// departure says how it is known that a target gets no new work.
type departure string

const (
	departureRemoved   departure = "removed"   // it is missing in the list
	departureListed    departure = "draining"  // its entry says so
	departureUnusable  departure = "unusable"  // its newest entry names no target
	departureEvacuated departure = "evacuated" // its zone is, by an operator's order
	departureAnnounced departure = "announced" // it says so in its answers
)

// departureOf returns how it is known that the listed target drains. The caller holds mu.
func (m *Manager) departureOf(e entry) departure {
	switch {
	case e.target.Draining:
		return departureListed
	case e.unusable:
		return departureUnusable
	case m.evacuations.evacuated(e.target.Zone):
		return departureEvacuated
	default:
		return departureAnnounced
	}
}

// departures are targets that get no new work any more, by how that is known.
type departures map[departure][]string

// note records a target that is used from now on as it is in next, if it leaves.
func (d departures) note(before, next fleet.Target, how departure) {
	if next.Draining && !before.Draining {
		d[how] = append(d[how], next.ID)
	}
}

// logDepartures logs the targets that left. The caller holds mu.
func (m *Manager) logDepartures(d departures, revision uint64, source string) {
	for _, how := range []departure{departureRemoved, departureListed, departureUnusable, departureEvacuated, departureAnnounced} {
		if ids := d[how]; len(ids) > 0 {
			m.log(event.TargetsLeft, "targets", someOf(ids), "count", len(ids), "how", string(how), "revision", revision, "source", source)
		}
	}
}

// logDeferred logs the targets whose removal the answer reports and that stay in use for
// now. The caller holds mu.
func (m *Manager) logDeferred(a answer) {
	ids := m.targets.newlyDeferred
	m.targets.newlyDeferred = nil
	if len(ids) == 0 {
		return
	}
	now := m.o.Boot.SinceBoot()
	h := &m.health
	at, known := h.dueAt(m.targets.pending[TargetsPrefix+ids[0]])
	cause := "outage"
	if !h.inOutage(now) {
		cause = "outage_ended"
	}
	m.log(event.RemovalsDeferred, "targets", someOf(ids), "count", len(ids), "source", a.source(), "cause", cause,
		"answer_age_ms", (now - h.answered).Milliseconds(), "failure_age_ms", (now - h.lastFailure).Milliseconds(),
		"for_ms", max(at-now, 0).Milliseconds(), "end_known", known)
}

// someOf returns up to maxNamedTargets of the IDs in the form used in logs.
func someOf(ids []string) string { return strings.Join(ids[:min(len(ids), maxNamedTargets)], ",") }
