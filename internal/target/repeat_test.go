package target

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest/httpc"
	"golang.org/x/net/http2"

	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// rawServer implements just enough HTTP/2 to count complete requests and to call
// answer for each of them.
func rawServer(t *testing.T, answer func(conn net.Conn, framer *http2.Framer, stream uint32)) (stagecall.Target, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	runs := new(atomic.Int64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRaw(conn, runs, answer)
		}
	}()
	return stagecall.Target{ID: "raw", Address: listener.Addr().String()}, runs
}

func serveRaw(conn net.Conn, runs *atomic.Int64, answer func(net.Conn, *http2.Framer, uint32)) {
	defer conn.Close()
	if _, err := io.ReadFull(conn, make([]byte, len(http2.ClientPreface))); err != nil {
		return
	}
	framer := http2.NewFramer(conn, conn)
	_ = framer.WriteSettings()
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return
		}
		if data, ok := frame.(*http2.DataFrame); ok && data.StreamEnded() {
			runs.Add(1)
			answer(conn, framer, data.StreamID)
		}
	}
}

// Guards against two runs of one attempt: the target runs the call, and then the
// target or an intermediary resets the stream with REFUSED_STREAM, sends a GOAWAY
// with a lower stream ID, or drops the connection. net/http would treat the call
// as not processed and send its body again.
func TestTransportNeverRepeatsACall(t *testing.T) {
	answers := map[string]func(net.Conn, *http2.Framer, uint32){
		"refused stream": func(_ net.Conn, f *http2.Framer, id uint32) { _ = f.WriteRSTStream(id, http2.ErrCodeRefusedStream) },
		"goodbye": func(conn net.Conn, f *http2.Framer, _ uint32) {
			_ = f.WriteGoAway(0, http2.ErrCodeNo, nil)
			_ = conn.Close()
		},
		"dropped": func(conn net.Conn, _ *http2.Framer, _ uint32) { _ = conn.Close() },
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			target, runs := rawServer(t, answer)
			c := newClient(t, Options{})
			_, err := c.Run(testContext(t), target, wholeRequest(), stagecall.Options{}, nil)
			f := stagecall.FailureOf(err)
			if err == nil || f.NotRun || f.Class != stagecall.ClassBroken || runs.Load() != 1 {
				t.Errorf("%d runs, %v, not run %v", runs.Load(), err, f.NotRun)
			}
		})
	}
}

func TestNotRunOnlyIfNoByteWasSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone := stagecall.Target{ID: "gone", Address: listener.Addr().String()}
	_ = listener.Close()
	c := newClient(t, Options{})
	_, err = c.Run(testContext(t), gone, wholeRequest(), stagecall.Options{}, nil)
	if f := stagecall.FailureOf(err); f.Class != stagecall.ClassConnect || !f.NotRun {
		t.Errorf("refused connection: %v, not run %v", err, f.NotRun)
	}
	if c.Alive(testContext(t), gone) {
		t.Error("a target that refuses connections counts as alive")
	}
	rows := []struct {
		body   string
		class  stagecall.FailureClass
		notRun bool
	}{
		{`{"code":"busy","ran":false}`, stagecall.ClassRefused, true},
		{`{"code":"leaving","ran":false}`, stagecall.ClassRefused, true},
		{`{"code":"busy"}`, stagecall.ClassFailed, false}, // does not report whether it ran
		{`{"code":"busy","ran":true}`, stagecall.ClassFailed, false},
		{`{"code":"bad_input","ran":false}`, stagecall.ClassBadInput, true},
		{`{"error":"bad gateway"}`, stagecall.ClassFailed, false}, // not the format of a target
		{`{"code":"busy","ran":false,"attempt_id":"other"}`, stagecall.ClassProtocol, false},
	}
	for _, row := range rows {
		s := newServer(t, func(w http.ResponseWriter, _ targetapi.RunRequest) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, row.body)
		})
		_, err := c.Run(testContext(t), s.target, wholeRequest(), stagecall.Options{}, nil)
		if f := stagecall.FailureOf(err); f.Class != row.class || f.NotRun != row.notRun {
			t.Errorf("%s: %v, not run %v", row.body, err, f.NotRun)
		}
	}
}

// Guards against a caller getting the text of another request when frames are mixed
// up on a connection: the IDs must be compared and the connection must not be used
// again.
func TestForeignFramesEndTheConnection(t *testing.T) {
	s := newServer(t, func(w http.ResponseWriter, req targetapi.RunRequest) {
		if req.RequestID == "good" {
			writeReply(w, req)
			return
		}
		stray := frameOf(req, 0, "stray")
		stray.AttemptID = "other"
		writeEvent(w, targetapi.EventFrame, stray)
	})
	c := newClient(t, Options{})
	var text string
	_, err := c.Run(testContext(t), s.target, streamRequest(), stagecall.Options{}, collect(&text))
	if stagecall.FailureOf(err).Class != stagecall.ClassProtocol || text != "" {
		t.Errorf("got %q, %v", text, err)
	}
	good := wholeRequest()
	good.RequestID = "good"
	if _, err := c.Run(testContext(t), s.target, good, stagecall.Options{}, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Run(testContext(t), s.target, good, stagecall.Options{NewConnection: true}, nil); err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.from[1] == s.from[0] || s.from[2] == s.from[1] {
		t.Errorf("connections %v: the second must differ after stray ids, the third as asked for", s.from)
	}
}

func TestStreamThatIsNotWholeFails(t *testing.T) {
	rows := map[string]func(w http.ResponseWriter, req targetapi.RunRequest){
		"no end mark": func(w http.ResponseWriter, req targetapi.RunRequest) {
			writeEvent(w, targetapi.EventFrame, frameOf(req, 0, "ab"))
		},
		"wrong length": func(w http.ResponseWriter, req targetapi.RunRequest) {
			writeEvent(w, targetapi.EventEnd, endOf(req, 9))
		},
		"gap": func(w http.ResponseWriter, req targetapi.RunRequest) {
			writeEvent(w, targetapi.EventFrame, frameOf(req, 1, "ab"))
		},
		"foreign end": func(w http.ResponseWriter, _ targetapi.RunRequest) {
			writeEvent(w, targetapi.EventEnd, targetapi.End{})
		},
		"not a stream": writeReply,
		"endless event": func(w http.ResponseWriter, req targetapi.RunRequest) {
			writeEvent(w, targetapi.EventFrame, frameOf(req, 0, strings.Repeat("x", 4000)))
		},
	}
	for name, handle := range rows {
		s := newServer(t, handle)
		c := newClient(t, Options{MaxReplyBytes: 1000})
		var text string
		_, err := c.Run(testContext(t), s.target, streamRequest(), stagecall.Options{}, collect(&text))
		if f := stagecall.FailureOf(err); err == nil || f.NotRun {
			t.Errorf("%s: %v, not run %v", name, err, f.NotRun)
		}
	}
}

// Guards against requests that hang until their deadline when the target or an
// intermediary goes silent before the first byte or between frames. The attempt
// must end as silent, and the target must be asked to stop.
func TestSilenceEndsTheAttempt(t *testing.T) {
	release, reached := make(chan struct{}), make(chan struct{}, 3)
	s := newServer(t, func(w http.ResponseWriter, req targetapi.RunRequest) {
		if req.Stage == "progress" {
			writeEvent(w, targetapi.EventFrame, frameOf(req, 0, "ab"))
		}
		reached <- struct{}{}
		<-release
	})
	t.Cleanup(func() { close(release) })
	clk := quartz.NewMock(t)
	// The mock clock does not advance past a timer; the silence of a connection
	// has its own test.
	c := newClient(t, Options{Clock: clk, SilenceWait: time.Hour})
	for stage, opts := range map[string]stagecall.Options{"first": {FirstByte: time.Second}, "progress": {Progress: time.Second}} {
		req := streamRequest()
		req.Stage, req.AttemptID = stage, stage
		ended := make(chan error, 1)
		go func() {
			_, err := c.Run(testContext(t), s.target, req, opts, collect(new(string)))
			ended <- err
		}()
		<-reached
		err := advanceUntil(t, clk, ended)
		if f := stagecall.FailureOf(err); f.Class != stagecall.ClassSilent || f.NotRun {
			t.Errorf("%s: %v", stage, err)
		}
	}
	ctx, cancel := context.WithCancel(testContext(t))
	_, err := c.Run(ctx, s.target, func() targetapi.RunRequest { r := streamRequest(); r.Stage = "progress"; return r }(), stagecall.Options{},
		func(targetapi.Frame) error { cancel(); return nil })
	if f := stagecall.FailureOf(err); f.Class != stagecall.ClassCancelled {
		t.Errorf("cancelled: %v", err)
	}
	for ctx := testContext(t); ; time.Sleep(time.Millisecond) {
		if s.cancelled() == 3 {
			return
		}
		if ctx.Err() != nil {
			t.Fatal("the target did not get all three cancel calls")
		}
	}
}

// advanceUntil advances the clock until the call has ended. The call arms its
// timeout after a frame, at a moment that the test cannot observe.
func advanceUntil(t *testing.T, clk *quartz.Mock, ended <-chan error) error {
	t.Helper()
	for ctx := testContext(t); ctx.Err() == nil; time.Sleep(time.Millisecond) {
		select {
		case err := <-ended:
			return err
		default:
			clk.Advance(time.Second).MustWait(ctx)
		}
	}
	t.Fatal("the call did not end")
	return nil
}

// Shows why this package uses net/http directly: httpc has a circuit breaker per
// service name. When one target fails some calls, it refuses calls to the other
// targets of the service, with errors outside of the error table. If this test
// fails after an update of httpc, reconsider using it.
func TestHttpcBreakerRefusesByItself(t *testing.T) {
	logx.Disable()
	service := httpc.NewServiceWithClient("service", &http.Client{Transport: busy{}})
	refused := 0
	for range 500 {
		req, _ := http.NewRequest(http.MethodPost, "http://127.0.0.1:1/", nil)
		if _, err := service.DoRequest(req); errors.Is(err, breaker.ErrServiceUnavailable) {
			refused++
		}
	}
	if refused == 0 {
		t.Error("httpc's breaker let all calls through")
	}
}

// busy is a transport that responds like a target without capacity.
type busy struct{}

func (busy) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}, nil
}

func FuzzEventReader(f *testing.F) {
	f.Add([]byte("event: frame\ndata: {}\n\n"))
	f.Add([]byte("data: a\ndata: b\r\n\r\n:comment\n\n"))
	f.Add([]byte("event\ndata\n\nevent: end"))
	f.Fuzz(func(t *testing.T, data []byte) {
		const limit = 64
		events := newEventReader(strings.NewReader(string(data)), limit)
		for n := 0; ; n++ {
			ev, err := events.next()
			if err != nil {
				return
			}
			if len(ev.data) > limit || n > len(data) {
				t.Fatalf("event %d of %d bytes", n, len(ev.data))
			}
		}
	})
}

// FuzzRefusal checks that "not run" is reported only if the body of the response
// says so, whatever a target or an intermediary sends.
func FuzzRefusal(f *testing.F) {
	f.Add([]byte(`{"code":"busy","ran":false}`), false)
	f.Add([]byte(`{"code":"busy"}`), false)
	f.Add([]byte(`{"code":"failed","ran":false,"request_id":"r"}`), true)
	f.Add([]byte(`{"code":"busy","Ran":null}`), false)
	c := New(Options{})
	f.Fuzz(func(t *testing.T, data []byte, begun bool) {
		x := c.begin(context.Background(), stagecall.Target{ID: "t", Address: "127.0.0.1:1"}, stagecall.Options{})
		defer x.end()
		failure := stagecall.FailureOf(x.refusalOf(data, wholeRequest(), "fuzz", begun))
		said := strings.Contains(strings.ToLower(string(data)), "false") && !begun
		if failure.NotRun && !said {
			t.Fatalf("%q read as not run", data)
		}
		if failure.Class == stagecall.ClassRefused && !failure.NotRun {
			t.Fatalf("%q is a refusal that may have run", data)
		}
	})
}
