package profilesync

import (
	"encoding/json"
	"sort"
	"strings"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/invariant"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/store"
)

// Sources of an object, as counted in the metric config_adopted.
const (
	fromStore = "store"
	fromPeer  = "peer"
	fromSelf  = "change"
)

// objects puts configuration objects in force and records how complete they are.
type objects struct {
	o Options

	mu      sync.Mutex               // guards the fields below
	mark    map[string]uint64        // by prefix: store version up to which every object is in force
	adopted map[string]time.Duration // by key: when the current version came into force here
}

func newObjects(o Options) *objects {
	return &objects{o: o, mark: make(map[string]uint64), adopted: make(map[string]time.Duration)}
}

// adopt puts the object in force if its version is higher than the one held.
func (s *objects) adopt(obj store.Object, from string) {
	now := s.o.Boot.SinceBoot()
	written := s.o.Board.Objects.Update(obj.Key, func(old board.ConfigObject, found bool) (board.ConfigObject, bool) {
		if found && obj.Version <= old.Version {
			return old, false
		}
		return board.ConfigObject{Version: obj.Version, Value: obj.Value, Deleted: obj.Deleted}, true
	})
	if !written {
		return
	}
	s.o.Metrics.Labelled(metricAdopted).Add(from, 1)
	s.mu.Lock()
	s.adopted[obj.Key] = now
	s.mu.Unlock()
	if name, ok := strings.CutPrefix(obj.Key, profile.KeyPrefix); ok {
		s.putProfile(name, obj)
	}
}

// putProfile writes the profile to the board's table, which the request path
// reads.
func (s *objects) putProfile(name string, obj store.Object) {
	next := profile.Versioned{Version: obj.Version, Deleted: true}
	if !obj.Deleted {
		stored, err := decode(obj.Value)
		if err != nil {
			s.o.Logger.Log(event.ProfileUnreadable, "profile", name, "version", obj.Version, "err", err)
			return
		}
		next = profile.Versioned{Version: obj.Version, ChangeID: stored.ChangeID, Deleted: stored.Deleted, Profile: stored.Profile}
	}
	s.o.Board.Profiles.Update(name, func(old profile.Versioned, found bool) (profile.Versioned, bool) {
		if found && next.Version == old.Version {
			return old, false
		}
		rises := s.o.Check.Check(next.Version > old.Version, invariant.VersionsIncrease,
			"instance %s profile %s from version %d to %d", s.o.Self, name, old.Version, next.Version)
		return next, rises
	})
	s.o.Logger.Log(event.ProfileInForce, "profile", name, "version", next.Version, "change", next.ChangeID)
}

func decode(value []byte) (profile.Stored, error) {
	var stored profile.Stored
	err := json.Unmarshal(value, &stored)
	return stored, err
}

// adoptList adopts a complete listing of a prefix as of a version. Objects that
// the listing lacks were deleted, unless they are newer than that version.
func (s *objects) adoptList(prefix string, listed []store.Object, version uint64) {
	present := make(map[string]bool, len(listed))
	mark := uint64(0)
	for _, obj := range listed {
		present[obj.Key] = true
		mark = max(mark, obj.Version)
		s.adopt(obj, fromStore)
	}
	for key, held := range s.o.Board.Objects.Snapshot() {
		if strings.HasPrefix(key, prefix) && !present[key] && !held.Deleted && held.Version <= version {
			s.adopt(store.Object{Key: key, Version: version, Deleted: true}, fromStore)
			mark = version
		}
	}
	s.raiseMark(prefix, mark)
}

// adoptChanges adopts changed objects. With them this instance holds everything
// up to mark.
func (s *objects) adoptChanges(prefix string, changed []store.Object, mark uint64, from string) {
	for _, obj := range changed {
		if strings.HasPrefix(obj.Key, prefix) {
			s.adopt(obj, from)
		}
	}
	s.raiseMark(prefix, mark)
}

func (s *objects) raiseMark(prefix string, mark uint64) {
	s.mu.Lock()
	raised := mark > s.mark[prefix]
	if raised {
		s.mark[prefix] = mark
	}
	s.mu.Unlock()
	if !raised || prefix != profile.KeyPrefix {
		return
	}
	s.o.Board.Self.Update(board.SelfRow, func(self board.Self, _ bool) (board.Self, bool) {
		if mark <= self.ConfigVersion {
			return self, false
		}
		self.ConfigVersion = mark
		return self, true
	})
}

func (s *objects) markOf(prefix string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mark[prefix]
}

func (s *objects) marks() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	marks := make(map[string]uint64, len(s.mark))
	for prefix, mark := range s.mark {
		marks[prefix] = mark
	}
	return marks
}

func (s *objects) adoptedAt(key string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.adopted[key]
}

// maxPullBytes bounds one answer to a peer's pull; the first object is sent even
// if it is larger.
const maxPullBytes = 256 << 10

// ObjectsSince answers a peer's pull: the objects of the prefix above the version after.
func (m *Manager) ObjectsSince(prefix string, after uint64) (changed []store.Object, mark uint64, more bool) {
	// The mark is read before the objects: an object that comes into force in
	// between is sent without being covered by the mark.
	mark = m.objects.markOf(prefix)
	for key, held := range m.o.Board.Objects.Snapshot() {
		if strings.HasPrefix(key, prefix) && held.Version > after {
			changed = append(changed, store.Object{Key: key, Version: held.Version, Value: held.Value, Deleted: held.Deleted})
		}
	}
	sort.Slice(changed, func(i, j int) bool { return changed[i].Version < changed[j].Version })
	size := 0
	for i, obj := range changed {
		size += len(obj.Key) + len(obj.Value)
		if size > maxPullBytes && i > 0 {
			return changed[:i], min(mark, changed[i-1].Version), true
		}
	}
	return changed, mark, false
}
