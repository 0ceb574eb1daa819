package lease

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/store"
)

// fakeStore is a store in memory with faults: outages, slow calls and replies
// that are lost after the write took effect, or before it does.
type fakeStore struct {
	mu      sync.Mutex // guards all below
	rng     *rand.Rand
	version uint64
	objects map[string]store.Object
	down    bool
	slow    time.Duration // longest delay of a call, on each way
	lose    float64       // share of writes whose reply is lost
	onWrite func(key string, object store.Object)
}

func newFakeStore(seed uint64) *fakeStore {
	return &fakeStore{rng: rand.New(rand.NewPCG(seed, 7)), objects: make(map[string]store.Object)}
}

func (s *fakeStore) delay() {
	s.mu.Lock()
	d := time.Millisecond
	if s.slow > 0 {
		d += time.Duration(s.rng.Int64N(int64(s.slow)))
	}
	s.mu.Unlock()
	time.Sleep(d)
}

func (s *fakeStore) chance(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < p
}

func (s *fakeStore) set(change func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *fakeStore) Get(ctx context.Context, key string) (store.Object, error) {
	s.delay()
	s.mu.Lock()
	down := s.down
	object, found := s.objects[key]
	s.mu.Unlock()
	s.delay()
	switch {
	case ctx.Err() != nil:
		return store.Object{}, ctx.Err()
	case down:
		return store.Object{}, store.ErrUnavailable
	case !found:
		return store.Object{}, store.ErrNotFound
	}
	return object, nil
}

func (s *fakeStore) List(context.Context, string) ([]store.Object, uint64, error) {
	panic("not used")
}

func (s *fakeStore) Delete(context.Context, string, uint64) error { panic("not used") }

func (s *fakeStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (store.Object, error) {
	s.delay()
	if s.chance(s.lose) {
		if s.chance(0.5) { // it is applied long after the writer gave up
			go func() {
				time.Sleep(callTimeout)
				s.delay()
				_, _ = s.apply(key, value, ifVersion)
			}()
		} else {
			_, _ = s.apply(key, value, ifVersion)
		}
		time.Sleep(callTimeout)
		return store.Object{}, store.ErrUnknown
	}
	object, err := s.apply(key, value, ifVersion)
	s.delay()
	if ctx.Err() != nil {
		return store.Object{}, ctx.Err()
	}
	return object, err
}

func (s *fakeStore) apply(key string, value []byte, ifVersion uint64) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.Object{}, store.ErrUnavailable
	}
	if current := s.objects[key]; current.Version != ifVersion {
		return current, store.ErrConflict
	}
	s.version++
	object := store.Object{Key: key, Version: s.version, Value: value}
	s.objects[key] = object
	if s.onWrite != nil {
		s.onWrite(key, object)
	}
	return object, nil
}
