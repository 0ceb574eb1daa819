package httpserver

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/zeromicro/go-zero/core/load"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/stat"
	"github.com/zeromicro/go-zero/rest/handler"
)

// The tests of this file show faults of go-zero's own middlewares and of its
// package proc, and that this package's router and server do not have them. If a
// new version of go-zero behaves differently, the first half of a test fails.

func TestMain(m *testing.M) {
	logx.Disable()
	os.Exit(m.Run())
}

func call(h http.Handler, req *http.Request) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, req)
	return recorder
}

func newRequest() *http.Request { return httptest.NewRequest(http.MethodPost, "/x", nil) }

func newTestRouter(t *testing.T, h http.HandlerFunc) http.Handler {
	t.Helper()
	router, err := NewRouter(route(h))
	if err != nil {
		t.Fatal(err)
	}
	return router
}

// Guards against a request that runs twice, such as a booking, because the
// caller gets a 503 and retries: when go-zero's timeout passes, its middleware
// answers 503 without a body and leaves the handler running.
func TestTimeoutOfGoZeroAnswersWhileTheHandlerGoesOn(t *testing.T) {
	release, ran := make(chan struct{}), make(chan struct{})
	slow := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		<-release
		close(ran)
	})
	answer := call(handler.TimeoutHandler(time.Millisecond)(slow), newRequest())
	if answer.Code != http.StatusServiceUnavailable || strings.Contains(answer.Body.String(), "run_state") {
		t.Fatalf("go-zero's timeout answered %d %s", answer.Code, answer.Body)
	}
	close(release)
	<-ran // the handler continued after the response

	ended := false
	answer = call(newTestRouter(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(10 * time.Millisecond)
		ended = true
		_, _ = io.WriteString(w, "whole")
	}), newRequest())
	if !ended || answer.Code != http.StatusOK || answer.Body.String() != "whole" {
		t.Fatalf("ours answered %d %q, handler ended %t", answer.Code, answer.Body, ended)
	}
}

// Guards against requests that are refused without an error kind although
// targets have capacity: while some targets fail and responses are 502, go-zero's
// circuit breaker treats these responses as a failure of the service and refuses
// most requests itself, with an empty 503.
func TestBreakerOfGoZeroRefusesOnItsOwn(t *testing.T) {
	const requests = 500
	failing := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }
	count := func(h http.Handler) (refused int) {
		for range requests {
			if call(h, newRequest()).Code != http.StatusBadGateway {
				refused++
			}
		}
		return refused
	}
	breaker := handler.BreakerHandler(http.MethodPost, "/x", stat.NewMetrics("test"))
	if refused := count(breaker(http.HandlerFunc(failing))); refused == 0 {
		t.Fatal("go-zero's breaker refused nothing")
	}
	if refused := count(newTestRouter(t, failing)); refused != 0 {
		t.Fatalf("ours refused %d of %d", refused, requests)
	}
}

// refuser is go-zero's load shedder in the state of high CPU load.
type refuser struct{}

func (refuser) Allow() (load.Promise, error) { return nil, load.ErrServiceOverloaded }

// Guards against requests that are refused without run state, resend advice and
// Retry-After while the CPU is busy: go-zero's shedding middleware answers an
// empty 503 by itself, which lynxhill neither decides nor counts.
func TestSheddingOfGoZeroAnswersOutsideTheTable(t *testing.T) {
	served := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }
	shedding := handler.SheddingHandler(refuser{}, stat.NewMetrics("test"))
	answer := call(shedding(http.HandlerFunc(served)), newRequest())
	if answer.Code != http.StatusServiceUnavailable || answer.Body.Len() != 0 {
		t.Fatalf("go-zero's shedding answered %d %s", answer.Code, answer.Body)
	}
	if answer := call(newTestRouter(t, served), newRequest()); answer.Body.String() != "whole" {
		t.Fatalf("ours answered %d %s", answer.Code, answer.Body)
	}
}

// Guards against large inputs that are refused without a reason or, if chunked,
// fill the memory: go-zero's body limit answers an empty 413 based on the
// announced length and does not count the bytes of a chunked body.
func TestBodyLimitOfGoZeroMissesChunks(t *testing.T) {
	const limit = 10
	read := func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(w, r, limit)
		if err != nil {
			WriteError(w, err, "")
			return
		}
		_, _ = w.Write(body)
	}
	readAll := func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }
	long := strings.Repeat("x", 5*limit)
	request := func(announced bool) *http.Request {
		r := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader(long))
		if !announced {
			r.ContentLength = -1
		}
		return r
	}
	theirs := handler.MaxBytesHandler(limit)(http.HandlerFunc(readAll))
	if answer := call(theirs, request(true)); answer.Code != http.StatusRequestEntityTooLarge || answer.Body.Len() != 0 {
		t.Fatalf("go-zero's limit answered %d %s", answer.Code, answer.Body)
	}
	if answer := call(theirs, request(false)); answer.Body.Len() != len(long) {
		t.Fatalf("go-zero's limit let %d bytes through in chunks", answer.Body.Len())
	}
	for _, announced := range []bool{true, false} {
		answer := call(newTestRouter(t, read), request(announced))
		if answer.Code != http.StatusRequestEntityTooLarge || !strings.Contains(answer.Body.String(), `"kind":"too_large"`) {
			t.Fatalf("ours answered %d %s (length announced: %t)", answer.Code, answer.Body, announced)
		}
	}
}

// Guards against a planned stop that aborts requests in flight after 5.5 s: the
// supervisor sends SIGTERM, and if requests take longer, go-zero's package proc,
// active from its init on, sends the signal to the process again.
//
// The library does this once per process, so this test cannot show the fault as
// well. Without the call of DisableGoZeroSignals, the second SIGTERM arrives after
// the two milliseconds set here.
func TestGoZeroDoesNotRepeatSIGTERM(t *testing.T) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM)
	defer signal.Stop(signals)
	proc.Setup(proc.ShutdownConf{WrapUpTime: time.Millisecond, WaitTime: 2 * time.Millisecond})
	DisableGoZeroSignals()
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	<-signals
	select {
	case <-signals:
		t.Fatal("the process got a second SIGTERM that the test did not send")
	case <-time.After(200 * time.Millisecond):
	}
}
