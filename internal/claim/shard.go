package claim

import (
	"slices"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/event"
)

// shard is a part of the keys. Its flush loop, a goroutine that lives while
// there is something to write, is the only one that uses view.
type shard struct {
	pages  *Pages
	number int
	view   view

	mu       sync.Mutex // guards the fields below
	pending  []*op
	batch    []*op // taken from pending by the flush loop; some may be finished
	flushing bool
	wake     chan struct{} // buffered: the loop looks at pending again
	// paid is when the writes so far are made up for, at one for each flush
	// interval.
	paid time.Time
}

func newShard(p *Pages, number int) *shard {
	return &shard{pages: p, number: number, wake: make(chan struct{}, 1)}
}

// add queues an op that a caller waits for. It returns false if too much waits.
func (s *shard) add(o *op) bool {
	if s.pages.pending.Value() >= int64(s.pages.opts.MaxPending) {
		return false
	}
	s.enqueue(o)
	return true
}

// record queues a completion or a release. Dropping one when too much waits is
// safe: the key stays held, so that nothing runs a second time.
func (s *shard) record(o *op) {
	if !s.add(o) {
		s.pages.opts.Logger.Log(event.ClaimDropped, "shard", s.number)
	}
}

func (s *shard) enqueue(ops ...*op) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.pages.opts.Clock.Now()
	for _, o := range ops {
		o.due = now
		if o.lazy && !s.pages.draining.Load() {
			o.due = now.Add(s.pages.opts.LazyInterval)
		}
	}
	s.pending = append(s.pending, ops...)
	s.pages.pending.Add(int64(len(ops)))
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

// flushLoop writes what is pending until there is nothing left.
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

// writeBurst is how many writes of a shard may follow one another at once after
// a pause. So a claim waits for company only where there is some.
const writeBurst = 4

// nextFlush returns how long to wait before the next write, and whether there
// is one.
func (s *shard) nextFlush() (wait time.Duration, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.batch = nil
	s.dropAbandoned()
	if len(s.pending) == 0 {
		s.flushing = false
		return 0, false
	}
	now := s.pages.opts.Clock.Now()
	due := s.pending[0].due
	for _, o := range s.pending {
		if o.due.Before(due) {
			due = o.due
		}
	}
	ahead := (writeBurst - 1) * s.pages.opts.FlushInterval
	if next := s.paid.Add(-ahead); due.Before(next) {
		due = next
	}
	return due.Sub(now), true
}

// dropAbandoned removes claims that nobody waits for and that were in no write
// of unknown outcome. s.mu is held.
func (s *shard) dropAbandoned() {
	kept := s.pending[:0]
	for _, o := range s.pending {
		if o.abandoned {
			s.pages.pending.Add(-1)
			continue
		}
		kept = append(kept, o)
	}
	clear(s.pending[len(kept):])
	s.pending = kept
}

// sleep waits; a wake-up ends it early if wakeable. It returns false, and the
// loop must end, when Pages stops.
func (s *shard) sleep(d time.Duration, wakeable bool) bool {
	timer := s.pages.opts.Clock.NewTimer(d)
	defer timer.Stop()
	wake := s.wake
	if !wakeable {
		wake = nil
	}
	select {
	case <-timer.C:
	case <-wake:
	case <-s.pages.stop:
		s.mu.Lock()
		s.flushing = false
		s.mu.Unlock()
		return false
	}
	return true
}

// nextBatch returns what is left of the last batch and the pending ops. It
// leaves those that would make one write too large.
func (s *shard) nextBatch(last []*op) []*op {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropAbandoned()
	size, n := 0, 0
	for n < len(s.pending) && size < s.pages.opts.WindowBytes {
		size += entryOverhead + len(s.pending[n].entry.Result)
		n++
	}
	last = slices.DeleteFunc(last, func(o *op) bool { return o.finished })
	s.batch = slices.Concat(last, s.pending[:n])
	rest := copy(s.pending, s.pending[n:])
	clear(s.pending[rest:])
	s.pending = s.pending[:rest]
	s.pages.pending.Add(int64(-n))
	return slices.Clone(s.batch)
}

// unwritten returns the completions and releases that the store does not have
// yet.
func (s *shard) unwritten() []*op {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Concat(s.batch, s.pending), func(o *op) bool {
		return o.finished || (o.entry.Op != opComplete && o.entry.Op != opRelease)
	})
}

// entryOverhead is about the stored size of an entry without its result.
const entryOverhead = 160
