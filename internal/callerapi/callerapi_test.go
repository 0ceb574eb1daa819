package callerapi

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/auth"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/httpserver"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/outcome"
	"lynxhill.example/lynxhill/internal/pipeline"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// fakeHandler runs serve for every request.
type fakeHandler struct {
	serve func(ctx context.Context, req pipeline.Request, sink pipeline.Sink) (pipeline.Outcome, error)
	ready error
}

func (f fakeHandler) Serve(ctx context.Context, req pipeline.Request, sink pipeline.Sink) (pipeline.Outcome, error) {
	return f.serve(ctx, req, sink)
}

func (f fakeHandler) Outcome(_ context.Context, key outcome.Key) (lynxapi.OutcomeReply, error) {
	return lynxapi.OutcomeReply{Key: key.Organisation + "/" + key.Key, State: lynxapi.OutcomeDone}, nil
}

func (f fakeHandler) Address(_ context.Context, q AddressQuestion) (lynxapi.AddressAnswer, error) {
	return lynxapi.AddressAnswer{KeepMS: 5, Addresses: []lynxapi.Address{{ID: q.Place + q.Region + q.Organisation}}}, nil
}

func (f fakeHandler) Ready() error { return f.ready }

// echo answers with the input.
func echo(_ context.Context, req pipeline.Request, _ pipeline.Sink) (pipeline.Outcome, error) {
	return pipeline.Outcome{RequestID: req.ID, Version: 7, Output: req.Input}, nil
}

// caller is a server with a client that has the token of organisation acme.
type caller struct {
	t        *testing.T
	url      string
	token    string
	registry *metrics.Registry
}

func newCaller(t *testing.T, h fakeHandler, limits Limits, heartbeat time.Duration) *caller {
	t.Helper()
	token, hash := auth.NewToken()
	verifier, err := auth.New(auth.Options{Tokens: auth.Tokens{Caller: []auth.CallerToken{{Hash: hash, Organisation: "acme"}}}})
	if err != nil {
		t.Fatal(err)
	}
	registry := metrics.NewRegistry()
	handler, err := New(Options{Handler: h, Auth: verifier, Limits: limits, HeartbeatEvery: heartbeat, Self: "i1", Metrics: registry})
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := httpserver.New(httpserver.Options{Name: "caller", Listener: listener, Handler: handler})
	go func() { _ = server.Serve() }()
	t.Cleanup(server.Kill)
	return &caller{t: t, url: "http://" + listener.Addr().String(), token: token, registry: registry}
}

func (c *caller) do(method, path, body string) *http.Response {
	c.t.Helper()
	req, err := http.NewRequest(method, c.url+path, strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func (c *caller) send(body string) *http.Response {
	c.t.Helper()
	return c.do(http.MethodPost, "/v1/profiles/check/requests", body)
}

func decode[M any](t *testing.T, r io.Reader) M {
	t.Helper()
	var m M
	if err := json.NewDecoder(r).Decode(&m); err != nil {
		t.Fatal(err)
	}
	return m
}

func TestWholeAnswer(t *testing.T) {
	c := newCaller(t, fakeHandler{serve: echo}, Limits{}, 0)
	resp := c.send(`{"organisation":"acme","input":{"a":1},"key":"k1"}`)
	reply := decode[lynxapi.SendReply](t, resp.Body)
	if resp.StatusCode != 200 || string(reply.Output) != `{"a":1}` || reply.Key != "k1" || reply.Profile != "check" || reply.ProfileVersion != 7 {
		t.Fatalf("status %d, reply %+v", resp.StatusCode, reply)
	}
}

func TestAKeyIsMadeForACallerThatGaveNone(t *testing.T) {
	var got pipeline.Request
	c := newCaller(t, fakeHandler{serve: func(ctx context.Context, req pipeline.Request, s pipeline.Sink) (pipeline.Outcome, error) {
		got = req
		return echo(ctx, req, s)
	}}, Limits{}, 0)
	reply := decode[lynxapi.SendReply](t, c.send(`{"organisation":"acme","input":1}`).Body)
	if reply.Key == "" || reply.Key != got.Key || got.KeyGiven || got.ID == "" || !got.Deadline.IsZero() {
		t.Fatalf("reply %+v, request %+v", reply, got)
	}
}

func TestBadInputGetsItsKind(t *testing.T) {
	c := newCaller(t, fakeHandler{serve: func(context.Context, pipeline.Request, pipeline.Sink) (pipeline.Outcome, error) {
		return pipeline.Outcome{}, errkind.New(errkind.UnknownProfile, "no profile check")
	}}, Limits{MaxBody: 200}, 0)
	tests := []struct {
		name, body string
		want       errkind.Kind
	}{
		{"malformed", `{"organisation":`, errkind.BadRequest},
		{"empty", ``, errkind.BadRequest},
		{"no object", `[1]`, errkind.BadRequest},
		{"unknown field", `{"organisation":"acme","input":1,"priority":9}`, errkind.BadRequest},
		{"wrong type", `{"organisation":"acme","input":1,"deadline_ms":"1s"}`, errkind.BadRequest},
		{"two values", `{"organisation":"acme","input":1} {}`, errkind.BadRequest},
		{"no organisation", `{"input":1}`, errkind.NoOrganisation},
		{"other organisation", `{"organisation":"other","input":1}`, errkind.Forbidden},
		{"past deadline", `{"organisation":"acme","input":1,"deadline_at":1000}`, errkind.DeadlinePast},
		{"negative deadline", `{"organisation":"acme","input":1,"deadline_ms":-1}`, errkind.DeadlinePast},
		{"endless deadline", `{"organisation":"acme","input":1,"deadline_ms":9223372036854775807}`, errkind.BadRequest},
		{"no input", `{"organisation":"acme"}`, errkind.BadRequest},
		{"null input", `{"organisation":"acme","input":null}`, errkind.BadRequest},
		{"control character", `{"organisation":"acme","input":1,"key":"a\nb"}`, errkind.BadRequest},
		{"key that no path can carry", `{"organisation":"acme","input":1,"key":".."}`, errkind.BadRequest},
		{"too large", `{"organisation":"acme","input":"` + strings.Repeat("x", 300) + `"}`, errkind.TooLarge},
		{"unknown profile", `{"organisation":"acme","input":1}`, errkind.UnknownProfile},
		{"unknown profile, streamed", `{"organisation":"acme","input":1,"stream":true}`, errkind.UnknownProfile},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			checkError(t, c.send(tt.body), tt.want)
		})
	}
	t.Run("no token", func(t *testing.T) {
		c := *c
		c.token = "wrong"
		checkError(t, c.send(`{"organisation":"acme","input":1}`), errkind.Unauthenticated)
	})
	t.Run("no path", func(t *testing.T) { checkError(t, c.do("GET", "/nowhere", ""), errkind.NotFound) })
	t.Run("wrong method", func(t *testing.T) { checkError(t, c.do("PUT", "/v1/address", ""), errkind.NotFound) })
	t.Run("address of another", func(t *testing.T) {
		checkError(t, c.do("GET", "/v1/address?organisation=other", ""), errkind.Forbidden)
	})
}

func checkError(t *testing.T, resp *http.Response, want errkind.Kind) {
	t.Helper()
	body := decode[errkind.Body](t, resp.Body)
	answer := want.Answer()
	if body.Kind != answer.Name || resp.StatusCode != answer.Status || body.RunState != answer.RunState || body.Resend != answer.Resend {
		t.Fatalf("status %d, body %+v, want %+v", resp.StatusCode, body, answer)
	}
	if body.Message == "" || strings.Contains(body.Message, "goroutine") || strings.Contains(body.Message, "lynxapi.") {
		t.Fatalf("message %q", body.Message)
	}
}

func TestRetryAfterIsSentWithWhatMayComeBack(t *testing.T) {
	c := newCaller(t, fakeHandler{serve: func(context.Context, pipeline.Request, pipeline.Sink) (pipeline.Outcome, error) {
		return pipeline.Outcome{}, errkind.WithRetryAfter(errkind.New(errkind.Overloaded, "full"), 1500*time.Millisecond)
	}}, Limits{}, 0)
	resp := c.send(`{"organisation":"acme","input":1}`)
	if got := resp.Header.Get("Retry-After"); got != "2" {
		t.Fatalf("Retry-After %q", got)
	}
	checkError(t, resp, errkind.Overloaded)
}

func TestAddressOutcomeAndReadiness(t *testing.T) {
	c := newCaller(t, fakeHandler{serve: echo, ready: errkind.New(errkind.Stopping, "stopping")}, Limits{}, 0)
	answer := decode[lynxapi.AddressAnswer](t, c.do("GET", "/v1/address?place=p&region=r", "").Body)
	if answer.Addresses[0].ID != "pracme" {
		t.Fatalf("address answer %+v", answer)
	}
	reply := decode[lynxapi.OutcomeReply](t, c.do("GET", "/v1/requests/k1", "").Body)
	if reply.Key != "acme/k1" {
		t.Fatalf("outcome %+v", reply)
	}
	if reply := decode[lynxapi.OutcomeReply](t, c.do("GET", "/v1/requests/a%2Fb", "").Body); reply.Key != "acme/a/b" {
		t.Fatalf("outcome %+v", reply)
	}
	checkError(t, c.do("GET", "/readyz", ""), errkind.Stopping)
	if got := c.do("GET", "/livez", "").StatusCode; got != 200 {
		t.Fatalf("livez: %d", got)
	}
}

// sse is one server-sent event.
type sse struct{ name, data string }

func readEvents(t *testing.T, r io.Reader) []sse {
	t.Helper()
	var events []sse
	scanner := bufio.NewScanner(r)
	var e sse
	for scanner.Scan() {
		name, value, _ := strings.Cut(scanner.Text(), ": ")
		switch name {
		case "event":
			e.name = value
		case "data":
			e.data = value
		case "":
			events = append(events, e)
		}
	}
	return events
}

func names(events []sse) string {
	var all []string
	for _, e := range events {
		all = append(all, e.name)
	}
	return strings.Join(all, " ")
}

// streamTwo delivers two frames and ends with err.
func streamTwo(err error) func(context.Context, pipeline.Request, pipeline.Sink) (pipeline.Outcome, error) {
	return func(_ context.Context, req pipeline.Request, sink pipeline.Sink) (pipeline.Outcome, error) {
		for i, text := range []string{"ab", "cd"} {
			if err := sink.Frame(2*i, text); err != nil {
				return pipeline.Outcome{}, err
			}
		}
		return pipeline.Outcome{RequestID: req.ID, Streamed: true, Output: json.RawMessage(`"abcd"`)}, err
	}
}

func TestStreamEndsWithItsMark(t *testing.T) {
	c := newCaller(t, fakeHandler{serve: streamTwo(nil)}, Limits{}, time.Hour)
	resp := c.send(`{"organisation":"acme","input":1,"stream":true}`)
	events := readEvents(t, resp.Body)
	if names(events) != "accepted frame frame end" || resp.Header.Get("Content-Type") != "text/event-stream" {
		t.Fatalf("events %v", events)
	}
	end := decode[lynxapi.SendReply](t, strings.NewReader(events[3].data))
	if end.Length != 4 || !end.Streamed || end.Output != nil {
		t.Fatalf("end %+v", end)
	}
}

func TestStreamThatFailsMidwayEndsWithAnError(t *testing.T) {
	c := newCaller(t, fakeHandler{serve: streamTwo(errkind.New(errkind.StreamBroken, "broke"))}, Limits{}, time.Hour)
	events := readEvents(t, c.send(`{"organisation":"acme","input":1,"stream":true}`).Body)
	if names(events) != "accepted frame frame error" {
		t.Fatalf("events %v", events)
	}
	if body := decode[errkind.Body](t, strings.NewReader(events[3].data)); body.Kind != "stream_broken" || body.RequestID == "" {
		t.Fatalf("body %+v", body)
	}
}

func TestAnswerOverTheLimitIsAnError(t *testing.T) {
	c := newCaller(t, fakeHandler{serve: streamTwo(nil)}, Limits{MaxAnswer: 3}, time.Hour)
	checkError(t, c.send(`{"organisation":"acme","input":1}`), errkind.AnswerTooLarge)
	events := readEvents(t, c.send(`{"organisation":"acme","input":1,"stream":true}`).Body)
	if names(events) != "accepted frame error" {
		t.Fatalf("events %v", events)
	}
}
