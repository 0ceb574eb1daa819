package serving

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/pipeline"
)

// streaming answers with one frame per second for five seconds.
func streaming(ctx context.Context, req pipeline.Request, sink pipeline.Sink) (pipeline.Outcome, error) {
	for i := range 5 {
		time.Sleep(time.Second)
		if ctx.Err() != nil {
			return pipeline.Outcome{}, errkind.Wrap(ctx.Err(), errkind.Cancelled, "run")
		}
		if err := sink.Frame(2*i, "ab"); err != nil {
			return pipeline.Outcome{}, errkind.Wrap(err, errkind.Cancelled, "sink")
		}
	}
	sink.StageDone(pipeline.StageReport{Stage: "embed"})
	return pipeline.Outcome{RequestID: req.ID, Output: json.RawMessage(`"ababababab"`), Streamed: true, Length: 10}, nil
}

// Guards against two runs of one request, which for a booking means two
// bookings. It comes about when a caller's connection breaks and the caller
// resends the request while the first run is still in progress.
func TestRequestsOfOneKeyShareOneRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.runner.script = streaming
		var serving sync.WaitGroup
		var mu sync.Mutex // guards repeated
		repeated := 0
		for range 5 {
			serving.Go(func() {
				out, err := f.serve(t.Context(), request("book"), &connection{t: t})
				if err != nil || string(out.Output) != `"ababababab"` {
					t.Errorf("answer %s, %v", out.Output, err)
				}
				mu.Lock()
				defer mu.Unlock()
				if out.Repeated {
					repeated++
				}
			})
		}
		serving.Wait()
		if f.runner.count() != 1 || repeated != 4 {
			t.Errorf("%d runs, %d of 5 answers are marked as repeated; want 1 and 4", f.runner.count(), repeated)
		}
		f.admitter.check(5, 0)
		out, err := f.serve(t.Context(), request("book"), &connection{t: t})
		if err != nil || !out.Repeated || f.runner.count() != 1 {
			t.Errorf("a resend after the run ended: %+v, %v, %d runs", out, err, f.runner.count())
		}
		f.admitter.check(6, 0)
	})
}

// Guards against frames of one request in the answer to another. It comes about
// when a caller disconnects during a stream, and the run, which continues so
// that its outcome is recorded, writes to a connection that the HTTP server has
// reused for the next request.
func TestRunContinuesAfterItsCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.runner.script = streaming
		ctx, leave := context.WithTimeout(t.Context(), 2500*time.Millisecond)
		defer leave()
		c := &connection{t: t}
		_, err := f.serve(ctx, request("book"), c)
		wantKind(t, err, errkind.Cancelled)
		if c.text != "abab" {
			t.Errorf("delivered %q before the caller disconnected, want abab", c.text)
		}
		f.admitter.check(1, 1) // the run still holds its admission
		out, err := f.serve(t.Context(), request("book"), &connection{t: t})
		if err != nil || !out.Repeated || f.runner.count() != 1 {
			t.Errorf("the resend: %+v, %v, %d runs", out, err, f.runner.count())
		}
		f.admitter.check(2, 0)
	})
}

// A write error on the caller's connection does not end the run.
func TestBrokenConnectionDoesNotEndTheRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.runner.script = streaming
		c := &connection{t: t, err: context.Canceled}
		out, err := f.serve(t.Context(), request("book"), c)
		if err != nil || out.Length != 10 || c.text != "ab" || c.stages != 0 {
			t.Errorf("out %+v, %v; %q and %d reports after the break", out, err, c.text, c.stages)
		}
	})
}

// A request without a key from its caller cannot be resent, so its answer could
// never be fetched: the run is cancelled when the caller disconnects.
func TestRequestWithoutAKeyEndsWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.runner.script = streaming
		ctx, leave := context.WithTimeout(t.Context(), 2500*time.Millisecond)
		defer leave()
		req := request("read")
		req.KeyGiven = false
		_, err := f.serve(ctx, req, &connection{t: t})
		wantKind(t, err, errkind.Cancelled)
		f.admitter.check(1, 0)
	})
}

// Guards against a caller that resends a request after "not run" and gets the
// same refusal for ten minutes because the refusal is stored as the outcome.
func TestResendRunsAfterARefusalThatRanNothing(t *testing.T) {
	f := newFixture(t)
	f.runner.script = func(context.Context, pipeline.Request, pipeline.Sink) (pipeline.Outcome, error) {
		return pipeline.Outcome{}, errkind.New(errkind.Overloaded, "no room")
	}
	wantKind(t, f.serveOnce(t, request("book")), errkind.Overloaded)
	f.admitter.check(1, 0)
	f.runner.script = nil
	if err := f.serveOnce(t, request("book")); err != nil {
		t.Error(err)
	}
	f.admitter.check(2, 0)
}

// An error of a request that may have run is stored as the outcome: a resend
// gets the same error and no new run.
func TestErrorThatMayHaveRunIsKept(t *testing.T) {
	f := newFixture(t)
	f.runner.script = func(context.Context, pipeline.Request, pipeline.Sink) (pipeline.Outcome, error) {
		return pipeline.Outcome{}, errkind.New(errkind.OutcomeUnknown, "the target went silent")
	}
	wantKind(t, f.serveOnce(t, request("book")), errkind.OutcomeUnknown)
	wantKind(t, f.serveOnce(t, request("book")), errkind.OutcomeUnknown)
	if f.runner.count() != 1 {
		t.Errorf("%d runs", f.runner.count())
	}
	f.admitter.check(2, 0)
}

// Guards against an organisation that is refused for its limit with no requests
// in flight. It comes about when a client uses one key with different bodies:
// the outcome registry refuses such requests without starting a run, and only a
// run releases its own admission.
func TestReusedKeyReleasesItsAdmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.runner.script = streaming
		other := request("book")
		other.Input = json.RawMessage(`{"a":2}`)
		go func() { _, _ = f.serve(t.Context(), request("book"), &connection{t: t}) }()
		synctest.Wait()
		wantKind(t, f.serveOnce(t, other), errkind.KeyReused) // while the first runs
		f.admitter.check(2, 1)
		time.Sleep(time.Minute)
		wantKind(t, f.serveOnce(t, other), errkind.KeyReused) // and after
		f.admitter.check(3, 0)
	})
}

// Guards against an empty answer marked as complete. It comes about when a run
// panics: the registry records an internal error, but the first caller reads the
// variables of the run, which are then unset, instead of the record.
func TestPanicReturnsInternalError(t *testing.T) {
	f := newFixture(t)
	f.runner.script = func(context.Context, pipeline.Request, pipeline.Sink) (pipeline.Outcome, error) { panic("defect") }
	wantKind(t, f.serveOnce(t, request("book")), errkind.Internal)
	f.admitter.check(1, 0)
}

// Guards against callers that wait until their deadline at an instance that
// loses the connection to all targets while it runs requests. The caller gets an
// error immediately; the run continues so that its outcome is recorded.
func TestCallersGetAnErrorWhenTargetsAreUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.runner.script = streaming
		time.AfterFunc(1500*time.Millisecond, func() { close(f.lost) })
		started := time.Now()
		c := &connection{t: t}
		_, err := f.serve(t.Context(), request("book"), c)
		wantKind(t, err, errkind.StoppedMidway)
		if took := time.Since(started); took != 1500*time.Millisecond || c.text != "ab" {
			t.Errorf("the caller got the error after %s with %q delivered", took, c.text)
		}
		time.Sleep(time.Minute)
		f.admitter.check(1, 0)
		if f.runner.count() != 1 {
			t.Errorf("%d runs", f.runner.count())
		}
	})
}

// The same holds for a request that another instance forwarded because of its
// ticket.
func TestForwardedRequestsGetAnErrorWhenTargetsAreUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.runner.script = streaming
		time.AfterFunc(1500*time.Millisecond, func() { close(f.lost) })
		started := time.Now()
		_, err := f.server.ServeForwarded(t.Context(), request("book"), &connection{t: t})
		wantKind(t, err, errkind.StoppedMidway)
		if took := time.Since(started); took != 1500*time.Millisecond {
			t.Errorf("the caller got the error after %s", took)
		}
		time.Sleep(time.Minute)
		f.admitter.check(1, 0)
	})
}
