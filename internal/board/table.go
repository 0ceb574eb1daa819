// Package board is the blackboard: typed tables of facts and decisions that
// controllers read and write and that the request path reads. Controllers
// never call one another; each reads facts here and writes its decisions
// here, and comes to the same decisions when it is run again from scratch.
package board

import (
	"hash/maphash"
	"sync"
	"sync/atomic"
)

// shardCount is the number of shards of a table. A power of two.
const shardCount = 16

// Table is a sharded map with one lock a shard. Values are treated as
// immutable: a writer puts a new value and never changes one that is in.
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

// Put writes a row and signals the change.
func (t *Table[V]) Put(key string, v V) {
	s := t.shardOf(key)
	s.mu.Lock()
	s.rows[key] = v
	s.mu.Unlock()
	t.signal.Notify()
}

// Update replaces a row by what change makes of it, under the shard's lock.
// change must not block nor call the table. It returns false to leave the row
// as it is.
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

// Snapshot copies all rows. Rows written while it runs may or may not be in.
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

// Entry is a row with its key.
type Entry[V any] struct {
	Key   string
	Value V
}

// Entries copies all rows into one slice, in no order. A snapshot takes an
// allocation for each row of more than 128 bytes, which this does not. Rows
// written while it runs may or may not be in.
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

// Changed returns a channel that is closed at the next change. Take it before
// reading, so that a change in between is not missed.
func (t *Table[V]) Changed() <-chan struct{} { return t.signal.Wait() }

// Revision counts the changes of the table.
func (t *Table[V]) Revision() uint64 { return t.signal.Revision() }

// Signal wakes any number of waiters at each change. Without waiters a change
// takes no lock, so that writers of different shards do not meet here.
type Signal struct {
	revision atomic.Uint64
	waiting  atomic.Bool // next is set

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
// A waiter that began to wait without being seen here would sleep through the
// change. It cannot: it sets waiting before it reads the data, and the data was
// written before waiting is read here.
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

// Revision counts the calls of Notify.
func (s *Signal) Revision() uint64 { return s.revision.Load() }
