package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"reflect"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/peer/peerpb"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/reservation"
	"lynxhill.example/lynxhill/internal/route"
	"lynxhill.example/lynxhill/internal/stagework"
)

// scriptedJob is a job at a dispatcher for which the test makes the decisions and reads the
// received events.
type scriptedJob struct {
	decisions chan stagework.Decision
	events    chan string
}

func (s *scriptedJob) Decisions() <-chan stagework.Decision { return s.decisions }
func (s *scriptedJob) Transferred()                         { s.events <- "moved" }
func (s *scriptedJob) Results() []stagework.ResultRef       { return nil }
func (s *scriptedJob) Dispatcher() string                   { return "b" }
func (s *scriptedJob) AnswerStarted(l *relay.Load)          { s.events <- describeBegun(l) }
func (s *scriptedJob) EngineFailed()                        { s.events <- "broke" }
func (s *scriptedJob) End()                                 { s.events <- "end" }
func (s *scriptedJob) Rejected(gone, failed bool)           { s.events <- fmt.Sprint("rejected ", gone, failed) }

func describeBegun(l *relay.Load) string {
	if l == nil {
		return "begun"
	}
	return fmt.Sprint("begun ", *l)
}

// startScriptedServer serves a scriptedJob; its client connects through a faultyProxy.
func startScriptedServer(t *testing.T) (*scriptedJob, *Client, *faultyProxy) {
	s := &scriptedJob{make(chan stagework.Decision, 8), make(chan string, 64)}
	_, addr := startServer(t, ServerOptions{Work: func(stagework.Job) (stagework.Assignment, *stagework.Refusal) { return s, nil }})
	client, w := newFaultyProxy(t, addr)
	return s, client, w
}

// receiveWithin receives from c and fails the test after the limit.
func receiveWithin[T any](t *testing.T, limit time.Duration, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(limit):
		t.Fatalf("nothing after %v", limit)
	}
	return v
}

func expectEvents(t *testing.T, s *scriptedJob, want ...string) {
	t.Helper()
	for _, w := range want {
		if got := receiveWithin(t, 5*time.Second, s.events); got != w {
			t.Fatalf("event %q instead of %q", got, w)
		}
	}
}

// submit submits a job and requires that it is accepted.
func submit(t *testing.T, client *Client) stagework.Assignment {
	t.Helper()
	a, refusal, err := client.Submit(t.Context(), "b", stagework.Job{ID: "j"})
	if err != nil || refusal != nil {
		t.Fatal(refusal, err)
	}
	return a
}

func TestEveryFieldOfAJobArrives(t *testing.T) {
	now := time.Now()
	want := stagework.Job{
		ID: "i", Key: "k", Organisation: "o", Owner: "w", Route: "r", Priority: 2, RoutePriority: 4, Arrived: now.Add(-2 * time.Second), OnTimeUntil: now.Add(-time.Minute), Deadline: now.Add(time.Hour),
		Stages: []route.Stage{{Service: "s", After: []int{1}, ResultBytes: 1 << 40}, {Service: "t", ResultBytes: 3}}, Pieces: []int{3, 4}, Service: "lm",
		Prompt: &relay.Prompt{Model: "m", TokensIn: 5, TokensOut: 6, ExpectedOut: 7, Parts: []relay.PromptPart{{ID: "p", Tokens: 8}, {ID: "q", Tokens: 9}}},
		Zone:   "z", ExcludedEngines: []string{"e", "f"}, Cell: []string{"x", "y"}, RankOverride: stagework.OverrideUnreachable, Binding: &stagework.Binding{Build: "v1"},
		Results:   []stagework.ResultRef{{Stage: 1, Number: 2, Target: "t", Handle: "h", Age: time.Second}},
		CallerKey: "ck", Reservations: []reservation.Copy{{
			CallerKey: "rk", Organisation: "ro", Route: "rr", Priority: 3, RoutePriority: 5, OnTime: true, Arrived: now.Add(-time.Minute), Due: now.Add(time.Second),
			Stages: []reservation.StageWork{{Service: "s", Pieces: 5, ResultBytes: 1 << 40}},
		}},
	}
	requireAllSet(t, reflect.ValueOf(want), "Job")
	requireAllSet(t, reflect.ValueOf(*want.Prompt), "Job.Prompt")
	refusal := stagework.Refusal{Reason: stagework.ReasonLate, RetryAfter: 1500 * time.Millisecond, FirstRanked: "c", Reserved: true, ReservedOnTime: true}
	jobs := make(chan stagework.Job, 1)
	client, _ := startServer(t, ServerOptions{Work: func(j stagework.Job) (stagework.Assignment, *stagework.Refusal) {
		jobs <- j
		return nil, &refusal
	}})
	_, answer, err := client.Submit(t.Context(), "b", want)
	if err != nil || answer == nil || *answer != refusal {
		t.Errorf("refusal %+v, %v", answer, err)
	}
	got := receiveWithin(t, 5*time.Second, jobs)
	if a, d := got.OnTimeUntil.Sub(want.OnTimeUntil).Abs(), got.Deadline.Sub(want.Deadline).Abs(); a > time.Second || d > time.Second {
		t.Errorf("aim off by %v, deadline by %v", a, d)
	}
	if off := got.Arrived.Sub(want.Arrived).Abs(); off > time.Second {
		t.Errorf("arrival off by %v", off)
	}
	got.Arrived = want.Arrived
	if len(got.Reservations) != 1 {
		t.Fatalf("received reservations %+v", got.Reservations)
	}
	r, sent := &got.Reservations[0], want.Reservations[0]
	if due, arrived := r.Due.Sub(sent.Due).Abs(), r.Arrived.Sub(sent.Arrived).Abs(); due > time.Second || arrived > time.Second {
		t.Errorf("reservation off by %v, first attempt by %v", due, arrived)
	}
	r.Due, r.Arrived = sent.Due, sent.Arrived
	got.OnTimeUntil, got.Deadline = want.OnTimeUntil, want.Deadline
	if !reflect.DeepEqual(got, want) {
		t.Errorf("received %+v\nsent %+v", got, want)
	}
}

func TestEventsOfARemoteJob(t *testing.T) {
	s, client, _ := startScriptedServer(t)
	first := stagework.Decision{Placement: stagework.Placement{Target: "e1", Address: "at e1", Inputs: []string{"h1", "h2"}}}
	s.decisions <- first // available when the job is accepted
	a := submit(t, client)
	if got := receiveWithin(t, 5*time.Second, a.Decisions()); !reflect.DeepEqual(got, first) {
		t.Errorf("placed %+v", got)
	}
	a.Rejected(false, false)
	a.Rejected(true, false)
	a.Rejected(false, true)
	expectEvents(t, s, "rejected false false", "rejected true false", "rejected false true")
	for _, inputs := range [][]string{nil, {}} {
		later := stagework.Decision{Placement: stagework.Placement{Target: "e2", Address: "at e2", Inputs: inputs}}
		s.decisions <- later
		if got := receiveWithin(t, 5*time.Second, a.Decisions()); !reflect.DeepEqual(got, later) {
			t.Errorf("placed %#v instead of %#v", got, later)
		}
	}
	a.AnswerStarted(nil)
	a.EngineFailed()
	expectEvents(t, s, "begun", "broke")
	a.End()
	a.End()
	expectEvents(t, s, "end")
	a = submit(t, client)
	later := stagework.Refusal{Reason: stagework.ReasonFailed, RetryAfter: time.Second}
	s.decisions <- stagework.Decision{Refusal: &later}
	if d := receiveWithin(t, 5*time.Second, a.Decisions()); d.Refusal == nil || *d.Refusal != later {
		t.Errorf("decision %+v", d)
	}
	expectEvents(t, s, "end")
}

// Guards against a pace that does not reach the dispatcher, and against a dispatcher that
// takes the absence of a load, as sent by owners of an earlier version, for a pace.
func TestLoadOfAnEngineReachesTheDispatcher(t *testing.T) {
	s, client, _ := startScriptedServer(t)
	a := submit(t, client)
	a.AnswerStarted(&relay.Load{Running: 3, Waiting: 1, Slots: 64, Pace: 2.5})
	expectEvents(t, s, "begun {3 1 64 2.5}")
	a.AnswerStarted(&relay.Load{Running: 3, Slots: 64})
	expectEvents(t, s, "begun {3 0 64 0}")
	a.(*remoteWork).send(peerpb.WorkEvent_WORK_EVENT_BEGUN) // as an earlier version
	expectEvents(t, s, "begun")
	a.End()
}

// Guards against an engine that fails requests and gets further ones. The owner reports the
// failure and ends the job right after that; the end must not arrive before the report.
func TestWhatIsToldBeforeTheEndArrivesBeforeIt(t *testing.T) {
	s, client, _ := startScriptedServer(t)
	for range 30 {
		a := submit(t, client)
		a.EngineFailed()
		a.End()
		expectEvents(t, s, "broke", "end")
	}
}

// faultyProxy is a proxy in front of an instance that can drop all data or close its
// connections.
type faultyProxy struct {
	silent atomic.Bool
	conns  chan net.Conn
}

func newFaultyProxy(t *testing.T, addr string) (*Client, *faultyProxy) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &faultyProxy{conns: make(chan net.Conn, 64)}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			if out, err := net.Dial("tcp", addr); err == nil {
				w.conns <- in
				w.conns <- out
				go w.forward(in, out)
				go w.forward(out, in)
			}
		}
	}()
	client := NewClient(Options{Address: func(string) (string, bool) { return listener.Addr().String(), true }})
	t.Cleanup(func() { client.Close(); _ = listener.Close(); w.closeAll() })
	return client, w
}

func (w *faultyProxy) forward(from, to net.Conn) {
	for buffer := make([]byte, 4096); ; {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if !w.silent.Load() {
			_, _ = to.Write(buffer[:n])
		}
	}
}

func (w *faultyProxy) closeAll() {
	for len(w.conns) > 0 {
		_ = (<-w.conns).Close()
	}
}

// Guards against requests that wait until their callers have given up: the dispatcher
// becomes silent without closing its connections, and its decision is awaited without a
// timeout.
func TestASilentDispatcherIsLost(t *testing.T) {
	_, client, w := startScriptedServer(t)
	a := submit(t, client)
	select { // heartbeats keep the job
	case d := <-a.Decisions():
		t.Fatalf("decision %+v of a live dispatcher", d)
	case <-time.After(workSilenceTimeout + 2*workHeartbeatInterval):
	}
	w.silent.Store(true)
	began := time.Now()
	if d := receiveWithin(t, 5*time.Second, a.Decisions()); d.LostDispatcher == "" || time.Since(began) > 1500*time.Millisecond {
		t.Errorf("decision %+v after %v", d, time.Since(began))
	}
	began = time.Now()
	if _, _, err := client.Submit(context.Background(), "b", stagework.Job{}); err == nil || time.Since(began) > time.Second {
		t.Errorf("a silent dispatcher accepted a job: %v after %v", err, time.Since(began))
	}
}

func TestADispatcherIsLostWithItsConnection(t *testing.T) {
	s, client, w := startScriptedServer(t)
	a := submit(t, client)
	w.closeAll()
	began := time.Now()
	if d := receiveWithin(t, 5*time.Second, a.Decisions()); d.LostDispatcher == "" || time.Since(began) > workSilenceTimeout/2 {
		t.Errorf("decision %+v after %v", d, time.Since(began))
	}
	expectEvents(t, s, "end") // at the dispatcher, the job's owner is gone
	a.AnswerStarted(nil)
	a.End()
}

// Guards against pieces that are refused for lack of capacity for up to 18 s after an
// instance was cut off. The instance had submitted jobs and became silent without closing
// its connections. Its jobs stayed at the dispatcher: their pieces were executed, and the
// results stayed on the targets until the connection was detected as dead.
//
// If it is the dispatcher that is cut off or was paused, the results must not be released:
// the owner continues with them elsewhere.
func TestTheJobsOfASilentOwnerEnd(t *testing.T) {
	for _, cutOff := range []bool{false, true} {
		s := &scriptedJob{make(chan stagework.Decision, 8), make(chan string, 64)}
		_, addr := startServer(t, ServerOptions{
			Work:   func(stagework.Job) (stagework.Assignment, *stagework.Refusal) { return s, nil },
			CutOff: func() bool { return cutOff },
		})
		client, w := newFaultyProxy(t, addr)
		submit(t, client)
		select { // a live owner keeps its job however long it waits
		case event := <-s.events:
			t.Fatalf("event %q of a live owner", event)
		case <-time.After(ownerSilenceTimeout + workHeartbeatInterval):
		}
		w.silent.Store(true)
		began := time.Now()
		if cutOff {
			expectEvents(t, s, "moved")
		}
		expectEvents(t, s, "end")
		if took := time.Since(began); took > ownerSilenceTimeout+workHeartbeatInterval {
			t.Errorf("the job ended after %v", took)
		}
	}
}

// Guards against an instance that, after a common start, ignores for two seconds a dispatcher
// that is up 20 ms later (dispatcher_lost with "write envelope: EOF"). The connection to it
// is refused, and the error of the send, which shows only that the stream has ended, was
// returned instead of that of the connection.
func TestARefusedConnectionIsToldToTheOwner(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	client := NewClient(Options{Address: func(string) (string, bool) { return address, true }})
	for range 20 { // whether the send or the connection fails first varies
		if _, _, err := client.Submit(t.Context(), "b", stagework.Job{ID: "j"}); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("the owner gets the error %v, want a refused connection", err)
		}
	}
}
