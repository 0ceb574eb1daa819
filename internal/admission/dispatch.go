package admission

import (
	"time"

	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/routing"
)

func (s *service) enqueue(want *SlotRequest, provider profile.Provider) (*waiter, error) {
	w := &waiter{
		want:     want,
		provider: provider,
		priority: want.Priority,
		deadline: want.Query.Deadline,
		ready:    make(chan struct{}),
	}
	if err := s.checkExpectedWait(w); err != nil {
		return nil, err
	}
	if err := s.evictIfFull(w); err != nil {
		return nil, err
	}
	if err := s.chargeRetryBudget(want); err != nil {
		return nil, err
	}
	s.queue.push(w)
	s.dispatchWaiting()
	return w, nil
}

// checkExpectedWait refuses an attempt that would not finish before its
// deadline, given the expected wait and the median time of its stage.
func (s *service) checkExpectedWait(w *waiter) error {
	if w.deadline.IsZero() {
		return nil
	}
	wait := s.expectedWait(w)
	median := s.stage(w.want.Query.Stage.Name).median
	if s.now.Add(wait + median).After(w.deadline) {
		return s.deadlineUnreachable(w.want, wait)
	}
	return nil
}

// expectedWait estimates the wait from the number of waiters that are served
// first and the rate at which slots are released. It assumes that the
// organisations take turns: for each waiter of the same organisation and for
// this one, one waiter of each organisation is served.
func (s *service) expectedWait(w *waiter) time.Duration {
	if s.inFlight == 0 || s.queue.waiting == 0 {
		return 0
	}
	own := s.queue.byOrg[w.want.Query.Organisation]
	ahead := min(s.queue.waiting, (own+1)*len(s.queue.byOrg))
	return time.Duration(ahead) * s.all.median / time.Duration(s.inFlight)
}

// evictIfFull keeps the queue within its bound. If the queue is full, it evicts
// another waiter or refuses this one, so that the organisation that filled the
// queue does not lock out the others.
func (s *service) evictIfFull(w *waiter) error {
	if s.queue.waiting < s.limits.Queue {
		return nil
	}
	s.gate.counts.queueFull.Add(1)
	victim := s.queue.victim(w.want.Query.Organisation, w.priority)
	if victim == nil {
		return s.overloaded("the queue of %s is full", s.name)
	}
	s.queue.remove(victim)
	victim.resolve(nil, s.overloaded("the queue of %s is full", s.name))
	return nil
}

// dispatchWaiting grants slots to waiters in queue order until no target has
// free capacity, which it assumes once maxSkippedFlows flows found no target.
func (s *service) dispatchWaiting() {
	s.pass++
	for skipped := 0; skipped < maxSkippedFlows && s.queue.waiting > 0; {
		w := s.queue.next(s.pass)
		if w == nil {
			break
		}
		if err := s.checkDeadline(w.want); err != nil {
			s.queue.remove(w)
			w.resolve(nil, err)
			continue
		}
		choice, verdict := s.choose(w.want, w.provider)
		switch verdict {
		case routing.Chosen:
			s.queue.remove(w)
			w.resolve(s.grant(w.want, choice), nil)
		case routing.NoCandidate:
			s.queue.remove(w)
			w.resolve(nil, noTarget(s.name))
		default:
			w.flow.skippedPass = s.pass
			skipped++
		}
	}
	s.scheduleDispatch()
}

// scheduleDispatch schedules the next dispatchWaiting if there are waiters.
func (s *service) scheduleDispatch() {
	if s.dispatchScheduled || s.queue.waiting == 0 {
		return
	}
	s.dispatchScheduled = true
	s.gate.options.Clock.AfterFunc(dispatchInterval, func() {
		s.lock(s.gate.options.Clock)
		defer s.unlock()
		s.dispatchScheduled = false
		s.dispatchWaiting()
	})
}
