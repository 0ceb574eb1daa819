package claim

import (
	"context"
	"errors"
	"fmt"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/store"
)

// listAbove is the number of windows above which they are read with a single List
// call instead of one Get call each.
const listAbove = 4

// view is the flush loop's copy of its shard's state in the store. It may be stale
// at any time; in that case the next conditional write fails.
type view struct {
	loaded       bool
	confirmed    int64 // ms since the epoch when the view was last known to be up to date
	index        index
	indexVersion uint64
	indexed      uint64 // number of the first window after those that the stored index lists
	current      *window
	// inDoubt holds the ops in writes conditional on current.version whose
	// outcome is unknown. They are resolved once the window has a later version.
	inDoubt []*op
}

// get reads an object. found is false if it does not exist.
func (s *shard) get(ctx context.Context, key string) (obj store.Object, found bool, err error) {
	s.claimer.reads.Add(1)
	obj, err = s.claimer.opts.Store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return store.Object{}, false, nil
	}
	if err != nil {
		s.claimer.errors.Add(1)
		return store.Object{}, false, err
	}
	return obj, true, nil
}

// load reads the index and the current window unless the view is loaded and not
// stale. While a write is in doubt, the view stays at its current window.
func (s *shard) load(ctx context.Context) error {
	if s.view.loaded && (len(s.view.inDoubt) > 0 || !s.viewStale()) {
		return nil
	}
	if err := s.claimer.checkFormat(ctx); err != nil {
		return err
	}
	s.confirm()
	if err := s.readIndex(ctx); err != nil {
		return err
	}
	if err := s.advance(ctx, s.view.index.next()); err != nil {
		return err
	}
	s.view.loaded = true
	return nil
}

func (s *shard) readIndex(ctx context.Context) error {
	obj, found, err := s.get(ctx, indexKey(s.number))
	if err != nil {
		return err
	}
	x := index{First: firstWindow}
	if found {
		if x, err = decodeIndex(obj.Value); err != nil {
			return s.invalid(err)
		}
	}
	s.view.index, s.view.indexVersion, s.view.indexed = x, obj.Version, x.next()
	return nil
}

func (s *shard) invalid(err error) error {
	s.claimer.opts.Logger.Log(event.ClaimWindowInvalid, "shard", s.number, "err", err)
	return err
}

// advance makes the first unsealed window from number on the current one. Window
// n+1 exists only if window n is sealed, so the sequence can be followed beyond
// the end of the index, which may lag behind.
func (s *shard) advance(ctx context.Context, number uint64) error {
	for {
		obj, found, err := s.get(ctx, windowKey(s.number, number))
		if err != nil {
			return err
		}
		if !found {
			s.view.current = emptyWindow(number)
			return nil
		}
		w, err := windowOf(number, obj.Version, obj.Value)
		if err != nil {
			return s.invalid(err)
		}
		s.view.current = w
		if !w.page.Sealed {
			return nil
		}
		s.addSealed(w)
		number++
	}
}

// addSealed adds a sealed window to the cache and to the view's copy of the index.
func (s *shard) addSealed(w *window) {
	s.claimer.cache.add(s.number, w)
	if w.number == s.view.index.next() {
		s.view.index.Windows = append(s.view.index.Windows, w.indexEntry())
	}
}

// viewStale reports whether the view was confirmed more than viewTTL ago. A window
// that did not exist at that time may have been filled, sealed and removed since.
// Creating it again would grant claims that no other instance looks up. The wall
// clock is used because the monotonic clock stops while the host is suspended.
func (s *shard) viewStale() bool {
	return millis(s.claimer.opts.Clock.Now())-s.view.confirmed > viewTTL.Milliseconds()
}

func (s *shard) confirm() { s.view.confirmed = millis(s.claimer.opts.Clock.Now()) }

// viewTTL is how long a view may be used without confirmation. It must be shorter
// than removalMargin by more than the clock skew between instances.
const viewTTL = removalMargin / 2

// refresh reads the current window again and updates the view.
func (s *shard) refresh(ctx context.Context) error {
	current := s.view.current
	asked := millis(s.claimer.opts.Clock.Now())
	obj, found, err := s.get(ctx, windowKey(s.number, current.number))
	if err != nil {
		return err
	}
	if !found {
		return s.handleMissingCurrent(ctx)
	}
	s.view.confirmed = asked
	return s.replaceCurrent(ctx, obj)
}

// handleMissingCurrent handles a current window that is not in the store. Either it
// has not been created yet, or it was removed after its retention while this
// instance was suspended.
func (s *shard) handleMissingCurrent(ctx context.Context) error {
	if s.view.current.version == 0 {
		return nil // not created yet; a write whose reply was lost may still take effect
	}
	s.failInDoubt()
	s.view.loaded = false
	return s.load(ctx)
}

// replaceCurrent sets the content of the current window to obj and resolves the
// writes in doubt against it. If the window is sealed, the view moves on to the
// shard's current window.
func (s *shard) replaceCurrent(ctx context.Context, obj store.Object) error {
	current := s.view.current
	if obj.Version == current.version {
		return nil
	}
	w, err := windowOf(current.number, obj.Version, obj.Value)
	if err != nil {
		return s.invalid(err)
	}
	s.view.current = w
	s.resolveInDoubt(w)
	if !w.page.Sealed {
		return nil
	}
	// Another instance sealed the window, possibly long ago. The view must not be
	// used until the index has been read, which gives the shard's current window.
	s.view.loaded = false
	s.claimer.cache.add(s.number, w)
	return s.load(ctx)
}

// sealedFor returns the sealed windows that may contain the keys of the ops.
func (s *shard) sealedFor(ctx context.Context, ops []*op) (map[uint64]*window, error) {
	windows := make(map[uint64]*window)
	var missing []uint64
	now := millis(s.claimer.opts.Clock.Now())
	for i, x := range s.view.index.Windows {
		number := s.view.index.First + uint64(i)
		if number >= s.view.current.number || x.Keep < now || !mayContain(x, ops) {
			continue
		}
		if w, ok := s.claimer.cache.get(cacheKey{s.number, number}); ok {
			windows[number] = w
			continue
		}
		missing = append(missing, number)
	}
	if len(missing) == 0 {
		return windows, nil
	}
	return windows, s.readSealed(ctx, missing, windows)
}

// mayContain reports whether the window can contain a claim of one of the ops'
// keys. A key with a timestamp cannot have been claimed before its notBefore time.
func mayContain(x indexEntry, ops []*op) bool {
	for _, o := range ops {
		if o.lifetime.notBefore.IsZero() || x.Last >= millis(o.lifetime.notBefore) {
			return true
		}
	}
	return false
}

func (s *shard) readSealed(ctx context.Context, missing []uint64, windows map[uint64]*window) error {
	objects, err := s.readWindows(ctx, missing)
	if err != nil {
		return err
	}
	for _, number := range missing {
		obj, found := objects[windowKey(s.number, number)]
		if !found {
			s.view.loaded = len(s.view.inDoubt) > 0
			s.claimer.opts.Logger.Log(event.ClaimWindowMissing, "shard", s.number, "window", number)
			return fmt.Errorf("claim: window %d of shard %d is missing: %w", number, s.number, store.ErrUnavailable)
		}
		w, err := windowOf(number, obj.Version, obj.Value)
		if err != nil {
			return s.invalid(err)
		}
		windows[number] = w
		s.claimer.cache.add(s.number, w)
	}
	return nil
}

func (s *shard) readWindows(ctx context.Context, numbers []uint64) (map[string]store.Object, error) {
	objects := make(map[string]store.Object)
	if len(numbers) > listAbove {
		s.claimer.reads.Add(1)
		list, _, err := s.claimer.opts.Store.List(ctx, windowPrefix(s.number))
		if err != nil {
			s.claimer.errors.Add(1)
			return nil, err
		}
		for _, obj := range list {
			objects[obj.Key] = obj
		}
		return objects, nil
	}
	for _, number := range numbers {
		obj, found, err := s.get(ctx, windowKey(s.number, number))
		if err != nil {
			return nil, err
		}
		if found {
			objects[obj.Key] = obj
		}
	}
	return objects, nil
}
