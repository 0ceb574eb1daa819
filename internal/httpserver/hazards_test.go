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

// The tests of this file show what go-zero's own middlewares and its package
// proc do, and that our router and server do not. Should a new version of
// go-zero change its ways, the first half of a test says so.

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

func ours(t *testing.T, h http.HandlerFunc) http.Handler {
	t.Helper()
	router, err := NewRouter(route(h))
	if err != nil {
		t.Fatal(err)
	}
	return router
}

// Symptom: a caller is told 503 and sends a booking again; two are made.
// Events: go-zero's timeout passes while the handler is running. Cause: its
// middleware answers 503 without a body and leaves the handler running.
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
	<-ran // the handler went on after the answer

	ended := false
	answer = call(ours(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(10 * time.Millisecond)
		ended = true
		_, _ = io.WriteString(w, "whole")
	}), newRequest())
	if !ended || answer.Code != http.StatusOK || answer.Body.String() != "whole" {
		t.Fatalf("ours answered %d %q, handler ended %t", answer.Code, answer.Body, ended)
	}
}

// Symptom: requests are refused outside the table of error kinds although
// targets have room. Events: some targets fail, so that answers are 502 for a
// while. Cause: go-zero's breaker takes our honest answers for a broken
// service and refuses most requests itself, with an empty 503.
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
	if refused := count(ours(t, failing)); refused != 0 {
		t.Fatalf("ours refused %d of %d", refused, requests)
	}
}

// refuser stands for go-zero's shedder at a moment of high load of the CPU.
type refuser struct{}

func (refuser) Allow() (load.Promise, error) { return nil, load.ErrServiceOverloaded }

// Symptom: requests are refused without run state, resend advice and
// Retry-After while the machine is busy. Cause: go-zero's shedding middleware
// answers an empty 503 by itself; nothing of ours decides or counts it.
func TestSheddingOfGoZeroAnswersOutsideTheTable(t *testing.T) {
	served := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }
	shedding := handler.SheddingHandler(refuser{}, stat.NewMetrics("test"))
	answer := call(shedding(http.HandlerFunc(served)), newRequest())
	if answer.Code != http.StatusServiceUnavailable || answer.Body.Len() != 0 {
		t.Fatalf("go-zero's shedding answered %d %s", answer.Code, answer.Body)
	}
	if answer := call(ours(t, served), newRequest()); answer.Body.String() != "whole" {
		t.Fatalf("ours answered %d %s", answer.Code, answer.Body)
	}
}

// Symptom: large inputs are refused without a reason, or, sent in chunks, fill
// the memory. Cause: go-zero's body limit answers an empty 413 from the
// announced length and does not count what arrives in chunks.
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
		answer := call(ours(t, read), request(announced))
		if answer.Code != http.StatusRequestEntityTooLarge || !strings.Contains(answer.Body.String(), `"kind":"too_large"`) {
			t.Fatalf("ours answered %d %s (length announced: %t)", answer.Code, answer.Body, announced)
		}
	}
}

// Symptom: a planned stop cuts requests in flight after 5.5 s. Events: the
// supervisor sends SIGTERM; requests take longer. Cause: go-zero's package
// proc, from its init on, sends the process the signal again after a while.
//
// The library does this once in a process, so this test can't show both
// halves; to see the first, leave out DisarmGoZero: the second SIGTERM comes
// after the two milliseconds set here.
func TestGoZeroDoesNotRepeatSIGTERM(t *testing.T) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM)
	defer signal.Stop(signals)
	proc.Setup(proc.ShutdownConf{WrapUpTime: time.Millisecond, WaitTime: 2 * time.Millisecond})
	DisarmGoZero()
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	<-signals
	select {
	case <-signals:
		t.Fatal("a second SIGTERM came without anybody sending it")
	case <-time.After(200 * time.Millisecond):
	}
}
