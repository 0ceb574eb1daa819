package memstore

import (
	"maps"
	"slices"

	"lynxhill.example/lynxhill/internal/store"
)

// Copy is the state of a store at a moment.
type Copy struct {
	objects   map[string]store.Object
	version   uint64
	instances map[string][]listing
}

// Copy returns the store's state now.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{objects: maps.Clone(s.objects), version: s.version, instances: cloneInstances(s.instances)}
}

// Return brings the store back to an older state in a new era: what was written
// since is gone, and its revisions are given out again. Watches have to list.
func (s *Store) Return(c Copy) {
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

func cloneInstances(instances map[string][]listing) map[string][]listing {
	clone := make(map[string][]listing, len(instances))
	for id, history := range instances {
		clone[id] = slices.Clone(history)
	}
	return clone
}
