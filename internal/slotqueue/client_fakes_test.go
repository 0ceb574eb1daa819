package slotqueue

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

const ms = time.Millisecond

// fakeCoordinator is a coordinator that grants the target "t-NAME" to every request.
type fakeCoordinator struct {
	name     string
	sendTime time.Duration // of every message to it

	mu       sync.Mutex
	silent   bool          // its streams carry nothing
	unknown  bool          // its build does not know the call
	delay    time.Duration // of every answer
	queues   bool          // requests wait until grantAll
	refusal  *Refusal      // of every request
	answers  []func(Answer)
	waiting  []uint64
	held     map[uint64]string // target by request
	events   []string
	sessions int // open ones
	streams  []*fakeStream
}

// fakeSession is the session of one stream.
type fakeSession struct {
	*fakeCoordinator
	answer func(Answer)
}

func (f *fakeCoordinator) begin(_ string, answer func(Answer)) Session {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sessions++
	f.answers = append(f.answers, answer)
	return &fakeSession{f, answer}
}

func (s *fakeSession) Submit(r Request) {
	s.mu.Lock()
	s.events = append(s.events, fmt.Sprint("request ", r.ID))
	a := Answer{ID: r.ID}
	switch {
	case s.refusal != nil:
		a.Refusal = s.refusal
	case s.queues:
		s.waiting = append(s.waiting, r.ID)
	default:
		a.Target = "t-" + s.name
		s.held[r.ID] = a.Target
	}
	delay := s.delay
	s.mu.Unlock()
	if delay > 0 {
		time.AfterFunc(delay, func() { s.answer(a) })
		return
	}
	s.answer(a)
}

func (s *fakeSession) Release(r Release) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprint("release ", r.ID, " ", int(r.Outcome)))
	delete(s.held, r.ID)
}

func (s *fakeSession) Cancel(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprint("cancel ", id))
	delete(s.held, id)
	s.waiting = slices.DeleteFunc(s.waiting, func(w uint64) bool { return w == id })
}

func (s *fakeSession) Adopt(held []HeldSlot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range held {
		s.events = append(s.events, fmt.Sprint("held ", h.ID, " ", h.Target))
		s.held[h.ID] = h.Target
	}
}

func (s *fakeSession) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions--
}

// grantAll grants the target to the requests that wait.
func (f *fakeCoordinator) grantAll() {
	f.mu.Lock()
	waiting, answer := f.waiting, f.answers[len(f.answers)-1]
	f.waiting = nil
	for _, id := range waiting {
		f.held[id] = "t-" + f.name
	}
	f.mu.Unlock()
	for _, id := range waiting {
		answer(Answer{ID: id, Target: "t-" + f.name})
	}
}

// die ends the coordinator's streams with an error.
func (f *fakeCoordinator) die() {
	f.mu.Lock()
	streams := f.streams
	f.mu.Unlock()
	for _, s := range streams {
		s.fail(errors.New("connection reset"))
	}
}

// set changes the coordinator's behaviour.
func (f *fakeCoordinator) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// seen returns what the coordinator was told, and the number of slots that it counts.
func (f *fakeCoordinator) seen() (events []string, held int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.events), len(f.held)
}

// traffic returns the number of streams that were opened to it, and of the messages and
// the heartbeats among them on the first.
func (f *fakeCoordinator) traffic() (streams, sent, beats int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.streams) > 0 {
		sent, beats = f.streams[0].sent, f.streams[0].beats
	}
	return len(f.streams), sent, beats
}

// open returns the number of open sessions.
func (f *fakeCoordinator) open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sessions
}

// say sends an answer on the first stream.
func (f *fakeCoordinator) say(a Answer) {
	f.mu.Lock()
	answer := f.answers[0]
	f.mu.Unlock()
	answer(a)
}

// fakeStream is a stream to a fake coordinator that can fail and go silent.
type fakeStream struct {
	Stream
	f      *fakeCoordinator
	ctx    context.Context
	failed chan error
	downs  chan Down
	sent   int // messages; guarded by f.mu
	beats  int // heartbeats among them; guarded by f.mu
}

func (f *fakeCoordinator) stream(ctx context.Context, self string) *fakeStream {
	s := &fakeStream{Stream: openLocal(f.begin, self), f: f, ctx: ctx, failed: make(chan error, 1), downs: make(chan Down)}
	f.mu.Lock()
	f.streams = append(f.streams, s)
	f.mu.Unlock()
	go func() {
		for {
			down, err := s.Stream.Receive()
			if err != nil {
				return
			}
			if s.isSilent() {
				continue
			}
			select {
			case s.downs <- down:
			case <-ctx.Done():
				return
			}
		}
	}()
	context.AfterFunc(ctx, s.Close)
	return s
}

func (s *fakeStream) isSilent() bool {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	return s.f.silent
}

func (s *fakeStream) fail(err error) {
	select {
	case s.failed <- err:
	default:
	}
}

func (s *fakeStream) Send(up Up) error {
	time.Sleep(s.f.sendTime)
	s.f.mu.Lock()
	s.sent++
	if up.Empty() {
		s.beats++
	}
	silent, unknown := s.f.silent, s.f.unknown
	s.f.mu.Unlock()
	if unknown {
		s.fail(ErrUnknownCall)
	}
	if silent || unknown {
		return nil
	}
	return s.Stream.Send(up)
}

func (s *fakeStream) Receive() (Down, error) {
	select {
	case down := <-s.downs:
		return down, nil
	case err := <-s.failed:
		return Down{}, err
	case <-s.ctx.Done():
		return Down{}, s.ctx.Err()
	}
}
