package client

import (
	"context"
	"errors"
	"math/rand/v2"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/sleep"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// step is the action after a failed attempt.
type step int

const (
	stepStop step = iota
	stepOtherInstance
	stepBackoff
	stepQueryOutcome
)

// finalError returns the error of the whole request, given the error of the last
// attempt. If the last attempt certainly did not run but an earlier one may
// have, the kind is OutcomeUnknown, because reporting "not run" for the request
// would be wrong.
func (s *sending) finalError(err error, worst errkind.RunState) error {
	if RunStateOf(err) == errkind.NotRun && worst != errkind.NotRun {
		return errkind.Wrap(err, errkind.OutcomeUnknown, "an earlier attempt may have run; the last one failed")
	}
	return err
}

func worseRunState(a, b errkind.RunState) errkind.RunState {
	if a == errkind.NotRun {
		return b
	}
	return a
}

func (s *sending) settledResult(reply lynxapi.SendReply, err error) (Result, error) {
	if err != nil {
		return s.resultWithoutAnswer(), err
	}
	return s.result(reply), nil
}

// stepAfter returns the action that the error's resend advice specifies. A call
// that was certainly not sent can be retried at another instance at once; for
// one that may have been sent, the outcome is requested first.
func stepAfter(err error) step {
	var transport *TransportError
	if errors.As(err, &transport) {
		if transport.Sent {
			return stepQueryOutcome
		}
		return stepOtherInstance
	}
	if errors.Is(err, errReceiverStopped) {
		return stepStop
	}
	if errors.Is(err, ErrNoServers) {
		return stepBackoff
	}
	switch errkind.Of(err).Answer().Resend {
	case errkind.ResendLater:
		return stepBackoff
	case errkind.ResendElsewhere:
		return stepOtherInstance
	case errkind.ResendAsk:
		return stepQueryOutcome
	}
	return stepStop
}

// awaitOutcome requests the outcome of the key until it is settled, or until a
// retry under the same key is the better way to find out. If the time runs out
// while an instance reports that the request is running, the error says so
// instead of reporting the earlier broken connection.
func (s *sending) awaitOutcome(ctx context.Context, cause error) (reply lynxapi.SendReply, settled bool, err error) {
	for ctx.Err() == nil {
		found, err := s.caller.outcome(ctx, s.req.Organisation, s.req.Key, s.tried)
		if err != nil && ctx.Err() != nil {
			break
		}
		if err != nil {
			return reply, false, nil
		}
		switch found.State {
		case lynxapi.OutcomeDone:
			return s.recordedAnswer(found)
		case lynxapi.OutcomeFailed:
			return s.recordedFailure(found)
		case lynxapi.OutcomeRunning:
			cause = errkind.New(errkind.KeyInProgress, "the request was still running when its time was up")
			s.backOff(ctx, stepBackoff, nil)
		default:
			return reply, false, nil // the instance that receives the retry has more information
		}
	}
	return reply, true, cause
}

// recordedAnswer delivers the recorded answer of a request that has run.
func (s *sending) recordedAnswer(found lynxapi.OutcomeReply) (lynxapi.SendReply, bool, error) {
	if len(found.Output) == 0 {
		err := errkind.New(errkind.OutcomeUnknown, "the request has run, but its answer is no longer kept")
		return lynxapi.SendReply{}, true, err
	}
	reply := lynxapi.SendReply{
		RequestID: found.RequestID,
		Key:       found.Key,
		Profile:   s.profile,
		Output:    found.Output,
		Repeated:  true,
	}
	s.splice.begin()
	return reply, true, s.splice.deliverWhole(found.Output)
}

// recordedFailure returns the recorded error of a request and whether the error
// forbids a retry.
func (s *sending) recordedFailure(found lynxapi.OutcomeReply) (lynxapi.SendReply, bool, error) {
	body := errkind.Body{Kind: found.ErrorKind, Message: "the request ended with " + found.ErrorKind}
	err := body.Err()
	return lynxapi.SendReply{}, stepAfter(err) == stepStop, err
}

// backOff waits before the next attempt: for the Retry-After duration of err if
// there is one, otherwise with exponential backoff. Both have jitter, so that
// callers that failed together do not retry together.
func (s *sending) backOff(ctx context.Context, next step, err error) {
	if next == stepOtherInstance {
		s.caller.addresses.expire()
		if s.attempts < 3 {
			return
		}
	}
	wait := s.caller.opts.MinBackoff << min(s.attempts, 10)
	wait = min(wait, s.caller.opts.MaxBackoff)
	wait = wait/2 + rand.N(wait/2+1)
	if retryAfter := errkind.RetryAfter(err); retryAfter > 0 {
		wait = retryAfter + rand.N(retryAfter/4+1)
	}
	_ = sleep.For(ctx, wait)
}
