package pipeline

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/stagecall/memtarget"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// instantCaller streams a fixed number of frames without delay.
type instantCaller struct {
	*memtarget.Fleet
	frames int
}

func (c instantCaller) Run(_ context.Context, _ stagecall.Target, req targetapi.RunRequest, _ stagecall.Options, onFrame func(targetapi.Frame) error) (stagecall.Result, error) {
	const text = "word "
	if !req.Stream {
		return stagecall.Result{Output: json.RawMessage(`"out"`), Cost: 1}, nil
	}
	for i := range c.frames {
		frame := targetapi.Frame{RequestID: req.RequestID, AttemptID: req.AttemptID, Offset: i * len(text), Text: text, Tokens: 1}
		if err := onFrame(frame); err != nil {
			return stagecall.Result{}, err
		}
	}
	return stagecall.Result{Length: c.frames * len(text), Tokens: c.frames}, nil
}

type discard struct{}

func (discard) Frame(int, string) error { return nil }
func (discard) StageDone(StageReport)   {}

func benchmarkRun(b *testing.B, frames int) {
	prof := profile.Versioned{Version: 1, Profile: draftProfile()}
	runner := New(Options{
		Profiles: func(string) (profile.Versioned, bool) { return prof, true },
		Gate:     &fakeGate{targets: 4},
		Caller:   instantCaller{frames: frames},
		Clock:    quartz.NewReal(),
	})
	req := Request{ID: "r", Profile: "draft", Key: "k", Input: json.RawMessage(`{}`), Deadline: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := runner.Run(context.Background(), req, discard{}); err != nil {
			b.Fatal(err)
		}
	}
}

// The difference between the two benchmarks, divided by 1000, is the cost of
// relaying a frame.
func BenchmarkRunTwoStages1Frame(b *testing.B)     { benchmarkRun(b, 1) }
func BenchmarkRunTwoStages1001Frames(b *testing.B) { benchmarkRun(b, 1001) }
