package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/claim"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

func TestStreamIsDeliveredWhole(t *testing.T) {
	i := newInstance(t, whole)
	delivered, result, err := sendStream(t, newTestCaller(i.addr()), 1)
	if err != nil || delivered != "hello world" || result.Text != delivered || result.Reply.Length != 11 {
		t.Fatalf("%q %+v %v", delivered, result, err)
	}
}

// Guards against a caller that takes a truncated answer for a complete one. This
// happens if the end of the connection counts as the end of the answer, or if
// offsets are not checked. Each case ends or continues in a way that no complete
// answer does.
func TestStreamThatIsNotWholeIsAnError(t *testing.T) {
	cases := []struct {
		name string
		run  script
	}{
		{"no end event", func(w *eventWriter, _ lynxapi.SendRequest) { w.begin(); w.frames(0, "hello ") }},
		{"cut", func(w *eventWriter, _ lynxapi.SendRequest) { w.begin(); w.frames(0, "hello "); w.cut() }},
		{"end event without its blank line", func(w *eventWriter, _ lynxapi.SendRequest) {
			w.begin()
			fmt.Fprintf(w.w, "event: end\ndata: {\"key\":%q,\"streamed\":true,\"length\":0}\n", w.key)
		}},
		{"gap", func(w *eventWriter, _ lynxapi.SendRequest) {
			w.begin()
			w.frames(0, "hel")
			w.frames(6, "world")
			w.end(8)
		}},
		{"overlap", func(w *eventWriter, _ lynxapi.SendRequest) {
			w.begin()
			w.frames(0, "hel")
			w.frames(1, "ello")
			w.end(7)
		}},
		{"length differs", func(w *eventWriter, _ lynxapi.SendRequest) { w.begin(); w.frames(0, "hello"); w.end(9) }},
		{"another request's answer", func(w *eventWriter, _ lynxapi.SendRequest) {
			w.key = "other"
			w.begin()
			w.end(0)
		}},
		{"malformed frame", func(w *eventWriter, _ lynxapi.SendRequest) { w.begin(); w.event(lynxapi.EventFrame, "x"); w.end(0) }},
		{"empty body", func(w *eventWriter, _ lynxapi.SendRequest) { w.w.WriteHeader(http.StatusOK) }},
		{"silent", func(w *eventWriter, _ lynxapi.SendRequest) {
			w.begin()
			w.frames(0, "hello")
			<-w.r.Context().Done()
		}},
		{"silent from the start", func(w *eventWriter, _ lynxapi.SendRequest) { <-w.r.Context().Done() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i := newInstance(t, c.run)
			caller := newTestCaller(i.addr())
			if strings.HasPrefix(c.name, "silent") {
				caller.opts.IdleTimeout = 50 * time.Millisecond
			}
			_, _, err := sendStream(t, caller, 1)
			if err == nil {
				t.Fatal("accepted as complete")
			}
			if silent := strings.HasPrefix(c.name, "silent"); silent != errors.Is(err, ErrIdleTimeout) {
				t.Fatalf("silent %t: %v", silent, err)
			}
			if state := RunStateOf(err); state != errkind.MayHaveRun {
				t.Fatalf("run state %s of %v", state, err)
			}
		})
	}
}

// TestSilenceWatch checks, in virtual time over a pipe, that heartbeats keep a
// slow stream open and that the stream is abandoned once they stop.
func TestSilenceWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCaller(CallerOptions{IdleTimeout: 5 * time.Second})
		body, out := io.Pipe()
		start := time.Now()
		go func() {
			for range 60 {
				time.Sleep(time.Second)
				fmt.Fprintf(out, "event: heartbeat\ndata: {}\n\n")
			}
			fmt.Fprintf(out, "event: frame\ndata: {\"offset\":0,\"text\":\"late\"}\n\n")
		}()
		s := &splice{}
		_, err := c.readStream("a", body, lynxapi.SendRequest{}, s)
		if err == nil || !strings.Contains(err.Error(), "silent") || s.delivered.String() != "late" {
			t.Fatalf("%q %v", s.delivered.String(), err)
		}
		if took := time.Since(start); took != 65*time.Second {
			t.Fatalf("abandoned after %v", took)
		}
	})
}

func TestBrokenStreamResumesWhereItStopped(t *testing.T) {
	broken := func(w *eventWriter, _ lynxapi.SendRequest) { w.begin(); w.frames(0, "hello "); w.cut() }
	i := newInstance(t, broken, whole)
	delivered, result, err := sendStream(t, newTestCaller(i.addr()), 3)
	if err != nil || delivered != "hello world" || result.Attempts != 2 || i.attempts() != 2 {
		t.Fatalf("%q %+v %v", delivered, result, err)
	}
}

// Guards against an answer whose two halves come from different runs. The stream
// broke after some bytes, the text of the second run differed, and its remainder
// was appended to the text of the first run.
func TestBrokenStreamIsNotContinuedWithAnotherAnswer(t *testing.T) {
	broken := func(w *eventWriter, _ lynxapi.SendRequest) { w.begin(); w.frames(0, "hello "); w.cut() }
	other := func(w *eventWriter, _ lynxapi.SendRequest) { w.begin(); w.frames(0, "good ", "bye all"); w.end(12) }
	shorter := func(w *eventWriter, _ lynxapi.SendRequest) { w.begin(); w.frames(0, "hel"); w.end(3) }
	for name, second := range map[string]script{"other": other, "shorter": shorter} {
		t.Run(name, func(t *testing.T) {
			i := newInstance(t, broken, second)
			delivered, _, err := sendStream(t, newTestCaller(i.addr()), 2)
			if err == nil || delivered != "hello " {
				t.Fatalf("%q %v", delivered, err)
			}
		})
	}
}

func TestRecordedOutcomeCompletesABrokenStream(t *testing.T) {
	broken := func(w *eventWriter, _ lynxapi.SendRequest) { w.begin(); w.frames(0, "hello "); w.cut() }
	i := newInstance(t, broken)
	i.outcome = lynxapi.OutcomeReply{State: lynxapi.OutcomeDone, Output: json.RawMessage(`"hello world"`)}
	delivered, result, err := sendStream(t, newTestCaller(i.addr()), 5)
	if err != nil || delivered != "hello world" || !result.Reply.Repeated || i.attempts() != 1 {
		t.Fatalf("%q %+v %v", delivered, result, err)
	}
}

func TestResendFollowsTheAdvice(t *testing.T) {
	cases := []struct {
		name     string
		first    errkind.Kind
		outcome  lynxapi.OutcomeReply
		attempts int
		failed   bool
	}{
		{"never", errkind.KeyReused, lynxapi.OutcomeReply{State: lynxapi.OutcomeNoRecord}, 1, true},
		{"later", errkind.Overloaded, lynxapi.OutcomeReply{State: lynxapi.OutcomeNoRecord}, 2, false},
		{"elsewhere", errkind.Stopping, lynxapi.OutcomeReply{State: lynxapi.OutcomeNoRecord}, 2, false},
		{"ask, no record", errkind.TargetFailed, lynxapi.OutcomeReply{State: lynxapi.OutcomeNoRecord}, 2, false},
		{"ask, done", errkind.TargetFailed, lynxapi.OutcomeReply{State: lynxapi.OutcomeDone, Output: json.RawMessage(`"hello world"`)}, 1, false},
		{"ask, failed permanently", errkind.DeadlineAfterRun, lynxapi.OutcomeReply{State: lynxapi.OutcomeFailed, ErrorKind: "outcome_unknown"}, 1, true},
		{"ask, failed and may be retried", errkind.DeadlineAfterRun, lynxapi.OutcomeReply{State: lynxapi.OutcomeFailed, ErrorKind: "no_target"}, 2, false},
		{"ask, answer no longer stored", errkind.TargetFailed, lynxapi.OutcomeReply{State: lynxapi.OutcomeDone}, 1, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i := newInstance(t, refuse(c.first), whole)
			i.outcome = c.outcome
			delivered, _, err := sendStream(t, newTestCaller(i.addr()), 5)
			if i.attempts() != c.attempts || (err != nil) != c.failed {
				t.Fatalf("%d attempts, %v", i.attempts(), err)
			}
			if err == nil && delivered != "hello world" {
				t.Fatalf("delivered %q", delivered)
			}
		})
	}
}

// Guards against reporting a booking as not run, so that the application sends it
// under a new key and it is booked twice. The first attempt broke off after it
// was sent, the second was refused before anything ran, and the last error
// determined the run state of the whole request.
func TestNotRunIsNotSaidAfterAnAttemptThatMayHaveRun(t *testing.T) {
	cut := func(w *eventWriter, _ lynxapi.SendRequest) { w.cut() }
	i := newInstance(t, cut, refuse(errkind.Overloaded))
	_, _, err := sendStream(t, newTestCaller(i.addr()), 2)
	if state := RunStateOf(err); state != errkind.MayHaveRun {
		t.Fatalf("run state %s of %v", state, err)
	}
}

// Guards against a booking that is sent under a new key and booked twice. The
// first attempt may have run and the last one reached no instance; the refused
// connection inside the error was examined before the kind that wraps it.
func TestTheOutermostErrorTellsWhetherTheRequestMayHaveRun(t *testing.T) {
	var one *sending
	unsent := &TransportError{Err: context.DeadlineExceeded}
	for _, c := range []struct {
		err   error
		state errkind.RunState
	}{
		{one.finalError(unsent, errkind.MayHaveRun), errkind.MayHaveRun},
		{one.finalError(ErrNoServers, errkind.MayHaveRun), errkind.MayHaveRun},
		{one.finalError(unsent, errkind.NotRun), errkind.NotRun},
		{fmt.Errorf("send: %w", unsent), errkind.NotRun},
		{ErrNoServers, errkind.NotRun},
	} {
		if state := RunStateOf(c.err); state != c.state || IsUnreachable(c.err) != (state == errkind.NotRun) {
			t.Errorf("%v: run state %s, unreachable %t", c.err, state, IsUnreachable(c.err))
		}
	}
}

// Guards against reporting a request whose deadline passed while it ran as one
// that could not be started. The first attempt ran into its deadline, the request
// was sent again with no time left and refused, and the last error was reported.
func TestNothingIsSentAfterTheDeadline(t *testing.T) {
	i := newInstance(t, func(w *eventWriter, _ lynxapi.SendRequest) {
		time.Sleep(20 * time.Millisecond)
		writeError(w.w, errkind.DeadlineAfterRun)
	}, refuse(errkind.DeadlineUnreachable))
	c := newTestCaller(i.addr())
	req := lynxapi.SendRequest{Organisation: "agency", Input: json.RawMessage(`{}`), DeadlineMS: 10}
	_, err := c.Send(t.Context(), "check", req, nil)
	if errkind.Of(err) != errkind.DeadlineAfterRun || i.attempts() != 1 {
		t.Fatalf("%v after %d attempts", err, i.attempts())
	}
}

func TestUnreachableInstanceIsSkipped(t *testing.T) {
	dead := closedAddress(t)
	i := newInstance(t, whole, whole)
	i.others, i.weight = []string{dead}, 1e12 // by weight, every request would go to the unreachable one
	c := newTestCaller(dead, i.addr())
	if _, _, err := sendStream(t, c, 3); err != nil {
		t.Fatal(err)
	}
	if _, _, err := sendStream(t, c, 1); err != nil { // goes to the reachable instance at once
		t.Fatal(err)
	}
	if asked, sent := i.counts(); asked == 0 || sent != 2 {
		t.Fatalf("asked %d times, %d attempts", asked, sent)
	}
}

// Guards against a request that fails although another instance would accept it.
// The instance with the greater weight was stopping and refused all eight
// attempts, because each attempt was again selected by weight alone.
func TestNextAttemptGoesToAnotherInstance(t *testing.T) {
	other := newInstance(t, whole)
	stopping := refuse(errkind.Stopping)
	heavy := newInstance(t, stopping, stopping, stopping)
	c := newTestCaller(heavy.addr())
	c.addresses.store(lynxapi.AddressAnswer{KeepMS: 60000, Addresses: []lynxapi.Address{
		{Address: heavy.addr(), Zone: "near", Weight: 1e9}, {Address: other.addr(), Zone: "near", Weight: 1e-9},
	}}, time.Now())
	heavy.others = []string{other.addr()}
	if _, result, err := sendStream(t, c, 2); err != nil || result.Server != other.addr() {
		t.Fatalf("%+v %v", result, err)
	}
}

func TestNothingReachableIsNotRun(t *testing.T) {
	req := lynxapi.SendRequest{Organisation: "agency", Input: json.RawMessage(`{}`), Stream: true, DeadlineMS: 100}
	_, err := newTestCaller(closedAddress(t)).Send(t.Context(), "check", req, nil)
	if err == nil || !IsUnreachable(err) || RunStateOf(err) != errkind.NotRun {
		t.Fatalf("%v", err)
	}
}

func TestKeysAreMintedUnderTheTicketAndKeptForAllAttempts(t *testing.T) {
	i := newInstance(t, refuse(errkind.Overloaded), whole)
	c := newTestCaller(i.addr())
	c.opts.Tickets = TicketsAlways
	address := lynxapi.Address{Address: i.addr(), Weight: 1}
	c.addresses.store(lynxapi.AddressAnswer{KeepMS: 60000, Addresses: []lynxapi.Address{address}, Ticket: "lxt1.a.b"}, time.Now())
	_, result, err := sendStream(t, c, 3)
	if err != nil || i.attempts() != 2 {
		t.Fatalf("%v after %d attempts", err, i.attempts())
	}
	if ticket, ok := claim.TicketOf(result.Reply.Key); !ok || ticket != "lxt1.a.b" {
		t.Fatalf("key %q", result.Reply.Key)
	}
}

// Guards against a booking that runs twice during a store outage. The first
// attempt broke off after it was sent, the second was refused because the store
// was unavailable, and the third was sent under a new key with a ticket although
// the first might have run.
func TestKeyIsReplacedOnlyWhileNothingCanHaveRun(t *testing.T) {
	cut := func(w *eventWriter, _ lynxapi.SendRequest) { w.cut() }
	refused := refuse(errkind.StoreUnavailable)
	cases := []struct {
		name    string
		scripts []script
		given   string
		keys    int
	}{
		{"refused at once", []script{refused, whole}, "", 2},
		{"after an attempt that may have run", []script{cut, refused, whole}, "", 1},
		{"the application's own key", []script{refused, whole}, "line-4711", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i := newInstance(t, c.scripts...)
			caller := newTestCaller(i.addr())
			_, _ = caller.Address(t.Context()) // cached from before the outage: no ticket advised
			i.advise("lxt1.a.b")
			req := lynxapi.SendRequest{Key: c.given, Input: json.RawMessage(`{}`), Stream: true, DeadlineMS: 10_000}
			result, err := caller.Send(t.Context(), "booking", req, nil)
			if err != nil || len(result.Keys) != c.keys {
				t.Fatalf("keys %q, %v", result.Keys, err)
			}
			if _, ticket := claim.TicketOf(result.Reply.Key); ticket != (c.keys == 2) {
				t.Fatalf("answered under %q", result.Reply.Key)
			}
		})
	}
}

func TestAddressAnswerIsKept(t *testing.T) {
	i := newInstance(t, whole, whole, whole)
	c := newTestCaller(i.addr())
	for range 3 {
		if _, _, err := sendStream(t, c, 1); err != nil {
			t.Fatal(err)
		}
	}
	if asked, _ := i.counts(); asked != 1 {
		t.Fatalf("asked %d times", asked)
	}
}

// Guards against sending all requests of a zone's callers to that zone although it
// is full. The address answer gave a quarter of the weight to a distant zone
// because the near one had little capacity, but the client selected the near zone
// regardless of the weights.
func TestPickFollowsTheWeights(t *testing.T) {
	c := NewCaller(CallerOptions{Zone: "near", Region: "r"})
	answer := lynxapi.AddressAnswer{Addresses: []lynxapi.Address{
		{Address: "near-1", Zone: "near", Weight: 0.5}, {Address: "near-2", Zone: "near", Weight: 0.25},
		{Address: "far", Zone: "far", Weight: 0.25},
		{Address: "spare-far", Zone: "x"}, {Address: "spare-region", Zone: "y", Region: "r"}, {Address: "spare-near", Zone: "near"},
	}}
	counts := make(map[string]int)
	for range 4000 {
		a, _ := c.pick(answer, nil)
		counts[a.Address]++
	}
	const slack = 300 // more than ten standard deviations
	for address, want := range map[string]int{"near-1": 2000, "near-2": 1000, "far": 1000} {
		if got := counts[address]; got < want-slack || got > want+slack {
			t.Errorf("%s: %d of 4000, want about %d", address, got, want)
		}
	}
	if len(counts) != 3 {
		t.Errorf("spares were selected: %v", counts)
	}
}

func TestSparesAreTakenNearestFirst(t *testing.T) {
	c := NewCaller(CallerOptions{Zone: "near", Region: "r"})
	answer := lynxapi.AddressAnswer{Addresses: []lynxapi.Address{
		{Address: "main", Zone: "near", Weight: 1},
		{Address: "spare-far", Zone: "x"}, {Address: "spare-region", Zone: "y", Region: "r"}, {Address: "spare-near", Zone: "near"},
	}}
	var tried []string
	for _, want := range []string{"main", "spare-near", "spare-region", "spare-far"} {
		a, _ := c.pick(answer, tried)
		if a.Address != want {
			t.Fatalf("after %v: %s, want %s", tried, a.Address, want)
		}
		tried = append(tried, a.Address)
	}
}

func TestReceiverThatStopsEndsTheRequest(t *testing.T) {
	i := newInstance(t, whole, whole)
	c := newTestCaller(i.addr())
	stop := errors.New("enough")
	req := lynxapi.SendRequest{Organisation: "agency", Input: json.RawMessage(`{}`), Stream: true}
	_, err := c.Send(t.Context(), "check", req, func(lynxapi.Frame) error { return stop })
	if !errors.Is(err, stop) || i.attempts() != 1 {
		t.Fatalf("%v after %d attempts", err, i.attempts())
	}
}

func TestWholeAnswerOfAnotherRequestIsRefused(t *testing.T) {
	i := newInstance(t, func(w *eventWriter, _ lynxapi.SendRequest) {
		writeJSON(w.w, http.StatusOK, lynxapi.SendReply{Key: "other", Output: json.RawMessage(`"x"`)})
	})
	c := newTestCaller(i.addr())
	c.opts.MaxAttempts = 1
	_, err := c.Send(t.Context(), "check", lynxapi.SendRequest{Input: json.RawMessage(`{}`)}, nil)
	if errkind.Of(err) != errkind.StreamBroken {
		t.Fatalf("%v", err)
	}
}

func TestAdminTriesTheNextServerOnlyIfNothingWasReceived(t *testing.T) {
	var received atomic.Int32
	broken := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		received.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer broken.Close()
	good := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		writeJSON(w, http.StatusOK, lynxapi.ChangeReply{ChangeID: "c", State: lynxapi.ChangeAccepted})
	}))
	defer good.Close()
	a := NewAdmin(AdminOptions{Servers: []string{closedAddress(t), good.URL}})
	if reply, err := a.Change(context.Background(), "c"); err != nil || reply.State != lynxapi.ChangeAccepted {
		t.Fatalf("%+v %v", reply, err)
	}
	b := NewAdmin(AdminOptions{Servers: []string{broken.URL, good.URL}})
	_, err := b.SetProfile(context.Background(), lynxapi.ChangeRequest{ChangeID: "c"})
	if err == nil || RunStateOf(err) != errkind.MayHaveRun || received.Load() != 1 {
		t.Fatalf("received %d times: %v", received.Load(), err)
	}
}
