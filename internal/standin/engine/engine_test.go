package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

var input = json.RawMessage(`{"creative":"spring banner"}`)

func start(t *testing.T, opts Options) *Server {
	t.Helper()
	if opts.ID == "" {
		opts.ID = "e1"
	}
	if opts.Models == nil {
		opts.Models = []targetapi.LoadedModel{{Model: "m", Version: "1", Adapters: []string{"a"}, Ready: true}}
	}
	s, err := New(opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func fast() TimeModel {
	return TimeModel{PerToken: 50 * time.Microsecond, PrefillPerToken: time.Microsecond}
}

func request(attempt string) targetapi.RunRequest {
	return targetapi.RunRequest{
		RequestID: "r1", AttemptID: attempt, Organisation: "agency-1", Stage: "draft", Kind: "generate",
		Model: "m", Version: "1", Adapter: "a", Input: input, Stream: true,
	}
}

// client returns an HTTP client of one version of the protocol.
func client(t *testing.T, http2 bool) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(!http2)
	protocols.SetUnencryptedHTTP2(http2)
	transport := &http.Transport{Protocols: protocols}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func post(ctx context.Context, c *http.Client, s *Server, path string, body any) (*http.Response, error) {
	data, _ := json.Marshal(body)
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+s.Addr()+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	return c.Do(req)
}

// outcome is what a strict reader makes of one run.
type outcome struct {
	text    string
	frames  int
	whole   bool
	refusal *targetapi.Refusal
	fault   string // what the reader's checks found
}

func run(t *testing.T, c *http.Client, s *Server, req targetapi.RunRequest, onFrame func()) outcome {
	t.Helper()
	resp, err := post(t.Context(), c, s, targetapi.PathRun, req)
	if err != nil {
		return outcome{fault: "broken"}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		var refusal targetapi.Refusal
		_ = json.NewDecoder(resp.Body).Decode(&refusal)
		return outcome{refusal: &refusal}
	}
	got := read(resp.Body, req, onFrame)
	_, _ = io.Copy(io.Discard, resp.Body) // so that the connection is kept
	return got
}

func read(body io.Reader, req targetapi.RunRequest, onFrame func()) outcome {
	var got outcome
	var event string
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if name, ok := strings.CutPrefix(lines.Text(), "event: "); ok {
			event = name
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		switch event {
		case targetapi.EventFrame:
			var frame targetapi.Frame
			_ = json.Unmarshal([]byte(data), &frame)
			switch {
			case frame.RequestID != req.RequestID || frame.AttemptID != req.AttemptID:
				return outcome{fault: "ids"}
			case frame.Offset != req.ResumeOffset+len(got.text):
				return outcome{fault: "gap"}
			}
			got.text += frame.Text
			got.frames++
			if onFrame != nil {
				onFrame()
			}
		case targetapi.EventEnd:
			var end targetapi.End
			_ = json.Unmarshal([]byte(data), &end)
			got.whole = end.Length == req.ResumeOffset+len(got.text) && end.Load != nil
			return got
		case targetapi.EventError:
			got.refusal = new(targetapi.Refusal)
			_ = json.Unmarshal([]byte(data), got.refusal)
			return got
		}
	}
	got.fault = "cut"
	return got
}

func TestStreamIsWholeOverBothProtocols(t *testing.T) {
	s := start(t, Options{Time: fast()})
	for _, http2 := range []bool{false, true} {
		req := request(fmt.Sprint("a", http2))
		got := run(t, client(t, http2), s, req, nil)
		if !got.whole || got.text != AnswerText("m", "1", "a", AnswerInput("agency-1", input)) || got.frames < 2 {
			t.Fatalf("http2 %v: %+v", http2, got)
		}
		if err := CheckAnswer(got.text, "agency-1", input); err != nil {
			t.Fatal(err)
		}
	}
	for _, record := range s.Runs() {
		if !record.Finished || record.Cancelled {
			t.Fatalf("record %+v", record)
		}
	}
}

func TestCheckAnswerFindsEveryCutAndEveryStranger(t *testing.T) {
	text := AnswerTextMax("m 1", "v/2", "", AnswerInput("agency-1", input), 20)
	if err := CheckAnswer(text, "agency-1", json.RawMessage(" {\"creative\" : \"spring banner\"}")); err != nil {
		t.Fatal(err)
	}
	for i := range len(text) {
		if CheckAnswer(text[:i], "agency-1", input) == nil || CheckAnswer(text[:i]+text[i+1:], "agency-1", input) == nil {
			t.Fatalf("a text cut at byte %d passed", i)
		}
	}
	if err := CheckAnswer(text, "agency-2", input); err != ErrNotOwn {
		t.Fatalf("another organisation: %v", err)
	}
}

// A stream broke after some bytes and is resumed on another engine: what the
// second sends must be exactly the rest, wherever the cut was.
func TestResumeOnAnotherEngineGivesExactlyTheRest(t *testing.T) {
	s := start(t, Options{ID: "e2", Seed: 7, Time: fast(), FrameTokens: 3})
	req := request("")
	whole := AnswerOf(&req)
	for _, offset := range []int{0, 1, 17, len(whole) / 2, len(whole) - 1, len(whole)} {
		req := request(fmt.Sprint("resume-", offset))
		req.ResumeOffset = offset
		got := run(t, client(t, false), s, req, nil)
		if !got.whole || whole[:offset]+got.text != whole {
			t.Fatalf("offset %d: %+v", offset, got)
		}
	}
	req = request("beyond")
	req.ResumeOffset = len(whole) + 1
	if got := run(t, client(t, false), s, req, nil); got.refusal == nil || got.refusal.Code != targetapi.CodeBadInput {
		t.Fatalf("beyond the end: %+v", got)
	}
}

func TestLeavingFinishesWhatRunsAndRefusesTheRest(t *testing.T) {
	s := start(t, Options{Time: fast()})
	got := run(t, client(t, false), s, request("running"), s.Leave)
	if !got.whole {
		t.Fatalf("running stream was cut: %+v", got)
	}
	got = run(t, client(t, false), s, request("late"), nil)
	if got.refusal == nil || got.refusal.Code != targetapi.CodeLeaving || got.refusal.Ran {
		t.Fatalf("new run: %+v", got)
	}
	if len(s.Runs()) != 1 || !s.State().Leaving {
		t.Fatalf("runs %v", s.Runs())
	}
}

func TestCancelStopsTheRun(t *testing.T) {
	s := start(t, Options{Time: TimeModel{PerToken: 5 * time.Millisecond}})
	cancelled := false
	got := run(t, client(t, false), s, request("a1"), func() {
		if cancelled {
			return
		}
		cancelled = true
		resp, err := post(t.Context(), client(t, false), s, targetapi.PathCancel, targetapi.CancelRequest{AttemptID: "a1"})
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Error("cancel refused")
			return
		}
		resp.Body.Close()
	})
	if got.refusal == nil || !got.refusal.Ran || got.whole {
		t.Fatalf("%+v", got)
	}
	if record := s.Runs()[0]; record.Finished || !record.Cancelled {
		t.Fatalf("%+v", record)
	}
}

// One input crashes each engine that runs it. The stream breaks without an
// end mark, and the engine comes back on its address with empty memory.
func TestCrashOnMarker(t *testing.T) {
	s := start(t, Options{Time: fast()})
	s.CrashOn("poison", time.Millisecond)
	warm := request("warm")
	warm.Prefix = "shared prefix"
	run(t, client(t, false), s, warm, nil)
	req := request("bad")
	req.Input = json.RawMessage(`"poison"`)
	if got := run(t, client(t, false), s, req, nil); got.fault == "" {
		t.Fatalf("survived: %+v", got)
	}
	for len(s.cacheHashes()) > 0 || !s.Up() {
		time.Sleep(time.Millisecond)
	}
	if got := run(t, client(t, false), s, request("after"), nil); !got.whole {
		t.Fatalf("after the restart: %+v", got)
	}
	if records := s.Runs(); len(records) != 3 || records[1].Finished {
		t.Fatalf("records %+v", records)
	}
}

func (s *Server) cacheHashes() []string {
	s.cache.mu.Lock()
	defer s.cache.mu.Unlock()
	var hashes []string
	for key := range s.cache.byKey {
		hashes = append(hashes, key.prefix)
	}
	return hashes
}

// Every spoilt answer must be one that a strict reader notices; otherwise the
// fault would test nothing.
func TestMixUpIsNoticedByAStrictReader(t *testing.T) {
	s := start(t, Options{Time: fast(), Seed: 3})
	s.MixUp(1)
	seen := make(map[string]int)
	for i := range 30 {
		got := run(t, client(t, false), s, request(fmt.Sprint("mix-", i)), nil)
		if got.whole {
			t.Fatalf("run %d passed for whole", i)
		}
		seen[got.fault]++
	}
	if seen["ids"] == 0 || seen["gap"] == 0 || seen["cut"] == 0 {
		t.Fatalf("kinds seen: %v", seen)
	}
	s.MixUp(0)
	if got := run(t, client(t, false), s, request("clean"), nil); !got.whole {
		t.Fatalf("after the fault: %+v", got)
	}
}

// An open connection goes silent for good while new ones work: the client
// waits on the old one for an answer that never comes.
func TestSilentConnection(t *testing.T) {
	s := start(t, Options{Time: fast()})
	old := client(t, false)
	run(t, old, s, request("before"), nil)
	s.Silent()
	ctx, cancel := context.WithCancel(t.Context())
	waiting := make(chan error)
	go func() {
		resp, err := post(ctx, old, s, targetapi.PathRun, request("lost"))
		if err == nil {
			resp.Body.Close()
		}
		waiting <- err
	}()
	if got := run(t, client(t, false), s, request("new"), nil); !got.whole {
		t.Fatalf("new connection: %+v", got)
	}
	cancel()
	if err := <-waiting; err == nil {
		t.Fatal("the silent connection answered")
	}
	for _, record := range s.Runs() {
		if record.AttemptID == "lost" {
			t.Fatal("a call over the silent connection ran")
		}
	}
}
