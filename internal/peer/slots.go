package peer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"connectrpc.com/connect"

	"lynxhill.example/lynxhill/internal/peer/peerpb"
	"lynxhill.example/lynxhill/internal/slotqueue"
)

// slotOwnerSilence is how long a coordinator may receive nothing from an instance with
// requests in flight, which sends heartbeats every 250 ms, before it ends its session.
const slotOwnerSilence = time.Second

var (
	errSlotOwnerSilent   = errors.New("peer: the owner of slots is silent")
	errCoordinatorSilent = errors.New("peer: the coordinator of slots is silent")
)

// slotsStream is an instance's side of a stream to a coordinator.
type slotsStream struct {
	stream      *connect.BidiStreamForClientSimple[peerpb.SlotsUp, peerpb.SlotsDown]
	client      *Client
	link        *link
	observation *observation
	ctx         context.Context
	cancel      context.CancelFunc
	once        sync.Once // guards the end
	mu          sync.Mutex
	unanswered  time.Time // when the first message was sent after the last one that was received; guarded by mu; zero = none
}

var _ slotqueue.Stream = (*slotsStream)(nil)

// OpenSlots opens a stream to the coordinator at the instance, which ends with ctx. Whether
// the instance can be reached shows in Receive.
func (c *Client) OpenSlots(ctx context.Context, instance string) (slotqueue.Stream, error) {
	l, err := c.linkTo(instance)
	if err != nil {
		c.o.Metrics.Labelled(metricCalls).Add("slots_failed", 1)
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	observed, observation := observe(ctx)
	stream, err := l.client.Slots(observed)
	if err != nil {
		cancel()
		c.o.Metrics.Labelled(metricCalls).Add("slots_failed", 1)
		return nil, fromConnect(err)
	}
	c.o.Metrics.Labelled(metricCalls).Add("slots_ok", 1)
	return &slotsStream{stream: stream, client: c, link: l, observation: observation, ctx: ctx, cancel: cancel}, nil
}

// Send implements slotqueue.Stream.
func (s *slotsStream) Send(up slotqueue.Up) error {
	s.mu.Lock()
	if s.unanswered.IsZero() {
		s.unanswered = time.Now()
	}
	s.mu.Unlock()
	return s.stream.Send(slotsUpToProto(up, time.Now()))
}

// Receive implements slotqueue.Stream.
func (s *slotsStream) Receive() (slotqueue.Down, error) {
	m, err := s.stream.Receive()
	if err != nil {
		if connect.CodeOf(err) == connect.CodeUnimplemented {
			return slotqueue.Down{}, fmt.Errorf("%w: %w", slotqueue.ErrUnknownCall, err)
		}
		if s.ctx.Err() == nil && !errors.Is(err, io.EOF) {
			s.client.recordUnanswered(s.observation, "slots", s.link, cmp.Or(context.Cause(s.ctx), err))
		}
		return slotqueue.Down{}, fromConnect(err)
	}
	s.mu.Lock()
	s.unanswered = time.Time{}
	s.mu.Unlock()
	return slotsDownFromProto(m), nil
}

// Close implements slotqueue.Stream. If what was sent has not been answered for two
// heartbeats, and the connection has received nothing else either, further calls use
// another connection.
func (s *slotsStream) Close() {
	s.once.Do(func() {
		s.mu.Lock()
		unanswered := s.unanswered
		s.mu.Unlock()
		if silent := time.Since(unanswered); !unanswered.IsZero() && silent >= minHedgeIdleTime/2 {
			s.client.recordSilent(s.observation, "slots", s.link, silent, errCoordinatorSilent)
		}
		_ = s.stream.CloseRequest()
		s.cancel()
	})
}

// Slots serves the requests of another instance for slots of targets. The session ends with
// the stream, or if nothing arrives for slotOwnerSilence while the instance has requests
// in flight.
func (h *service) Slots(ctx context.Context, stream *connect.BidiStream[peerpb.SlotsUp, peerpb.SlotsDown]) error {
	h.count("slots")
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	if h.o.Slots == nil {
		return connect.NewError(connect.CodeUnimplemented, errors.New("no slots are coordinated here"))
	}
	s := &slotsSession{stream: stream, out: slotqueue.NewOutbox(), inFlight: make(map[uint64]struct{}), ended: make(chan struct{})}
	session, elsewhere := h.o.Slots(first.GetInstance(), s.answer)
	if session == nil {
		return sendElsewhere(stream, elsewhere)
	}
	s.session = session
	defer s.close()
	s.silence = time.AfterFunc(slotOwnerSilence, s.checkSilence)
	defer s.silence.Stop()
	s.apply(first)
	go s.receive()
	return s.send(ctx, h.o.SlotsEnd, func() string {
		again, elsewhere := h.o.Slots(first.GetInstance(), func(slotqueue.Answer) {})
		if again != nil {
			again.Close()
		}
		return elsewhere
	})
}

// sendElsewhere tells the instance to ask another one. Without a name it only ends the
// stream.
func sendElsewhere(stream *connect.BidiStream[peerpb.SlotsUp, peerpb.SlotsDown], instance string) error {
	if instance == "" {
		return connect.NewError(connect.CodeUnavailable, errors.New("this instance is stopping"))
	}
	return stream.Send(&peerpb.SlotsDown{Elsewhere: instance})
}

// slotsSession is the coordinator's side of a stream.
type slotsSession struct {
	stream  *connect.BidiStream[peerpb.SlotsUp, peerpb.SlotsDown]
	session slotqueue.Session
	out     *slotqueue.Outbox
	silence *time.Timer
	ended   chan struct{} // closed when the session has ended
	once    sync.Once     // guards the end

	mu       sync.Mutex          // guards inFlight
	inFlight map[uint64]struct{} // requests without refusal, cancellation and release
}

// answer is called by the coordinator.
func (s *slotsSession) answer(a slotqueue.Answer) {
	if a.Refusal != nil {
		s.mu.Lock()
		delete(s.inFlight, a.ID)
		s.mu.Unlock()
	}
	s.out.Add(a)
}

// close ends the session. It is safe for concurrent use.
func (s *slotsSession) close() {
	s.once.Do(func() {
		close(s.ended)
		s.session.Close()
	})
}

// checkSilence ends the session if its owner has requests in flight. It runs when nothing
// has arrived for slotOwnerSilence.
func (s *slotsSession) checkSilence() {
	s.mu.Lock()
	busy := len(s.inFlight) > 0
	s.mu.Unlock()
	if busy {
		s.close()
		return
	}
	s.silence.Reset(slotOwnerSilence)
}

// apply passes a message of the owner on. A heartbeat is answered with one.
func (s *slotsSession) apply(m *peerpb.SlotsUp) {
	up := slotsUpFromProto(m, time.Now())
	if up.Empty() {
		s.out.AddHeartbeat()
		return
	}
	s.mu.Lock()
	for _, held := range up.Held {
		s.inFlight[held.ID] = struct{}{}
	}
	for _, r := range up.Requests {
		s.inFlight[r.ID] = struct{}{}
	}
	for _, r := range up.Releases {
		delete(s.inFlight, r.ID)
	}
	for _, id := range up.Cancelled {
		delete(s.inFlight, id)
	}
	s.mu.Unlock()
	slotqueue.Apply(s.session, up)
}

// receive passes the owner's messages on until the stream ends.
func (s *slotsSession) receive() {
	defer s.close()
	for {
		m, err := s.stream.Receive()
		if err != nil {
			return
		}
		select {
		case <-s.ended:
			return
		default:
		}
		s.silence.Reset(slotOwnerSilence)
		s.apply(m)
	}
}

// send sends the answers until the stream ends, or this instance stops to coordinate: then
// the owner is told which instance ranks first.
func (s *slotsSession) send(ctx context.Context, stopped <-chan struct{}, first func() string) error {
	for {
		select {
		case <-s.out.Ready():
		case <-s.ended:
			return connect.NewError(connect.CodeAborted, errSlotOwnerSilent)
		case <-stopped:
			return sendElsewhere(s.stream, first())
		case <-ctx.Done():
			return ctx.Err()
		}
		down, any := s.out.Take()
		if !any {
			continue
		}
		if err := s.stream.Send(slotsDownToProto(down)); err != nil {
			return err
		}
	}
}
