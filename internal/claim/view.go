package claim

import (
	"context"
	"errors"
	"fmt"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/store"
)

// listAbove is the number of windows from which on one List call is used in
// place of a Get for each.
const listAbove = 4

// view is what the flush loop knows of its shard in the store. It may be out
// of date at any time: then the next conditional write fails.
type view struct {
	loaded       bool
	confirmed    int64 // ms since the epoch: the view was up to date then
	index        index
	indexVersion uint64
	indexed      uint64 // first window that the stored index does not list
	current      *window
	// doubt holds the ops in writes on top of current.version whose outcome is
	// not known. They are settled as soon as the window has a later version.
	doubt []*op
}

// get reads an object; found is false if it does not exist.
func (s *shard) get(ctx context.Context, key string) (obj store.Object, found bool, err error) {
	s.pages.reads.Add(1)
	obj, err = s.pages.opts.Store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return store.Object{}, false, nil
	}
	if err != nil {
		s.pages.errors.Add(1)
		return store.Object{}, false, err
	}
	return obj, true, nil
}

// load reads the index and the current window unless they are known and were
// confirmed lately. With a write in doubt, the view stays with its window.
func (s *shard) load(ctx context.Context) error {
	if s.view.loaded && (len(s.view.doubt) > 0 || !s.outdated()) {
		return nil
	}
	if err := s.pages.checkFormat(ctx); err != nil {
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
	s.pages.opts.Logger.Log(event.ClaimWindowInvalid, "shard", s.number, "err", err)
	return err
}

// advance makes the first window from number on that is not sealed the
// current one. Window n+1 exists only if n is sealed, so that the chain can be
// followed without the index, which may lag.
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
		s.noteSealed(w)
		number++
	}
}

// noteSealed keeps a sealed window and adds it to our copy of the index.
func (s *shard) noteSealed(w *window) {
	s.pages.cache.add(s.number, w)
	if w.number == s.view.index.next() {
		s.view.index.Windows = append(s.view.index.Windows, w.indexEntry())
	}
}

// outdated reports whether the view was confirmed too long ago. A window that
// had not been created then may have been filled, sealed and removed since;
// creating it again would grant claims that nobody else looks for. The time is
// taken from the wall clock, since the monotonic one stops while a machine is
// suspended.
func (s *shard) outdated() bool {
	return millis(s.pages.opts.Clock.Now())-s.view.confirmed > viewLife.Milliseconds()
}

func (s *shard) confirm() { s.view.confirmed = millis(s.pages.opts.Clock.Now()) }

// viewLife must be shorter than the time for which a window outlasts its
// retention, by more than the clocks of instances differ.
const viewLife = removalMargin / 2

// refresh reads the current window again.
func (s *shard) refresh(ctx context.Context) error {
	current := s.view.current
	asked := millis(s.pages.opts.Clock.Now())
	obj, found, err := s.get(ctx, windowKey(s.number, current.number))
	if err != nil {
		return err
	}
	if !found {
		return s.vanished(ctx)
	}
	s.view.confirmed = asked
	return s.adopt(ctx, obj)
}

// vanished handles a current window that is not in the store: it was never
// created, or it was removed after its retention while this instance slept.
func (s *shard) vanished(ctx context.Context) error {
	if s.view.current.version == 0 {
		return nil // not created yet; a lost write may still be on its way
	}
	s.giveUpDoubt()
	s.view.loaded = false
	return s.load(ctx)
}

// adopt takes obj as the content of the current window, settles lost writes by
// it, and goes on to the next window if it is sealed.
func (s *shard) adopt(ctx context.Context, obj store.Object) error {
	current := s.view.current
	if obj.Version == current.version {
		return nil
	}
	w, err := windowOf(current.number, obj.Version, obj.Value)
	if err != nil {
		return s.invalid(err)
	}
	s.view.current = w
	s.settle(w)
	if !w.page.Sealed {
		return nil
	}
	// Another instance sealed it, maybe long ago: the index says how far on
	// the shard is. Until that is read, the view is not to be used.
	s.view.loaded = false
	s.pages.cache.add(s.number, w)
	return s.load(ctx)
}

// sealedFor returns the sealed windows in which the keys of the ops may be.
func (s *shard) sealedFor(ctx context.Context, ops []*op) (map[uint64]*window, error) {
	windows := make(map[uint64]*window)
	var missing []uint64
	now := millis(s.pages.opts.Clock.Now())
	for i, x := range s.view.index.Windows {
		number := s.view.index.First + uint64(i)
		if number >= s.view.current.number || x.Keep < now || !mayHold(x, ops) {
			continue
		}
		if w, ok := s.pages.cache.get(cacheKey{s.number, number}); ok {
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

// mayHold reports whether the window can hold a claim of one of the keys: a
// key that carries its time was not claimed before that time.
func mayHold(x indexEntry, ops []*op) bool {
	for _, o := range ops {
		if o.life.notBefore.IsZero() || x.Last >= millis(o.life.notBefore) {
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
			s.view.loaded = len(s.view.doubt) > 0
			s.pages.opts.Logger.Log(event.ClaimWindowMissing, "shard", s.number, "window", number)
			return fmt.Errorf("claim: window %d of shard %d is missing: %w", number, s.number, store.ErrUnavailable)
		}
		w, err := windowOf(number, obj.Version, obj.Value)
		if err != nil {
			return s.invalid(err)
		}
		windows[number] = w
		s.pages.cache.add(s.number, w)
	}
	return nil
}

func (s *shard) readWindows(ctx context.Context, numbers []uint64) (map[string]store.Object, error) {
	objects := make(map[string]store.Object)
	if len(numbers) > listAbove {
		s.pages.reads.Add(1)
		list, _, err := s.pages.opts.Store.List(ctx, windowPrefix(s.number))
		if err != nil {
			s.pages.errors.Add(1)
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
