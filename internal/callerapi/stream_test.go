package callerapi

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/pipeline"
)

const streamed = `{"organisation":"acme","input":1,"stream":true}`

func inBothProtocols(t *testing.T, test func(t *testing.T, http2 bool)) {
	for _, http2 := range []bool{false, true} {
		t.Run(fmt.Sprintf("http2=%t", http2), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, http2) })
		})
	}
}

// Guards against a caller that cannot distinguish a long wait from a connection
// that was lost on the network path. This happens if the instance sends nothing
// while the request waits.
func TestAWaitingCallerGetsHeartbeats(t *testing.T) {
	inBothProtocols(t, func(t *testing.T, http2 bool) {
		v := newInstance(t, fakeHandler{serve: func(ctx context.Context, req pipeline.Request, s pipeline.Sink) (pipeline.Outcome, error) {
			time.Sleep(3500 * time.Millisecond)
			return streamTwo(nil)(ctx, req, s)
		}}, Limits{}, http2)
		defer v.close()
		answer := v.send(streamed)
		if got := names(readEvents(answer.body)); got != "accepted heartbeat heartbeat heartbeat frame frame end" {
			t.Fatalf("events %s", got)
		}
	})
}

// Guards against requests that occupy memory and targets until their deadline
// although the caller has stopped reading without closing the connection. This
// happens if writes have no deadline.
func TestASilentCallerIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		ended := make(chan error, 1)
		v := newInstance(t, fakeHandler{serve: func(_ context.Context, _ pipeline.Request, s pipeline.Sink) (pipeline.Outcome, error) {
			for i := 0; ; i++ {
				if err := s.Frame(i, "x"); err != nil {
					ended <- err
					return pipeline.Outcome{}, err
				}
			}
		}}, Limits{WriteTimeout: 5 * time.Second}, false)
		defer v.close()
		defer v.dial(streamed, len(streamed)).Close()
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

// Guards against a slow reader that delays the answers of all other callers.
// This happens if streams share a writer or a lock.
func TestASlowCallerDelaysNobodyElse(t *testing.T) {
	inBothProtocols(t, func(t *testing.T, http2 bool) {
		v := newInstance(t, fakeHandler{serve: streamTwo(nil)}, Limits{WriteTimeout: time.Hour}, http2)
		defer v.close()
		for range 20 {
			defer v.dial(streamed, len(streamed)).Close()
		}
		synctest.Wait()
		begin := time.Now()
		answer := v.send(streamed)
		if got := names(readEvents(answer.body)); got != "accepted frame frame end" || time.Since(begin) != 0 {
			t.Fatalf("events %s after %s", got, time.Since(begin))
		}
	})
}

// Guards against targets that keep working for callers that have disconnected.
func TestACallerThatHangsUpEndsItsRequest(t *testing.T) {
	for _, body := range []string{streamed, `{"organisation":"acme","input":1}`} {
		synctest.Test(t, func(t *testing.T) {
			cancelled := make(chan struct{})
			v := newInstance(t, fakeHandler{serve: func(ctx context.Context, _ pipeline.Request, _ pipeline.Sink) (pipeline.Outcome, error) {
				<-ctx.Done()
				close(cancelled)
				return pipeline.Outcome{}, errkind.Wrap(ctx.Err(), errkind.Cancelled, "request")
			}}, Limits{}, false)
			defer v.close()
			conn := v.dial(body, len(body))
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

// Guards against a panic that exposes its stack to the caller or leaves the
// caller without an answer. The handler of a stream runs in a separate
// goroutine, where an unrecovered panic would terminate the process.
func TestAPanicIsAnInternalError(t *testing.T) {
	for _, body := range []string{streamed, `{"organisation":"acme","input":1}`} {
		synctest.Test(t, func(t *testing.T) {
			v := newInstance(t, fakeHandler{serve: func(context.Context, pipeline.Request, pipeline.Sink) (pipeline.Outcome, error) {
				panic("secret detail")
			}}, Limits{}, false)
			defer v.close()
			answer := v.send(body)
			if answer.status != 500 || !strings.Contains(answer.body, `"kind":"internal"`) || strings.Contains(answer.body, "secret") {
				t.Fatalf("%+v", answer)
			}
		})
	}
}

// Guards against a burst of requests that exhausts the memory of an instance.
func TestRequestsOverTheLimitAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newInstance(t, fakeHandler{serve: func(ctx context.Context, req pipeline.Request, s pipeline.Sink) (pipeline.Outcome, error) {
			time.Sleep(time.Minute)
			return echo(ctx, req, s)
		}}, Limits{MaxInFlight: 1}, false)
		defer v.close()
		first := make(chan int, 1)
		go func() {
			first <- v.send(`{"organisation":"acme","input":1}`).status
		}()
		synctest.Wait()
		answer := v.send(`{"organisation":"acme","input":1}`)
		if answer.status != 503 || !strings.Contains(answer.body, `"run_state":"not_run"`) {
			t.Fatalf("%+v", answer)
		}
		if got := <-first; got != 200 {
			t.Fatalf("first request: %d", got)
		}
		if again := v.send(`{"organisation":"acme","input":1}`); again.status != 200 {
			t.Fatalf("after room was free again: %+v", again)
		}
	})
}

// Guards against a request that hangs forever because its caller announced a
// body and never sends it.
func TestABodyThatDoesNotArriveIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newInstance(t, fakeHandler{serve: echo}, Limits{BodyTimeout: time.Second}, false)
		defer v.close()
		conn := v.dial("{", 99)
		defer conn.Close()
		begin := time.Now()
		_ = conn.SetReadDeadline(begin.Add(time.Minute))
		answer, err := io.ReadAll(conn)
		if err != nil || !strings.Contains(string(answer), "did not arrive in time") || time.Since(begin) != time.Second {
			t.Fatalf("after %s: %s %v", time.Since(begin), answer, err)
		}
	})
}

// Guards against the loss of a request with a deadline of one second at an
// instance that has stopped responding. This happened because the first
// heartbeat came only one second after the request was sent, so the caller
// could not distinguish a slow request from an unresponsive instance earlier.
func TestAStreamBeginsLongBeforeItsAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newInstance(t, fakeHandler{serve: func(ctx context.Context, _ pipeline.Request, _ pipeline.Sink) (pipeline.Outcome, error) {
			<-ctx.Done() // a slow answer
			return pipeline.Outcome{}, errkind.Wrap(ctx.Err(), errkind.Cancelled, "the caller went away")
		}}, Limits{}, false)
		defer v.close()
		sent := time.Now()
		conn := v.dial(streamed, len(streamed))
		defer conn.Close()
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		if waited := time.Since(sent); waited != streamStartDelay {
			t.Fatalf("the stream began after %s", waited)
		}
	})
}
