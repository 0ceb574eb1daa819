package client

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// instance is a fake lynxhill instance. Each request to a profile is answered by
// the next script.
type instance struct {
	t       *testing.T
	server  *httptest.Server
	mu      sync.Mutex // guards the fields below
	scripts []script
	keys    []string
	asked   int
	outcome lynxapi.OutcomeReply
	ticket  string   // in the address answers, which advise its use if it is set
	others  []string // further addresses in the address answers
	weight  float64  // weight of others; the instance's own address has weight 1
}

// script answers one request to a profile.
type script func(w *eventWriter, req lynxapi.SendRequest)

func newInstance(t *testing.T, scripts ...script) *instance {
	t.Helper()
	i := &instance{t: t, scripts: scripts, outcome: lynxapi.OutcomeReply{State: lynxapi.OutcomeNoRecord}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/address", i.address)
	mux.HandleFunc("POST /v1/profiles/{profile}/requests", i.send)
	mux.HandleFunc("GET /v1/requests/{key}", i.outcomeReply)
	i.server = httptest.NewServer(mux)
	t.Cleanup(i.server.Close)
	return i
}

func (i *instance) addr() string { return strings.TrimPrefix(i.server.URL, "http://") }

func (i *instance) address(w http.ResponseWriter, _ *http.Request) {
	answer := lynxapi.AddressAnswer{KeepMS: 60000, Addresses: []lynxapi.Address{{ID: "a", Address: i.addr(), Zone: "near", Weight: 1}}}
	for _, other := range i.others {
		answer.Addresses = append(answer.Addresses, lynxapi.Address{ID: other, Address: other, Zone: "far", Weight: i.weight})
	}
	i.mu.Lock()
	answer.Ticket, answer.TicketAdvised = i.ticket, i.ticket != ""
	i.asked++
	i.mu.Unlock()
	writeJSON(w, http.StatusOK, answer)
}

func (i *instance) send(w http.ResponseWriter, r *http.Request) {
	var req lynxapi.SendRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		i.t.Errorf("request: %v", err)
	}
	i.mu.Lock()
	i.keys = append(i.keys, req.Key)
	if len(i.scripts) == 0 {
		i.mu.Unlock()
		writeError(w, errkind.UnknownProfile)
		return
	}
	next := i.scripts[0]
	i.scripts = i.scripts[1:]
	i.mu.Unlock()
	next(&eventWriter{w: w, r: r, key: req.Key}, req)
}

// advise makes later address answers contain the ticket and advise its use.
func (i *instance) advise(ticket string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ticket = ticket
}

func (i *instance) outcomeReply(w http.ResponseWriter, r *http.Request) {
	i.mu.Lock()
	reply := i.outcome
	i.mu.Unlock()
	reply.Key = r.PathValue("key")
	writeJSON(w, http.StatusOK, reply)
}

func (i *instance) attempts() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, key := range i.keys {
		if key == "" || key != i.keys[0] {
			i.t.Errorf("attempts under different keys: %q", i.keys)
		}
	}
	return len(i.keys)
}

func writeJSON(w http.ResponseWriter, status int, message any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(message)
}

func writeError(w http.ResponseWriter, kind errkind.Kind) {
	writeJSON(w, kind.Answer().Status, errkind.BodyOf(errkind.New(kind, "refused"), ""))
}

// eventWriter writes server-sent events.
type eventWriter struct {
	w   http.ResponseWriter
	r   *http.Request
	key string
}

func (e *eventWriter) event(name string, message any) {
	raw, _ := json.Marshal(message)
	fmt.Fprintf(e.w, "event: %s\ndata: %s\n\n", name, raw)
	e.w.(http.Flusher).Flush()
}

func (e *eventWriter) begin() {
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.event(lynxapi.EventAccepted, lynxapi.Accepted{Key: e.key})
}

func (e *eventWriter) frames(offset int, texts ...string) {
	for _, text := range texts {
		e.event(lynxapi.EventFrame, lynxapi.Frame{Offset: offset, Text: text})
		offset += len(text)
	}
}

func (e *eventWriter) end(length int) {
	e.event(lynxapi.EventEnd, lynxapi.SendReply{Key: e.key, Streamed: true, Length: length})
}

// cut aborts the connection.
func (e *eventWriter) cut() { panic(http.ErrAbortHandler) }

func whole(w *eventWriter, _ lynxapi.SendRequest) {
	w.begin()
	w.frames(0, "hello ", "world")
	w.end(11)
}

func refuse(kind errkind.Kind) script {
	return func(w *eventWriter, _ lynxapi.SendRequest) { writeError(w.w, kind) }
}

func newTestCaller(servers ...string) *Caller {
	return NewCaller(CallerOptions{
		Servers: servers, Zone: "near", IdleTimeout: time.Minute,
		MinBackoff: time.Millisecond, MaxBackoff: 2 * time.Millisecond,
	})
}

// sendStream sends one streamed request and returns the text that was delivered.
func sendStream(t *testing.T, c *Caller, attempts int) (delivered string, result Result, err error) {
	t.Helper()
	c.opts.MaxAttempts = attempts
	req := lynxapi.SendRequest{Organisation: "agency", Input: json.RawMessage(`{}`), Stream: true, DeadlineMS: 10_000}
	result, err = c.Send(t.Context(), "check", req, func(f lynxapi.Frame) error {
		if f.Offset != len(delivered) {
			t.Errorf("frame at %d after %d bytes", f.Offset, len(delivered))
		}
		delivered += f.Text
		return nil
	})
	return delivered, result, err
}

// counts returns the numbers of address requests and of requests to a profile.
func (i *instance) counts() (asked, sent int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.asked, len(i.keys)
}

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
