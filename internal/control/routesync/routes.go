package routesync

import (
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/route"
	"lynxhill.example/lynxhill/internal/store"
)

// answer is a reply of the store or of a peer about the objects of a prefix.
type answer struct {
	objects  []store.Object
	version  uint64 // everything up to it is held once the objects are merged; 0 = a pull that failed part-way
	complete bool   // the reply is a list: an object that it lacks does not exist
	peer     string // "" = the store
	// unverified: deletions of targets may be missing in the reply.
	unverified bool
	// listed holds keys that belong to a complete reply and were merged before.
	listed map[string]bool
	// digestVersion is the version of the table in the peer's digest.
	digestVersion uint64
}

// fromStore is the source, in logs and confirmations, of the store's own answers.
const fromStore = "store"

func (a answer) source() string {
	if a.peer == "" {
		return fromStore
	}
	return a.peer
}

// adopt merges an answer about the prefix into the state of the manager.
func (m *Manager) adopt(prefix string, a answer) {
	m.change(func() {
		m.observeEra(a)
		switch prefix {
		case RoutesPrefix:
			m.adoptRoutes(a)
		case EvacuationsPrefix, lostEvacuationsPrefix:
			m.adoptEvacuations(a)
		default:
			m.adoptTargets(a)
		}
	})
}

// routes holds the table in force and the versions of refused tables. It is guarded by
// Manager.mu.
//
// Tables are ordered by the operator's version, which rises with each change. They
// cannot be ordered by store versions: after the store has been restored from a
// backup, the backup's older table has a higher store version than the newer one.
type routes struct {
	object         store.Object // Version 0 = none
	table          *route.Table
	refusedVersion uint64 // store version of the table that was refused last
	// undecodable reports whether the refused table could not be decoded.
	undecodable bool
	// unreadableDigest is the digest version of a peer's table that could not be decoded.
	unreadableDigest uint64
}

func (r *routes) known() bool { return r.table != nil }

// digestVersion returns the version of the table in force as it is sent in digests:
// the operator's version + 1, 0 = none.
func (r *routes) digestVersion() uint64 {
	if !r.known() {
		return 0
	}
	return uint64(max(r.table.Version, 0)) + 1
}

// version returns the operator's version of the table in force, 0 = none.
func (r *routes) version() int64 {
	if !r.known() {
		return 0
	}
	return r.table.Version
}

// needsPull reports whether a peer's table with the digest version is newer than the
// one in force and not known to be undecodable.
func (r *routes) needsPull(version uint64) bool {
	return version > r.digestVersion() && version != r.unreadableDigest
}

// noteUnreadable records the digest version of a peer's table that cannot be decoded,
// so that it is not pulled again with every digest.
func (r *routes) noteUnreadable(a answer) {
	if r.undecodable && a.peer != "" {
		r.unreadableDigest = a.digestVersion
	}
}

// processedVersion returns the highest store version that was adopted or refused.
func (r *routes) processedVersion() uint64 { return max(r.object.Version, r.refusedVersion) }

// since returns the table in force if its digest version is above after.
func (r *routes) since(after uint64) []store.Object {
	if r.digestVersion() <= after {
		return nil
	}
	return []store.Object{r.object}
}

// adoptRoutes adopts the newer tables of an answer. The caller holds mu.
func (m *Manager) adoptRoutes(a answer) {
	for _, obj := range a.objects {
		switch {
		case obj.Key != TableKey || obj.Version == m.routes.object.Version:
		case obj.Version == m.routes.refusedVersion:
			m.routes.noteUnreadable(a)
		default:
			m.adoptTable(obj, a)
		}
	}
}

// adoptTable adopts the table if its operator's version is higher than that of the
// table in force.
//
// Otherwise a lagging replica of the store, a lagging peer, or an old file written by
// an operator would route requests by routes that were withdrawn, and the log would
// show two tables replacing each other repeatedly. The refusal is logged once for each
// store version.
func (m *Manager) adoptTable(obj store.Object, a answer) {
	refuse := func(id event.ID, keyvals ...any) {
		m.routes.refusedVersion, m.routes.undecodable = obj.Version, false
		m.log(id, append(keyvals, "version_in_force", m.routes.version(), "store_version", obj.Version,
			"in_force", m.routes.object.Version, "source", a.source())...)
	}
	if obj.Deleted {
		refuse(event.RoutesNotNewer, "deleted", true)
		return
	}
	table, err := m.o.Decoder.Table(obj.Value)
	switch {
	case err != nil:
		refuse(event.RoutesUnreadable, "err", err)
		m.routes.undecodable = true
		m.routes.noteUnreadable(a)
	case m.routes.known() && table.Version <= m.routes.table.Version:
		refuse(event.RoutesNotNewer, "version", table.Version)
	default:
		m.setTable(obj, table, a)
	}
}

func (m *Manager) setTable(obj store.Object, table *route.Table, a answer) {
	old := m.routes.version()
	m.routes.object, m.routes.table = obj, table
	m.table.Store(table)
	m.log(event.RoutesAdopted, "version", table.Version, "before", old, "store_version", obj.Version,
		"source", a.source(), "confirmed_age", m.ConfirmedAge())
	if m.o.OnTable != nil {
		m.queue = append(m.queue, func() { m.o.OnTable(table) })
	}
}
