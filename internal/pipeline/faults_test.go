package pipeline

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/admission"
	"lynxhill.example/lynxhill/internal/claim"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/outcome"
	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/stagecall/memtarget"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// Each row is a fault that a stream must survive. The caller must not get a text
// that is truncated, has duplicated or missing parts, or belongs to another
// request.
func TestStreamSurvivesFaults(t *testing.T) {
	rows := []struct {
		name   string
		plan   memtarget.Plan
		resume bool // the second attempt resumes where the first ended
	}{
		{"the connection breaks after some frames; the rest comes from another target", memtarget.Plan{Fault: memtarget.Break, AfterBytes: 20}, true},
		{"a frame of another attempt comes on the connection; it must not reach the caller", memtarget.Plan{Fault: memtarget.WrongIDs, AfterBytes: 20}, true},
		{"the very first frame is another attempt's", memtarget.Plan{Fault: memtarget.WrongIDs}, false},
		{"a frame was lost between the two ends, the next one skips bytes", memtarget.Plan{Fault: memtarget.Gap, AfterBytes: 20}, true},
		{"frames are missing before the end mark: truncated, yet it looks ended", memtarget.Plan{Fault: memtarget.Truncated, AfterBytes: 20}, true},
		{"the connection closes after the last frame, before the end mark", memtarget.Plan{Fault: memtarget.NoEnd}, true},
		{"a pooled connection has gone silent, a new one works", memtarget.Plan{Fault: memtarget.Silent, PooledConnectionOnly: true}, false},
		{"the target stops making progress in the middle", memtarget.Plan{Fault: memtarget.Straggle, Slowdown: 500}, false},
		{"the target refuses", memtarget.Plan{Fault: memtarget.Refuse}, false},
		{"the target is gone", memtarget.Plan{Fault: memtarget.ConnectFail}, false},
		{"the target fails in the middle", memtarget.Plan{Fault: memtarget.Fail, AfterBytes: 20}, true},
		{"the target crashes", memtarget.Plan{Fault: memtarget.Crash}, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestEnv(memtarget.Options{Plan: faultOnce(stageDraft, row.plan)})
				req := w.request("draft", "k")
				sink := new(recorder)
				out, err := w.runner.Run(t.Context(), req, sink)
				if err != nil {
					t.Fatal(err)
				}
				if sink.text != wholeDraft(req) || out.Length != len(sink.text) {
					t.Errorf("got %q", sink.text)
				}
				runs := w.runsOf(stageDraft)
				if last := runs[len(runs)-1].Request; (last.ResumeOffset > 0) != row.resume {
					t.Errorf("last attempt begins at %d", last.ResumeOffset)
				}
				want := w.gate.wants[len(w.gate.wants)-1]
				if !want.Retry {
					t.Error("the retry was not counted against the retry budget")
				}
				if (want.Provider != "") != row.resume {
					t.Errorf("provider %q: a partially delivered text must be continued by the same model", want.Provider)
				}
				w.noViolations(t)
			})
		})
	}
}

// Guards against a request that fails because the only target of a service was
// excluded after its connection went silent. The retry must use the same target on
// a new connection.
func TestOnlyTargetIsTriedAgainOnNewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestEnv(memtarget.Options{Plan: faultOnce(stageDraft, memtarget.Plan{Fault: memtarget.Silent, PooledConnectionOnly: true})})
		w.gate.targets = 1
		req := w.request("draft", "k")
		sink := new(recorder)
		if _, err := w.runner.Run(t.Context(), req, sink); err != nil || sink.text != wholeDraft(req) {
			t.Errorf("got %q, %v", sink.text, err)
		}
	})
}

// Guards against two interleaved answers: the first target straggles, a hedge is
// sent, and both attempts answer. Only one of them may deliver.
func TestHedgeWinsAndAloneDelivers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestEnv(memtarget.Options{Plan: faultOnce(stageDraft, memtarget.Plan{Fault: memtarget.Straggle, Slowdown: 20})})
		// The straggler's first frame comes at 50 ms, the hedge's 2.5 ms after it starts.
		w.gate.timeouts.HedgeDelay = 47500 * time.Microsecond
		req := w.request("draft", "k")
		sink := new(recorder)
		out, err := w.runner.Run(t.Context(), req, sink)
		if err != nil || sink.text != wholeDraft(req) {
			t.Fatalf("got %q, %v", sink.text, err)
		}
		synctest.Wait()
		if report := out.Stages[1]; report.Hedges != 1 || report.Wasted <= 0 || report.Cost <= report.Wasted {
			t.Errorf("report %+v", report)
		}
		w.noViolations(t)
	})
}

// As above, with a straggler so slow that the hedge always wins. The other attempt
// must be cancelled, and count as neither a success nor a fault of its target.
func TestHedgeCancelsTheLoser(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestEnv(memtarget.Options{Plan: faultOnce(stageDraft, memtarget.Plan{Fault: memtarget.Straggle, Slowdown: 150})})
		w.gate.timeouts.HedgeDelay = 30 * time.Millisecond
		out, err := w.runner.Run(t.Context(), w.request("draft", "k"), new(recorder))
		if err != nil || out.Stages[1].Hedges != 1 || out.Stages[1].Wasted <= 0 {
			t.Fatalf("got %+v, %v", out.Stages, err)
		}
		synctest.Wait()
		runs := w.runsOf(stageDraft)
		if len(runs) != 2 || !runs[0].Cancelled || runs[1].Cancelled {
			t.Errorf("runs %+v", runs)
		}
		if want := w.gate.wants[len(w.gate.wants)-1]; !want.NoWait || !want.Retry {
			t.Errorf("hedge asked for %+v", want)
		}
	})
}

// Guards against a double booking by a retry of a call that may have run: the
// service books, and then its reply is lost, it goes silent, or it reports a
// failure. A resend by the caller must not run the stage again either.
func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	for _, fault := range []memtarget.Fault{memtarget.LostReply, memtarget.Silent, memtarget.Fail, memtarget.Crash, memtarget.WrongIDs} {
		t.Run(fault.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestEnv(memtarget.Options{Plan: faultOnce(stageBook, memtarget.Plan{Fault: fault})})
				w.gate.timeouts.HedgeDelay = time.Millisecond
				_, err := w.runner.Run(t.Context(), w.request("book", "k"), nil)
				want := errkind.TargetFailed
				if fault == memtarget.Silent {
					want = errkind.DeadlineAfterRun // no timeout applies but the deadline
				}
				if !errkind.Is(err, want) {
					t.Errorf("first: %v", err)
				}
				_, err = w.runner.Run(t.Context(), w.request("book", "k"), nil)
				if !errkind.Is(err, errkind.OutcomeUnknown) {
					t.Errorf("resend: %v", err)
				}
				if runs := w.runsOf(stageBook); len(runs) != 1 {
					t.Errorf("%d runs", len(runs))
				}
				w.runner.Wait() // the silent call continues past the deadline
				if runs := w.runsOf(stageBook); len(runs) != 1 {
					t.Errorf("%d runs after the call has ended", len(runs))
				}
				w.noViolations(t)
			})
		})
	}
}

// Guards against a booking that succeeded but is answered "may have run": the
// first-byte timeout exists to retry a call, so it must not end one that may not
// be retried. The service takes longer than that timeout, which is derived from
// the usual time, but not longer than the deadline.
func TestSlowNonIdempotentCallIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestEnv(memtarget.Options{Plan: faultOnce(stageBook, memtarget.Plan{Fault: memtarget.Straggle, Slowdown: 400})})
		req := w.request("book", "k")
		out, err := w.runner.Run(t.Context(), req, nil)
		if err != nil || string(out.Output) != wholeBooking(req) {
			t.Errorf("got %s, %v", out.Output, err)
		}
	})
}

// Guards against a booking that ends as "may have run" although the service never
// received it, because the pooled connection had gone silent before the call. A
// call that cannot be retried must use a new connection.
func TestNonIdempotentCallUsesNewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestEnv(memtarget.Options{Plan: faultOnce(stageBook, memtarget.Plan{Fault: memtarget.Silent, PooledConnectionOnly: true})})
		req := w.request("book", "k")
		out, err := w.runner.Run(t.Context(), req, nil)
		if err != nil || string(out.Output) != wholeBooking(req) {
			t.Errorf("got %s, %v", out.Output, err)
		}
	})
}

// Guards against a booking that fails because its first target refuses it or
// cannot be reached, although another target is available. A call that is proven
// not to have run may be sent to another target under the same claim.
func TestNonIdempotentIsRetriedWhenProvenNotRun(t *testing.T) {
	for _, fault := range []memtarget.Fault{memtarget.Refuse, memtarget.ConnectFail} {
		synctest.Test(t, func(t *testing.T) {
			w := newTestEnv(memtarget.Options{Plan: faultOnce(stageBook, memtarget.Plan{Fault: fault})})
			req := w.request("book", "k")
			out, err := w.runner.Run(t.Context(), req, nil)
			if err != nil || string(out.Output) != wholeBooking(req) || len(w.runsOf(stageBook)) != 1 {
				t.Errorf("%v: %s, %v", fault, out.Output, err)
			}
			w.noViolations(t)
		})
	}
}

// Guards against a resend that gets "outcome unknown" after all targets refused
// the first request, because its claim was not released although nothing ran.
func TestClaimIsReleasedWhenNothingRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		busy := true
		w := newTestEnv(memtarget.Options{Plan: func(_ stagecall.Target, req targetapi.RunRequest) memtarget.Plan {
			if busy && req.Stage == stageBook {
				return memtarget.Plan{Fault: memtarget.Refuse}
			}
			return memtarget.Plan{}
		}})
		_, err := w.runner.Run(t.Context(), w.request("book", "k"), nil)
		if !errkind.Is(err, errkind.StoppedMidway) || errkind.RetryAfter(err) <= 0 {
			t.Errorf("got %v: the encode stage ran, so it is not 'not run'", err)
		}
		busy = false
		if _, err := w.runner.Run(t.Context(), w.request("book", "k"), nil); err != nil {
			t.Errorf("resend: %v", err)
		}
		w.noViolations(t)
	})
}

// Guards against a dispatch after the answer "not run": the deadline passes while
// the attempt waits in the queue, and it gets its slot shortly afterwards.
func TestNothingIsDispatchedAfterNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestEnv(memtarget.Options{})
		w.gate.refuse = func(admission.SlotRequest) error { time.Sleep(11 * time.Second); return nil } // grants the slot late, regardless of the context
		_, err := w.runner.Run(t.Context(), w.request("draft", "k"), nil)
		if !errkind.Is(err, errkind.DeadlineBeforeRun) {
			t.Errorf("got %v", err)
		}
		time.Sleep(time.Minute)
		if len(w.fleet.Runs()) != 0 {
			t.Error("the request ran after it was answered not_run")
		}
	})
}

// Guards against "outcome unknown" for a booking that succeeded: the caller's
// connection breaks while the service books, and the caller resends. The claimed
// call must not be cancelled when its caller disconnects.
func TestClaimedCallOutlivesItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := memtarget.Plan{Fault: memtarget.Straggle, Slowdown: 20}
		w := newTestEnv(memtarget.Options{Plan: faultOnce(stageBook, slow)})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if _, err := w.runner.Run(ctx, w.request("book", "k"), nil); !errkind.Is(err, errkind.Cancelled) {
			t.Errorf("got %v", err)
		}
		w.runner.Wait()
		req := w.request("book", "k")
		out, err := w.runner.Run(t.Context(), req, nil)
		if err != nil || string(out.Output) != wholeBooking(req) || len(w.runsOf(stageBook)) != 1 {
			t.Errorf("resend: %s, %v, %d runs", out.Output, err, len(w.runsOf(stageBook)))
		}
		w.noViolations(t)
	})
}

// Guards against a resend that gets "outcome unknown" for a booking that was made
// shortly after the deadline, because the claimed call ended at the deadline
// without a recorded result.
func TestClaimedCallMayAnswerAfterTheDeadline(t *testing.T) {
	rows := []struct {
		name     string
		late     time.Duration
		recorded bool
	}{
		{"within the grace", claimGrace - time.Second, true},
		{"after it", claimGrace + time.Second, false},
	}
	for _, row := range rows {
		synctest.Test(t, func(t *testing.T) {
			w := newTestEnv(memtarget.Options{Plan: faultOnce(stageBook, memtarget.Plan{Service: time.Second + row.late})})
			req := w.request("book", "k")
			req.Deadline = req.Received.Add(time.Second)
			if _, err := w.runner.Run(t.Context(), req, nil); !errkind.Is(err, errkind.DeadlineAfterRun) {
				t.Errorf("%s: got %v", row.name, err)
			}
			if over := w.clock.Now().Sub(req.Deadline); over > 10*time.Millisecond {
				t.Errorf("%s: the caller got its answer %v after the deadline", row.name, over)
			}
			w.runner.Wait()
			if over := w.clock.Now().Sub(req.Deadline); over > claimGrace+10*time.Millisecond {
				t.Errorf("%s: the call ended %v after the deadline", row.name, over)
			}
			again := w.request("book", "k")
			out, err := w.runner.Run(t.Context(), again, nil)
			if row.recorded && (err != nil || string(out.Output) != wholeBooking(again)) || !row.recorded && !errkind.Is(err, errkind.OutcomeUnknown) {
				t.Errorf("%s: resend: %s, %v", row.name, out.Output, err)
			}
			if n := len(w.runsOf(stageBook)); n != 1 {
				t.Errorf("%s: %d runs", row.name, n)
			}
			w.noViolations(t)
		})
	}
}

// Guards against accelerator time spent on callers that have disconnected: an
// idempotent stage is cancelled when its caller disconnects.
func TestIdempotentWorkIsCancelledWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestEnv(memtarget.Options{})
		sink := &recorder{onFrame: func() error { return errors.New("gone") }}
		if _, err := w.runner.Run(t.Context(), w.request("draft", "k"), sink); !errkind.Is(err, errkind.Cancelled) {
			t.Errorf("got %v", err)
		}
		synctest.Wait()
		if runs := w.runsOf(stageDraft); len(runs) != 1 || !runs[0].Cancelled || len(sink.offsets) != 1 {
			t.Errorf("runs %+v, frames %v", runs, sink.offsets)
		}
	})
}

// A resend while another instance holds the claim gets that instance's answer. If
// that instance has no record, the correct answer is "outcome unknown".
func TestHeldClaimIsAnsweredByItsHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestEnv(memtarget.Options{})
		req := w.request("book", "k")
		w.claims.holder = "other"
		_, _ = w.claims.Claim(t.Context(), claim.Request{Key: claim.Key{Organisation: "o", Key: "k", Stage: stageBook}, BodyHash: BodyHash(req)})
		if _, err := w.runner.Run(t.Context(), req, nil); !errkind.Is(err, errkind.OutcomeUnknown) {
			t.Errorf("holder without record: %v", err)
		}
		w.remote["other"] = outcome.Record{Output: []byte(`"booked"`)}
		out, err := w.runner.Run(t.Context(), req, nil)
		if err != nil || !out.Repeated || string(out.Output) != `"booked"` || len(w.runsOf(stageBook)) != 0 {
			t.Errorf("got %+v, %v", out, err)
		}
	})
}

// Guards against "not run" for a request whose first stage ran, because the error
// of a later stage says that this stage has not run.
func TestLaterStageErrorsAreNotNotRun(t *testing.T) {
	rows := map[errkind.Kind]errkind.Kind{
		errkind.KeyReused:           errkind.OutcomeUnknown,
		errkind.StoreUnavailable:    errkind.StoppedMidway,
		errkind.DeadlineBeforeRun:   errkind.DeadlineAfterRun,
		errkind.DeadlineUnreachable: errkind.DeadlineAfterRun,
		errkind.KeyExpired:          errkind.KeyExpired,
	}
	for claimed, want := range rows {
		synctest.Test(t, func(t *testing.T) {
			w := newTestEnv(memtarget.Options{})
			w.claims.err = errkind.New(claimed, "claim")
			if _, err := w.runner.Run(t.Context(), w.request("book", "k"), nil); !errkind.Is(err, want) {
				t.Errorf("%v was mapped to %v, expected %v", claimed, err, want)
			}
			w.noViolations(t)
		})
	}
}

// Guards against failing requests when the connections of half a service are lost
// at once, although the other targets are healthy: if retries after such faults
// shared the retry budget with retries of overloaded targets, it would be
// exhausted at once.
func TestRepeatsAfterFaultsAreCountedApart(t *testing.T) {
	rows := []struct {
		plan  memtarget.Plan
		fault bool
	}{
		{memtarget.Plan{Fault: memtarget.ConnectFail}, true},
		{memtarget.Plan{Fault: memtarget.Break, AfterBytes: 20}, true},
		{memtarget.Plan{Fault: memtarget.Refuse, Code: targetapi.CodeLeaving}, true},
		{memtarget.Plan{Fault: memtarget.Refuse, Code: targetapi.CodeBusy}, false},
		{memtarget.Plan{Fault: memtarget.Silent}, false},
		{memtarget.Plan{Fault: memtarget.Fail}, false},
	}
	for _, row := range rows {
		synctest.Test(t, func(t *testing.T) {
			w := newTestEnv(memtarget.Options{Plan: faultOnce(stageDraft, row.plan)})
			if _, err := w.runner.Run(t.Context(), w.request("draft", "k"), new(recorder)); err != nil {
				t.Fatal(err)
			}
			want := w.gate.wants[len(w.gate.wants)-1]
			if !want.Retry || want.AfterFault != row.fault {
				t.Errorf("%v: repeat %v, fault %v, want fault %v", row.plan.Fault, want.Retry, want.AfterFault, row.fault)
			}
		})
	}
}
