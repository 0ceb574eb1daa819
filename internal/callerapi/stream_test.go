package callerapi

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/auth"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/httpserver"
	"lynxhill.example/lynxhill/internal/memnet"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/pipeline"
)

// virtual is an instance in virtual time, reached over connections without
// any buffer.
type virtual struct {
	t        *testing.T
	listener *memnet.Listener
	server   *httpserver.Server
	client   *http.Client
	token    string
	registry *metrics.Registry
}

type serveFunc func(context.Context, pipeline.Request, pipeline.Sink) (pipeline.Outcome, error)

func newVirtual(t *testing.T, serve serveFunc, limits Limits, http2 bool) *virtual {
	t.Helper()
	token, hash := auth.NewToken()
	verifier, err := auth.New(auth.Options{Tokens: auth.Tokens{Caller: []auth.CallerToken{{Hash: hash, Organisation: "acme"}}}})
	if err != nil {
		t.Fatal(err)
	}
	v := &virtual{t: t, listener: memnet.Listen(), token: token, registry: metrics.NewRegistry()}
	handler, err := New(Options{Handler: fakeHandler{serve: serve}, Auth: verifier, Limits: limits, Self: "i1", Metrics: v.registry})
	if err != nil {
		t.Fatal(err)
	}
	v.server = httpserver.New(httpserver.Options{Name: "caller", Listener: v.listener, Handler: handler})
	protocols := new(http.Protocols)
	protocols.SetHTTP1(!http2)
	protocols.SetUnencryptedHTTP2(http2)
	v.client = &http.Client{Transport: &http.Transport{DialContext: v.listener.Dial, Protocols: protocols}}
	go func() { _ = v.server.Serve() }()
	return v
}

func (v *virtual) close() {
	v.server.Kill()
	v.client.CloseIdleConnections()
}

// send sends a request and returns the status and the whole body.
func (v *virtual) send(body string) (status int, answer string) {
	v.t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://i1/v1/profiles/check/requests", strings.NewReader(body))
	if err != nil {
		v.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+v.token)
	resp, err := v.client.Do(req)
	if err != nil {
		v.t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		v.t.Fatal(err)
	}
	return resp.StatusCode, string(raw)
}

// dial sends a request over a connection of its own and reads nothing.
func (v *virtual) dial(body string) net.Conn {
	v.t.Helper()
	conn, err := v.listener.Dial(v.t.Context(), "", "")
	if err != nil {
		v.t.Fatal(err)
	}
	_, err = fmt.Fprintf(conn, "POST /v1/profiles/check/requests HTTP/1.1\r\nHost: i1\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		v.token, len(body), body)
	if err != nil {
		v.t.Fatal(err)
	}
	return conn
}

const streamed = `{"organisation":"acme","input":1,"stream":true}`

func inBothProtocols(t *testing.T, test func(t *testing.T, http2 bool)) {
	for _, http2 := range []bool{false, true} {
		t.Run(fmt.Sprintf("http2=%t", http2), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, http2) })
		})
	}
}

// Symptom: a caller can't tell a long wait from a connection that something
// between the two ends has lost. Cause: silence while the request waits.
func TestAWaitingCallerGetsHeartbeats(t *testing.T) {
	inBothProtocols(t, func(t *testing.T, http2 bool) {
		v := newVirtual(t, func(ctx context.Context, req pipeline.Request, s pipeline.Sink) (pipeline.Outcome, error) {
			time.Sleep(3500 * time.Millisecond)
			return streamTwo(nil)(ctx, req, s)
		}, Limits{}, http2)
		defer v.close()
		_, answer := v.send(streamed)
		if got := names(readEvents(t, strings.NewReader(answer))); got != "accepted heartbeat heartbeat heartbeat frame frame end" {
			t.Fatalf("events %s", got)
		}
	})
}

// Symptom: requests of callers that went silent hold memory and targets until
// their deadline. Events: the caller stops reading without closing. Cause:
// writes that wait for good.
func TestASilentCallerIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		ended := make(chan error, 1)
		v := newVirtual(t, func(_ context.Context, _ pipeline.Request, s pipeline.Sink) (pipeline.Outcome, error) {
			for i := 0; ; i++ {
				if err := s.Frame(i, "x"); err != nil {
					ended <- err
					return pipeline.Outcome{}, err
				}
			}
		}, Limits{WriteTimeout: 5 * time.Second}, false)
		defer v.close()
		defer v.dial(streamed).Close()
		err := <-ended
		if !errkind.Is(err, errkind.Cancelled) || time.Since(begin) != 5*time.Second {
			t.Fatalf("after %s: %v", time.Since(begin), err)
		}
		synctest.Wait()
		if got := v.registry.Value(metricGone); got != "1" {
			t.Fatalf("metric caller_gone_total is %s", got)
		}
	})
}

// Symptom: one caller that reads slowly delays the answers of all. Cause: a
// writer or lock that they share.
func TestASlowCallerDelaysNobodyElse(t *testing.T) {
	inBothProtocols(t, func(t *testing.T, http2 bool) {
		v := newVirtual(t, streamTwo(nil), Limits{WriteTimeout: time.Hour}, http2)
		defer v.close()
		for range 20 {
			defer v.dial(streamed).Close()
		}
		synctest.Wait()
		begin := time.Now()
		_, answer := v.send(streamed)
		if got := names(readEvents(t, strings.NewReader(answer))); got != "accepted frame frame end" || time.Since(begin) != 0 {
			t.Fatalf("events %s after %s", got, time.Since(begin))
		}
	})
}

// Symptom: targets work on for callers that hung up.
func TestACallerThatHangsUpEndsItsRequest(t *testing.T) {
	for _, body := range []string{streamed, `{"organisation":"acme","input":1}`} {
		synctest.Test(t, func(t *testing.T) {
			cancelled := make(chan struct{})
			v := newVirtual(t, func(ctx context.Context, _ pipeline.Request, _ pipeline.Sink) (pipeline.Outcome, error) {
				<-ctx.Done()
				close(cancelled)
				return pipeline.Outcome{}, errkind.Wrap(ctx.Err(), errkind.Cancelled, "request")
			}, Limits{}, false)
			defer v.close()
			conn := v.dial(body)
			synctest.Wait()
			_ = conn.Close()
			<-cancelled
			synctest.Wait()
			if got := v.registry.Value(metricInFlight); got != "0" {
				t.Fatalf("%s requests are still in flight", got)
			}
		})
	}
}

// Symptom: a defect shows a caller its stack, or leaves it without an answer.
// Cause: the handler of a stream runs in a goroutine of its own, whose panic
// would end the whole process.
func TestAPanicIsAnInternalError(t *testing.T) {
	for _, body := range []string{streamed, `{"organisation":"acme","input":1}`} {
		synctest.Test(t, func(t *testing.T) {
			v := newVirtual(t, func(context.Context, pipeline.Request, pipeline.Sink) (pipeline.Outcome, error) {
				panic("secret detail")
			}, Limits{}, false)
			defer v.close()
			status, answer := v.send(body)
			if status != 500 || !strings.Contains(answer, `"kind":"internal"`) || strings.Contains(answer, "secret") {
				t.Fatalf("%d %s", status, answer)
			}
		})
	}
}

// Symptom: a burst fills the memory of an instance.
func TestRequestsOverTheLimitAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVirtual(t, func(ctx context.Context, req pipeline.Request, s pipeline.Sink) (pipeline.Outcome, error) {
			time.Sleep(time.Minute)
			return echo(ctx, req, s)
		}, Limits{MaxInFlight: 1}, false)
		defer v.close()
		first := make(chan int, 1)
		go func() {
			status, _ := v.send(`{"organisation":"acme","input":1}`)
			first <- status
		}()
		synctest.Wait()
		status, answer := v.send(`{"organisation":"acme","input":1}`)
		if status != 503 || !strings.Contains(answer, `"run_state":"not_run"`) {
			t.Fatalf("%d %s", status, answer)
		}
		if got := <-first; got != 200 {
			t.Fatalf("first request: %d", got)
		}
		if status, _ := v.send(`{"organisation":"acme","input":1}`); status != 200 {
			t.Fatalf("after room was free again: %d", status)
		}
	})
}

// Symptom: a caller that announces a body and never sends it hangs for good.
func TestABodyThatDoesNotArriveIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVirtual(t, echo, Limits{BodyTimeout: time.Second}, false)
		defer v.close()
		conn, err := v.listener.Dial(t.Context(), "", "")
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_, _ = fmt.Fprintf(conn, "POST /v1/profiles/check/requests HTTP/1.1\r\nHost: i1\r\nAuthorization: Bearer %s\r\nContent-Length: 99\r\n\r\n{", v.token)
		begin := time.Now()
		_ = conn.SetReadDeadline(begin.Add(time.Minute))
		answer, err := io.ReadAll(conn)
		if err != nil || !strings.Contains(string(answer), "did not arrive in time") || time.Since(begin) != time.Second {
			t.Fatalf("after %s: %s %v", time.Since(begin), answer, err)
		}
	})
}
