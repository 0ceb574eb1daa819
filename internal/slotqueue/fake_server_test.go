package slotqueue

import (
	"time"

	"lynxhill.example/lynxhill/internal/relay"
)

// fakeServer runs up to fakeSlots requests at once; others wait in it. It works at the
// pace of its schedule, also while that changes during a request.
type fakeServer struct {
	id      string
	paces   []pacePeriod // in order, without gaps
	running int
	queue   []func()
	down    bool
}

type pacePeriod struct {
	from time.Time
	pace float64
}

func (s *fakeServer) paceAt(now time.Time) (i int) {
	for i+1 < len(s.paces) && !s.paces[i+1].from.After(now) {
		i++
	}
	return i
}

// duration returns how long the work takes if it begins now.
func (s *fakeServer) duration(work time.Duration, now time.Time) time.Duration {
	at := now
	for i := s.paceAt(now); ; i++ {
		end := at.Add(time.Duration(float64(work) * s.paces[i].pace))
		if i+1 == len(s.paces) || !end.After(s.paces[i+1].from) {
			return end.Sub(now)
		}
		work -= time.Duration(float64(s.paces[i+1].from.Sub(at)) / s.paces[i].pace)
		at = s.paces[i+1].from
	}
}

func (s *fakeServer) accept(w *world, work time.Duration, done func(*relay.Load)) {
	if s.down {
		done(nil)
		return
	}
	if s.running >= fakeSlots {
		s.queue = append(s.queue, func() { s.accept(w, work, done) })
		return
	}
	s.running++
	time.AfterFunc(s.duration(work, time.Now()), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		s.running--
		done(&relay.Load{Running: s.running, Waiting: len(s.queue), Slots: fakeSlots, Pace: s.paces[s.paceAt(time.Now())].pace})
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			next()
		}
	})
}
