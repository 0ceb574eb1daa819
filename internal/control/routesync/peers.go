package routesync

import (
	"time"

	"lynxhill.example/lynxhill/internal/gossip"
	"lynxhill.example/lynxhill/internal/store"
)

// rowBytes is the estimated size in bytes of a row of a digest without its name.
const rowBytes = 12

// Fill implements gossip.Participant. It adds to the digest the versions up to which peers
// can pull from this instance. The row of the routes holds the digest version of the
// table, the other rows hold store versions.
func (m *Manager) Fill(d *gossip.Digest, _ string, budget int) int {
	m.mu.Lock()
	rows := []gossip.ProfileVersion{
		{Name: RoutesPrefix, Version: m.routes.digestVersion()},
		{Name: TargetsPrefix, Version: m.targets.shareableVersion()},
	}
	if m.o.Evacuations {
		rows = append(rows, gossip.ProfileVersion{Name: EvacuationsPrefix, Version: m.evacuations.mergedVersion})
		if lost := m.evacuations.newestLost(m.era.number); lost > 0 {
			rows = append(rows, gossip.ProfileVersion{Name: lostEvacuationsPrefix, Version: lost})
		}
	}
	answered := m.health.answered
	m.mu.Unlock()
	used, written := 0, 0
	for _, row := range rows {
		size := rowBytes + len(row.Name)
		if row.Version > 0 && used+size <= budget {
			d.Profiles = append(d.Profiles, row)
			used += size
			written++
		}
	}
	// The receiver compares all versions before it counts the store's answer as a
	// confirmation of its own state, so the age is sent only together with all rows.
	if age := m.ConfirmedAge(); written == len(rows) && age < maxRelayedAge {
		d.Config.Confirmed, d.Config.ConfirmAge = true, age
	}
	if age := m.o.Boot.SinceBoot() - answered; answered > 0 && age < maxRelayedAge {
		d.Config.Answered, d.Config.AnswerAge = true, age
	}
	return used
}

// Absorb implements gossip.Participant. It schedules a background pull of the prefixes for
// which the sender has a newer version. It does not block.
func (m *Manager) Absorb(d gossip.Digest) {
	if d.From == m.o.Self || m.o.Puller == nil {
		return
	}
	m.recordAnswerOf(d)
	m.confirmFrom(d)
	for _, row := range d.Profiles {
		if sources := m.pulls[row.Name]; sources != nil && (m.needsPull(row.Name, row.Version) || m.needsWhole(row.Name)) {
			replacePending(sources, pullSource{d.From, row.Version})
		}
	}
}

// recordAnswerOf records the newest answer of the store that the sender of the digest knows.
// It counts also if the sender holds objects that are missing here. Instances of earlier
// versions state the age of their confirmation only.
func (m *Manager) recordAnswerOf(d gossip.Digest) {
	age := d.Config.AnswerAge
	switch {
	case d.Config.Answered:
	case d.Config.Confirmed:
		age = d.Config.ConfirmAge
	default:
		return
	}
	m.change(func() { m.recordContact(m.o.Boot.SinceBoot() - age - d.Transit) })
}

// maxRelayedAge is the age from which a confirmation by the store is no longer
// reported to peers.
const maxRelayedAge = time.Minute

// confirmFrom adopts the age of the sender's newest answer of the store as a
// confirmation of this instance's state, provided that the sender holds nothing that
// is missing here.
func (m *Manager) confirmFrom(d gossip.Digest) {
	if !d.Config.Confirmed {
		return
	}
	for _, row := range d.Profiles {
		if m.pulls[row.Name] != nil && m.needsPull(row.Name, row.Version) {
			m.noteBehind(d)
			return
		}
	}
	for prefix := range m.confirmed {
		m.confirmed.confirm(prefix, m.o.Boot.SinceBoot()-d.Config.ConfirmAge-d.Transit, d.From)
	}
}

// behindExpiry is the time after which a digest that listed newer versions no longer
// counts for Behind.
const behindExpiry = 2 * time.Second

// noteBehind records that the sender holds objects that are missing here, provided
// that its newest answer of the store is not overdue.
func (m *Manager) noteBehind(d gossip.Digest) {
	if d.Config.ConfirmAge < m.o.Times().Overdue() {
		m.behindAt.Store(max(int64(m.o.Boot.SinceBoot()), 1))
	}
}

// Behind reports whether peers with a recent answer of the store hold objects that are
// missing here. Usually the next pull ends this state. If it lasts, this instance
// receives digests from its peers but cannot connect to them, and has to call the
// store itself.
func (m *Manager) Behind() bool {
	at := m.behindAt.Load()
	return at != 0 && m.o.Boot.SinceBoot()-time.Duration(at) < behindExpiry
}

// replacePending sends s to the channel and discards an older source that is still
// waiting in it.
func replacePending(sources chan pullSource, s pullSource) {
	for {
		select {
		case sources <- s:
			return
		default:
		}
		select {
		case <-sources:
		default:
		}
	}
}

// needsPull reports whether the version in a peer's digest is newer than this
// instance's.
func (m *Manager) needsPull(prefix string, version uint64) bool {
	if prefix == RoutesPrefix {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.routes.needsPull(version)
	}
	return version > m.resumeVersion(prefix)
}

// resumeVersion returns the store version after which a watch of the prefix resumes.
func (m *Manager) resumeVersion(prefix string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch prefix {
	case RoutesPrefix:
		return m.routes.processedVersion()
	case EvacuationsPrefix:
		return m.evacuations.mergedVersion
	case lostEvacuationsPrefix:
		return m.evacuations.newestLost(m.era.number)
	default:
		return m.targets.mergedVersion
	}
}

// Since answers a peer's pull. It returns the objects of the prefix whose version, for
// the routes their digest version, is above after, by rising version, including the
// tombstones of targets deleted in the last 60 s; the store version up to which the
// peer then holds everything, 0 if this instance does not hold everything itself; and
// whether the peer should pull the next page from that version.
func (m *Manager) Since(prefix string, after uint64) (objects []store.Object, version uint64, more bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case prefix == RoutesPrefix:
		return m.routes.since(after), m.routes.object.Version, false
	case prefix == EvacuationsPrefix && m.evacuations.known:
		return m.evacuations.since(after), m.evacuations.mergedVersion, false
	case prefix == lostEvacuationsPrefix:
		return m.evacuations.lost(m.era.number, after), 0, false
	case prefix == TargetsPrefix && m.targets.known:
		m.targets.expireTombstones(m.o.Boot.SinceBoot())
		return m.targets.since(after)
	default:
		return nil, 0, false
	}
}
