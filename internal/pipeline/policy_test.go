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

// Symptom: one request takes down target after target.
// Events: it crashes each target that drafts it; its first stage is harmless;
// the caller sends it again under new keys, others send theirs meanwhile.
// Cause: retries, hedges and resends that carry it on.
func TestPoisonStopsAfterTwoDeaths(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(memtarget.Options{Plan: func(_ stagecall.Target, req targetapi.RunRequest) memtarget.Plan {
			if req.Stage == stageDraft && req.Key != "good" {
				return memtarget.Plan{Fault: memtarget.Die}
			}
			return memtarget.Plan{}
		}})
		w.gate.timeouts.HedgeAt = time.Millisecond
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
			t.Errorf("%d targets met it", len(runs))
		}
		if _, err := w.runner.Run(t.Context(), w.request("draft", "good"), nil); err != nil {
			t.Errorf("another request: %v", err)
		}
	})
}

// Symptom: accelerators are busy with requests that end late anyway.
// Events: stages have slowed down to more than what remains.
// Cause: no refusal before the first stage. A few must go through, or nothing
// would show that the stages are fast again.
func TestRefusesEarlyButProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(memtarget.Options{})
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
			t.Errorf("%d of %d went through", probes, requests)
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
			w := newWorld(memtarget.Options{})
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
				t.Errorf("%s: the last stage has %v, expected all", row.name, got)
			}
		})
	}
}

// Symptom: a request fails with most of its time left. Events: the first attempt
// of a stage meets a silent connection, which takes longer to show than the
// stage's part of the deadline; or the queue takes longer than that part.
// Cause: the repeat is refused for the part that the first attempt had.
func TestPartOfDeadlineDoesNotEndTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(memtarget.Options{Plan: faultOnce(stageEncode, memtarget.Plan{Fault: memtarget.Silent})})
		w.gate.timeouts.FirstByte = 6 * time.Second // the stage's part is 5 s
		sink, req := new(recorder), w.request("draft", "k")
		if _, err := w.runner.Run(t.Context(), req, sink); err != nil || sink.text != wholeDraft(req) {
			t.Errorf("silence: %q, %v", sink.text, err)
		}
		w = newWorld(memtarget.Options{})
		refused := false
		w.gate.refuse = func(admission.Want) error {
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

// Symptom: an instance runs out of memory on one answer.
func TestAnswerIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, prof := range []string{"draft", "book"} {
			w := newWorld(memtarget.Options{})
			w.runner.opts.MaxAnswerBytes = 50
			if _, err := w.runner.Run(t.Context(), w.request(prof, "k"), nil); !errkind.Is(err, errkind.AnswerTooLarge) {
				t.Errorf("%s: %v", prof, err)
			}
		}
	})
}

// Symptom: a fault multiplies the load. Events: the gate's budget for repeats
// is spent. The caller is told of the first failure, not of the budget.
func TestRepeatsKeepToTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(memtarget.Options{Plan: faultOnce(stageDraft, memtarget.Plan{Fault: memtarget.Break, AfterBytes: 20})})
		w.gate.refuse = refuseRepeats
		sink := new(recorder)
		if _, err := w.runner.Run(t.Context(), w.request("draft", "k"), sink); !errkind.Is(err, errkind.StreamBroken) {
			t.Errorf("got %v", err)
		}
		if len(w.runsOf(stageDraft)) != 1 {
			t.Error("repeated without budget")
		}
	})
}

// Symptom: "not run", yet a target's record shows a run. Events: an attempt has
// its slot, the request is answered not_run, the attempt is dispatched. The
// window is too short for a run of the whole; the rule is tested by itself.
func TestNoDispatchAfterTheAnswer(t *testing.T) {
	var d dispatches
	if !d.begin() {
		t.Error("refused before the answer")
	}
	d.notRun()
	if d.close() {
		t.Error("the attempt was taken back, yet it counts")
	}
	if d.begin() {
		t.Error("dispatched after the answer")
	}
}
