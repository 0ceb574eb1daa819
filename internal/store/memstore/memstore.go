// Package memstore is an in-memory store.Store for tests. It assigns versions as the
// platform does, counts calls, and injects the platform's faults. It runs in virtual
// time inside a testing/synctest bubble.
package memstore

import (
	"context"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/store"
)

// Defaults of Options.
const (
	DefaultWatchWait = 10 * time.Second
	DefaultMaxValue  = 1 << 20
)

// Options configures a Store.
type Options struct {
	Clock       clock.Clock
	Seed        uint64
	WatchWait   time.Duration // how long a watch waits for a change
	InstanceLag time.Duration // age of the instance list that is returned
	MaxValue    int           // bytes
	// WritesPerSecond and ReadsPerSecond are the platform's rate limits; 0 means
	// no limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// PageObjects is the number of objects in a page of ListPage; 0 = all.
	PageObjects int
}

// Counts are the calls that reached the store.
type Counts struct {
	Reads     uint64 // Get, List and Instances
	Writes    uint64 // Put, Delete and Register
	Watches   uint64
	Conflicts uint64
	Refused   uint64 // by an outage or a limit
}

// Total returns the number of calls that the platform would count.
func (c Counts) Total() uint64 { return c.Reads + c.Writes + c.Watches }

// Store is an object store in memory.
type Store struct {
	opts Options

	mu        sync.Mutex // guards the fields below
	rng       *rand.Rand
	objects   map[string]store.Object // deleted ones stay as tombstones for watches
	version   uint64
	compacted uint64 // watches that continue from below this version must list again
	changed   chan struct{}
	faults    Faults
	counts    Counts
	written   int64 // bytes of all values written
	instances map[string][]listEntry
	writes    window
	reads     window
}

// New returns an empty store.
func New(opts Options) *Store {
	if opts.Clock == nil {
		opts.Clock = quartz.NewReal()
	}
	if opts.WatchWait == 0 {
		opts.WatchWait = DefaultWatchWait
	}
	if opts.MaxValue == 0 {
		opts.MaxValue = DefaultMaxValue
	}
	return &Store{
		opts:      opts,
		rng:       rand.New(rand.NewPCG(opts.Seed, 1)),
		objects:   make(map[string]store.Object),
		changed:   make(chan struct{}),
		instances: make(map[string][]listEntry),
	}
}

// Counts returns the calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// BytesWritten returns the size of all values that were written, in bytes.
func (s *Store) BytesWritten() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written
}

// Compact makes watches that continue from below the current version list again, and
// removes the tombstones.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.version
	for key, obj := range s.objects {
		if obj.Deleted {
			delete(s.objects, key)
		}
	}
}

// Get implements store.Reader.
func (s *Store) Get(ctx context.Context, key string) (store.Object, error) {
	var obj store.Object
	err := s.read(ctx, func() error {
		found, ok := s.objects[key]
		if !ok || found.Deleted {
			return store.ErrNotFound
		}
		obj = found
		return nil
	})
	return obj, err
}

// List implements store.Reader.
func (s *Store) List(ctx context.Context, prefix string) ([]store.Object, uint64, error) {
	var objects []store.Object
	var version uint64
	err := s.read(ctx, func() error {
		objects = s.since(prefix, 0, false)
		version = s.version
		return nil
	})
	return objects, version, err
}

// ListPage implements store.Pager.
func (s *Store) ListPage(ctx context.Context, prefix, after string) (page store.Page, err error) {
	err = s.read(ctx, func() error {
		page.Objects, page.Version = s.since(prefix, 0, false), s.version
		if after != "" {
			first := sort.Search(len(page.Objects), func(i int) bool { return page.Objects[i].Key > after })
			page.Objects = page.Objects[first:]
		}
		if n := s.opts.PageObjects; n > 0 && len(page.Objects) > n {
			page.Objects = page.Objects[:n:n]
			page.Next = page.Objects[n-1].Key
		}
		return nil
	})
	return page, err
}

// Put implements store.Writer.
func (s *Store) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (store.Object, error) {
	if len(value) > s.opts.MaxValue {
		return store.Object{}, store.ErrTooLarge
	}
	kept := append([]byte(nil), value...)
	return s.write(ctx, func() (store.Object, error) {
		return s.replace(store.Object{Key: key, Value: kept}, ifVersion)
	})
}

// Delete implements store.Writer.
func (s *Store) Delete(ctx context.Context, key string, ifVersion uint64) error {
	_, err := s.write(ctx, func() (store.Object, error) {
		if old, ok := s.objects[key]; !ok || old.Deleted {
			return store.Object{}, store.ErrNotFound
		}
		return s.replace(store.Object{Key: key, Deleted: true}, ifVersion)
	})
	return err
}

// replace stores next in place of the object of the same key if that has the version
// ifVersion. The caller holds s.mu.
func (s *Store) replace(next store.Object, ifVersion uint64) (store.Object, error) {
	old, ok := s.objects[next.Key]
	current := old.Version
	if !ok || old.Deleted {
		current = 0
	}
	if current != ifVersion {
		s.counts.Conflicts++
		if current == 0 {
			return store.Object{}, store.ErrConflict
		}
		return old, store.ErrConflict
	}
	s.version++
	s.written += int64(len(next.Value))
	next.Version = s.version
	s.objects[next.Key] = next
	close(s.changed)
	s.changed = make(chan struct{})
	return next, nil
}

// since returns the objects with the prefix and a version above after, by key. The
// caller holds s.mu.
func (s *Store) since(prefix string, after uint64, deleted bool) []store.Object {
	var out []store.Object
	for key, obj := range s.objects {
		if !strings.HasPrefix(key, prefix) || obj.Version <= after {
			continue
		}
		if obj.Deleted && !deleted {
			continue
		}
		out = append(out, obj)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// Watch implements store.Watcher.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) ([]store.Object, uint64, bool, error) {
	if err := s.enter(ctx, kindWatch); err != nil {
		return nil, after, false, err
	}
	if err := s.waitDelay(ctx, kindWatch); err != nil {
		return nil, after, false, err
	}
	timer := s.opts.Clock.NewTimer(store.WatchWait(ctx, s.opts.WatchWait))
	defer timer.Stop()
	for {
		s.mu.Lock()
		objects := s.since(prefix, after, true)
		version, changed := s.version, s.changed
		compacted, down := after < s.compacted, s.faults.Outage
		s.mu.Unlock()
		switch {
		case down:
			return nil, after, false, store.ErrUnavailable
		case compacted:
			return nil, version, true, nil
		case len(objects) > 0:
			return objects, version, false, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, version, false, nil
		case <-ctx.Done():
			return nil, after, false, ctx.Err()
		}
	}
}
