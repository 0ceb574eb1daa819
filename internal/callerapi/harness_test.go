package callerapi

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"lynxhill.example/lynxhill/internal/auth"
	"lynxhill.example/lynxhill/internal/httpserver"
	"lynxhill.example/lynxhill/internal/memnet"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/outcome"
	"lynxhill.example/lynxhill/internal/pipeline"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

type serveFunc func(context.Context, pipeline.Request, pipeline.Sink) (pipeline.Outcome, error)

// fakeHandler is a Handler that calls serve for every request.
type fakeHandler struct {
	serve serveFunc
	ready error
}

func (f fakeHandler) Serve(ctx context.Context, req pipeline.Request, sink pipeline.Sink) (pipeline.Outcome, error) {
	return f.serve(ctx, req, sink)
}

func (f fakeHandler) Outcome(_ context.Context, key outcome.Key) (lynxapi.OutcomeReply, error) {
	return lynxapi.OutcomeReply{Key: key.Organisation + "/" + key.Key, State: lynxapi.OutcomeDone}, nil
}

func (f fakeHandler) Address(_ context.Context, q DiscoveryRequest) (lynxapi.AddressAnswer, error) {
	return lynxapi.AddressAnswer{KeepMS: 5, Addresses: []lynxapi.Address{{ID: q.Zone + q.Region + q.Organisation}}}, nil
}

func (f fakeHandler) Ready() error { return f.ready }

// echo is a serveFunc that answers with the request's input.
func echo(_ context.Context, req pipeline.Request, _ pipeline.Sink) (pipeline.Outcome, error) {
	return pipeline.Outcome{RequestID: req.ID, Version: 7, Output: req.Input}, nil
}

// newHandler returns the HTTP handler under test and a caller token of the
// organisation acme.
func newHandler(t testing.TB, h fakeHandler, limits Limits, registry *metrics.Registry) (handler http.Handler, token string) {
	t.Helper()
	token, hash := auth.NewToken()
	verifier, err := auth.New(auth.Options{Tokens: auth.Tokens{Caller: []auth.CallerToken{{Hash: hash, Organisation: "acme"}}}})
	if err != nil {
		t.Fatal(err)
	}
	handler, err = New(Options{Handler: h, Auth: verifier, Limits: limits, Self: "i1", Metrics: registry})
	if err != nil {
		t.Fatal(err)
	}
	return handler, token
}

// instance is a server for the handler under test together with an HTTP client,
// connected by unbuffered in-memory connections.
type instance struct {
	t        *testing.T
	listener *memnet.Listener
	server   *httpserver.Server
	client   *http.Client
	token    string
	registry *metrics.Registry
}

func newInstance(t *testing.T, h fakeHandler, limits Limits, http2 bool) *instance {
	t.Helper()
	v := &instance{t: t, listener: memnet.Listen(), registry: metrics.NewRegistry()}
	handler, token := newHandler(t, h, limits, v.registry)
	v.token = token
	v.server = httpserver.New(httpserver.Options{Name: "caller", Listener: v.listener, Handler: handler})
	protocols := new(http.Protocols)
	protocols.SetHTTP1(!http2)
	protocols.SetUnencryptedHTTP2(http2)
	v.client = &http.Client{Transport: &http.Transport{DialContext: v.listener.Dial, Protocols: protocols}}
	go func() { _ = v.server.Serve() }()
	return v
}

func (v *instance) close() {
	v.server.Close()
	v.client.CloseIdleConnections()
}

// answer is an HTTP response whose body has been read completely.
type answer struct {
	status int
	header http.Header
	body   string
}

func (v *instance) do(method, path, body string) answer {
	v.t.Helper()
	req, err := http.NewRequest(method, "http://i1"+path, strings.NewReader(body))
	if err != nil {
		v.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+v.token)
	resp, err := v.client.Do(req)
	if err != nil {
		v.t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		v.t.Fatal(err)
	}
	return answer{status: resp.StatusCode, header: resp.Header, body: string(raw)}
}

func (v *instance) send(body string) answer {
	v.t.Helper()
	return v.do(http.MethodPost, "/v1/profiles/check/requests", body)
}

// dial sends a request over a new connection and does not read the response.
// length is the Content-Length to announce; it may exceed the length of body.
func (v *instance) dial(body string, length int) net.Conn {
	v.t.Helper()
	conn, err := v.listener.Dial(v.t.Context(), "", "")
	if err != nil {
		v.t.Fatal(err)
	}
	_, err = fmt.Fprintf(conn, "POST /v1/profiles/check/requests HTTP/1.1\r\nHost: i1\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		v.token, length, body)
	if err != nil {
		v.t.Fatal(err)
	}
	return conn
}
