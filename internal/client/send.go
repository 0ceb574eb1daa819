package client

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// answerGrace is how long after a request's deadline its answer may still be
// on the way.
const answerGrace = 500 * time.Millisecond

// Result is the whole answer to a request.
type Result struct {
	Reply lynxapi.SendReply
	// Text is the streamed answer, or the output if it is a JSON string.
	Text     string
	Attempts int
	Server   string   // instance's address that gave the answer
	Keys     []string // idempotency keys used, in order; more than one only if the earlier ones were certainly not run
}

// Send sends a request to a profile and returns its whole answer. If
// req.Stream is set, deliver (may be nil) gets each piece once and in order,
// over all attempts.
//
// A request without a key is given one, so that every resend carries the same:
// it then runs at most once where it must, and the answer of a run that went
// on is found again. After an error the resend advice decides: never, later,
// at another instance, or after asking for the outcome. The error of the last
// attempt is returned; RunStateOf tells whether the request may have run.
func (c *Caller) Send(ctx context.Context, profileName string, req lynxapi.SendRequest, deliver FrameFunc) (Result, error) {
	ownKey := req.Key == ""
	if ownKey {
		req.Key = c.MintKey(ctx)
	}
	now := time.Now()
	deadline := deadlineOf(req, now)
	last := deadline
	if last.IsZero() {
		last = now.Add(profile.MaxDeadline) // no profile has a longer one
	}
	ctx, cancel := context.WithDeadline(ctx, last.Add(answerGrace))
	defer cancel()
	s := &sending{
		caller: c, profile: profileName, req: req, ownKey: ownKey, keys: []string{req.Key},
		deadline: deadline, splice: splice{deliver: deliver},
	}
	return s.run(ctx)
}

// deadlineOf returns the earlier of the request's two deadlines, zero if it
// names none.
func deadlineOf(req lynxapi.SendRequest, now time.Time) time.Time {
	var deadline time.Time
	if req.DeadlineMS > 0 {
		deadline = now.Add(time.Duration(req.DeadlineMS) * time.Millisecond)
	}
	if req.DeadlineAt > 0 {
		if at := time.UnixMilli(req.DeadlineAt); deadline.IsZero() || at.Before(deadline) {
			deadline = at
		}
	}
	return deadline
}

// sending is one request over all its attempts.
type sending struct {
	caller   *Caller
	profile  string
	req      lynxapi.SendRequest
	ownKey   bool      // the key was made here, not by the application
	keys     []string  // used so far
	deadline time.Time // zero = the profile's, which this side does not know
	splice   splice
	tried    []string
	attempts int
	unsent   int // of them, those that certainly reached no instance
	server   string
}

func (s *sending) run(ctx context.Context) (Result, error) {
	worst := errkind.NotRun
	var told error // the last error that an instance answered with
	for {
		reply, err := s.attempt(ctx)
		if err == nil {
			return s.result(reply), nil
		}
		if IsUnreachable(err) {
			s.unsent++
		}
		worst = worse(worst, RunStateOf(err))
		err, told = s.lastWord(ctx, err, told)
		next := stepAfter(err)
		if next == stepStop || s.triedEnough() || s.expired(time.Now()) || ctx.Err() != nil {
			return s.ended(), s.final(err, worst)
		}
		if next == stepAsk {
			reply, settled, askErr := s.ask(ctx, err)
			if settled {
				return s.settle(reply, askErr)
			}
		}
		s.rekey(ctx, err, worst)
		s.pause(ctx, next, err)
		if ctx.Err() != nil {
			return s.ended(), s.final(err, worst)
		}
	}
}

// triedEnough bounds the attempts. Those that reached no instance count only
// for a request whose deadline is not known: while all instances are replaced
// at once, refused connections would use the attempts up in two seconds of a
// deadline of five.
func (s *sending) triedEnough() bool {
	counted := s.attempts
	if !s.deadline.IsZero() {
		counted -= s.unsent
	}
	return counted >= s.caller.opts.MaxAttempts
}

// lastWord returns the error to go by and the last one that an instance
// answered with. An attempt that ended only because the time was up says less
// than what an instance said before.
func (s *sending) lastWord(ctx context.Context, err, told error) (now, last error) {
	var transport *TransportError
	if !errors.As(err, &transport) {
		return err, err
	}
	if ctx.Err() != nil && told != nil {
		return told, told
	}
	return err, told
}

func (s *sending) result(reply lynxapi.SendReply) Result {
	text := s.splice.delivered.String()
	result := s.ended()
	result.Reply, result.Text = reply, text
	return result
}

// ended is the result of a request that got no answer.
func (s *sending) ended() Result {
	return Result{Attempts: s.attempts, Server: s.server, Keys: s.keys}
}

// attempt sends the request once.
func (s *sending) attempt(ctx context.Context) (lynxapi.SendReply, error) {
	answer, err := s.caller.Address(ctx)
	if err != nil {
		s.attempts++
		return lynxapi.SendReply{}, err
	}
	address, ok := s.caller.pick(answer, s.tried)
	if !ok {
		s.attempts++
		return lynxapi.SendReply{}, ErrNoServers
	}
	s.attempts++
	s.server = address.Address
	s.tried = append(s.tried, address.Address)
	reply, err := s.caller.sendTo(ctx, address.Address, s.profile, s.remaining(), &s.splice)
	if err != nil {
		s.caller.noteUnreachable(address.Address, err)
	}
	return reply, err
}

// remaining returns the request with the time that is left. The deadline goes
// as a duration, since the two clocks may differ.
func (s *sending) remaining() lynxapi.SendRequest {
	req := s.req
	if !s.deadline.IsZero() {
		req.DeadlineAt = 0
		req.DeadlineMS = max(time.Until(s.deadline).Milliseconds(), 1)
	}
	return req
}

// expired reports whether no answer can come in time any more. A resend would
// only be refused, and its refusal would hide the error that says more.
func (s *sending) expired(now time.Time) bool {
	return !s.deadline.IsZero() && !now.Before(s.deadline)
}

func (c *Caller) sendTo(ctx context.Context, server, profileName string, req lynxapi.SendRequest, s *splice) (lynxapi.SendReply, error) {
	ctx, giveUp := context.WithCancelCause(ctx)
	defer giveUp(nil)
	base := c.base(server)
	what := call{method: http.MethodPost, path: pathOf(lynxapi.PathRequests, ":profile", profileName), body: req}
	ctx, heard := c.expectHeader(ctx, req, giveUp)
	resp, err := send(ctx, c.http.Do, base, c.opts.Token, what)
	heard()
	if err != nil {
		return lynxapi.SendReply{}, explainSilence(ctx, err)
	}
	if req.Stream {
		return c.readStream(base, resp.Body, req, s)
	}
	var reply lynxapi.SendReply
	if err := readReply(base, resp, &reply); err != nil {
		return reply, err
	}
	if err := checkOwn(reply.Key, req.Key); err != nil {
		return reply, err
	}
	s.begin()
	return reply, s.whole(reply.Output)
}

const (
	// leastHeaderWait is several times what an instance takes to begin a stream.
	leastHeaderWait = 400 * time.Millisecond
	// provenFor is how long an answer shows that its connection works.
	provenFor = 100 * time.Millisecond
)

// expectHeader gives a stream up that does not begin; the returned function
// says that it has. Instances begin a stream within a tenth of a second, so
// that a part of a short deadline is enough to know a silent one. A request
// that is answered whole has no such sign: on a connection that went silent it
// waits for its deadline.
//
// A connection that was used before may have gone silent since; one sees its
// requests late by a quarter of their deadline. The instance is then often well
// and its next connection works, so such a one is given less time, unless it
// has answered just now, say the question for addresses: then a stream that
// does not begin tells of a busy instance.
func (c *Caller) expectHeader(ctx context.Context, req lynxapi.SendRequest, giveUp context.CancelCauseFunc) (sending context.Context, heard func()) {
	if !req.Stream {
		return ctx, func() {}
	}
	began, wait := time.Now(), c.headerWait(req)
	timer := time.AfterFunc(wait, func() { giveUp(ErrIdleTimeout) })
	connected := func(info httptrace.GotConnInfo) {
		proven := info.WasIdle && info.IdleTime < provenFor
		if info.Reused && !proven {
			timer.Reset(min(wait, leastHeaderWait))
			return
		}
		timer.Reset(wait - time.Since(began)) // also after a kept one that was found closed
	}
	sending = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: connected})
	return sending, func() { timer.Stop() }
}

// headerWait is how long a new connection's stream may take to begin.
func (c *Caller) headerWait(req lynxapi.SendRequest) time.Duration {
	if req.DeadlineMS <= 0 {
		return c.opts.IdleTimeout
	}
	part := time.Duration(req.DeadlineMS) * time.Millisecond / 4
	return min(c.opts.IdleTimeout, max(part, leastHeaderWait))
}

// explainSilence replaces the error of a cancelled call by its cause.
func explainSilence(ctx context.Context, err error) error {
	var transport *TransportError
	if errors.Is(context.Cause(ctx), ErrIdleTimeout) && errors.As(err, &transport) {
		transport.Err = ErrIdleTimeout
	}
	return err
}
