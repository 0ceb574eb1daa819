package platform

import (
	"errors"
	"slices"
	"strings"
	"sync"

	"lynxhill.example/lynxhill/internal/wire/platformapi"
)

// objectStore holds the objects, one version counter for all of them, and a
// bounded log of changes for watches.
type objectStore struct {
	history  int // changes kept for watches
	maxBytes int // of all keys and values

	mu      sync.Mutex // guards the fields below
	version uint64
	bytes   int
	objects map[string]platformapi.Object
	log     []platformapi.Object // without values; newest last, versions rising
	changed chan struct{}        // closed at the next change
}

func newObjectStore(history, maxBytes int) *objectStore {
	return &objectStore{
		history:  history,
		maxBytes: maxBytes,
		objects:  make(map[string]platformapi.Object),
		changed:  make(chan struct{}),
	}
}

func (s *objectStore) get(key string) (platformapi.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	return object, ok
}

func (s *objectStore) list(prefix string) platformapi.ObjectList {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := platformapi.ObjectList{Version: s.version, Objects: []platformapi.Object{}}
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) {
			list.Objects = append(list.Objects, object)
		}
	}
	sortByKey(list.Objects)
	return list
}

// condition is a condition on the version of an object. The zero value always
// holds.
type condition struct {
	set     bool
	version uint64
}

func (c condition) holds(current platformapi.Object) bool {
	return !c.set || c.version == current.Version
}

// Reasons for which a write is refused.
var (
	errConflict = errors.New("another version is current")
	errNoObject = errors.New("no such object")
	errFull     = errors.New("the store is full")
)

// put writes the value if the condition holds. The object returned is the new
// one, or the current one (version 0 if there is none) on conflict.
func (s *objectStore) put(key string, value []byte, cond condition) (platformapi.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, found := s.objects[key]
	if !cond.holds(current) {
		return current, errConflict
	}
	grown := s.bytes + len(value) - len(current.Value)
	if !found {
		grown += len(key)
	}
	if grown > s.maxBytes {
		return platformapi.Object{}, errFull
	}
	s.bytes = grown
	s.version++
	object := platformapi.Object{Key: key, Version: s.version, Value: slices.Clone(value)}
	s.objects[key] = object
	s.note(object)
	return object, nil
}

// remove deletes the object if the condition holds. On conflict the object
// returned is the current one.
func (s *objectStore) remove(key string, cond condition) (platformapi.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, found := s.objects[key]
	if !found {
		return platformapi.Object{}, errNoObject
	}
	if !cond.holds(current) {
		return current, errConflict
	}
	s.bytes -= len(key) + len(current.Value)
	s.version++
	delete(s.objects, key)
	gone := platformapi.Object{Key: key, Version: s.version, Deleted: true}
	s.note(gone)
	return gone, nil
}

// note appends to the log and wakes the watches. The caller holds mu.
func (s *objectStore) note(change platformapi.Object) {
	change.Value = nil
	s.log = append(s.log, change)
	if len(s.log) > 2*s.history {
		s.log = slices.Clone(s.log[len(s.log)-s.history:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// since returns the newest change of each object with the prefix after a
// version, and the channel that is closed at the next change of any object.
func (s *objectStore) since(prefix string, after uint64) (platformapi.ObjectList, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := platformapi.ObjectList{Version: s.version, Objects: []platformapi.Object{}}
	kept := s.log[max(0, len(s.log)-s.history):]
	if s.tooFarBack(kept, after) {
		list.Compacted = true
		return list, s.changed
	}
	seen := make(map[string]bool)
	for i := len(kept) - 1; i >= 0 && kept[i].Version > after; i-- {
		change := kept[i]
		if strings.HasPrefix(change.Key, prefix) && !seen[change.Key] {
			seen[change.Key] = true
			list.Objects = append(list.Objects, s.newest(change))
		}
	}
	sortByKey(list.Objects)
	return list, s.changed
}

// newest adds the value to the last change of an object. The caller holds mu.
func (s *objectStore) newest(change platformapi.Object) platformapi.Object {
	if change.Deleted {
		return change
	}
	return s.objects[change.Key]
}

// tooFarBack tells whether changes after the version have left the log. A
// version from the future, as of another store, can't be watched from either.
func (s *objectStore) tooFarBack(kept []platformapi.Object, after uint64) bool {
	if after > s.version {
		return true
	}
	if len(kept) == 0 {
		return after < s.version
	}
	return after+1 < kept[0].Version
}

func sortByKey(objects []platformapi.Object) {
	slices.SortFunc(objects, func(a, b platformapi.Object) int { return strings.Compare(a.Key, b.Key) })
}
