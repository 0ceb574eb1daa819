package claim

import (
	"slices"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/event"
)

// shard holds a partition of the keys. Only its flush loop, a goroutine that runs
// while there are pending ops, uses view.
type shard struct {
	claimer *StoreClaimer
	number  int
	view    view

	mu       sync.Mutex // guards the fields below
	pending  []*op
	batch    []*op // taken from pending by the flush loop; some may be finished
	flushing bool
	wake     chan struct{} // capacity 1; makes the flush loop check pending again
	// nextWriteTime is the theoretical time of the next write when writes are spaced
	// one flush interval apart (GCRA). A write may be up to writeBurst-1 flush
	// intervals ahead of it.
	nextWriteTime time.Time
}

func newShard(p *StoreClaimer, number int) *shard {
	return &shard{claimer: p, number: number, wake: make(chan struct{}, 1)}
}

// add queues an op. It returns false if MaxPending ops are queued already.
func (s *shard) add(o *op) bool {
	if s.claimer.pending.Value() >= int64(s.claimer.opts.MaxPending) {
		return false
	}
	s.enqueue(o)
	return true
}

// record queues a completion or a release. It drops the op if the queue is full.
// That is safe: the key stays held, so that nothing runs a second time.
func (s *shard) record(o *op) {
	if !s.add(o) {
		s.claimer.opts.Logger.Log(event.ClaimDropped, "shard", s.number)
	}
}

func (s *shard) enqueue(ops ...*op) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.claimer.opts.Clock.Now()
	for _, o := range ops {
		o.due = now
		if o.lazy && !s.claimer.draining.Load() {
			o.due = now.Add(s.claimer.opts.LazyInterval)
		}
	}
	s.pending = append(s.pending, ops...)
	s.claimer.pending.Add(int64(len(ops)))
	if !s.flushing {
		s.flushing = true
		go s.flushLoop()
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// flushLoop processes pending ops until there are none left or the StoreClaimer
// stops.
func (s *shard) flushLoop() {
	for {
		wait, more := s.nextFlush()
		if !more {
			return
		}
		if wait > 0 {
			if !s.sleep(wait, true) {
				return
			}
			continue
		}
		if !s.flush() {
			return
		}
	}
}

// writeBurst is the number of writes of a shard that may follow one another
// immediately after an idle period. Thus claims are delayed for batching only
// while the shard is busy.
const writeBurst = 4

// nextFlush returns how long to wait before the next write. more is false, and
// the flush loop must end, if nothing is pending.
func (s *shard) nextFlush() (wait time.Duration, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.batch = nil
	s.dropAbandoned()
	if len(s.pending) == 0 {
		s.flushing = false
		return 0, false
	}
	now := s.claimer.opts.Clock.Now()
	due := s.pending[0].due
	for _, o := range s.pending {
		if o.due.Before(due) {
			due = o.due
		}
	}
	ahead := (writeBurst - 1) * s.claimer.opts.FlushInterval
	if next := s.nextWriteTime.Add(-ahead); due.Before(next) {
		due = next
	}
	return due.Sub(now), true
}

// dropAbandoned removes the pending ops whose callers no longer wait. Pending ops
// have not been part of a write yet, so none of them is in doubt. The caller
// holds s.mu.
func (s *shard) dropAbandoned() {
	kept := s.pending[:0]
	for _, o := range s.pending {
		if o.abandoned {
			s.claimer.pending.Add(-1)
			continue
		}
		kept = append(kept, o)
	}
	clear(s.pending[len(kept):])
	s.pending = kept
}

// sleep waits for d. If wakeable is set, a signal on s.wake ends the wait early.
// It returns false if the StoreClaimer stops; then the flush loop must end.
func (s *shard) sleep(d time.Duration, wakeable bool) bool {
	timer := s.claimer.opts.Clock.NewTimer(d)
	defer timer.Stop()
	wake := s.wake
	if !wakeable {
		wake = nil
	}
	select {
	case <-timer.C:
	case <-wake:
	case <-s.claimer.stop:
		s.mu.Lock()
		s.flushing = false
		s.mu.Unlock()
		return false
	}
	return true
}

// nextBatch returns the unfinished ops of the last batch followed by pending ops.
// Pending ops beyond about WindowBytes are left for a later batch.
func (s *shard) nextBatch(last []*op) []*op {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropAbandoned()
	size, n := 0, 0
	for n < len(s.pending) && size < s.claimer.opts.WindowBytes {
		size += entryOverhead + len(s.pending[n].entry.Result)
		n++
	}
	last = slices.DeleteFunc(last, func(o *op) bool { return o.finished })
	s.batch = slices.Concat(last, s.pending[:n])
	rest := copy(s.pending, s.pending[n:])
	clear(s.pending[rest:])
	s.pending = s.pending[:rest]
	s.claimer.pending.Add(int64(-n))
	return slices.Clone(s.batch)
}

// unwritten returns the completions and releases that have not been confirmed by
// the store.
func (s *shard) unwritten() []*op {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Concat(s.batch, s.pending), func(o *op) bool {
		return o.finished || (o.entry.Op != opComplete && o.entry.Op != opRelease)
	})
}

// entryOverhead is the approximate stored size of an entry without its result, in
// bytes.
const entryOverhead = 160
