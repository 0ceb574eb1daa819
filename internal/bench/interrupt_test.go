package bench

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/config"
	"lynxhill.example/lynxhill/internal/standin/fleet"
)

// interruptAt ends a context when a line with a text is written.
type interruptAt struct {
	strings.Builder
	text   string
	cancel context.CancelFunc
}

func (w *interruptAt) Write(line []byte) (int, error) {
	w.Builder.Write(line)
	if strings.Contains(string(line), w.text) {
		w.cancel()
	}
	return len(line), nil
}

// Symptom: a run that was interrupted told of dozens of broken promises: lost
// requests and instances that do not agree.
// Events: Ctrl-C in the middle of the load, while an instance is being killed.
// Cause: the interrupt's context ended the callers, whose requests counted as
// lost, and the check of the profiles, which had no time to find agreement.
func TestAnInterruptBreaksNoPromise(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	e := Experiment{
		Name: "interrupted", Seed: 1, Repetitions: 2, Deployments: []string{fleet.MediaPlace}, Instances: 3, Scale: 0.1,
		Rate: 60, Duration: config.DurationOf(time.Minute), MinWhole: 1, Variants: []Variant{{Name: "lynxhill"}},
		Faults: []Fault{{Kind: "instance_kill", At: config.DurationOf(time.Second)}},
	}
	out := &interruptAt{text: "instance_kill began", cancel: cancel}
	results, err := e.Run(ctx, out, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if len(results.Summaries) != 1 || results.Summaries[0].Requests == 0 || strings.Contains(out.String(), "run 2") {
		t.Fatalf("an interrupted run is to be told up to the interrupt, and no other begun: %+v", results.Summaries)
	}
	var printed strings.Builder
	results.Print(&printed)
	if !results.Interrupted || !strings.Contains(printed.String(), "interrupted:") {
		t.Errorf("not said to be interrupted: %t, %s", results.Interrupted, printed.String())
	}
	if results.Broken() != 0 {
		t.Errorf("the interrupt counts as broken: %+v", results.Summaries[0].Breaches)
	}
}

// The least share of whole answers is that of a whole run: an interrupt in the middle of a fault leaves a smaller one.
func TestAPartOfARunMayHaveFewWholeAnswers(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	few := Summary{Requests: 10, Whole: 1}
	few.judge(ctx, Breaches{Lost: 2}, nil, 0.5)
	if few.Breaches.Total() != 3 {
		t.Errorf("a whole run: %+v", few.Breaches)
	}
	cancel()
	few.judge(ctx, Breaches{Lost: 2}, nil, 0.5)
	if few.Breaches.Total() != 2 {
		t.Errorf("an interrupted run: %+v", few.Breaches)
	}
}
