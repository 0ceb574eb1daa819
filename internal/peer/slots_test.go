package peer

import (
	"errors"
	"io"
	"reflect"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/slotqueue"
)

// scriptedSession is a coordinator's session for which the test gives the answers.
type scriptedSession struct {
	instance string
	answer   func(slotqueue.Answer)
	told     chan any
}

func (s *scriptedSession) Submit(r slotqueue.Request)      { s.told <- r }
func (s *scriptedSession) Release(r slotqueue.Release)     { s.told <- r }
func (s *scriptedSession) Cancel(id uint64)                { s.told <- id }
func (s *scriptedSession) Adopt(held []slotqueue.HeldSlot) { s.told <- held }
func (s *scriptedSession) Close()                          { s.told <- io.EOF }
func (s *scriptedSession) next(t *testing.T) any           { return receiveWithin(t, 5*time.Second, s.told) }
func (s *scriptedSession) within(t *testing.T, d time.Duration) any {
	return receiveWithin(t, d, s.told)
}

// coordinator serves scripted sessions.
func coordinator() (o ServerOptions, opened chan *scriptedSession) {
	opened = make(chan *scriptedSession, 8)
	return ServerOptions{Slots: func(instance string, answer func(slotqueue.Answer)) (slotqueue.Session, string) {
		s := &scriptedSession{instance, answer, make(chan any, 64)}
		opened <- s
		return s, ""
	}}, opened
}

// openSlots opens a stream and sends a first message.
func openSlots(t *testing.T, client *Client, up slotqueue.Up) slotqueue.Stream {
	t.Helper()
	stream, err := client.OpenSlots(t.Context(), "b")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stream.Close)
	up.Instance = "a"
	if err := stream.Send(up); err != nil {
		t.Fatal(err)
	}
	return stream
}

// receiveDown receives a message, for which it waits 5 s.
func receiveDown(t *testing.T, stream slotqueue.Stream) (slotqueue.Down, error) {
	t.Helper()
	type received struct {
		slotqueue.Down
		error
	}
	c := make(chan received, 1)
	go func() {
		down, err := stream.Receive()
		c <- received{down, err}
	}()
	got := receiveWithin(t, 5*time.Second, c)
	return got.Down, got.error
}

func TestEveryFieldOfSlotMessagesArrives(t *testing.T) {
	o, opened := coordinator()
	client, _ := startServer(t, o)
	now := time.Now()
	request := slotqueue.Request{
		ID: 1 << 60, Service: "s", Shard: 3, Organisation: "o", Route: "r", Zone: "z", Priority: 2, OnTimeUntil: now.Add(-time.Minute),
		Deadline: now.Add(time.Hour), Excluded: []string{"x", "y"}, CallerKey: "k", BodyBytes: 1 << 40,
	}
	requireAllSet(t, reflect.ValueOf(request), "Request")
	release := slotqueue.Release{ID: 7, Outcome: slotqueue.Refused, Took: 61234 * time.Microsecond, Load: &relay.Load{Running: 1, Waiting: 2, Slots: 6, Pace: 2.55}}
	requireAllSet(t, reflect.ValueOf(release), "Release")
	requireAllSet(t, reflect.ValueOf(*release.Load), "Load")
	held := []slotqueue.HeldSlot{{ID: 9, Service: "s", Target: "t"}}
	stream := openSlots(t, client, slotqueue.Up{
		Requests: []slotqueue.Request{request}, Releases: []slotqueue.Release{release, {ID: 8}}, Cancelled: []uint64{5}, Held: held,
	})
	session := receiveWithin(t, 5*time.Second, opened)
	if session.instance != "a" {
		t.Errorf("instance %q", session.instance)
	}
	var got slotqueue.Request
	for _, want := range []any{uint64(5), held, release, slotqueue.Release{ID: 8}, nil} {
		told := session.next(t)
		if r, is := told.(slotqueue.Request); is && want == nil {
			got = r
		} else if !reflect.DeepEqual(told, want) {
			t.Errorf("told %+v, want %+v", told, want)
		}
	}
	if a, d := got.OnTimeUntil.Sub(request.OnTimeUntil).Abs(), got.Deadline.Sub(request.Deadline).Abs(); a > time.Second || d > time.Second {
		t.Errorf("aim off by %v, deadline by %v", a, d)
	}
	got.OnTimeUntil, got.Deadline = request.OnTimeUntil, request.Deadline
	if !reflect.DeepEqual(got, request) {
		t.Errorf("received %+v\nsent %+v", got, request)
	}
	refusal := slotqueue.Refusal{Reason: slotqueue.ReasonLate, RetryAfter: 1500 * time.Millisecond, Reserved: true}
	requireAllSet(t, reflect.ValueOf(refusal), "Refusal")
	for _, want := range []slotqueue.Answer{{ID: 1}, {ID: 1, Target: "t"}, {ID: 2, Refusal: &refusal}} {
		session.answer(want)
		down, err := receiveDown(t, stream)
		if err != nil || len(down.Answers) != 1 || !reflect.DeepEqual(down.Answers[0], want) {
			t.Errorf("received %+v, %v, want %+v", down, err, want)
		}
	}
}

// Guards against an owner that takes a live coordinator for lost: each heartbeat is answered.
func TestSlotHeartbeatIsAnswered(t *testing.T) {
	o, opened := coordinator()
	client, _ := startServer(t, o)
	stream := openSlots(t, client, slotqueue.Up{})
	receiveWithin(t, 5*time.Second, opened)
	for range 3 {
		if down, err := receiveDown(t, stream); err != nil || len(down.Answers) != 0 || down.Elsewhere != "" {
			t.Errorf("received %+v, %v", down, err)
		}
		if err := stream.Send(slotqueue.Up{}); err != nil {
			t.Error(err)
		}
	}
}

// Guards against slots that stay taken after their owner has ended or was cut off.
func TestSlotSessionEndsWithItsOwner(t *testing.T) {
	for name, end := range map[string]func(stream slotqueue.Stream, w *faultyProxy){
		"closes its stream": func(stream slotqueue.Stream, _ *faultyProxy) { stream.Close() },
		"crashes":           func(_ slotqueue.Stream, w *faultyProxy) { w.closeAll() },
		"is cut off":        func(_ slotqueue.Stream, w *faultyProxy) { w.silent.Store(true) },
	} {
		o, opened := coordinator()
		_, addr := startServer(t, o)
		client, w := newFaultyProxy(t, addr)
		stream := openSlots(t, client, slotqueue.Up{Requests: []slotqueue.Request{{ID: 1}}})
		session := receiveWithin(t, 5*time.Second, opened)
		session.next(t)
		end(stream, w)
		if told := session.within(t, slotOwnerSilence+time.Second); told != io.EOF {
			t.Errorf("%s: told %+v", name, told)
		}
	}
}

// Guards against a session that ends while its owner has nothing to say.
func TestIdleSlotSessionStaysOpen(t *testing.T) {
	o, opened := coordinator()
	client, _ := startServer(t, o)
	stream := openSlots(t, client, slotqueue.Up{Requests: []slotqueue.Request{{ID: 1}, {ID: 2}, {ID: 3}}})
	session := receiveWithin(t, 5*time.Second, opened)
	session.answer(slotqueue.Answer{ID: 1, Refusal: &slotqueue.Refusal{}})
	if err := stream.Send(slotqueue.Up{Releases: []slotqueue.Release{{ID: 2}}, Cancelled: []uint64{3}}); err != nil {
		t.Error(err)
	}
	for range 5 {
		if told := session.next(t); told == io.EOF {
			t.Error("the session has ended")
		}
	}
	select {
	case told := <-session.told:
		t.Errorf("told %v without requests in flight", told)
	case <-time.After(slotOwnerSilence + 300*time.Millisecond):
	}
}

// Guards against requests that wait at an instance that stops, and against new ones there.
func TestStoppingCoordinatorNamesAnother(t *testing.T) {
	o, opened := coordinator()
	stopping, serve := make(chan struct{}), o.Slots
	o.SlotsEnd = stopping
	o.Slots = func(instance string, answer func(slotqueue.Answer)) (slotqueue.Session, string) {
		select {
		case <-stopping:
			return nil, "c"
		default:
			return serve(instance, answer)
		}
	}
	client, _ := startServer(t, o)
	stream := openSlots(t, client, slotqueue.Up{Requests: []slotqueue.Request{{ID: 1}}})
	session := receiveWithin(t, 5*time.Second, opened)
	session.next(t)
	close(stopping)
	if down, err := receiveDown(t, stream); err != nil || down.Elsewhere != "c" {
		t.Errorf("received %+v, %v", down, err)
	}
	if told := session.next(t); told != io.EOF {
		t.Errorf("told %+v", told)
	}
	if down, err := receiveDown(t, openSlots(t, client, slotqueue.Up{})); err != nil || down.Elsewhere != "c" {
		t.Errorf("a new stream received %+v, %v", down, err)
	}
}

// Guards against an owner that takes an instance of an older build for lost, or asks it again
// and again.
func TestOlderBuildDoesNotKnowSlots(t *testing.T) {
	client, _ := startServer(t, ServerOptions{})
	if _, err := receiveDown(t, openSlots(t, client, slotqueue.Up{})); !errors.Is(err, slotqueue.ErrUnknownCall) {
		t.Errorf("error %v", err)
	}
}

// Guards against an owner that waits for a coordinator whose connection is lost.
func TestLostCoordinatorEndsTheStream(t *testing.T) {
	o, _ := coordinator()
	_, addr := startServer(t, o)
	client, w := newFaultyProxy(t, addr)
	stream := openSlots(t, client, slotqueue.Up{})
	if _, err := receiveDown(t, stream); err != nil {
		t.Error(err)
	}
	w.closeAll()
	if _, err := receiveDown(t, stream); err == nil || errors.Is(err, slotqueue.ErrUnknownCall) {
		t.Errorf("error %v", err)
	}
}
