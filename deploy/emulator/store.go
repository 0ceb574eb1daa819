package emulator

import (
	"bytes"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// Metadata of an object of the store.
type Metadata struct {
	Name            string   `json:"name"`
	Revision        int64    `json:"revision"`
	Created         int64    `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletion_pending"`
}

// Object of the store. Objects aren't changed in place.
type Object struct {
	Metadata      Metadata        `json:"metadata"`
	Specification json.RawMessage `json:"specification"`
	Status        json.RawMessage `json:"status"`
}

// StoreEvent is one change that a watch returns.
type StoreEvent struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// StoreOptions of a Store. Zero values set no bound.
type StoreOptions struct {
	PageSize        int           // entries of a list, 0 is 500
	MaxValueBytes   int           // of a call's body
	StaleFor        time.Duration // greatest age of what a stale read returns
	ReadsPerSecond  int           // of all callers; more get 429
	WritesPerSecond int
	Random          *rand.Rand // chances of lost answers; needed for LoseAnswers
}

// StoreCounts are the calls since the start, by kind of call.
type StoreCounts struct{ Reads, StaleReads, Watches, Writes, Refused, Lost int }

// maxHistory bounds the changes that are kept for watches.
const maxHistory = 20000

// change is an entry of the history.
type change struct {
	revision int64
	kind     string
	event    StoreEvent
}

type objectKey struct{ kind, name string }

// view is the state at a moment.
type view struct {
	objects  map[objectKey]Object
	revision int64
	taken    time.Time
}

// Store is the platform's metadata store; it serves HTTP and is written by
// Put and Delete without HTTP, past all faults.
type Store struct {
	options StoreOptions

	mu        sync.Mutex
	now       view
	era       int64 // rises by one each time the store comes back from a copy
	stale     view
	history   []change
	compacted int64 // the newest revision whose change is gone
	changed   chan struct{}
	faults    map[string]StoreFault // by prefix of the caller's address
	counts    StoreCounts
	second    time.Time // since which reads and writes are counted
	reads     int
	writes    int
}

// NewStore returns an empty store at revision 1.
func NewStore(o StoreOptions) *Store {
	if o.PageSize <= 0 {
		o.PageSize = 500
	}
	return &Store{
		options: o, changed: make(chan struct{}), faults: make(map[string]StoreFault), compacted: 1,
		now: view{objects: make(map[objectKey]Object), revision: 1},
	}
}

// Put creates or replaces an object's specification, as the operator and the
// servers do. It returns the revision. The error is of the encoding.
func (s *Store) Put(kind, name string, specification any) (int64, error) {
	encoded, err := json.Marshal(specification)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.now.objects[objectKey{kind, name}]
	if !ok {
		object = s.fresh(name)
	}
	object.Specification = encoded
	return s.set(kind, object, !ok).Metadata.Revision, nil
}

// Delete removes an object whatever its finalizers; it reports whether there
// was one.
func (s *Store) Delete(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.now.objects[objectKey{kind, name}]
	if ok {
		s.remove(kind, object)
	}
	return ok
}

// Get returns an object.
func (s *Store) Get(kind, name string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.now.objects[objectKey{kind, name}]
	return object, ok
}

// Revision returns the newest revision.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now.revision
}

// Counts returns the numbers of calls so far.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Compact discards the history: watches from before get 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.now.revision
	s.wake()
}

// wake lets waiting watches look again; the caller holds mu, as for all below.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) fresh(name string) Object {
	return Object{Metadata: Metadata{Name: name, Created: s.now.revision + 1, Finalizers: []string{}}, Status: json.RawMessage("null")}
}

// set stores an object under a new revision, unless nothing changes.
func (s *Store) set(kind string, object Object, created bool) Object {
	key := objectKey{kind, object.Metadata.Name}
	if old, ok := s.now.objects[key]; ok && !created && same(old, object) {
		return old
	}
	s.now.revision++
	object.Metadata.Revision = s.now.revision
	s.now.objects[key] = object
	s.record(kind, StoreEvent{Object: object})
	return object
}

func (s *Store) remove(kind string, object Object) Object {
	delete(s.now.objects, objectKey{kind, object.Metadata.Name})
	s.now.revision++
	object.Metadata.Revision = s.now.revision
	s.record(kind, StoreEvent{Object: object, Deleted: true})
	return object
}

func (s *Store) record(kind string, event StoreEvent) {
	s.history = append(s.history, change{s.now.revision, kind, event})
	if len(s.history) > maxHistory {
		s.compacted = s.history[0].revision
		s.history = s.history[1:]
	}
	s.wake()
}

func same(a, b Object) bool {
	return sameJSON(a.Specification, b.Specification) && sameJSON(a.Status, b.Status) &&
		slices.Equal(a.Metadata.Finalizers, b.Metadata.Finalizers) && a.Metadata.DeletionPending == b.Metadata.DeletionPending
}

// sameJSON compares encodings without regard to spaces.
func sameJSON(a, b json.RawMessage) bool {
	var left, right bytes.Buffer
	if json.Compact(&left, orNull(a)) != nil || json.Compact(&right, orNull(b)) != nil {
		return false
	}
	return bytes.Equal(left.Bytes(), right.Bytes())
}

func orNull(a json.RawMessage) json.RawMessage {
	if len(a) == 0 {
		return json.RawMessage("null")
	}
	return a
}

// at returns the state that a read sees.
func (s *Store) at(stale bool) view {
	if !stale || s.options.StaleFor == 0 {
		return s.now
	}
	if now := time.Now(); s.stale.taken.IsZero() || now.Sub(s.stale.taken) > s.options.StaleFor {
		s.stale = view{objects: maps.Clone(s.now.objects), revision: s.now.revision, taken: now}
	}
	return s.stale
}

// page returns the objects of a kind after a name, and whether there are more.
func (s *Store) page(v view, kind, after string) ([]Object, bool) {
	page := []Object{}
	for key, object := range v.objects {
		if key.kind == kind && key.name > after {
			page = append(page, object)
		}
	}
	slices.SortFunc(page, func(a, b Object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	if len(page) > s.options.PageSize {
		return page[:s.options.PageSize], true
	}
	return page, false
}

var errGone = errors.New("this history is gone")

// since returns the changes of a kind (and name, unless "") after a revision.
func (s *Store) since(revision int64, kind, name string) ([]StoreEvent, error) {
	if revision < s.compacted || revision > s.now.revision {
		return nil, errGone
	}
	events := []StoreEvent{}
	for _, c := range s.history {
		if c.revision > revision && c.kind == kind && (name == "" || c.event.Object.Metadata.Name == name) {
			events = append(events, c.event)
		}
	}
	return events, nil
}
