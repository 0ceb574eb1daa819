package target

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// server is a target on the loopback interface with a handler given by the test.
type server struct {
	target stagecall.Target
	http   *http.Server

	mu      sync.Mutex // guards the fields below
	runs    []targetapi.RunRequest
	cancels []string
	from    []string // client address of each run
}

func newServer(t *testing.T, handle func(w http.ResponseWriter, req targetapi.RunRequest)) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{target: stagecall.Target{ID: "t", Address: listener.Addr().String()}}
	mux := http.NewServeMux()
	mux.HandleFunc(targetapi.PathRun, func(w http.ResponseWriter, r *http.Request) {
		var req targetapi.RunRequest
		_ = json.NewDecoder(r.Body).Decode(&req)
		s.mu.Lock()
		s.runs = append(s.runs, req)
		s.from = append(s.from, r.RemoteAddr)
		s.mu.Unlock()
		handle(w, req)
	})
	mux.HandleFunc(targetapi.PathCancel, func(_ http.ResponseWriter, r *http.Request) {
		var req targetapi.CancelRequest
		_ = json.NewDecoder(r.Body).Decode(&req)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.cancels = append(s.cancels, req.AttemptID)
	})
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	s.http = &http.Server{Handler: mux, Protocols: protocols}
	go func() { _ = s.http.Serve(listener) }()
	t.Cleanup(func() { _ = s.http.Close() })
	return s
}

func (s *server) cancelled() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.cancels)
}

func newClient(t *testing.T, opts Options) *Client {
	t.Helper()
	c := New(opts)
	t.Cleanup(c.Close)
	return c
}

func writeReply(w http.ResponseWriter, req targetapi.RunRequest) {
	_ = json.NewEncoder(w).Encode(targetapi.RunReply{
		RequestID: req.RequestID, AttemptID: req.AttemptID, Output: json.RawMessage(`"out"`), Cost: 2, ServiceMS: 3,
	})
}

// writeEvent writes a server-sent event and flushes it.
func writeEvent(w http.ResponseWriter, name string, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", eventStreamType)
	fmt.Fprintf(w, "event: %s\ndata: %s\n\n", name, data)
	_ = http.NewResponseController(w).Flush()
}

func frameOf(req targetapi.RunRequest, offset int, text string) targetapi.Frame {
	return targetapi.Frame{RequestID: req.RequestID, AttemptID: req.AttemptID, Offset: offset, Text: text}
}

func endOf(req targetapi.RunRequest, length int) targetapi.End {
	return targetapi.End{RequestID: req.RequestID, AttemptID: req.AttemptID, Length: length}
}

func wholeRequest() targetapi.RunRequest {
	return targetapi.RunRequest{RequestID: "r", AttemptID: "r.0", Stage: "s", Input: json.RawMessage(`{}`)}
}

func streamRequest() targetapi.RunRequest {
	req := wholeRequest()
	req.Stream = true
	return req
}

func collect(text *string) func(targetapi.Frame) error {
	return func(frame targetapi.Frame) error {
		*text += frame.Text
		return nil
	}
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func TestRunWhole(t *testing.T) {
	s := newServer(t, writeReply)
	c := newClient(t, Options{})
	result, err := c.Run(testContext(t), s.target, wholeRequest(), stagecall.Options{}, nil)
	if err != nil || string(result.Output) != `"out"` || result.Cost != 2 || result.Service != 3*time.Millisecond {
		t.Errorf("got %+v, %v", result, err)
	}
}

func TestRunStream(t *testing.T) {
	s := newServer(t, func(w http.ResponseWriter, req targetapi.RunRequest) {
		writeEvent(w, targetapi.EventFrame, frameOf(req, 0, "ab"))
		writeEvent(w, targetapi.EventFrame, frameOf(req, 2, "cd"))
		writeEvent(w, targetapi.EventEnd, endOf(req, 4))
	})
	c := newClient(t, Options{})
	var text string
	result, err := c.Run(testContext(t), s.target, streamRequest(), stagecall.Options{}, collect(&text))
	if err != nil || text != "abcd" || result.Length != 4 {
		t.Errorf("got %q, %+v, %v", text, result, err)
	}
}
