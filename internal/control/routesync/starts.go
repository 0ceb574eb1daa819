package routesync

import (
	"errors"
	"strings"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/store"
)

// A target may start again under its id, and states when it started. Anyone may write to
// the list, also under the name of a target that is alive (docs/design/target-starts.md).
//
// If an entry that names no target left the known one in force, a target that is gone
// would keep getting requests as long as its name is taken; if the target were removed,
// results that it holds and answers that it is sending would be lost. The target
// therefore counts as draining until its next entry that names it.

var (
	metricUnusable = metrics.Define("target_entries_unusable_total", "entries", "Entries of the target list that name no usable target, by what they are: unreadable, other_service, earlier_start.")
	metricStarts   = metrics.Define("target_starts_total", "starts", "Targets that were listed under their id with a later start.")
)

// errOtherService is the error for an entry that names another service than the start of
// the target that it is about.
var errOtherService = errors.New("the target belongs to another service")

// succeededBy reports whether the reported target is a later start than the known one.
func (e entry) succeededBy(reported fleet.Target) bool {
	return reported.Succeeds(fleet.Target{ID: reported.ID, Started: e.started})
}

// precededBy reports whether the reported target is an earlier start than the known one.
func (e entry) precededBy(reported fleet.Target) bool {
	return reported.Precedes(fleet.Target{ID: reported.ID, Started: e.started})
}

// decode decodes a target's entry. No target changes its service without a new start.
func (m *Manager) decode(obj store.Object, known entry) (fleet.Target, error) {
	target, err := m.o.Decoder.Target(strings.TrimPrefix(obj.Key, TargetsPrefix), obj.Value)
	if err == nil && known.listed && !known.succeededBy(target) && !known.precededBy(target) && target.Service != known.target.Service {
		return target, errOtherService
	}
	return target, err
}

// refuseEntry records that an entry names no target.
func (m *Manager) refuseEntry(e *entry, a answer, err error) {
	kind := "unreadable"
	if errors.Is(err, errOtherService) {
		kind = "other_service"
	}
	e.unusable = true
	m.o.Metrics.Labelled(metricUnusable).Add(kind, 1)
	m.log(event.TargetUnreadable, "target", e.object.Key, "store_version", e.object.Version, "source", a.source(), "known", e.listed, "err", err)
}

// refuseStart records a late copy of an earlier start's entry. The known start stays in
// force.
func (m *Manager) refuseStart(known entry, reported fleet.Target, a answer) {
	m.o.Metrics.Labelled(metricUnusable).Add("earlier_start", 1)
	m.log(event.TargetStartPast, "target", reported.ID, "started", reported.Started, "known", known.started, "source", a.source())
}

// noteStart records that a target is listed with a later start than the known one.
func (m *Manager) noteStart(known entry, reported fleet.Target, a answer) {
	if !known.succeededBy(reported) {
		return
	}
	m.o.Metrics.Counter(metricStarts).Add(1)
	m.log(event.TargetStartedAgain, "target", reported.ID, "started", reported.Started, "before", known.started,
		"sequence", reported.Sequence, "sequence_before", known.sequence, "listed", known.listed, "source", a.source())
}

// noteUsable logs that a target whose last entry named none has one that does.
func (m *Manager) noteUsable(old, next entry, a answer) {
	if old.unusable && !next.unusable && next.listed {
		m.log(event.TargetReadable, "target", next.target.ID, "store_version", next.object.Version, "source", a.source())
	}
}

// withTarget returns the entry of a target that is adopted. Of a later start nothing that
// was known of the earlier one counts. A start that is known is kept if an entry states
// none.
func (m *Manager) withTarget(known entry, obj store.Object, reported fleet.Target, a answer) entry {
	next := entry{object: obj, listed: true, sequence: reported.Sequence, started: max(known.started, reported.Started)}
	before := known.target
	if known.succeededBy(reported) {
		before = fleet.Target{}
	}
	next.target = m.withColdUntil(known.keepDraining(obj, reported), before)
	next.target.Started = next.started
	switch {
	case reported.Draining:
		next.drainSequence = reported.Sequence
	case next.target.Draining:
		next.drainSequence = known.drainSequence
		m.log(event.TargetEntryLate, "target", reported.ID, "sequence", reported.Sequence, "drain_sequence", known.drainSequence, "source", a.source())
	}
	return next
}
