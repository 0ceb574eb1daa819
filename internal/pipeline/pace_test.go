package pipeline

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/admission"
	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/stagecall/memtarget"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// planInTurn applies the plans to the calls of the draft stage in turn.
func planInTurn(plans ...memtarget.Plan) func(stagecall.Target, targetapi.RunRequest) memtarget.Plan {
	return func(_ stagecall.Target, req targetapi.RunRequest) memtarget.Plan {
		if req.Stage != stageDraft || len(plans) == 0 {
			return memtarget.Plan{}
		}
		next := plans[0]
		plans = plans[1:]
		return next
	}
}

// Guards against a stream that starts on a straggler and stays there: if only
// silence ended a stream, one answer in twenty would take eight times as long,
// because a straggler is never silent.
func TestSlowStreamIsMigrated(t *testing.T) {
	slow := memtarget.Plan{Fault: memtarget.Straggle, Slowdown: 100} // a frame each 250 ms instead of 2.5 ms
	slower := memtarget.Plan{Fault: memtarget.Straggle, Slowdown: 115}
	rows := []struct {
		name    string
		plans   []memtarget.Plan
		refuse  bool // no slot for a migration
		runs    int
		resumed bool
		within  time.Duration
	}{
		{"the rest comes from another target", []memtarget.Plan{slow}, false, 2, true, 400 * time.Millisecond},
		{"no other target has capacity: all frames of the straggler are accepted", []memtarget.Plan{slow}, true, 1, false, 6 * time.Second},
		{"the other target breaks off before its first frame", []memtarget.Plan{slow, {Fault: memtarget.LostReply}}, false, 3, true, time.Second},
		{"the other target breaks off after frames of the straggler were held back", []memtarget.Plan{slow, {Fault: memtarget.LostReply, Service: 6 * time.Second}}, false, 3, true, time.Second},
		{"the straggler fails before the other target has sent a frame", []memtarget.Plan{{Fault: memtarget.LostReply, Slowdown: 100}, slower}, false, 3, true, 2 * time.Second},
		{"all other targets are as slow: the number of migrations is bounded", []memtarget.Plan{slow, slow, slow}, false, 3, true, 6 * time.Second},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestEnv(memtarget.Options{Plan: planInTurn(row.plans...)})
				w.gate.timeouts.Typical = admission.Typical{FirstByte: 3 * time.Millisecond, PerToken: 2500 * time.Microsecond, Tokens: 20}
				if row.refuse {
					w.gate.refuse = refuseRepeats
				}
				req := w.request("draft", "k")
				sink := new(recorder)
				out, err := w.runner.Run(t.Context(), req, sink)
				if err != nil || sink.text != wholeDraft(req) || out.Length != len(sink.text) {
					t.Fatalf("got %q, %v", sink.text, err)
				}
				synctest.Wait()
				if out.Total > row.within {
					t.Errorf("took %v, want at most %v", out.Total, row.within)
				}
				runs := w.runsOf(stageDraft)
				if len(runs) != row.runs {
					t.Errorf("%d runs, want %d", len(runs), row.runs)
				}
				if last := runs[len(runs)-1].Request; (last.ResumeOffset > 0) != row.resumed {
					t.Errorf("last run begins at %d", last.ResumeOffset)
				}
				w.noViolations(t)
			})
		})
	}
}

// Guards against a straggler that keeps getting new streams because the gate is
// informed of its pace only when streams end.
func TestGateLearnsOfPaceWhileStreamRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestEnv(memtarget.Options{Plan: planInTurn(memtarget.Plan{Fault: memtarget.Straggle, Slowdown: 100})})
		w.gate.timeouts.Typical = admission.Typical{FirstByte: 3 * time.Millisecond, PerToken: 2500 * time.Microsecond, Tokens: 20}
		w.gate.refuse = func(want admission.SlotRequest) error {
			if want.Retry && len(w.gate.paces) == 0 {
				t.Error("a migration was requested before the gate was informed of the slow pace")
			}
			if want.Retry {
				return errkind.New(errkind.Overloaded, "no room")
			}
			return nil
		}
		if _, err := w.runner.Run(t.Context(), w.request("draft", "k"), new(recorder)); err != nil {
			t.Fatal(err)
		}
		if len(w.gate.paces) != 1 || w.gate.paces[0] < 20*time.Millisecond {
			t.Errorf("reported paces: %v, want one far above 2.5 ms per token", w.gate.paces)
		}
	})
}

// A stream with the usual pace is not migrated.
func TestStreamOfUsualPaceIsNotMigrated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestEnv(memtarget.Options{})
		w.gate.timeouts.Typical = admission.Typical{FirstByte: 3 * time.Millisecond, PerToken: 2 * time.Millisecond, Tokens: 20}
		if _, err := w.runner.Run(t.Context(), w.request("draft", "k"), new(recorder)); err != nil {
			t.Fatal(err)
		}
		if n := len(w.runsOf(stageDraft)); n != 1 {
			t.Errorf("%d runs, want 1", n)
		}
	})
}

// Guards against an answer without its end: the straggler's last frames are held
// back during a migration and must not be dropped if the straggler completes
// before the other target has sent a frame.
func TestStragglerCompletesBeforeReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := memtarget.Plan{Fault: memtarget.Straggle, Slowdown: 15} // frames at 250, 500 and 750 ms
		w := newTestEnv(memtarget.Options{Frames: 3, Plan: planInTurn(slow, memtarget.Plan{Service: 1450 * time.Millisecond})})
		w.gate.timeouts.Typical = admission.Typical{FirstByte: 3 * time.Millisecond, PerToken: 2500 * time.Microsecond, Tokens: 20}
		req := w.request("draft", "k")
		sink := new(recorder)
		out, err := w.runner.Run(t.Context(), req, sink)
		if err != nil || sink.text != wholeDraft(req) || out.Length != len(sink.text) {
			t.Errorf("got %q, %v", sink.text, err)
		}
		if n := len(w.runsOf(stageDraft)); n != 2 || len(sink.offsets) < 3 {
			t.Errorf("%d runs, frames %v: want a migration that was started too late", n, sink.offsets)
		}
		w.noViolations(t)
	})
}

// stallingCaller streams tokens at a constant pace with a single pause.
type stallingCaller struct {
	stagecall.Caller
	clock clock.Clock
}

func (c stallingCaller) Run(ctx context.Context, target stagecall.Target, req targetapi.RunRequest, opts stagecall.Options, onFrame func(targetapi.Frame) error) (stagecall.Result, error) {
	if !req.Stream {
		return c.Caller.Run(ctx, target, req, opts, onFrame)
	}
	const frames, stallAt = 20, 10
	for i := range frames {
		pause := 10 * time.Millisecond
		if i == stallAt {
			pause = 90 * time.Millisecond
		}
		<-c.clock.NewTimer(pause).C
		frame := targetapi.Frame{RequestID: req.RequestID, AttemptID: req.AttemptID, Offset: i, Text: "w", Tokens: 1}
		if err := onFrame(frame); err != nil {
			return stagecall.Result{}, err
		}
	}
	return stagecall.Result{Length: frames, Tokens: frames}, nil
}

// A single late frame of an otherwise fast stream does not make its target a
// straggler.
func TestOneLateFrameIsNoStraggler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestEnv(memtarget.Options{})
		w.runner.opts.Caller = stallingCaller{Caller: w.fleet, clock: w.clock}
		w.gate.timeouts.Typical = admission.Typical{FirstByte: 20 * time.Millisecond, PerToken: 20 * time.Millisecond, Tokens: 400}
		if _, err := w.runner.Run(t.Context(), w.request("draft", "k"), new(recorder)); err != nil {
			t.Fatal(err)
		}
		if len(w.gate.paces) != 0 {
			t.Errorf("reported paces: %v", w.gate.paces)
		}
	})
}
