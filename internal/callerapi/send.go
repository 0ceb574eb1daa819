package callerapi

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/httpserver"
	"lynxhill.example/lynxhill/internal/pipeline"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// send runs a request to a profile.
func (a *api) send(w http.ResponseWriter, r *http.Request) {
	a.opts.Metrics.Counter(metricRequests).Add(1)
	running := a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	a.opts.Metrics.Counter(metricInFlight).Add(1)
	defer a.opts.Metrics.Counter(metricInFlight).Add(-1)
	id, err := newID()
	if err != nil {
		a.fail(w, err, pipeline.Request{})
		return
	}
	if running > a.opts.Limits.MaxInFlight {
		err = errkind.New(errkind.Overloaded, "this instance is handling as many requests as it may")
		a.fail(w, err, pipeline.Request{ID: id})
		return
	}
	req, stream, err := a.accept(w, r)
	req.ID = id
	if err != nil {
		a.fail(w, err, req)
		return
	}
	if !req.KeyGiven {
		req.Key = id
	}
	if stream {
		a.stream(w, r, req)
		return
	}
	a.answerWhole(w, r, req)
}

// accept reads and validates a request. If it returns an error, req holds the
// fields known so far, for the log.
func (a *api) accept(w http.ResponseWriter, r *http.Request) (req pipeline.Request, stream bool, err error) {
	now := a.opts.Clock.Now()
	name := httpserver.PathVar(r, "profile")
	if err := validateText("profile", name, maxKeyLength); err != nil {
		return req, false, err
	}
	req.Profile = name
	req.Organisation, err = a.organisation(r, "")
	if err != nil {
		return req, false, err
	}
	raw, err := httpserver.ReadBody(w, r, a.opts.Limits.MaxBody)
	if err != nil {
		return req, false, err
	}
	body, err := parseBody(raw)
	if err != nil {
		return req, false, err
	}
	checked, err := validate(body, req.Organisation, req.Profile, now)
	if err != nil {
		return req, false, err
	}
	return checked, body.Stream, nil
}

// answerWhole runs the request and answers with one JSON object.
func (a *api) answerWhole(w http.ResponseWriter, r *http.Request, req pipeline.Request) {
	result, err := a.serve(r.Context(), req, &wholeSink{limit: a.opts.Limits.MaxAnswer})
	if err == nil && int64(len(result.Output)) > a.opts.Limits.MaxAnswer {
		err = answerTooLarge(a.opts.Limits.MaxAnswer)
	}
	if err != nil {
		a.fail(w, err, req)
		return
	}
	a.recordAnswer(req, result)
	reply := a.reply(req, result)
	reply.Output = result.Output
	httpserver.WriteJSON(w, http.StatusOK, reply)
}

func answerTooLarge(limit int64) error {
	return errkind.New(errkind.AnswerTooLarge, "the answer is larger than %d bytes", limit)
}

// serve calls the handler. It converts a panic into an Internal error, so that
// the caller gets an error body instead of a closed connection.
func (a *api) serve(ctx context.Context, req pipeline.Request, sink pipeline.Sink) (result pipeline.Outcome, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			a.opts.Logger.Log(event.HandlerPanicked, "request", req.ID, "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
			err = errkind.New(errkind.Internal, "panic")
		}
	}()
	return a.opts.Handler.Serve(ctx, req, sink)
}

func (a *api) recordAnswer(req pipeline.Request, result pipeline.Outcome) {
	a.opts.Metrics.Labelled(metricAnswers).Add("ok", 1)
	a.opts.Logger.Log(event.RequestAnswered, "request", req.ID, "organisation", req.Organisation,
		"profile", req.Profile, "version", result.Version, "total", result.Total, "repeated", result.Repeated)
}

// reply returns the reply to a request without its Output field.
func (a *api) reply(req pipeline.Request, result pipeline.Outcome) lynxapi.SendReply {
	stages := make([]lynxapi.StageCost, len(result.Stages))
	for i, s := range result.Stages {
		stages[i] = stageCost(s)
	}
	requestID := result.RequestID
	if requestID == "" {
		requestID = req.ID
	}
	return lynxapi.SendReply{
		RequestID:      requestID,
		Key:            req.Key,
		Instance:       a.opts.Self,
		Profile:        req.Profile,
		ProfileVersion: result.Version,
		Tokens:         result.Tokens,
		Repeated:       result.Repeated,
		FirstTokenMS:   milliseconds(result.FirstToken),
		TotalMS:        milliseconds(result.Total),
		Stages:         stages,
	}
}

func stageCost(s pipeline.StageReport) lynxapi.StageCost {
	return lynxapi.StageCost{
		Stage:      s.Stage,
		Kind:       string(s.Kind),
		Provider:   s.Provider,
		Service:    s.Service,
		Target:     s.Target,
		Attempts:   s.Attempts,
		Hedges:     s.Hedges,
		Resumes:    s.Resumes,
		Cost:       s.Cost,
		Wasted:     s.Wasted,
		Tokens:     s.Tokens,
		DurationMS: milliseconds(s.Duration),
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// wholeSink is the sink of a request that is not streamed. It discards the
// frames, because the answer is sent from the outcome, and only counts their
// bytes, so that an answer over the limit is aborted while it is generated.
type wholeSink struct {
	limit int64
	size  int64
}

// Frame implements pipeline.Sink.
func (s *wholeSink) Frame(_ int, text string) error {
	s.size += int64(len(text))
	if s.size > s.limit {
		return answerTooLarge(s.limit)
	}
	return nil
}

// StageDone implements pipeline.Sink.
func (s *wholeSink) StageDone(pipeline.StageReport) {}
