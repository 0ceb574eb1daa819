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

	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
	"lynxhill.example/lynxhill/internal/stagework"
)

// scripted is a job at a dispatcher: the test makes its decisions and reads
// what it was told.
type scripted struct {
	decisions chan stagework.Decision
	told      chan string
}

func (s *scripted) Decisions() <-chan stagework.Decision { return s.decisions }
func (s *scripted) Moved()                               { s.told <- "moved" }
func (s *scripted) Made() []stagework.Made               { return nil }
func (s *scripted) Dispatcher() string                   { return "b" }
func (s *scripted) Begun()                               { s.told <- "begun" }
func (s *scripted) Broke()                               { s.told <- "broke" }
func (s *scripted) End()                                 { s.told <- "end" }
func (s *scripted) Rejected(gone, failed bool)           { s.told <- fmt.Sprint("rejected ", gone, failed) }

// serveScripted serves a job; its client goes through a wire.
func serveScripted(t *testing.T) (*scripted, *Client, *wire) {
	s := &scripted{make(chan stagework.Decision, 8), make(chan string, 64)}
	_, addr := serve(t, ServerOptions{Work: func(stagework.Job) (stagework.Assignment, *stagework.Refusal) { return s, nil }})
	client, w := throughWire(t, addr)
	return s, client, w
}

// within receives from c; it fails the test after a time.
func within[T any](t *testing.T, limit time.Duration, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(limit):
		t.Fatalf("nothing after %v", limit)
	}
	return v
}

func expectTold(t *testing.T, s *scripted, want ...string) {
	t.Helper()
	for _, w := range want {
		if got := within(t, 5*time.Second, s.told); got != w {
			t.Fatalf("told %q instead of %q", got, w)
		}
	}
}

// work hands a job over and requires that it is taken.
func work(t *testing.T, client *Client) stagework.Assignment {
	t.Helper()
	a, refusal, err := client.Work(t.Context(), "b", stagework.Job{ID: "j"})
	if err != nil || refusal != nil {
		t.Fatal(refusal, err)
	}
	return a
}

func TestEveryFieldOfAJobArrives(t *testing.T) {
	now := time.Now()
	want := stagework.Job{
		ID: "i", Key: "k", Organisation: "o", Owner: "w", Route: "r", Priority: 2, Aim: now.Add(-time.Minute), Deadline: now.Add(time.Hour),
		Stages: []route.Stage{{Service: "s", After: []int{1}, ResultBytes: 1 << 40}, {Service: "t", ResultBytes: 3}}, Pieces: []int{3, 4}, Service: "lm",
		Prompt: &relay.Prompt{Model: "m", TokensIn: 5, TokensOut: 6, LikelyOut: 7, Parts: []relay.PromptPart{{ID: "p", Tokens: 8}, {ID: "q", Tokens: 9}}},
		Place:  "z", Avoid: []string{"e", "f"}, Cell: []string{"x", "y"}, Insist: stagework.InsistTried,
		Made: []stagework.Made{{Stage: 1, Number: 2, Target: "t", Handle: "h", Age: time.Second}},
	}
	requireAllSet(t, reflect.ValueOf(want), "Job")
	requireAllSet(t, reflect.ValueOf(*want.Prompt), "Job.Prompt")
	refusal := stagework.Refusal{Reason: stagework.ReasonLate, RetryAfter: 1500 * time.Millisecond, Elsewhere: "c"}
	jobs := make(chan stagework.Job, 1)
	client, _ := serve(t, ServerOptions{Work: func(j stagework.Job) (stagework.Assignment, *stagework.Refusal) {
		jobs <- j
		return nil, &refusal
	}})
	_, answer, err := client.Work(t.Context(), "b", want)
	if err != nil || answer == nil || *answer != refusal {
		t.Errorf("refusal %+v, %v", answer, err)
	}
	got := within(t, 5*time.Second, jobs)
	if a, d := got.Aim.Sub(want.Aim).Abs(), got.Deadline.Sub(want.Deadline).Abs(); a > time.Second || d > time.Second {
		t.Errorf("aim off by %v, deadline by %v", a, d)
	}
	got.Aim, got.Deadline = want.Aim, want.Deadline
	if !reflect.DeepEqual(got, want) {
		t.Errorf("received %+v\nsent %+v", got, want)
	}
}

func TestPlacementRejectionRefusalAndEndOfAJobElsewhere(t *testing.T) {
	s, client, _ := serveScripted(t)
	first := stagework.Decision{Placement: stagework.Placement{Target: "e1", Address: "at e1", Inputs: []string{"h1", "h2"}}}
	s.decisions <- first // is there when the job is taken
	a := work(t, client)
	if got := within(t, 5*time.Second, a.Decisions()); !reflect.DeepEqual(got, first) {
		t.Errorf("placed %+v", got)
	}
	a.Rejected(false, false)
	a.Rejected(true, false)
	a.Rejected(false, true)
	expectTold(t, s, "rejected false false", "rejected true false", "rejected false true")
	for _, inputs := range [][]string{nil, {}} {
		later := stagework.Decision{Placement: stagework.Placement{Target: "e2", Address: "at e2", Inputs: inputs}}
		s.decisions <- later
		if got := within(t, 5*time.Second, a.Decisions()); !reflect.DeepEqual(got, later) {
			t.Errorf("placed %#v instead of %#v", got, later)
		}
	}
	a.Begun()
	a.Broke()
	expectTold(t, s, "begun", "broke")
	a.End()
	a.End()
	expectTold(t, s, "end")
	a = work(t, client)
	later := stagework.Refusal{Reason: stagework.ReasonFailed, RetryAfter: time.Second}
	s.decisions <- stagework.Decision{Refusal: &later}
	if d := within(t, 5*time.Second, a.Decisions()); d.Refusal == nil || *d.Refusal != later {
		t.Errorf("decision %+v", d)
	}
	expectTold(t, s, "end")
}

// Symptom: an engine that fails requests gets further ones. Events: the owner
// tells that it broke and ends the job at once. Cause: the end overtook it.
func TestWhatIsToldBeforeTheEndArrivesBeforeIt(t *testing.T) {
	s, client, _ := serveScripted(t)
	for range 30 {
		a := work(t, client)
		a.Broke()
		a.End()
		expectTold(t, s, "broke", "end")
	}
}

// wire is a proxy before an instance that can fall silent or break.
type wire struct {
	silent atomic.Bool
	conns  chan net.Conn
}

func throughWire(t *testing.T, addr string) (*Client, *wire) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &wire{conns: make(chan net.Conn, 64)}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			if out, err := net.Dial("tcp", addr); err == nil {
				w.conns <- in
				w.conns <- out
				go w.pass(in, out)
				go w.pass(out, in)
			}
		}
	}()
	client := NewClient(Options{Address: func(string) (string, bool) { return listener.Addr().String(), true }})
	t.Cleanup(func() { client.Close(); _ = listener.Close(); w.cut() })
	return client, w
}

func (w *wire) pass(from, to net.Conn) {
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

func (w *wire) cut() {
	for len(w.conns) > 0 {
		_ = (<-w.conns).Close()
	}
}

// Symptom: requests wait until their callers have gone. Events: the instance
// that schedules falls silent without closing its connections. Cause: its word
// was waited for without a limit.
func TestASilentDispatcherIsLost(t *testing.T) {
	_, client, w := serveScripted(t)
	a := work(t, client)
	select { // signs of life keep the job
	case d := <-a.Decisions():
		t.Fatalf("decision %+v of a dispatcher that lives", d)
	case <-time.After(workSilent + 2*workBeat):
	}
	w.silent.Store(true)
	began := time.Now()
	if d := within(t, 5*time.Second, a.Decisions()); d.Lost == "" || time.Since(began) > 1500*time.Millisecond {
		t.Errorf("decision %+v after %v", d, time.Since(began))
	}
	began = time.Now()
	if _, _, err := client.Work(context.Background(), "b", stagework.Job{}); err == nil || time.Since(began) > time.Second {
		t.Errorf("a silent one took a job: %v after %v", err, time.Since(began))
	}
}

func TestADispatcherIsLostWithItsConnection(t *testing.T) {
	s, client, w := serveScripted(t)
	a := work(t, client)
	w.cut()
	began := time.Now()
	if d := within(t, 5*time.Second, a.Decisions()); d.Lost == "" || time.Since(began) > workSilent/2 {
		t.Errorf("decision %+v after %v", d, time.Since(began))
	}
	expectTold(t, s, "end") // there the job's owner is gone
	a.Begun()
	a.End()
}

// Symptom: pieces are refused for want of room for up to 18 s after an instance
// was cut off. Events: an instance that has handed jobs over falls silent
// without closing its connections. Cause: its jobs stayed at the dispatcher,
// their pieces were made and their results lay at their makers, until the
// connection was found dead.
//
// Where it is the dispatcher that is cut off or stood still, the results must
// not be given up: the owner goes on with them elsewhere.
func TestTheJobsOfASilentOwnerEnd(t *testing.T) {
	for _, cutOff := range []bool{false, true} {
		s := &scripted{make(chan stagework.Decision, 8), make(chan string, 64)}
		_, addr := serve(t, ServerOptions{
			Work:   func(stagework.Job) (stagework.Assignment, *stagework.Refusal) { return s, nil },
			CutOff: func() bool { return cutOff },
		})
		client, w := throughWire(t, addr)
		work(t, client)
		select { // an owner that lives keeps its job however long it waits
		case told := <-s.told:
			t.Fatalf("told %q by an owner that lives", told)
		case <-time.After(ownerSilent + workBeat):
		}
		w.silent.Store(true)
		began := time.Now()
		if cutOff {
			expectTold(t, s, "moved")
		}
		expectTold(t, s, "end")
		if took := time.Since(began); took > ownerSilent+workBeat {
			t.Errorf("the job ended after %v", took)
		}
	}
}

// Symptom: after a common start an instance leaves out the dispatcher for two
// seconds that is up 20 ms after it (dispatcher_lost with "write envelope: EOF").
// Events: the connection to it is refused.
// Cause: the error of the send was returned, which says only that the stream has
// ended, and not that of the connection.
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
	for range 20 { // whether the send or the connection fails first differs
		if _, _, err := client.Work(t.Context(), "b", stagework.Job{ID: "j"}); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("the owner is told %v, want that the connection was refused", err)
		}
	}
}
