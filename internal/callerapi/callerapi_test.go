package callerapi

import (
	"bufio"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/pipeline"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

func decode[M any](t *testing.T, raw string) M {
	t.Helper()
	var m M
	if err := json.Unmarshal([]byte(raw), &m); err != nil {
		t.Fatal(err)
	}
	return m
}

func TestWholeAnswer(t *testing.T) {
	c := newInstance(t, fakeHandler{serve: echo}, Limits{}, false)
	defer c.close()
	resp := c.send(`{"organisation":"acme","input":{"a":1},"key":"k1"}`)
	reply := decode[lynxapi.SendReply](t, resp.body)
	if resp.status != 200 || string(reply.Output) != `{"a":1}` || reply.Key != "k1" || reply.Profile != "check" || reply.ProfileVersion != 7 {
		t.Fatalf("status %d, reply %+v", resp.status, reply)
	}
}

func TestAKeyIsMadeForACallerThatGaveNone(t *testing.T) {
	var got pipeline.Request
	c := newInstance(t, fakeHandler{serve: func(ctx context.Context, req pipeline.Request, s pipeline.Sink) (pipeline.Outcome, error) {
		got = req
		return echo(ctx, req, s)
	}}, Limits{}, false)
	defer c.close()
	reply := decode[lynxapi.SendReply](t, c.send(`{"organisation":"acme","input":1}`).body)
	if reply.Key == "" || reply.Key != got.Key || got.KeyGiven || got.ID == "" || !got.Deadline.IsZero() {
		t.Fatalf("reply %+v, request %+v", reply, got)
	}
}

func TestBadInputGetsItsKind(t *testing.T) {
	c := newInstance(t, fakeHandler{serve: func(context.Context, pipeline.Request, pipeline.Sink) (pipeline.Outcome, error) {
		return pipeline.Outcome{}, errkind.New(errkind.UnknownProfile, "no profile check")
	}}, Limits{MaxBody: 200}, false)
	defer c.close()
	tests := []struct {
		name, body string
		want       errkind.Kind
	}{
		{"malformed", `{"organisation":`, errkind.BadRequest},
		{"empty", ``, errkind.BadRequest},
		{"not an object", `[1]`, errkind.BadRequest},
		{"unknown field", `{"organisation":"acme","input":1,"priority":9}`, errkind.BadRequest},
		{"wrong type", `{"organisation":"acme","input":1,"deadline_ms":"1s"}`, errkind.BadRequest},
		{"two values", `{"organisation":"acme","input":1} {}`, errkind.BadRequest},
		{"no organisation", `{"input":1}`, errkind.NoOrganisation},
		{"other organisation", `{"organisation":"other","input":1}`, errkind.Forbidden},
		{"past deadline", `{"organisation":"acme","input":1,"deadline_at":1000}`, errkind.DeadlinePast},
		{"negative deadline", `{"organisation":"acme","input":1,"deadline_ms":-1}`, errkind.DeadlinePast},
		{"deadline too far away", `{"organisation":"acme","input":1,"deadline_ms":9223372036854775807}`, errkind.BadRequest},
		{"no input", `{"organisation":"acme"}`, errkind.BadRequest},
		{"null input", `{"organisation":"acme","input":null}`, errkind.BadRequest},
		{"control character", `{"organisation":"acme","input":1,"key":"a\nb"}`, errkind.BadRequest},
		{"key that is a path element", `{"organisation":"acme","input":1,"key":".."}`, errkind.BadRequest},
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
		unauthenticated := *c
		unauthenticated.token = "wrong"
		checkError(t, unauthenticated.send(`{"organisation":"acme","input":1}`), errkind.Unauthenticated)
	})
	t.Run("unknown path", func(t *testing.T) { checkError(t, c.do("GET", "/nowhere", ""), errkind.NotFound) })
	t.Run("wrong method", func(t *testing.T) { checkError(t, c.do("PUT", "/v1/address", ""), errkind.NotFound) })
	t.Run("address of another organisation", func(t *testing.T) {
		checkError(t, c.do("GET", "/v1/address?organisation=other", ""), errkind.Forbidden)
	})
}

func checkError(t *testing.T, got answer, want errkind.Kind) {
	t.Helper()
	body := decode[errkind.Body](t, got.body)
	row := want.Answer()
	if body.Kind != row.Name || got.status != row.Status || body.RunState != row.RunState || body.Resend != row.Resend {
		t.Fatalf("status %d, body %+v, want %+v", got.status, body, row)
	}
	if body.Message == "" || strings.Contains(body.Message, "goroutine") || strings.Contains(body.Message, "lynxapi.") {
		t.Fatalf("message %q", body.Message)
	}
}

func TestRetryAfterIsSentWithWhatMayComeBack(t *testing.T) {
	c := newInstance(t, fakeHandler{serve: func(context.Context, pipeline.Request, pipeline.Sink) (pipeline.Outcome, error) {
		return pipeline.Outcome{}, errkind.WithRetryAfter(errkind.New(errkind.Overloaded, "full"), 1500*time.Millisecond)
	}}, Limits{}, false)
	defer c.close()
	resp := c.send(`{"organisation":"acme","input":1}`)
	if got := resp.header.Get("Retry-After"); got != "2" {
		t.Fatalf("Retry-After %q", got)
	}
	checkError(t, resp, errkind.Overloaded)
}

func TestAddressOutcomeAndReadiness(t *testing.T) {
	c := newInstance(t, fakeHandler{serve: echo, ready: errkind.New(errkind.Stopping, "stopping")}, Limits{}, false)
	defer c.close()
	address := decode[lynxapi.AddressAnswer](t, c.do("GET", "/v1/address?place=p&region=r", "").body)
	if address.Addresses[0].ID != "pracme" {
		t.Fatalf("address answer %+v", address)
	}
	reply := decode[lynxapi.OutcomeReply](t, c.do("GET", "/v1/requests/k1", "").body)
	if reply.Key != "acme/k1" {
		t.Fatalf("outcome %+v", reply)
	}
	if reply := decode[lynxapi.OutcomeReply](t, c.do("GET", "/v1/requests/a%2Fb", "").body); reply.Key != "acme/a/b" {
		t.Fatalf("outcome %+v", reply)
	}
	checkError(t, c.do("GET", "/readyz", ""), errkind.Stopping)
	if got := c.do("GET", "/livez", "").status; got != 200 {
		t.Fatalf("livez: %d", got)
	}
}

// sse is one server-sent event.
type sse struct{ name, data string }

func readEvents(body string) []sse {
	var events []sse
	scanner := bufio.NewScanner(strings.NewReader(body))
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

// streamTwo returns a serveFunc that sends two frames and then returns err.
func streamTwo(err error) serveFunc {
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
	c := newInstance(t, fakeHandler{serve: streamTwo(nil)}, Limits{}, false)
	defer c.close()
	resp := c.send(`{"organisation":"acme","input":1,"stream":true}`)
	events := readEvents(resp.body)
	if names(events) != "accepted frame frame end" || resp.header.Get("Content-Type") != "text/event-stream" {
		t.Fatalf("events %v", events)
	}
	end := decode[lynxapi.SendReply](t, events[3].data)
	if end.Length != 4 || !end.Streamed || end.Output != nil {
		t.Fatalf("end %+v", end)
	}
}

func TestStreamThatFailsMidwayEndsWithAnError(t *testing.T) {
	c := newInstance(t, fakeHandler{serve: streamTwo(errkind.New(errkind.StreamBroken, "broke"))}, Limits{}, false)
	defer c.close()
	events := readEvents(c.send(`{"organisation":"acme","input":1,"stream":true}`).body)
	if names(events) != "accepted frame frame error" {
		t.Fatalf("events %v", events)
	}
	if body := decode[errkind.Body](t, events[3].data); body.Kind != "stream_broken" || body.RequestID == "" {
		t.Fatalf("body %+v", body)
	}
}

func TestAnswerOverTheLimitIsAnError(t *testing.T) {
	c := newInstance(t, fakeHandler{serve: streamTwo(nil)}, Limits{MaxAnswer: 3}, false)
	defer c.close()
	checkError(t, c.send(`{"organisation":"acme","input":1}`), errkind.AnswerTooLarge)
	events := readEvents(c.send(`{"organisation":"acme","input":1,"stream":true}`).body)
	if names(events) != "accepted frame error" {
		t.Fatalf("events %v", events)
	}
}
