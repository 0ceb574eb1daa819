package pipeline

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/stagecall/memtarget"
)

func TestStreamsTheLastStage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestEnv(memtarget.Options{})
		req := w.request("draft", "k")
		sink := new(recorder)
		out, err := w.runner.Run(context.Background(), req, sink)
		if err != nil {
			t.Fatal(err)
		}
		if sink.text != wholeDraft(req) || out.Length != len(sink.text) || !out.Streamed || out.Version != 3 {
			t.Errorf("got %q and %+v", sink.text, out)
		}
		var text string
		if json.Unmarshal(out.Output, &text) != nil || text != sink.text {
			t.Errorf("output %s differs from the stream", out.Output)
		}
		if len(sink.reports) != 2 || len(out.Stages) != 2 || out.FirstToken <= 0 {
			t.Errorf("reports %+v, first token %v", out.Stages, out.FirstToken)
		}
		w.noViolations(t)
	})
}

func TestAnswersWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestEnv(memtarget.Options{})
		req := w.request("book", "k")
		out, err := w.runner.Run(context.Background(), req, new(recorder))
		if err != nil {
			t.Fatal(err)
		}
		if string(out.Output) != wholeBooking(req) || out.Streamed {
			t.Errorf("got %+v", out)
		}
		w.noViolations(t)
	})
}

func TestUnknownProfile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestEnv(memtarget.Options{})
		_, err := w.runner.Run(context.Background(), w.request("nothing", "k"), nil)
		if !errkind.Is(err, errkind.UnknownProfile) {
			t.Errorf("got %v", err)
		}
	})
}
