package slotqueue

import (
	"io"
	"sync"
)

// Apply passes what an instance tells its coordinator on to the session. Cancellations come
// first, since a slot that is held may replace a request; a message has none of its own
// requests. A slot may be released in the message that states it. Releases precede
// requests, which may get their slots.
func Apply(s Session, up Up) {
	for _, id := range up.Cancelled {
		s.Cancel(id)
	}
	if len(up.Held) > 0 {
		s.Adopt(up.Held)
	}
	for _, r := range up.Releases {
		s.Release(r)
	}
	for _, r := range up.Requests {
		s.Submit(r)
	}
}

// Empty reports whether the message is a heartbeat.
func (u Up) Empty() bool {
	return len(u.Requests) == 0 && len(u.Releases) == 0 && len(u.Cancelled) == 0 && len(u.Held) == 0
}

// Outbox collects the answers of a session while an earlier message is being sent. It is
// safe for concurrent use.
type Outbox struct {
	wake chan struct{}

	mu        sync.Mutex // guards all below
	answers   []Answer
	heartbeat bool
}

// NewOutbox returns an empty outbox.
func NewOutbox() *Outbox { return &Outbox{wake: make(chan struct{}, 1)} }

// Add adds an answer.
func (o *Outbox) Add(a Answer) {
	o.mu.Lock()
	o.answers = append(o.answers, a)
	o.mu.Unlock()
	notify(o.wake)
}

// AddHeartbeat makes the next message be sent also if there is no answer.
func (o *Outbox) AddHeartbeat() {
	o.mu.Lock()
	o.heartbeat = true
	o.mu.Unlock()
	notify(o.wake)
}

// Ready receives a value when there may be something to send.
func (o *Outbox) Ready() <-chan struct{} { return o.wake }

// Take returns the next message and empties the outbox. ok is false if there is nothing to
// send.
func (o *Outbox) Take() (down Down, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	down, ok = Down{Answers: o.answers}, o.heartbeat || len(o.answers) > 0
	o.answers, o.heartbeat = nil, false
	return down, ok
}

// notify wakes the reader of a channel with a buffer of one.
func notify(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default: // it has been woken already
	}
}

// localStream is the stream of an instance to its own coordinator.
type localStream struct {
	session Session
	out     *Outbox
	closed  chan struct{}
	once    sync.Once // guards the end of the session
}

// openLocal returns a stream to the coordinator whose Open function is given.
func openLocal(open func(instance string, answer func(Answer)) Session, instance string) Stream {
	out := NewOutbox()
	return &localStream{session: open(instance, out.Add), out: out, closed: make(chan struct{})}
}

// Send implements Stream.
func (s *localStream) Send(up Up) error {
	if up.Empty() {
		s.out.AddHeartbeat()
		return nil
	}
	Apply(s.session, up)
	return nil
}

// Receive implements Stream.
func (s *localStream) Receive() (Down, error) {
	for {
		if down, ok := s.out.Take(); ok {
			return down, nil
		}
		select {
		case <-s.out.Ready():
		case <-s.closed:
			return Down{}, io.EOF
		}
	}
}

// Close implements Stream.
func (s *localStream) Close() {
	s.once.Do(func() {
		close(s.closed)
		s.session.Close()
	})
}
