package routesync

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/store"
)

// EvacuationsPrefix is the prefix of evacuation orders: an operator orders that the
// targets of an availability zone (zone) get no new work. The key of an order is the
// prefix and the zone's name. The order is in force until the object is deleted; its
// value has no meaning.
const EvacuationsPrefix = "evacuations/"

// lostEvacuationsPrefix names, in digests and pulls, the orders that the store lost
// when it was restored from a backup. An instance that starts after the restore can
// get them only from peers.
const lostEvacuationsPrefix = "lost-evacuations/"

// evacuations holds the known evacuation orders. It is guarded by Manager.mu.
//
// Unlike an entry of a target, an order has no expiry. Its deletion is therefore
// applied at once, even during or after an outage of the store.
type evacuations struct {
	objects       map[string]store.Object // by key; deleted orders stay as tombstones, at most one for each zone
	endedAt       map[string]time.Time    // by zone: when this instance learned of the end of its last order
	mergedVersion uint64                  // all orders up to this version were merged
	known         bool                    // all orders were merged since this process started
}

func newEvacuations() *evacuations {
	return &evacuations{objects: make(map[string]store.Object), endedAt: make(map[string]time.Time)}
}

// evacuated reports whether an order for the zone is in force.
func (e *evacuations) evacuated(zone string) bool {
	object, found := e.objects[EvacuationsPrefix+zone]
	return found && !object.Deleted
}

// zones returns the evacuated zones, sorted.
func (e *evacuations) zones() []string {
	var zones []string
	for key, object := range e.objects {
		if !object.Deleted {
			zones = append(zones, strings.TrimPrefix(key, EvacuationsPrefix))
		}
	}
	slices.Sort(zones)
	return zones
}

// zoneList returns zones in the form used in logs.
func (e *evacuations) zoneList() string { return strings.Join(e.zones(), ",") }

// merge adopts an object if it is newer than the known one of its key.
func (e *evacuations) merge(object store.Object, now time.Time) {
	if old, found := e.objects[object.Key]; found && object.Version <= old.Version {
		return
	}
	e.objects[object.Key] = object
	if object.Deleted {
		e.endedAt[strings.TrimPrefix(object.Key, EvacuationsPrefix)] = now
	}
}

// since returns the objects whose version is above after, by rising version.
func (e *evacuations) since(after uint64) []store.Object {
	var objects []store.Object
	for _, object := range e.objects {
		if object.Version > after {
			objects = append(objects, object)
		}
	}
	slices.SortFunc(objects, func(a, b store.Object) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), strings.Compare(a.Key, b.Key))
	})
	return objects
}

// lost returns the orders in force that are from an earlier era than the given one and
// whose version is above after, by rising version.
func (e *evacuations) lost(era, after uint64) []store.Object {
	return slices.DeleteFunc(e.since(after), func(o store.Object) bool { return o.Deleted || store.EraOf(o.Version) >= era })
}

// newestLost returns the highest version of a lost order, 0 = none.
func (e *evacuations) newestLost(era uint64) uint64 {
	newest := uint64(0)
	for _, object := range e.lost(era, 0) {
		newest = max(newest, object.Version)
	}
	return newest
}

// adoptEvacuations merges an answer about evacuations. The caller holds mu.
func (m *Manager) adoptEvacuations(a answer) {
	e, now := m.evacuations, m.o.Clock.Now()
	before := e.zones()
	merged, listed := uint64(0), make(map[string]bool, len(a.objects))
	for _, object := range a.objects {
		if strings.HasPrefix(object.Key, EvacuationsPrefix) {
			listed[object.Key] = true
			merged = max(merged, object.Version)
			e.merge(object, now)
		}
	}
	if a.complete {
		merged = max(merged, e.deleteMissing(listed, a.version, now))
	}
	if a.peer != "" || a.complete && (!e.known || store.EraOf(a.version) > store.EraOf(e.mergedVersion)) {
		merged = max(merged, a.version)
	}
	e.mergedVersion = max(e.mergedVersion, merged)
	e.known = e.known || a.complete || a.peer != "" && a.version > 0
	m.wakeDeletions()
	if after := e.zones(); !slices.Equal(before, after) {
		m.log(event.ZonesEvacuated, "places", strings.Join(after, ","), "before", strings.Join(before, ","),
			"revision", e.mergedVersion, "source", a.source())
		m.publishAllTargets(a.source())
	}
}

// deleteMissing ends the orders that are missing in a list that the store returned as
// of the version, except those from another era. It returns the version if an order
// was missing, else 0.
func (e *evacuations) deleteMissing(listed map[string]bool, version uint64, now time.Time) uint64 {
	merged := uint64(0)
	for key, object := range e.objects {
		if !listed[key] && !object.Deleted && object.Version < version && store.EraOf(object.Version) == store.EraOf(version) {
			e.merge(store.Object{Key: key, Version: version, Deleted: true}, now)
			merged = version
		}
	}
	return merged
}

// effective returns the target with the orders in force and the target's own
// announcements applied. A target that has announced its shutdown, or whose zone is
// evacuated, counts as draining. A target whose zone's evacuation has ended counts as
// cold for its service's cold time, until its entry can tell whether it is.
//
// The first rule is needed because, while the store is unavailable, the entry of a
// target that shuts down continues to say that it is ready, although the target
// announces its shutdown in each answer. Without the rule, responses are cut off when
// the target stops, and requests fail to reach it. A newer entry does not cancel the
// announcement, since the entry may have been written before it.
//
// The last rule is needed because targets may have become cold while their zone was
// evacuated, and their entries say so only seconds later. The zone has spare capacity
// and gets much of the work back at once. Without the rule, targets crash right after
// the end of their zone's evacuation.
func (m *Manager) effective(t fleet.Target) fleet.Target {
	t.Draining = t.Draining || m.evacuations.evacuated(t.Zone) || m.o.AnnouncedShutdown != nil && m.o.AnnouncedShutdown(t)
	ended, evacuatedBefore := m.evacuations.endedAt[t.Zone]
	if !evacuatedBefore || !m.routes.known() {
		return t
	}
	if s := m.routes.table.Services[t.Service]; s != nil && s.ColdTime > 0 {
		if until := ended.Add(s.ColdTime); until.After(t.ColdUntil) {
			t.ColdUntil = until
		}
	}
	return t
}
