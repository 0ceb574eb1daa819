package admission

import (
	"time"

	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/routing"
)

func (s *service) enqueue(want *Want, provider profile.Provider) (*waiter, error) {
	w := &waiter{
		want:     want,
		provider: provider,
		priority: want.Priority,
		deadline: want.Query.Deadline,
		ready:    make(chan struct{}),
	}
	if err := s.worthWaiting(w); err != nil {
		return nil, err
	}
	if err := s.makeRoom(w); err != nil {
		return nil, err
	}
	if err := s.spend(want); err != nil {
		return nil, err
	}
	s.queue.push(w)
	s.pump()
	return w, nil
}

// worthWaiting refuses at once what would still be waiting at its deadline.
func (s *service) worthWaiting(w *waiter) error {
	if w.deadline.IsZero() {
		return nil
	}
	wait := s.expectedWait(w)
	median := s.stage(w.want.Query.Stage.Name).median
	if s.now.Add(wait + median).After(w.deadline) {
		return s.unreachable(w.want, wait)
	}
	return nil
}

// expectedWait estimates the wait from the waiters that go first and the rate
// at which slots come free. Its own organisation's go first, and one of each
// other organisation for each of them.
func (s *service) expectedWait(w *waiter) time.Duration {
	if s.inFlight == 0 || s.queue.waiting == 0 {
		return 0
	}
	own := s.queue.byOrg[w.want.Query.Organisation]
	ahead := min(s.queue.waiting, (own+1)*len(s.queue.byOrg))
	return time.Duration(ahead) * s.all.median / time.Duration(s.inFlight)
}

// makeRoom keeps the queue within its bound without letting the organisation
// that fills it shut out the others.
func (s *service) makeRoom(w *waiter) error {
	if s.queue.waiting < s.limits.Queue {
		return nil
	}
	s.gate.counts.queueFull.Add(1)
	victim := s.queue.victim(w.want.Query.Organisation, w.priority)
	if victim == nil {
		return s.overloaded("the queue of %s is full", s.name)
	}
	s.queue.remove(victim)
	victim.settle(nil, s.overloaded("the queue of %s is full", s.name))
	return nil
}

// pump grants slots to waiters in their order until no target has room.
func (s *service) pump() {
	s.pass++
	for skips := 0; skips < pumpSkips && s.queue.waiting > 0; {
		w := s.queue.next(s.pass)
		if w == nil {
			break
		}
		if err := s.reachable(w.want); err != nil {
			s.queue.remove(w)
			w.settle(nil, err)
			continue
		}
		choice, verdict := s.choose(w.want, w.provider)
		switch verdict {
		case routing.Chosen:
			s.queue.remove(w)
			w.settle(s.grant(w.want, choice), nil)
		case routing.NoCandidate:
			s.queue.remove(w)
			w.settle(nil, noTarget(s.name))
		default:
			w.flow.skipped = s.pass
			skips++
		}
	}
	s.arm()
}

// arm has the queue tried again soon while anybody waits.
func (s *service) arm() {
	if s.timer || s.queue.waiting == 0 {
		return
	}
	s.timer = true
	s.gate.options.Clock.AfterFunc(pumpInterval, func() {
		s.lock(s.gate.options.Clock)
		defer s.unlock()
		s.timer = false
		s.pump()
	})
}
