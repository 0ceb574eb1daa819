package memstore

import (
	"maps"
	"slices"

	"lynxhill.example/lynxhill/internal/store"
)

// Snapshot is the state of a store at one point in time.
type Snapshot struct {
	objects   map[string]store.Object
	version   uint64
	instances map[string][]listEntry
}

// Snapshot returns the current state of the store.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{objects: maps.Clone(s.objects), version: s.version, instances: cloneInstances(s.instances)}
}

// Restore restores the store to an older state in a new era: later writes are lost and
// their revisions are assigned again. Watches have to list again.
func (s *Store) Restore(c Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := store.EraOf(s.version) + 1
	s.objects = make(map[string]store.Object, len(c.objects))
	for key, o := range c.objects {
		o.Version = store.VersionAt(era, store.RevisionOf(o.Version))
		s.objects[key] = o
	}
	s.version = store.VersionAt(era, store.RevisionOf(c.version))
	s.compacted = s.version
	s.instances = cloneInstances(c.instances)
	close(s.changed)
	s.changed = make(chan struct{})
}

func cloneInstances(instances map[string][]listEntry) map[string][]listEntry {
	clone := make(map[string][]listEntry, len(instances))
	for id, history := range instances {
		clone[id] = slices.Clone(history)
	}
	return clone
}
