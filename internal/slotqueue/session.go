package slotqueue

import (
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/event"
)

// session implements Session.
type session struct {
	c      *Coordinator
	owner  owner
	answer func(Answer)

	mu         sync.Mutex // guards the fields below; taken after a shard's
	requests   map[uint64]*shard
	outbox     []Answer
	delivering bool
	closed     bool
}

// Submit implements Session.
func (s *session) Submit(r Request) {
	sh := s.c.shard(r.Service, r.Shard)
	if sh == nil {
		a := Answer{ID: r.ID, Refusal: &Refusal{Reason: ReasonNoTarget, RetryAfter: noTargetRetryAfter}}
		s.c.count.refused.Add(ReasonNoTarget, 1)
		s.c.log.add(decision{owner: s.owner, answer: a, reason: reason{request: r}}, r.Service, r.Shard, s.c.o.Clock.Now())
		s.push(a)
		s.deliver()
		return
	}
	if !s.keep(r.ID, sh) {
		return
	}
	sh.do(func(q *queue, now time.Time) { q.submit(s.owner, r, now) })
	s.closeIfClosed(sh)
}

// closeIfClosed ends what the shard has taken in while the session was being closed.
func (s *session) closeIfClosed(sh *shard) {
	s.mu.Lock()
	closed := s.closed
	s.mu.Unlock()
	if closed {
		sh.do(func(q *queue, now time.Time) { q.closeOwner(s.owner, now) })
	}
}

// keep remembers the shard of a request; false if the session is closed.
func (s *session) keep(id uint64, sh *shard) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.requests[id] = sh
	return true
}

// forget returns the shard of a request that ends, nil if there is none.
func (s *session) forget(id uint64) *shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	sh := s.requests[id]
	delete(s.requests, id)
	return sh
}

// Release implements Session.
func (s *session) Release(r Release) {
	sh := s.forget(r.ID)
	if sh == nil {
		return
	}
	var backoff time.Duration
	var target string
	sh.do(func(q *queue, now time.Time) {
		d, t := q.release(s.owner.instance, r, now)
		if d > 0 {
			backoff, target = d, t.ID
		}
	})
	if backoff > 0 {
		s.c.count.backoffs.Add(1)
		s.c.o.Logger.Log(event.SlotTargetBackoff, "service", sh.q.service, "target", target, "instance", s.owner.instance,
			"request", r.ID, "outcome", r.Outcome.String(), "backoff_ms", backoff.Milliseconds())
	}
}

// Cancel implements Session.
func (s *session) Cancel(id uint64) {
	if sh := s.forget(id); sh != nil {
		sh.do(func(q *queue, now time.Time) { q.cancel(s.owner.instance, id, now) })
	}
}

// Adopt implements Session.
func (s *session) Adopt(held []HeldSlot) {
	adopted := 0
	for _, h := range held {
		number, ok := ShardOf(s.c.o.Targets(h.Service), h.Target)
		if !ok {
			continue
		}
		sh := s.c.shard(h.Service, number)
		if sh == nil || !s.keep(h.ID, sh) {
			continue
		}
		sh.do(func(q *queue, now time.Time) {
			if q.adopt(s.owner, h, now) {
				adopted++
			}
		})
		s.closeIfClosed(sh)
	}
	if adopted > 0 {
		s.c.count.adopted.Add(int64(adopted))
		s.c.o.Logger.Log(event.SlotsAdopted, "instance", s.owner.instance, "slots", adopted)
	}
}

// Close implements Session.
func (s *session) Close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	shards := make(map[*shard]bool)
	for _, sh := range s.requests {
		shards[sh] = true
	}
	s.requests, s.outbox = nil, nil
	s.mu.Unlock()

	held := 0
	for sh := range shards {
		sh.do(func(q *queue, now time.Time) { held += q.closeOwner(s.owner, now) })
	}
	s.c.mu.Lock()
	delete(s.c.sessions, s.owner.session)
	s.c.count.sessions.Set(int64(len(s.c.sessions)))
	s.c.mu.Unlock()
	s.c.o.Logger.Log(event.SlotSessionClosed, "instance", s.owner.instance, "slots", held)
}

// push appends an answer to the outbox.
func (s *session) push(a Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	if a.Refusal != nil {
		delete(s.requests, a.ID)
	}
	s.outbox = append(s.outbox, a)
}

// deliver calls answer for what is in the outbox. While another goroutine does so, that
// one also takes what has been added, so that answers keep their order.
func (s *session) deliver() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delivering {
		return
	}
	s.delivering = true
	for len(s.outbox) > 0 {
		batch := s.outbox
		s.outbox = nil
		s.mu.Unlock()
		for _, a := range batch {
			s.answer(a)
		}
		s.mu.Lock()
	}
	s.delivering = false
}
