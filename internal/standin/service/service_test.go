package service

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

func start(t *testing.T, opts Options) *Server {
	t.Helper()
	s, err := New(opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func request(attempt, kind string) targetapi.RunRequest {
	return targetapi.RunRequest{
		RequestID: "r1", AttemptID: attempt, Organisation: "dealer-1", Key: "k1", Stage: "book", Kind: kind,
		Input: json.RawMessage(`{"curve":1}`),
	}
}

func run(ctx context.Context, s *Server, req targetapi.RunRequest) (int, []byte, error) {
	data, _ := json.Marshal(req)
	call, err := http.NewRequestWithContext(ctx, "POST", "http://"+s.Addr()+targetapi.PathRun, bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	resp, err := http.DefaultClient.Do(call)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	var body bytes.Buffer
	_, err = body.ReadFrom(resp.Body)
	return resp.StatusCode, body.Bytes(), err
}

func TestOutputsVerify(t *testing.T) {
	for _, kind := range []string{KindEncode, KindRetrieve, KindRerank, KindService} {
		s := start(t, Options{ID: "s1", Kind: kind, Median: time.Millisecond})
		req := request("a1", kind)
		status, body, err := run(t.Context(), s, req)
		if err != nil || status != http.StatusOK {
			t.Fatalf("%s: %d %v", kind, status, err)
		}
		var reply targetapi.RunReply
		if err := json.Unmarshal(body, &reply); err != nil {
			t.Fatal(err)
		}
		if string(reply.Output) != string(Output(kind, req.Stage, &req)) || reply.Cost == 0 || reply.Load == nil {
			t.Fatalf("%s: %s", kind, body)
		}
		if err := CheckOutput(reply.Output, "dealer-1", req.Input); err != nil {
			t.Fatal(err)
		}
		if err := CheckOutput(reply.Output, "dealer-2", req.Input); !errors.Is(err, ErrNotOwn) {
			t.Fatalf("%s: stranger: %v", kind, err)
		}
		altered := bytes.Replace(reply.Output, []byte(`"digest":"`), []byte(`"digest":"0`), 1)
		if err := CheckOutput(altered, "dealer-1", req.Input); !errors.Is(err, ErrMalformed) {
			t.Fatalf("%s: altered: %v", kind, err)
		}
	}
}

// The booking was done and its reply lost: the caller can't tell, the record
// can. A second attempt then shows as two runs of one key.
func TestLostReplyIsRecordedAsRun(t *testing.T) {
	s := start(t, Options{ID: "s1", Median: time.Millisecond})
	s.LoseNext(1)
	if status, _, err := run(t.Context(), s, request("a1", KindService)); err == nil {
		t.Fatalf("answered with %d", status)
	}
	if status, _, _ := run(t.Context(), s, request("a2", KindService)); status != http.StatusOK {
		t.Fatalf("second attempt: %d", status)
	}
	runs := s.Runs()
	if len(runs) != 2 || !runs[0].Finished || runs[0].Key != runs[1].Key || runs[0].Target != "s1" {
		t.Fatalf("records %+v", runs)
	}
}

// A caller goes away while its booking runs. The service doesn't notice and
// books all the same; an encoder stops.
func TestOnlyPlainServicesRunOnWithoutTheirCaller(t *testing.T) {
	for kind, finished := range map[string]bool{KindService: true, KindEncode: false} {
		s := start(t, Options{ID: "s1", Kind: kind, Median: 30 * time.Millisecond, Spread: 0.01})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _, _ = run(ctx, s, request("a1", kind))
		}()
		for s.Running() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
		<-done
		for s.Running() > 0 {
			time.Sleep(time.Millisecond)
		}
		if record := s.Runs()[0]; record.Finished != finished {
			t.Fatalf("%s: %+v", kind, record)
		}
	}
}

func TestRefusalsSayThatNothingRan(t *testing.T) {
	s := start(t, Options{ID: "s1", Median: time.Millisecond})
	refused := func(want string, req targetapi.RunRequest) {
		t.Helper()
		_, body, err := run(t.Context(), s, req)
		var refusal targetapi.Refusal
		if err != nil || json.Unmarshal(body, &refusal) != nil || refusal.Code != want || refusal.Ran {
			t.Fatalf("want %s: %s, %v", want, body, err)
		}
	}
	s.Refuse(true)
	refused(targetapi.CodeBusy, request("a1", KindService))
	s.Refuse(false)
	s.Leave()
	refused(targetapi.CodeLeaving, request("a2", KindService))
	s.Return()
	refused(targetapi.CodeBadInput, request("a3", KindEncode))
	if len(s.Runs()) != 0 {
		t.Fatalf("records %+v", s.Runs())
	}
	s.Fail(1)
	status, body, _ := run(t.Context(), s, request("a4", KindService))
	var refusal targetapi.Refusal
	if json.Unmarshal(body, &refusal) != nil || status != http.StatusInternalServerError || !refusal.Ran {
		t.Fatalf("failed run: %d %s", status, body)
	}
}

func TestCrashAndRestartOnTheSameAddress(t *testing.T) {
	s := start(t, Options{ID: "s1", Median: time.Hour, Spread: 0.01})
	address := s.Addr()
	before := s.LoadReport().Seq
	broken := make(chan error)
	go func() {
		_, _, err := run(t.Context(), s, request("a1", KindService))
		broken <- err
	}()
	for s.Running() == 0 {
		time.Sleep(time.Millisecond)
	}
	s.Crash()
	if err := <-broken; err == nil {
		t.Fatal("the run survived the crash")
	}
	if _, _, err := run(t.Context(), s, request("a2", KindService)); err == nil {
		t.Fatal("a crashed service answered")
	}
	if err := s.Restart(); err != nil || s.Addr() != address {
		t.Fatalf("restart: %v, %s", err, s.Addr())
	}
	if seq := s.LoadReport().Seq; seq != before {
		t.Fatalf("a new process counts its load reports from %d", seq)
	}
	if status, _, err := run(t.Context(), s, request("a3", KindEncode)); err != nil || status != http.StatusBadRequest {
		t.Fatalf("after the restart: %d %v", status, err)
	}
	if runs := s.Runs(); len(runs) != 1 || runs[0].Finished {
		t.Fatalf("records %+v", runs)
	}
}
