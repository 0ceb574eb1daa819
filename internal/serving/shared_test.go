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

// streaming answers with a frame a second for five seconds.
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

// The symptom would be two runs, and for a booking two bookings. Events: a
// caller's connection breaks, it sends the request again while the first is
// still running. Cause: each request runs by itself.
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
			t.Errorf("%d runs, %d of 5 answers are another's", f.runner.count(), repeated)
		}
		f.admitter.check(5, 0)
		out, err := f.serve(t.Context(), request("book"), &connection{t: t})
		if err != nil || !out.Repeated || f.runner.count() != 1 {
			t.Errorf("a resend after the end: %+v, %v, %d runs", out, err, f.runner.count())
		}
		f.admitter.check(6, 0)
	})
}

// The symptom would be frames of one request in the answer to another. Events:
// a caller goes away during a stream; the run goes on for the record and
// writes to the connection that the server has given to the next request.
func TestRunGoesOnWithoutItsCallerAndWithoutItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.runner.script = streaming
		ctx, leave := context.WithTimeout(t.Context(), 2500*time.Millisecond)
		defer leave()
		c := &connection{t: t}
		_, err := f.serve(ctx, request("book"), c)
		wantKind(t, err, errkind.Cancelled)
		if c.text != "abab" {
			t.Errorf("delivered %q before it left, want abab", c.text)
		}
		f.admitter.check(1, 1) // the run still takes its place
		out, err := f.serve(t.Context(), request("book"), &connection{t: t})
		if err != nil || !out.Repeated || f.runner.count() != 1 {
			t.Errorf("the resend: %+v, %v, %d runs", out, err, f.runner.count())
		}
		f.admitter.check(2, 0)
	})
}

// A caller whose connection refuses a frame is gone, but its run is not.
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

// A request without a key of its caller cannot come again: nobody would ever
// fetch its answer, so it ends with its caller.
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

// The symptom would be a caller that sends again after "not run" and gets the
// same refusal for ten minutes. Cause: the refusal is kept as the outcome.
func TestRefusalThatRanNothingLetsAResendRun(t *testing.T) {
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

// An error that may have run is the outcome: a resend gets it, not a new run.
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

// The symptom would be an organisation that is refused for its limit while it
// sends nothing. Events: one of its programs uses a key twice with different
// bodies; each such request is refused. Cause: the refusal comes from the
// record, no run begins that would give the place at admission back.
func TestReusedKeyGivesItsPlaceBack(t *testing.T) {
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

// The symptom would be an empty answer that says it is whole. Events: a run
// panics; the registry records an internal error. Cause: the first caller
// reads what the run has left, which is nothing, and not the record.
func TestPanicIsNoAnswer(t *testing.T) {
	f := newFixture(t)
	f.runner.script = func(context.Context, pipeline.Request, pipeline.Sink) (pipeline.Outcome, error) { panic("defect") }
	wantKind(t, f.serveOnce(t, request("book")), errkind.Internal)
	f.admitter.check(1, 0)
}

// The symptom would be callers that wait out their deadline at an instance
// that no longer reaches any target. Events: it is cut off while it runs
// requests. The caller is told at once; the run goes on for the record.
func TestCutOffInstanceSendsItsCallersAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.runner.script = streaming
		time.AfterFunc(1500*time.Millisecond, func() { close(f.lost) })
		started := time.Now()
		c := &connection{t: t}
		_, err := f.serve(t.Context(), request("book"), c)
		wantKind(t, err, errkind.StoppedMidway)
		if took := time.Since(started); took != 1500*time.Millisecond || c.text != "ab" {
			t.Errorf("told after %s with %q delivered", took, c.text)
		}
		time.Sleep(time.Minute)
		f.admitter.check(1, 0)
		if f.runner.count() != 1 {
			t.Errorf("%d runs", f.runner.count())
		}
	})
}

// The same for a request that came from another instance under a ticket.
func TestCutOffInstanceSendsForwardedRequestsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.runner.script = streaming
		time.AfterFunc(1500*time.Millisecond, func() { close(f.lost) })
		started := time.Now()
		_, err := f.server.ServeForwarded(t.Context(), request("book"), &connection{t: t})
		wantKind(t, err, errkind.StoppedMidway)
		if took := time.Since(started); took != 1500*time.Millisecond {
			t.Errorf("told after %s", took)
		}
		time.Sleep(time.Minute)
		f.admitter.check(1, 0)
	})
}
