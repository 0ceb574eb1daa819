// Package serving takes a request that the caller API has checked to its
// answer: it is admitted, finds the request's home, shares the run with
// other requests of the same key, and runs the pipeline.
package serving

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"lynxhill.example/lynxhill/internal/admission"
	"lynxhill.example/lynxhill/internal/claim"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/outcome"
	"lynxhill.example/lynxhill/internal/pipeline"
	"lynxhill.example/lynxhill/internal/profile"
)

// Runner runs a request through its stages.
type Runner interface {
	Run(ctx context.Context, req pipeline.Request, sink pipeline.Sink) (pipeline.Outcome, error)
}

// Outcomes shares runs between requests with the same key.
type Outcomes interface {
	Do(ctx context.Context, key outcome.Key, bodyHash, requestID string, run func(ctx context.Context) outcome.Record) (outcome.Record, bool, error)
}

// Tickets reads tickets.
type Tickets interface {
	// Home returns the instance that issued the ticket; ok is false if it is
	// malformed.
	Home(ticket string) (instance string, ok bool)
}

// Forwarder runs a request at another instance.
type Forwarder interface {
	Forward(ctx context.Context, instance string, req pipeline.Request, sink pipeline.Sink) (pipeline.Outcome, error)
}

// Options are the parts that a Server connects.
type Options struct {
	Self     string // id of this instance
	Profiles func(name string) (profile.Versioned, bool)
	Admitter admission.Admitter
	Runner   Runner
	Outcomes Outcomes
	Tickets  Tickets
	Forward  Forwarder
	// NotSent is in the chain of a Forwarder's error if the other instance was
	// not reached at all.
	NotSent error
	// MayAdmit returns nil if this instance takes new work, else the reason.
	MayAdmit func() error
	// ClaimsUp reports whether the store that holds claims answers.
	ClaimsUp func() bool
	// Lost returns a channel that is closed when this instance is found cut
	// off from its targets; nil = never.
	Lost func() <-chan struct{}
	// Refused is told of requests that were refused before the Runner.
	Refused func(req pipeline.Request, err error)
}

// Server serves requests at their home.
type Server struct {
	opts Options
}

// New returns a server.
func New(opts Options) *Server { return &Server{opts: opts} }

// Serve runs the request, here or, if it has a stage that may run once, at the
// instance whose ticket its key was minted under, and delivers the answer to sink or in the outcome. Errors have
// kinds. A zero or later Deadline than the profile's is replaced by that.
func (s *Server) Serve(ctx context.Context, req pipeline.Request, sink pipeline.Sink) (pipeline.Outcome, error) {
	prof, err := s.profileOf(req)
	if err != nil {
		return pipeline.Outcome{}, err
	}
	req.Deadline = deadlineOf(req, prof)
	if home, remote := s.remoteHome(req); remote && runsOnce(prof) != "" {
		return s.forward(ctx, home, req, sink)
	}
	return s.serveUntilLost(ctx, req, prof, sink)
}

// errLost ends the wait for a request whose instance is cut off.
var errLost = errors.New("serving: no target can be reached")

// serveUntilLost serves the request here, and gives it up when this instance
// turns out to be cut off from its targets: its caller can then send it again
// elsewhere while there is time. A claimed stage that was dispatched goes on
// for the record, and its claim keeps a resend from running it again.
func (s *Server) serveUntilLost(ctx context.Context, req pipeline.Request, prof profile.Versioned, sink pipeline.Sink) (pipeline.Outcome, error) {
	if s.opts.Lost == nil {
		return s.serveHere(ctx, req, prof, sink)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	lost := s.opts.Lost()
	go func() {
		select {
		case <-lost:
			cancel(errLost)
		case <-ctx.Done():
		}
	}()
	out, err := s.serveHere(ctx, req, prof, sink)
	if errkind.Is(err, errkind.Cancelled) && errors.Is(context.Cause(ctx), errLost) {
		return out, errkind.New(errkind.StoppedMidway, "this instance no longer reaches its targets; send the request again elsewhere")
	}
	return out, err
}

// ServeForwarded runs a request that another instance forwarded here. It is
// never forwarded again: two instances that disagree about a ticket would send
// it round between them until its deadline.
func (s *Server) ServeForwarded(ctx context.Context, req pipeline.Request, sink pipeline.Sink) (pipeline.Outcome, error) {
	prof, err := s.profileOf(req)
	if err != nil {
		return pipeline.Outcome{}, err
	}
	return s.serveUntilLost(ctx, req, prof, sink)
}

// forward runs the request at its home. Only the home knows whether the key
// has run before: when it cannot be reached, "not run" would be true of this
// call but perhaps not of an earlier one with the same key.
func (s *Server) forward(ctx context.Context, home string, req pipeline.Request, sink pipeline.Sink) (pipeline.Outcome, error) {
	out, err := s.opts.Forward.Forward(ctx, home, req, sink)
	if err != nil && errors.Is(err, s.opts.NotSent) {
		return out, errkind.New(errkind.OutcomeUnknown, "instance %s, to which the key belongs, cannot be reached", home)
	}
	return out, err
}

func deadlineOf(req pipeline.Request, prof profile.Versioned) time.Time {
	latest := req.Received.Add(prof.Profile.Deadline)
	if req.Deadline.IsZero() || req.Deadline.After(latest) {
		return latest
	}
	return req.Deadline
}

func (s *Server) profileOf(req pipeline.Request) (profile.Versioned, error) {
	prof, ok := s.opts.Profiles(req.Profile)
	if !ok || prof.Deleted {
		// An instance that has not loaded its configuration knows no profile;
		// that says nothing about the profile.
		if err := s.opts.MayAdmit(); err != nil {
			return profile.Versioned{}, err
		}
		return profile.Versioned{}, errkind.New(errkind.UnknownProfile, "no profile %q is in force", req.Profile)
	}
	return prof, nil
}

// remoteHome returns the instance under whose ticket the key was minted, if it
// is another one. Requests that may be repeated need not go there: a frozen
// home would keep them until their deadline for nothing.
func (s *Server) remoteHome(req pipeline.Request) (string, bool) {
	ticket, ok := claim.TicketOf(req.Key)
	if !ok {
		return "", false
	}
	home, ok := s.opts.Tickets.Home(ticket)
	return home, ok && home != s.opts.Self
}

// retryAfterOutage is when a caller may come back that was refused for want of
// the store.
const retryAfterOutage = 500 * time.Millisecond

// checkClaims refuses a request that will need a claim while claims cannot be
// recorded. Without this the stages before the claim would be run and paid
// for, and the caller would wait out its deadline for "may have run"; told at
// once, it can come back, or use a key under a ticket, which needs no record.
func (s *Server) checkClaims(req pipeline.Request, prof profile.Versioned) error {
	if _, ticketed := claim.TicketOf(req.Key); ticketed || s.opts.ClaimsUp() {
		return nil
	}
	if stage := runsOnce(prof); stage != "" {
		err := errkind.New(errkind.StoreUnavailable, "the store that keeps stage %s from running twice is down; nothing was started", stage)
		return errkind.WithRetryAfter(err, retryAfterOutage)
	}
	return nil
}

// runsOnce returns the first stage that may not be repeated, "" if there is
// none.
func runsOnce(prof profile.Versioned) string {
	for _, stage := range prof.Profile.Stages {
		if !stage.Idempotent {
			return stage.Name
		}
	}
	return ""
}

func (s *Server) serveHere(ctx context.Context, req pipeline.Request, prof profile.Versioned, sink pipeline.Sink) (pipeline.Outcome, error) {
	if err := s.checkClaims(req, prof); err != nil {
		s.opts.Refused(req, err)
		return pipeline.Outcome{}, err
	}
	leave, err := s.opts.Admitter.Admit(ctx, admission.Entry{
		Organisation: req.Organisation,
		Profile:      req.Profile,
		Priority:     prof.Profile.Priority,
		Deadline:     req.Deadline,
	})
	if err != nil {
		s.opts.Refused(req, err)
		return pipeline.Outcome{}, err
	}
	if !req.KeyGiven {
		defer leave()
		return s.opts.Runner.Run(ctx, req, sink)
	}
	return s.serveShared(ctx, req, sink, leave)
}

// serveShared runs the request once for all callers with its key. The run goes
// on when its first caller goes away, so that a resend finds the answer; the
// place that the run takes at admission is given back when the run ends.
func (s *Server) serveShared(ctx context.Context, req pipeline.Request, sink pipeline.Sink, leave func()) (pipeline.Outcome, error) {
	caller := newDetachableSink(sink)
	defer caller.Detach()
	// Both are written by run and read only after Do says that run has ended.
	// A run that panics writes nothing: without the error that stands here
	// before it, its caller would get an empty answer that says it is whole.
	var own pipeline.Outcome
	ownErr := errkind.New(errkind.Internal, "the run ended without an answer")
	run := func(runCtx context.Context) outcome.Record {
		defer leave()
		own, ownErr = s.opts.Runner.Run(runCtx, req, caller)
		return recordOf(req, own, ownErr)
	}
	key := outcome.Key{Organisation: req.Organisation, Key: req.Key}
	record, shared, err := s.opts.Outcomes.Do(ctx, key, pipeline.BodyHash(req), req.ID, run)
	// Only a run gives its place back by itself. A reused key is refused by
	// the record and runs nothing: an organisation would lose a place with
	// each, until it is refused for its limit while it sends nothing.
	if shared || errkind.Is(err, errkind.KeyReused) {
		leave()
	}
	if err != nil {
		return pipeline.Outcome{}, err
	}
	if shared {
		return answerOf(record)
	}
	return own, ownErr
}

func recordOf(req pipeline.Request, out pipeline.Outcome, err error) outcome.Record {
	record := outcome.Record{RequestID: req.ID, BodyHash: pipeline.BodyHash(req)}
	if err != nil {
		body := errkind.BodyOf(err, req.ID)
		record.Err = &body
		return record
	}
	record.Output = out.Output
	return record
}

func answerOf(record outcome.Record) (pipeline.Outcome, error) {
	if record.Err != nil {
		return pipeline.Outcome{}, record.Err.Err()
	}
	return pipeline.Outcome{
		RequestID: record.RequestID,
		Output:    append(json.RawMessage(nil), record.Output...),
		Repeated:  true,
	}, nil
}
