package engine

import (
	"context"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/sleep"
)

// WeightStore is the store of weights that engines share. It serves one load
// after the other at a fixed rate, so that many loads at once wait for one
// another.
type WeightStore struct {
	loadTime time.Duration

	mu    sync.Mutex // guards the fields below
	free  time.Time  // when the loads so far will be done
	loads int
}

// NewWeightStore returns a store that needs loadTime for the weights of one
// model version.
func NewWeightStore(loadTime time.Duration) *WeightStore {
	return &WeightStore{loadTime: loadTime}
}

// adapterShare is the size of an adapter against that of a model.
const adapterShare = 0.1

// fetch waits until weights of a size (1 is a model) have come through. It
// returns false if ctx ended first.
func (s *WeightStore) fetch(ctx context.Context, size float64) bool {
	return sleep.For(ctx, time.Until(s.reserve(size))) == nil
}

func (s *WeightStore) reserve(size float64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads++
	now := time.Now()
	if s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(time.Duration(size * float64(s.loadTime)))
	return s.free
}

// Loads returns how many loads were asked for.
func (s *WeightStore) Loads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads
}
