// Package serving processes a request that the caller API has validated: it
// routes the request to its home, admits it, shares one run among requests with
// the same idempotency key, and runs the pipeline. The home of a request is the
// instance that issued the ticket under which its key was minted.
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

// Runner runs a request through the stages of its profile.
type Runner interface {
	Run(ctx context.Context, req pipeline.Request, sink pipeline.Sink) (pipeline.Outcome, error)
}

// Outcomes shares one run among requests with the same key.
type Outcomes interface {
	Do(ctx context.Context, key outcome.Key, bodyHash, requestID string, run func(ctx context.Context) outcome.Record) (outcome.Record, bool, error)
}

// Tickets parses tickets.
type Tickets interface {
	// Issuer returns the instance that issued the ticket; ok is false if it is
	// malformed.
	Issuer(ticket string) (instance string, ok bool)
}

// Forwarder forwards a request to another instance and returns its outcome.
type Forwarder interface {
	Forward(ctx context.Context, instance string, req pipeline.Request, sink pipeline.Sink) (pipeline.Outcome, error)
}

// Options are the dependencies of a Server.
type Options struct {
	Self      string // id of this instance
	Profiles  func(name string) (profile.Versioned, bool)
	Admitter  admission.Admitter
	Runner    Runner
	Outcomes  Outcomes
	Tickets   Tickets
	Forwarder Forwarder
	// ErrNotSent is wrapped by a Forwarder's error if the request was not sent
	// because the other instance could not be reached.
	ErrNotSent error
	// MayAdmit returns nil if this instance accepts new requests, otherwise the
	// reason.
	MayAdmit func() error
	// ClaimStoreUp reports whether the store that holds claims is available.
	ClaimStoreUp func() bool
	// TargetsLost returns a channel that is closed when this instance is found to be
	// disconnected from its targets. A nil function means that this is never
	// detected.
	TargetsLost func() <-chan struct{}
	// OnRefused is called for requests that are refused before they reach the
	// Runner because claims cannot be recorded or admission refuses them.
	OnRefused func(req pipeline.Request, err error)
}

// Server serves requests, or forwards them to their home.
type Server struct {
	opts Options
}

// New returns a server.
func New(opts Options) *Server { return &Server{opts: opts} }

// Serve runs the request and delivers the answer to sink or in the outcome. It
// runs the request here, or at its home if the profile has a stage that is not
// idempotent. Errors have an errkind. A Deadline that is zero or later than the
// profile allows is replaced by the latest one that the profile allows.
func (s *Server) Serve(ctx context.Context, req pipeline.Request, sink pipeline.Sink) (pipeline.Outcome, error) {
	prof, err := s.profileOf(req)
	if err != nil {
		return pipeline.Outcome{}, err
	}
	req.Deadline = deadlineOf(req, prof)
	if home, remote := s.remoteHome(req); remote && firstNonIdempotentStage(prof) != "" {
		return s.forward(ctx, home, req, sink)
	}
	return s.serveWhileTargetsReachable(ctx, req, prof, sink)
}

// errTargetsUnreachable is the cancellation cause of requests at an instance that
// can no longer reach its targets.
var errTargetsUnreachable = errors.New("serving: no target can be reached")

// serveWhileTargetsReachable serves the request at this instance, and returns
// StoppedMidway as soon as this instance is found to be disconnected from its
// targets, so that the caller can resend the request to another instance before
// the deadline. A claimed stage that was already dispatched continues, so that
// its outcome is recorded; the claim keeps a resend from running it again.
func (s *Server) serveWhileTargetsReachable(ctx context.Context, req pipeline.Request, prof profile.Versioned, sink pipeline.Sink) (pipeline.Outcome, error) {
	if s.opts.TargetsLost == nil {
		return s.serveLocally(ctx, req, prof, sink)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	lost := s.opts.TargetsLost()
	go func() {
		select {
		case <-lost:
			cancel(errTargetsUnreachable)
		case <-ctx.Done():
		}
	}()
	out, err := s.serveLocally(ctx, req, prof, sink)
	if errkind.Is(err, errkind.Cancelled) && errors.Is(context.Cause(ctx), errTargetsUnreachable) {
		return out, errkind.New(errkind.StoppedMidway, "this instance no longer reaches its targets; send the request again elsewhere")
	}
	return out, err
}

// ServeForwarded runs a request that another instance forwarded here. It never
// forwards the request again: two instances that disagree about a ticket would
// forward it to each other until its deadline.
func (s *Server) ServeForwarded(ctx context.Context, req pipeline.Request, sink pipeline.Sink) (pipeline.Outcome, error) {
	prof, err := s.profileOf(req)
	if err != nil {
		return pipeline.Outcome{}, err
	}
	return s.serveWhileTargetsReachable(ctx, req, prof, sink)
}

// forward runs the request at its home. Only the home knows whether a request
// with the key has run before. If the home cannot be reached, the error is
// OutcomeUnknown: "not run" would be true for this call, but perhaps not for an
// earlier one with the same key.
func (s *Server) forward(ctx context.Context, home string, req pipeline.Request, sink pipeline.Sink) (pipeline.Outcome, error) {
	out, err := s.opts.Forwarder.Forward(ctx, home, req, sink)
	if err != nil && errors.Is(err, s.opts.ErrNotSent) {
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
		// An instance that has not loaded its configuration has no profiles, so
		// it cannot tell whether this one exists.
		if err := s.opts.MayAdmit(); err != nil {
			return profile.Versioned{}, err
		}
		return profile.Versioned{}, errkind.New(errkind.UnknownProfile, "no profile %q is in force", req.Profile)
	}
	return prof, nil
}

// remoteHome returns the instance that issued the ticket of the key, if it is
// another instance. Requests whose stages are all idempotent need not be
// forwarded there: an unresponsive home would delay them until their deadline
// for no benefit.
func (s *Server) remoteHome(req pipeline.Request) (string, bool) {
	ticket, ok := claim.TicketOf(req.Key)
	if !ok {
		return "", false
	}
	home, ok := s.opts.Tickets.Issuer(ticket)
	return home, ok && home != s.opts.Self
}

// storeOutageRetryAfter is the RetryAfter of requests that are refused because
// the store is unavailable.
const storeOutageRetryAfter = 500 * time.Millisecond

// checkClaimStore refuses a request that will need a claim while claims cannot be
// recorded. Without this check, the stages before the claim would run and incur
// their cost, and the caller would wait until its deadline and then get "may have
// run". A caller that is refused immediately can retry later, or use a key under a
// ticket, which needs no claim in the store.
func (s *Server) checkClaimStore(req pipeline.Request, prof profile.Versioned) error {
	if _, ticketed := claim.TicketOf(req.Key); ticketed || s.opts.ClaimStoreUp() {
		return nil
	}
	if stage := firstNonIdempotentStage(prof); stage != "" {
		err := errkind.New(errkind.StoreUnavailable, "the store that keeps stage %s from running twice is down; nothing was started", stage)
		return errkind.WithRetryAfter(err, storeOutageRetryAfter)
	}
	return nil
}

// firstNonIdempotentStage returns the name of the first stage that is not
// idempotent, "" if there is none.
func firstNonIdempotentStage(prof profile.Versioned) string {
	for _, stage := range prof.Profile.Stages {
		if !stage.Idempotent {
			return stage.Name
		}
	}
	return ""
}

func (s *Server) serveLocally(ctx context.Context, req pipeline.Request, prof profile.Versioned, sink pipeline.Sink) (pipeline.Outcome, error) {
	if err := s.checkClaimStore(req, prof); err != nil {
		s.opts.OnRefused(req, err)
		return pipeline.Outcome{}, err
	}
	release, err := s.opts.Admitter.Admit(ctx, admission.AdmitRequest{
		Organisation: req.Organisation,
		Profile:      req.Profile,
		Priority:     prof.Profile.Priority,
		Deadline:     req.Deadline,
	})
	if err != nil {
		s.opts.OnRefused(req, err)
		return pipeline.Outcome{}, err
	}
	if !req.KeyGiven {
		defer release()
		return s.opts.Runner.Run(ctx, req, sink)
	}
	return s.serveShared(ctx, req, sink, release)
}

// serveShared runs the request once for all callers with its key. The run
// continues when its first caller disconnects, so that a resend gets the answer.
// The run holds its admission until it ends.
func (s *Server) serveShared(ctx context.Context, req pipeline.Request, sink pipeline.Sink, release func()) (pipeline.Outcome, error) {
	caller := newDetachableSink(sink)
	defer caller.Detach()
	// Both variables are written by run and read only after Do has reported that
	// run has ended. A run that panics does not write them: without the initial
	// error, its caller would get an empty answer marked as complete.
	var own pipeline.Outcome
	ownErr := errkind.New(errkind.Internal, "the run ended without an answer")
	run := func(runCtx context.Context) outcome.Record {
		defer release()
		own, ownErr = s.opts.Runner.Run(runCtx, req, caller)
		return recordOf(req, own, ownErr)
	}
	key := outcome.Key{Organisation: req.Organisation, Key: req.Key}
	record, shared, err := s.opts.Outcomes.Do(ctx, key, pipeline.BodyHash(req), req.ID, run)
	// Only a run releases its own admission. A request that joins another run, or
	// that is refused because its key was reused with another body, does not run
	// and must be released here. Otherwise each one would leak an admission, until
	// the organisation is refused for its limit with no requests in flight.
	if shared || errkind.Is(err, errkind.KeyReused) {
		release()
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
