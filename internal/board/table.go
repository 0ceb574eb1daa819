// Package board is the blackboard: typed tables of facts and decisions that
// controllers read and write and that the request path reads. Controllers never
// call one another. Each reads facts from the board and writes its decisions to
// it, and makes the same decisions again when it is rerun from scratch.
package board

import (
	"hash/maphash"
	"sync"
	"sync/atomic"
)

// shardCount is the number of shards of a table. A power of two.
const shardCount = 16

// Table is a sharded map with one lock per shard. Values are treated as immutable:
// a writer stores a new value and never changes a stored one.
type Table[V any] struct {
	seed   maphash.Seed
	shards [shardCount]shard[V]
	signal Signal
}

type shard[V any] struct {
	mu   sync.RWMutex // guards rows
	rows map[string]V
}

// NewTable returns an empty table.
func NewTable[V any]() *Table[V] {
	t := &Table[V]{seed: maphash.MakeSeed()}
	for i := range t.shards {
		t.shards[i].rows = make(map[string]V)
	}
	return t
}

func (t *Table[V]) shardOf(key string) *shard[V] {
	return &t.shards[maphash.String(t.seed, key)%shardCount]
}

// Get returns the row of the key.
func (t *Table[V]) Get(key string) (V, bool) {
	s := t.shardOf(key)
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.rows[key]
	return v, ok
}

// Put stores a row and signals the change.
func (t *Table[V]) Put(key string, v V) {
	s := t.shardOf(key)
	s.mu.Lock()
	s.rows[key] = v
	s.mu.Unlock()
	t.signal.Notify()
}

// Update replaces a row by the result of change, under the shard's lock. change must
// not block or call the table, and returns false to leave the row unchanged. Update
// returns whether the row was replaced.
func (t *Table[V]) Update(key string, change func(old V, found bool) (V, bool)) bool {
	s := t.shardOf(key)
	s.mu.Lock()
	old, found := s.rows[key]
	v, write := change(old, found)
	if write {
		s.rows[key] = v
	}
	s.mu.Unlock()
	if write {
		t.signal.Notify()
	}
	return write
}

// Delete removes a row.
func (t *Table[V]) Delete(key string) {
	s := t.shardOf(key)
	s.mu.Lock()
	_, found := s.rows[key]
	delete(s.rows, key)
	s.mu.Unlock()
	if found {
		t.signal.Notify()
	}
}

// Snapshot copies all rows. Rows that are written meanwhile may be missing.
func (t *Table[V]) Snapshot() map[string]V {
	all := make(map[string]V, t.Len())
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.RLock()
		for k, v := range s.rows {
			all[k] = v
		}
		s.mu.RUnlock()
	}
	return all
}

// Each calls visit with every row, without copying them first. Rows that are written
// meanwhile may be missing. visit must not write to the table.
func (t *Table[V]) Each(visit func(key string, v V)) {
	for i := range t.shards {
		t.shards[i].each(visit)
	}
}

func (s *shard[V]) each(visit func(key string, v V)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for k, v := range s.rows {
		visit(k, v)
	}
}

// Entry is a row with its key.
type Entry[V any] struct {
	Key   string
	Value V
}

// Entries copies all rows into one slice, in no particular order. Unlike Snapshot, it
// needs no allocation for each row of more than 128 bytes. Rows that are written
// meanwhile may be missing.
func (t *Table[V]) Entries() []Entry[V] {
	all := make([]Entry[V], 0, t.Len())
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.RLock()
		for k, v := range s.rows {
			all = append(all, Entry[V]{k, v})
		}
		s.mu.RUnlock()
	}
	return all
}

// Len returns the number of rows.
func (t *Table[V]) Len() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.RLock()
		n += len(s.rows)
		s.mu.RUnlock()
	}
	return n
}

// Changed returns a channel that is closed at the next change. Call it before reading
// rows, so that no change in between is missed.
func (t *Table[V]) Changed() <-chan struct{} { return t.signal.Wait() }

// Revision returns the number of changes of the table.
func (t *Table[V]) Revision() uint64 { return t.signal.Revision() }

// Signal wakes any number of waiters at each change. A change without waiters takes no
// lock, so that writers of different shards do not contend here.
type Signal struct {
	revision atomic.Uint64
	waiting  atomic.Bool // whether next is set

	mu   sync.Mutex // guards next
	next chan struct{}
}

// Wait returns a channel that is closed at the next Notify.
func (s *Signal) Wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = make(chan struct{})
		s.waiting.Store(true)
	}
	return s.next
}

// Notify wakes all waiters.
//
// No waiter can miss the change: a waiter sets waiting before it reads the data, and
// the data is written before Notify reads waiting.
func (s *Signal) Notify() {
	s.revision.Add(1)
	if !s.waiting.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != nil {
		s.waiting.Store(false)
		close(s.next)
		s.next = nil
	}
}

// Revision returns the number of calls of Notify.
func (s *Signal) Revision() uint64 { return s.revision.Load() }
