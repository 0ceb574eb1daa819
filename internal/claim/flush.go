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
	// warnAttempts is the number of failed attempts after which a warning is
	// logged and completions and releases are replicated to another instance.
	warnAttempts = 6
)

// flush processes batches of pending ops, with backoff, until all are finished. It
// returns false if the StoreClaimer stops.
func (s *shard) flush() bool {
	var batch []*op
	backoff := minBackoff
	for attempt := 1; ; attempt++ {
		batch = s.nextBatch(batch)
		if len(batch) == 0 && len(s.view.inDoubt) == 0 {
			return true
		}
		err := s.attempt(batch)
		batch = s.unfinished(batch)
		if err == nil && len(batch) == 0 && len(s.view.inDoubt) == 0 {
			s.writeIndex()
			return true
		}
		wait := conflictBackoff * time.Duration(min(attempt, 8))
		if err != nil {
			wait, backoff = backoff, min(backoff*2, maxBackoff)
			s.warn(attempt, err)
			if attempt >= warnAttempts {
				s.replicateUnwritten(batch)
			}
		}
		if !s.sleep(wait/2+s.claimer.jitter(wait), false) {
			return false
		}
	}
}

func (s *shard) warn(attempt int, err error) {
	if attempt == warnAttempts {
		s.claimer.opts.Logger.Log(event.ClaimStoreWaits, "shard", s.number, "err", err)
	}
}

func (s *shard) unfinished(batch []*op) []*op {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(batch, func(o *op) bool { return o.finished })
}

// callContext returns a context that limits the store calls of one attempt to
// callTimeout. It is independent of the callers' contexts, since one write contains
// the claims of many callers.
func (s *shard) callContext(p store.Priority) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(store.WithPriority(context.Background(), p))
	timer := s.claimer.opts.Clock.AfterFunc(callTimeout, cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

// priorityOf returns the priority of the most urgent op in the batch. When store
// calls are throttled, completions yield to claims that callers wait for. During a
// drain, completions have request priority too, since they cannot be delayed.
func (s *shard) priorityOf(batch []*op) store.Priority {
	if s.claimer.draining.Load() {
		return store.PriorityRequest
	}
	for _, o := range batch {
		if !o.lazy {
			return store.PriorityRequest
		}
	}
	return store.PriorityControl
}

// attempt evaluates the batch against the view and makes at most one write. Ops
// with a result are finished; the others are left for the next attempt. An error
// means that a store call failed or returned an invalid object.
func (s *shard) attempt(batch []*op) error {
	ctx, cancel := s.callContext(s.priorityOf(batch))
	defer cancel()
	if err := s.load(ctx); err != nil {
		return err
	}
	if len(s.view.inDoubt) > 0 {
		if err := s.refresh(ctx); err != nil {
			return err
		}
		batch = s.unfinished(slices.Clone(batch))
	}
	p, err := s.plan(ctx, batch, false)
	if err != nil {
		return err
	}
	if len(p.entries) == 0 && len(s.view.inDoubt) == 0 {
		s.finishAnswers(p)
		return nil
	}
	return s.write(ctx, p)
}

// write stores the window with the plan's entries appended, on condition that it
// still has the version that the plan was based on. If a write is in doubt and
// there are no entries, it writes the window unchanged: after that, the write in
// doubt can no longer take effect.
func (s *shard) write(ctx context.Context, p plan) error {
	if !s.markInDoubt(p.ops) {
		return nil // an op was abandoned in the meantime: plan again without it
	}
	current := s.view.current
	next := current.with(p.entries, false)
	value := encode(next)
	if len(value) > s.claimer.opts.WindowBytes {
		next.Sealed = true
		value = encode(next)
	}
	s.countWrite()
	asked := millis(s.claimer.opts.Clock.Now())
	obj, err := s.claimer.opts.Store.Put(ctx, windowKey(s.number, current.number), value, current.version)
	switch {
	case err == nil:
		if s.viewStale() {
			return s.discardLateWrite(p)
		}
		s.view.confirmed = asked
		s.applyWrite(newWindow(current.number, obj.Version, next, len(value)), p)
		return nil
	case errors.Is(err, store.ErrConflict):
		s.claimer.conflicts.Add(1)
		s.clearInDoubt(p.ops)
		if obj.Version > 0 && !obj.Deleted {
			return s.replaceCurrent(ctx, obj)
		}
		return s.refresh(ctx)
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrThrottled), errors.Is(err, store.ErrTooLarge):
		s.claimer.errors.Add(1)
		s.clearInDoubt(p.ops)
		return err
	default:
		s.claimer.errors.Add(1)
		s.addInDoubt(p.ops)
		return err
	}
}

// discardLateWrite handles a write that was confirmed after its view had become stale,
// for example because the process was paused. The window may have been removed
// in the meantime and created again by this write, so its claims are not granted.
func (s *shard) discardLateWrite(p plan) error {
	s.addInDoubt(p.ops)
	s.failInDoubt()
	s.view.loaded = false
	return nil
}

// countWrite advances nextWriteTime by one flush interval for a write that is about
// to be sent.
func (s *shard) countWrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.claimer.opts.Clock.Now(); s.nextWriteTime.Before(now) {
		s.nextWriteTime = now
	}
	s.nextWriteTime = s.nextWriteTime.Add(s.claimer.opts.FlushInterval)
}

// applyWrite updates the view after a confirmed write and finishes the plan's ops.
func (s *shard) applyWrite(w *window, p plan) {
	s.claimer.writes.Add(1)
	s.view.current = w
	s.resolveInDoubt(w)
	s.finishWritten(p.ops)
	s.finishAnswers(p)
	if w.page.Sealed {
		s.claimer.opts.Logger.Log(event.ClaimSealed, "shard", s.number, "window", w.number)
		s.addSealed(w)
		s.view.current = emptyWindow(w.number + 1)
	}
}

// finishAnswers finishes the ops whose results needed no write of their own.
func (s *shard) finishAnswers(p plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range p.answers {
		if a.op.entry.Op == opClaim {
			s.claimer.held.Add(1)
		}
		a.op.finish(a.result)
	}
}

// indexLagWindows is the number of sealed windows missing from the stored index at
// which the index is written. Readers find missing windows anyway, with one read
// each. Writing the index for every sealed window would cost more than those
// reads, since the size of the index grows with the retention.
const indexLagWindows = 8

// writeIndex stores the view's copy of the index if the stored one lacks at least
// indexLagWindows windows. A failed write needs no retry, because the index only
// saves reads; the index is written after a later flush.
func (s *shard) writeIndex() {
	if !s.view.loaded || s.view.index.next() < s.view.indexed+indexLagWindows {
		return
	}
	ctx, cancel := s.callContext(store.PriorityBackground)
	defer cancel()
	obj, err := s.claimer.opts.Store.Put(ctx, indexKey(s.number), encode(s.view.index), s.view.indexVersion)
	if err == nil {
		s.view.indexVersion, s.view.indexed = obj.Version, s.view.index.next()
		return
	}
	s.claimer.errors.Add(1)
	s.view.loaded = false
}
