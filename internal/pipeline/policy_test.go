package pipeline

import (
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/admission"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/stagecall/memtarget"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// Guards against a request that crashes one target after another by way of
// retries, hedges and resends under new keys. Its first stage is harmless, and
// other requests must not be affected.
func TestPoisonStopsAfterTwoDeaths(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestEnv(memtarget.Options{Plan: func(_ stagecall.Target, req targetapi.RunRequest) memtarget.Plan {
			if req.Stage == stageDraft && req.Key != "good" {
				return memtarget.Plan{Fault: memtarget.Crash}
			}
			return memtarget.Plan{}
		}})
		w.gate.timeouts.HedgeDelay = time.Millisecond
		poison := w.request("draft", "poison")
		if _, err := w.runner.Run(t.Context(), poison, nil); !errkind.Is(err, errkind.CrashesTargets) {
			t.Errorf("first: %v", err)
		}
		for _, key := range []string{"new key", "newer key"} {
			again := w.request("draft", key)
			again.Input = poison.Input
			if _, err := w.runner.Run(t.Context(), again, nil); !errkind.Is(err, errkind.CrashesTargets) {
				t.Errorf("resend: %v", err)
			}
		}
		if runs := w.runsOf(stageDraft); len(runs) != 2 {
			t.Errorf("%d targets ran the request", len(runs))
		}
		if _, err := w.runner.Run(t.Context(), w.request("draft", "good"), nil); err != nil {
			t.Errorf("another request: %v", err)
		}
	})
}

// Guards against accelerator time spent on requests that cannot meet their
// deadline because the stages have become slower than the remaining time. Such
// requests are refused before the first stage, except for a few probes, without
// which nothing would show that the stages have become fast again.
func TestRefusesEarlyButProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestEnv(memtarget.Options{})
		w.gate.quantiles = map[string]time.Duration{stageEncode: 4 * time.Second, stageDraft: 7 * time.Second}
		const requests = 400
		probes := 0
		for range requests {
			_, err := w.runner.Run(t.Context(), w.request("draft", "k"), nil)
			switch {
			case err == nil:
				probes++
			case !errkind.Is(err, errkind.DeadlineUnreachable) || errkind.RetryAfter(err) <= 0:
				t.Fatal(err)
			}
		}
		if probes < requests/probeOneIn/2 || probes > 2*requests/probeOneIn {
			t.Errorf("%d of %d requests were run as probes", probes, requests)
		}
		w.gate.quantiles[stageDraft] = 5 * time.Second
		if _, err := w.runner.Run(t.Context(), w.request("draft", "k"), nil); err != nil {
			t.Errorf("it fits: %v", err)
		}
	})
}

func TestStageDeadline(t *testing.T) {
	rows := []struct {
		name      string
		quantiles map[string]time.Duration
		share     float64
		want      time.Duration
	}{
		{"by share until measured", nil, 0.2, 2 * time.Second},
		{"even without share", nil, 0, 5 * time.Second},
		{"all but what the later stage usually needs", map[string]time.Duration{stageEncode: time.Second, stageDraft: 2 * time.Second}, 0, 8 * time.Second},
		{"in proportion when time is short", map[string]time.Duration{stageEncode: 10 * time.Second, stageDraft: 30 * time.Second}, 0, 2500 * time.Millisecond},
	}
	for _, row := range rows {
		synctest.Test(t, func(t *testing.T) {
			w := newTestEnv(memtarget.Options{})
			w.gate.quantiles = row.quantiles
			prof := draftProfile()
			if row.share > 0 {
				prof.Stages[0].Share, prof.Stages[1].Share = row.share, 1-row.share
			}
			x := newExecution(w.runner, t.Context(), w.request("draft", "k"), profile.Versioned{Profile: prof}, nil)
			defer x.release()
			if got := x.stageDeadline(0).Sub(w.clock.Now()); got.Round(time.Millisecond) != row.want {
				t.Errorf("%s: %v, expected %v", row.name, got, row.want)
			}
			if got := x.stageDeadline(1).Sub(w.clock.Now()); got != 10*time.Second {
				t.Errorf("%s: the last stage has %v, expected all the remaining time", row.name, got)
			}
		})
	}
}

// Guards against a request that fails with most of its time left because a retry
// is refused by the deadline of the stage's first attempt: either the first
// attempt detects a silent connection only after the stage's part of the deadline,
// or the queue takes longer than that part.
func TestPartOfDeadlineDoesNotEndTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestEnv(memtarget.Options{Plan: faultOnce(stageEncode, memtarget.Plan{Fault: memtarget.Silent})})
		w.gate.timeouts.FirstByte = 6 * time.Second // the stage's part is 5 s
		sink, req := new(recorder), w.request("draft", "k")
		if _, err := w.runner.Run(t.Context(), req, sink); err != nil || sink.text != wholeDraft(req) {
			t.Errorf("silence: %q, %v", sink.text, err)
		}
		w = newTestEnv(memtarget.Options{})
		refused := false
		w.gate.refuse = func(admission.SlotRequest) error {
			if refused {
				return nil
			}
			refused = true
			return errkind.New(errkind.DeadlineBeforeRun, "in the queue")
		}
		sink, req = new(recorder), w.request("draft", "k")
		if _, err := w.runner.Run(t.Context(), req, sink); err != nil || sink.text != wholeDraft(req) {
			t.Errorf("queue: %q, %v", sink.text, err)
		}
	})
}

// Guards against an instance that runs out of memory because of one large answer.
func TestAnswerIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, prof := range []string{"draft", "book"} {
			w := newTestEnv(memtarget.Options{})
			w.runner.opts.MaxAnswerBytes = 50
			if _, err := w.runner.Run(t.Context(), w.request(prof, "k"), nil); !errkind.Is(err, errkind.AnswerTooLarge) {
				t.Errorf("%s: %v", prof, err)
			}
		}
	})
}

// Guards against a fault that multiplies the load by retries. When the gate's
// retry budget is exhausted, the caller gets the error of the first failure and
// not that of the budget.
func TestRepeatsKeepToTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestEnv(memtarget.Options{Plan: faultOnce(stageDraft, memtarget.Plan{Fault: memtarget.Break, AfterBytes: 20})})
		w.gate.refuse = refuseRepeats
		sink := new(recorder)
		if _, err := w.runner.Run(t.Context(), w.request("draft", "k"), sink); !errkind.Is(err, errkind.StreamBroken) {
			t.Errorf("got %v", err)
		}
		if len(w.runsOf(stageDraft)) != 1 {
			t.Error("retried without budget")
		}
	})
}

// Guards against a run on a target after the answer "not run": an attempt gets its
// slot, the request is answered not_run, and the attempt is dispatched. The window
// is too short to hit with a full run, so dispatches is tested on its own.
func TestNoDispatchAfterTheAnswer(t *testing.T) {
	var d dispatches
	if !d.begin() {
		t.Error("refused before the answer")
	}
	d.undo()
	if d.close() {
		t.Error("the attempt was undone but still counts")
	}
	if d.begin() {
		t.Error("dispatched after the answer")
	}
}
