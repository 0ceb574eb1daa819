// Package callerapi implements the HTTP API for callers: instance discovery,
// requests to profiles (answered as one JSON object or as server-sent events)
// and the lookup of a request's outcome by its idempotency key. It validates
// requests, assigns each one an id, and answers every error as the table of
// error kinds (package errkind) specifies.
package callerapi

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/coder/quartz"
	"lynxhill.example/lynxhill/internal/auth"
	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/defaults"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/httpserver"
	"lynxhill.example/lynxhill/internal/intake"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/outcome"
	"lynxhill.example/lynxhill/internal/pipeline"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// Handler executes validated requests. The instance implements it.
type Handler interface {
	// Serve runs the request and returns its outcome, or an error with a kind.
	// If req.Deadline is zero, the profile's deadline applies. The sink's
	// methods must be called from one goroutine, and not after Serve has
	// returned. ctx is cancelled when the caller disconnects.
	Serve(ctx context.Context, req pipeline.Request, sink pipeline.Sink) (pipeline.Outcome, error)
	// Outcome returns the recorded outcome of the request with an idempotency key.
	Outcome(ctx context.Context, key outcome.Key) (lynxapi.OutcomeReply, error)
	// Address returns the instances that the caller should use.
	Address(ctx context.Context, question DiscoveryRequest) (lynxapi.AddressAnswer, error)
	// Ready returns nil if the instance accepts new requests, otherwise an
	// error with the reason.
	Ready() error
}

// DiscoveryRequest holds what the caller states about itself in a discovery
// request. Zone and Region may be empty.
type DiscoveryRequest struct {
	Zone         string
	Region       string
	Organisation string
}

// Limits bounds the size and duration of each request and the number of
// concurrent requests.
type Limits struct {
	MaxBody      int64         // bytes; 0 = 1 MiB
	MaxAnswer    int64         // bytes of a complete answer; 0 = 4 MiB
	MaxInFlight  int64         // concurrent requests; 0 = 4096
	BodyTimeout  time.Duration // to read the whole request body; 0 = 10 s
	WriteTimeout time.Duration // to write one server-sent event or one error answer of a stream; 0 = 10 s
}

// Default values of Limits and Options.
const (
	defaultMaxBody        = 1 << 20
	defaultMaxAnswer      = 4 << 20
	defaultMaxInFlight    = 4096
	defaultHeartbeatEvery = time.Second
)

func (l Limits) withDefaults() Limits {
	defaults.Positive(&l.MaxBody, defaultMaxBody)
	defaults.Positive(&l.MaxAnswer, defaultMaxAnswer)
	defaults.Positive(&l.MaxInFlight, defaultMaxInFlight)
	defaults.Positive(&l.BodyTimeout, httpserver.DefaultBodyTimeout)
	defaults.Positive(&l.WriteTimeout, httpserver.DefaultWriteTimeout)
	return l
}

// Options configures New.
type Options struct {
	Handler        Handler
	Auth           *auth.Verifier
	Limits         Limits
	Clock          clock.Clock   // nil = real time
	HeartbeatEvery time.Duration // interval of the heartbeat events of a stream; 0 = 1 s
	Self           string        // id of this instance
	// Memory limits the memory of the requests; nil = no limit.
	Memory  *intake.Memory
	Logger  *event.Logger
	Metrics *metrics.Registry
}

var (
	metricRequests   = metrics.Define("caller_requests_total", "requests", "Requests to profiles that arrived, refused ones included.")
	metricInFlight   = metrics.Define("caller_requests_in_flight", "requests", "Requests to profiles that are being handled.")
	metricAnswers    = metrics.Define("caller_answers_total", "answers", "Answers to requests by error kind; ok for whole ones.")
	metricFrames     = metrics.Define("caller_frames_total", "frames", "Frames of streamed answers that were written.")
	metricHeartbeats = metrics.Define("caller_heartbeats_total", "events", "Heartbeats that were written to waiting callers.")
	metricGone       = metrics.Define("caller_gone_total", "requests", "Streams that ended because the caller took no more or went away.")
)

// api holds the state that all requests share.
type api struct {
	opts     Options
	inFlight atomic.Int64
}

// New returns the handler of the caller listener.
func New(opts Options) (http.Handler, error) {
	if opts.Handler == nil || opts.Auth == nil {
		return nil, errors.New("callerapi: Handler and Auth are required")
	}
	if opts.Clock == nil {
		opts.Clock = quartz.NewReal()
	}
	defaults.Positive(&opts.HeartbeatEvery, defaultHeartbeatEvery)
	opts.Limits = opts.Limits.withDefaults()
	a := &api{opts: opts}
	return httpserver.NewRouter(httpserver.RouterOptions{
		Routes:      a.routes(),
		BodyTimeout: opts.Limits.BodyTimeout,
		Memory:      opts.Memory,
		Logger:      opts.Logger,
	})
}

func (a *api) routes() []httpserver.Route {
	return []httpserver.Route{
		{Method: http.MethodGet, Path: lynxapi.PathAddress, Handler: a.address},
		{Method: http.MethodPost, Path: lynxapi.PathRequests, Handler: a.send},
		{Method: http.MethodGet, Path: lynxapi.PathOutcome, Handler: a.outcome},
		{Method: http.MethodGet, Path: lynxapi.PathReady, Handler: a.ready},
		{Method: http.MethodGet, Path: lynxapi.PathAlive, Handler: alive},
	}
}

// address answers a discovery request with the instances to use.
func (a *api) address(w http.ResponseWriter, r *http.Request) {
	organisation, err := a.organisation(r, r.URL.Query().Get("organisation"))
	if err != nil {
		a.fail(w, err, pipeline.Request{})
		return
	}
	answer, err := a.opts.Handler.Address(r.Context(), DiscoveryRequest{
		Zone:         r.URL.Query().Get("place"),
		Region:       r.URL.Query().Get("region"),
		Organisation: organisation,
	})
	if err != nil {
		a.fail(w, err, pipeline.Request{})
		return
	}
	httpserver.WriteJSON(w, http.StatusOK, answer)
}

// outcome answers with the recorded outcome of the request with a key.
func (a *api) outcome(w http.ResponseWriter, r *http.Request) {
	organisation, err := a.organisation(r, r.URL.Query().Get("organisation"))
	if err != nil {
		a.fail(w, err, pipeline.Request{})
		return
	}
	key := outcome.Key{Organisation: organisation, Key: httpserver.PathVar(r, "key")}
	reply, err := a.opts.Handler.Outcome(r.Context(), key)
	if err != nil {
		a.fail(w, err, pipeline.Request{})
		return
	}
	httpserver.WriteJSON(w, http.StatusOK, reply)
}

// organisation returns the organisation that the caller's token belongs to. If
// the caller names an organisation, it must be the same one.
func (a *api) organisation(r *http.Request, named string) (string, error) {
	own, err := a.opts.Auth.Caller(r.Header.Get("Authorization"))
	if err != nil {
		return "", err
	}
	if named != "" && named != own {
		return "", errOtherOrganisation()
	}
	return own, nil
}

func errOtherOrganisation() error {
	return errkind.New(errkind.Forbidden, "the token belongs to another organisation")
}

func (a *api) ready(w http.ResponseWriter, _ *http.Request) {
	if err := a.opts.Handler.Ready(); err != nil {
		httpserver.WriteError(w, err, "")
		return
	}
	httpserver.WriteJSON(w, http.StatusOK, struct{}{})
}

func alive(w http.ResponseWriter, _ *http.Request) {
	httpserver.WriteJSON(w, http.StatusOK, struct{}{})
}

// fail logs and counts an error and answers with it. Only the fields of req
// that are already known are set.
func (a *api) fail(w http.ResponseWriter, err error, req pipeline.Request) {
	a.recordError(err, req)
	httpserver.WriteError(w, err, req.ID)
}

// recordError logs and counts the error that a request ended with.
func (a *api) recordError(err error, req pipeline.Request) {
	answer := errkind.Of(err).Answer()
	a.opts.Metrics.Labelled(metricAnswers).Add(answer.Name, 1)
	pairs := []any{"request", req.ID, "organisation", req.Organisation, "profile", req.Profile}
	if answer.Status >= http.StatusInternalServerError {
		// Only server errors are logged with their text: the text of a
		// caller's mistake may quote the caller's input.
		pairs = append(pairs, "error", err)
	}
	a.opts.Logger.Log(event.ID(answer.Event), pairs...)
}
