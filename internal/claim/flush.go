package claim

import (
	"context"
	"errors"
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/store"
)

// Timing of the flush loop.
const (
	callTimeout     = 3 * time.Second
	conflictBackoff = 5 * time.Millisecond
	minBackoff      = 20 * time.Millisecond
	maxBackoff      = time.Second
	// warnAttempts is the number of failed attempts after which the log says
	// that claims wait, and other instances are given copies of completions.
	warnAttempts = 6
)

// flush writes what is pending. It returns false when Pages stops.
func (s *shard) flush() bool {
	var batch []*op
	backoff := minBackoff
	for attempt := 1; ; attempt++ {
		batch = s.nextBatch(batch)
		if len(batch) == 0 && len(s.view.doubt) == 0 {
			return true
		}
		err := s.attempt(batch)
		batch = s.unfinished(batch)
		if err == nil && len(batch) == 0 && len(s.view.doubt) == 0 {
			s.writeIndex()
			return true
		}
		wait := conflictBackoff * time.Duration(min(attempt, 8))
		if err != nil {
			wait, backoff = backoff, min(backoff*2, maxBackoff)
			s.warn(attempt, err)
			if attempt >= warnAttempts {
				s.copyOut(batch)
			}
		}
		if !s.sleep(wait/2+s.pages.jitter(wait), false) {
			return false
		}
	}
}

func (s *shard) warn(attempt int, err error) {
	if attempt == warnAttempts {
		s.pages.opts.Logger.Log(event.ClaimStoreWaits, "shard", s.number, "err", err)
	}
}

func (s *shard) unfinished(batch []*op) []*op {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(batch, func(o *op) bool { return o.finished })
}

// callContext limits the store calls of one attempt. It does not end with any
// single caller: the write carries the claims of many.
func (s *shard) callContext(p store.Priority) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(store.WithPriority(context.Background(), p))
	timer := s.pages.opts.Clock.AfterFunc(callTimeout, cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

// priorityOf is that of the most urgent op: when the budget of store calls is
// short, completions make room for claims that callers wait for. Those of a
// stopping instance cannot wait.
func (s *shard) priorityOf(batch []*op) store.Priority {
	if s.pages.draining.Load() {
		return store.PriorityRequest
	}
	for _, o := range batch {
		if !o.lazy {
			return store.PriorityRequest
		}
	}
	return store.PriorityControl
}

// attempt decides the batch on top of the view and writes once. Ops that are
// decided are finished; the others stay for the next attempt. An error says
// that the store did not answer.
func (s *shard) attempt(batch []*op) error {
	ctx, cancel := s.callContext(s.priorityOf(batch))
	defer cancel()
	if err := s.load(ctx); err != nil {
		return err
	}
	if len(s.view.doubt) > 0 {
		if err := s.refresh(ctx); err != nil {
			return err
		}
		batch = s.unfinished(slices.Clone(batch))
	}
	p, err := s.plan(ctx, batch, false)
	if err != nil {
		return err
	}
	if len(p.entries) == 0 && len(s.view.doubt) == 0 {
		s.deliver(p)
		return nil
	}
	return s.write(ctx, p)
}

// write puts the window with the plan's entries on condition that it still has
// the version the plan was made on. With a lost write before it and nothing to
// add, it writes the window unchanged: after that, the lost write can no
// longer take effect.
func (s *shard) write(ctx context.Context, p plan) error {
	if !s.markInDoubt(p.ops) {
		return nil // a caller gave up meanwhile: decide again without it
	}
	current := s.view.current
	next := current.with(p.entries, false)
	value := encode(next)
	if len(value) > s.pages.opts.WindowBytes {
		next.Sealed = true
		value = encode(next)
	}
	s.pace()
	asked := millis(s.pages.opts.Clock.Now())
	obj, err := s.pages.opts.Store.Put(ctx, windowKey(s.number, current.number), value, current.version)
	switch {
	case err == nil:
		if s.outdated() {
			return s.writtenLate(p)
		}
		s.view.confirmed = asked
		s.written(newWindow(current.number, obj.Version, next, len(value)), p)
		return nil
	case errors.Is(err, store.ErrConflict):
		s.pages.conflicts.Add(1)
		s.clearDoubt(p.ops)
		if obj.Version > 0 && !obj.Deleted {
			return s.adopt(ctx, obj)
		}
		return s.refresh(ctx)
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrThrottled), errors.Is(err, store.ErrTooLarge):
		s.pages.errors.Add(1)
		s.clearDoubt(p.ops)
		return err
	default:
		s.pages.errors.Add(1)
		s.addDoubt(p.ops)
		return err
	}
}

// writtenLate handles a write that was confirmed so long after its view was
// read, say because the process was paused, that its window may have been
// removed and created again by this very write. Its claims are not granted.
func (s *shard) writtenLate(p plan) error {
	s.addDoubt(p.ops)
	s.giveUpDoubt()
	s.view.loaded = false
	return nil
}

// pace notes a write; see paid.
func (s *shard) pace() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.pages.opts.Clock.Now(); s.paid.Before(now) {
		s.paid = now
	}
	s.paid = s.paid.Add(s.pages.opts.FlushInterval)
}

// written takes over a write that was confirmed.
func (s *shard) written(w *window, p plan) {
	s.pages.writes.Add(1)
	s.view.current = w
	s.settle(w)
	s.finishWritten(p.ops)
	s.deliver(p)
	if w.page.Sealed {
		s.pages.opts.Logger.Log(event.ClaimSealed, "shard", s.number, "window", w.number)
		s.noteSealed(w)
		s.view.current = emptyWindow(w.number + 1)
	}
}

// deliver finishes the ops whose answers needed no write of their own.
func (s *shard) deliver(p plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range p.answers {
		if a.op.entry.Op == opClaim {
			s.pages.held.Add(1)
		}
		a.op.finish(a.result)
	}
}

// indexEvery is how many sealed windows may lack in the stored index. A reader
// finds them all the same, by a read each; a write of the index for every one
// would cost more than those reads, as the index grows with the retention.
const indexEvery = 8

// writeIndex stores our copy of the index if the stored one lacks enough
// windows. A failure is made good after the next seal: the index only saves
// reads.
func (s *shard) writeIndex() {
	if !s.view.loaded || s.view.index.next() < s.view.indexed+indexEvery {
		return
	}
	ctx, cancel := s.callContext(store.PriorityBackground)
	defer cancel()
	obj, err := s.pages.opts.Store.Put(ctx, indexKey(s.number), encode(s.view.index), s.view.indexVersion)
	if err == nil {
		s.view.indexVersion, s.view.indexed = obj.Version, s.view.index.next()
		return
	}
	s.pages.errors.Add(1)
	s.view.loaded = false
}
