package routesync

import (
	"maps"
	"strings"
	"time"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/store"
)

// tombstoneTTL is the time for which the tombstone of a deleted target is kept, so that
// peers can pull it and outdated answers do not restore the target.
const tombstoneTTL = 60 * time.Second

// maxPageObjects bounds the objects in one reply to a peer's pull.
const maxPageObjects = 256

// targets is the list of targets. It is guarded by Manager.mu.
type targets struct {
	entries        map[string]entry           // by key; written by set and expireTombstones
	versions       versionIndex               // of entries
	unpublished    map[string]struct{}        // keys of entries that changed since publishTargets
	pending        map[string]pendingDeletion // by key: deferred deletions
	newlyDeferred  []string                   // IDs of targets whose deletion the answer that is being merged reports, and that is deferred
	deletedAt      map[string]time.Duration   // by key: boot time at which the tombstone was set
	mergedVersion  uint64                     // all changes up to this version were merged
	listedVersion  uint64                     // version of the newest list of the store, 0 = none; at least that of its objects
	expiredVersion uint64                     // highest version of an expired tombstone
	gaps           versionGaps                // changes that were skipped by a list
	unverified     unverified                 // whether deletions may have been missed
	known          bool                       // a complete list was merged since this process started
}

// entry is a target or its tombstone.
type entry struct {
	object   store.Object
	target   fleet.Target
	listed   bool   // target was decoded and is not deleted
	sequence uint64 // sequence number of the target's newest write, 0 = the target does not number its writes
	// drainSequence is the sequence number of the write that says that the target drains; 0 =
	// none does, or it is not numbered.
	drainSequence uint64
	started       int64 // latest start of the target, also after its deletion; 0 = it states none
	// unusable reports that the newest entry under the target's name names no target.
	unusable bool
}

func newTargets() *targets {
	return &targets{entries: make(map[string]entry), unpublished: make(map[string]struct{}), pending: make(map[string]pendingDeletion), deletedAt: make(map[string]time.Duration)}
}

// shareableVersion returns the version up to which peers can get all changes from this
// instance, 0 if the list is not completely known. It is below the version of every
// pending deletion: otherwise peers would count these deletions as received and never
// pull them.
func (t *targets) shareableVersion() uint64 {
	if !t.known {
		return 0
	}
	mark := t.mergedVersion
	for _, d := range t.pending {
		mark = min(mark, d.version-1)
	}
	return mark
}

// set replaces an entry.
func (t *targets) set(key string, e entry) {
	old, found := t.entries[key]
	t.entries[key] = e
	t.unpublished[key] = struct{}{}
	if !found || old.object.Version != e.object.Version {
		t.versions.add(e.object.Version, key)
	}
}

// completeVersion returns the version up to which all changes are known. It may be above
// mergedVersion, which peers compare: a list is newer than all of its objects.
func (t *targets) completeVersion() uint64 { return max(t.mergedVersion, t.listedVersion) }

// knowsDeletionsAfter reports whether this instance has a tombstone of each target that
// was listed at the version and has been deleted since.
func (t *targets) knowsDeletionsAfter(version uint64) bool {
	return version == 0 || version >= t.expiredVersion && !t.gaps.contain(version)
}

// since returns the next page of entries and tombstones whose version is above after,
// by rising version, the version up to which the page is complete, and whether there
// are more pages. The version is 0 if deletions may be missing in the page. Tombstones from the same list share its version. They are sent in
// one page even if that exceeds maxPageObjects, since the peer continues from the
// version.
func (t *targets) since(after uint64) (objects []store.Object, mark uint64, more bool) {
	t.versions.compact(len(t.entries), t.current)
	for _, item := range t.versions.after(after) {
		if !t.current(item) {
			continue
		}
		if len(objects) >= maxPageObjects && item.version != mark {
			return objects, mark, true
		}
		objects, mark = append(objects, t.entries[item.key].object), item.version
	}
	if !t.knowsDeletionsAfter(after) {
		return objects, 0, false
	}
	return objects, t.shareableVersion(), false
}

// current reports whether the item is of the present entry of its key.
func (t *targets) current(item versionedKey) bool {
	e, found := t.entries[item.key]
	return found && e.object.Version == item.version
}

// setTombstone replaces an entry by a tombstone.
func (t *targets) setTombstone(key string, version uint64, now time.Duration) {
	old := t.entries[key]
	t.set(key, entry{object: store.Object{Key: key, Version: version, Deleted: true}, sequence: old.sequence, started: old.started})
	t.deletedAt[key] = now
	delete(t.pending, key)
}

// expireTombstones removes the tombstones that are older than tombstoneTTL.
func (t *targets) expireTombstones(now time.Duration) {
	for key, at := range t.deletedAt {
		if now-at >= tombstoneTTL {
			t.expiredVersion = max(t.expiredVersion, t.entries[key].object.Version)
			delete(t.entries, key)
			delete(t.deletedAt, key)
		}
	}
}

// outdated reports whether the object is not newer than the known entry of its key. An
// object of an unknown key counts as deleted if its version is not above
// expiredVersion, unless the store itself returned it as of a version that is not
// below expiredVersion.
func (t *targets) outdated(obj store.Object, a answer) bool {
	if old, found := t.entries[obj.Key]; found {
		return obj.Version <= old.object.Version
	}
	return obj.Version <= t.expiredVersion && (a.peer != "" || a.version < t.expiredVersion)
}

// adoptTargets merges an answer about targets. The caller holds mu.
func (m *Manager) adoptTargets(a answer) {
	now := m.o.Boot.SinceBoot()
	t := m.targets
	t.expireTombstones(now)
	mark := uint64(0)
	listed := make(map[string]bool, len(a.objects)+len(a.listed))
	maps.Copy(listed, a.listed)
	for _, obj := range a.objects {
		if !strings.HasPrefix(obj.Key, TargetsPrefix) {
			continue
		}
		listed[obj.Key] = !obj.Deleted
		mark = max(mark, obj.Version)
		t.cancelDeletion(obj.Key, a)
		if t.outdated(obj, a) {
			continue
		}
		if obj.Deleted {
			m.remove(obj.Key, obj.Version, a, now)
		} else {
			m.put(obj, a)
		}
	}
	missing := a.complete && m.removeMissing(listed, a, now)
	switch {
	case a.peer != "":
		mark = a.version // the peer may not have applied all deletions up to its objects' versions
	case a.complete && (missing || mark == 0):
		mark = a.version
	}
	if a.complete || !t.known {
		t.gaps.add(versionGap{t.completeVersion(), a.version})
	}
	if a.complete && a.peer == "" {
		t.listedVersion = max(t.listedVersion, a.version)
	}
	t.unverified = t.unverified.after(a, t.known, now)
	t.mergedVersion = max(t.mergedVersion, mark)
	t.known = t.known || a.complete || a.peer != "" && a.version > 0
	m.logDeferred(a)
	m.publishTargets(a.source())
}

// put adopts a newer entry of a target, unless it names none, or one that this instance
// knows to be over.
func (m *Manager) put(obj store.Object, a answer) {
	t := m.targets
	old := t.entries[obj.Key]
	next := old
	next.object = obj
	target, err := m.decode(obj, old)
	switch {
	case err != nil:
		m.refuseEntry(&next, a, err)
	case old.precededBy(target):
		next.object.Deleted = old.object.Deleted
		m.refuseStart(old, target, a)
	case old.supersedes(obj, target):
		next.object.Deleted, next.unusable = old.object.Deleted, false
	default:
		m.noteStart(old, target, a)
		next = m.withTarget(old, obj, target, a)
	}
	m.noteUsable(old, next, a)
	t.set(obj.Key, next)
	if next.object.Deleted {
		return
	}
	delete(t.deletedAt, obj.Key)
	if d, deferred := t.pending[obj.Key]; deferred && obj.Version > d.version {
		delete(t.pending, obj.Key)
	}
}

// coldMargin is added to the time for which a target reports that it stays cold. It is
// also the tolerance within which two reported ends of the cold period count as equal,
// since a cold target reports the remaining time with each heartbeat.
const coldMargin = 500 * time.Millisecond

// withColdUntil returns the target with ColdFor converted to ColdUntil. The known
// target's ColdUntil is kept if the two differ by no more than coldMargin.
func (m *Manager) withColdUntil(t, before fleet.Target) fleet.Target {
	if t.ColdFor == 0 {
		return t
	}
	t.ColdUntil = m.o.Clock.Now().Add(t.ColdFor + coldMargin)
	t.ColdFor = 0
	if d := t.ColdUntil.Sub(before.ColdUntil); d.Abs() <= coldMargin {
		t.ColdUntil = before.ColdUntil
	}
	return t
}

// publishTargets replaces the view of targets by one with the entries that changed, if it
// differs, and wakes runPendingDeletions. The caller holds mu.
func (m *Manager) publishTargets(source string) {
	m.wakeDeletions()
	old := m.view.Load()
	var put []fleet.Target
	var removed []string
	left := make(departures)
	added := 0
	for key := range m.targets.unpublished {
		e, id := m.targets.entries[key], strings.TrimPrefix(key, TargetsPrefix)
		before, known := old.Get(id)
		switch {
		case !e.listed && known:
			removed = append(removed, id)
			if !before.Draining {
				left[departureRemoved] = append(left[departureRemoved], id)
			}
		case e.listed:
			target := m.effective(e.target)
			target.Draining = target.Draining || e.unusable
			if !known {
				added++
			} else {
				left.note(before, target, m.departureOf(e))
			}
			if !known || target != before {
				put = append(put, target)
			}
		}
	}
	clear(m.targets.unpublished)
	if len(put)+len(removed) == 0 {
		return
	}
	next := old.With(m.targets.mergedVersion, put, removed)
	m.view.Store(next)
	m.log(event.TargetsChanged, "targets", next.Len(), "added", added, "changed", len(put)-added, "removed", len(removed),
		"revision", next.Revision, "source", source, "doubted", len(m.targets.pending))
	m.logDepartures(left, next.Revision, source)
	if m.o.OnTargets != nil {
		m.queue = append(m.queue, func() { m.o.OnTargets(old, next) })
	}
}

// publishAllTargets is publishTargets after a change that may concern any target. The
// caller holds mu.
func (m *Manager) publishAllTargets(source string) {
	for key := range m.targets.entries {
		m.targets.unpublished[key] = struct{}{}
	}
	m.publishTargets(source)
}

// UpdateTarget updates the view of targets after a result of Options.AnnouncedShutdown
// for a target has changed.
func (m *Manager) UpdateTarget(id string) {
	m.change(func() {
		m.targets.unpublished[TargetsPrefix+id] = struct{}{}
		m.publishTargets("target")
	})
}
