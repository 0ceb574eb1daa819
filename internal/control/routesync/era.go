package routesync

import (
	"time"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/store"
)

// The store may be restored from a backup that is some seconds old. Each restore
// starts a new era, which is the high part of the store's versions. Writes made after
// the backup are lost until their writers repeat them: the operator writes the table
// and the orders, targets write their entries. Until then, nothing that is in force
// on this instance reverts to the state of the backup:
//
//   - The table in force stays, since the backup's table has a lower operator's
//     version.
//   - The deletion of an entry that the backup lacks is deferred, as after an outage.
//   - The sequence numbers of a target's entries tell which of them is newer: an
//     entry from the backup does not undo that a target drains or was deleted.
//   - An order that the backup lacks stays in force for lostOrderGrace.

// lostOrderGrace is how long an order that is missing in a restored store counts as
// lost rather than as deleted, so that the operator can write it again.
const lostOrderGrace = 10 * time.Second

// era is the newest known era of the store. It is guarded by Manager.mu.
type era struct {
	number    uint64
	known     bool
	learnedAt time.Duration // boot time at which this instance learned of it
}

// observeEra updates the known era from the versions in an answer. The caller holds
// mu.
func (m *Manager) observeEra(a answer) {
	version := a.version
	for _, o := range a.objects {
		version = max(version, o.Version)
	}
	if version == 0 {
		return
	}
	number, now := store.EraOf(version), m.o.Boot.SinceBoot()
	if m.era.known && number <= m.era.number {
		return
	}
	if m.era.known {
		m.log(event.StoreEraRose, "era", number, "before", m.era.number, "source", a.source())
		m.health.storeRestored(now)
		m.wakeDeletions()
	}
	m.era.number, m.era.known, m.era.learnedAt = number, true, now
}

// Era returns the newest known era of the store.
func (m *Manager) Era() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era.number
}

// storeRestored records that the store was restored from a backup: the deletion of
// entries that it lacks is deferred for the grace period, as after an outage.
func (h *health) storeRestored(now time.Duration) {
	h.outages++
	h.outageEnd = now
}

// inLaterEra reports whether the object is from a later era than the known one.
func inLaterEra(object, known store.Object) bool {
	return store.EraOf(object.Version) > store.EraOf(known.Version)
}

// supersedes reports whether the known entry of a target is newer than the one that
// the restored store holds: the target numbers its writes, and the number in the
// store's entry is not higher than the known one. The numbers of a later start of the
// target begin anew.
func (e entry) supersedes(obj store.Object, reported fleet.Target) bool {
	return !e.succeededBy(reported) && inLaterEra(obj, e.object) && reported.Sequence > 0 && reported.Sequence <= e.sequence
}

// keepDraining returns the reported target as it is adopted. A target that is known to
// drain keeps draining if the write that is reported was made before: the store may
// execute a write of which its writer had no answer seconds later, and a restored store
// may hold one of a target that does not number its writes. The sequence number is
// cleared, so that views of targets do not differ by it.
func (e entry) keepDraining(obj store.Object, reported fleet.Target) fleet.Target {
	unnumbered := inLaterEra(obj, e.object) && reported.Sequence == 0
	if !e.succeededBy(reported) && (unnumbered || e.outdatedBy(reported)) {
		reported.Draining = reported.Draining || e.target.Draining
	}
	reported.Sequence = 0
	return reported
}

// outdatedBy reports whether the target numbered the reported write below the one that said
// that it drains.
func (e entry) outdatedBy(reported fleet.Target) bool {
	return reported.Sequence > 0 && reported.Sequence < e.drainSequence
}

// expireLostOrders ends the orders that have been missing in the restored store for
// lostOrderGrace. It does nothing until the orders of the newest era have been merged.
// It returns the time until the next order expires, 0 = none is known. The caller
// holds mu.
func (m *Manager) expireLostOrders(now time.Duration) (wait time.Duration) {
	if store.EraOf(m.evacuations.mergedVersion) < m.era.number {
		return 0
	}
	ended := false
	for _, object := range m.evacuations.lost(m.era.number, 0) {
		if left := m.era.learnedAt + lostOrderGrace - now; left > 0 {
			wait = left
			continue
		}
		m.evacuations.merge(store.Object{Key: object.Key, Version: store.VersionAt(m.era.number, 0), Deleted: true}, m.o.Clock.Now())
		ended = true
	}
	if ended {
		m.log(event.ZonesEvacuated, "places", m.evacuations.zoneList(), "revision", m.evacuations.mergedVersion, "source", "grace")
		m.publishAllTargets("grace")
	}
	return wait
}
