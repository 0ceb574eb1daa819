package client

import (
	"context"
	"errors"
	"math/rand/v2"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/sleep"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// step is what to do after an error.
type step int

const (
	stepStop step = iota
	stepElsewhere
	stepLater
	stepAsk
)

// final returns the error of the last attempt. An earlier attempt may have run
// although the last one was certainly not: "not run" would then be a lie about
// the request.
func (s *sending) final(err error, worst errkind.RunState) error {
	if RunStateOf(err) == errkind.NotRun && worst != errkind.NotRun {
		return errkind.Wrap(err, errkind.OutcomeUnknown, "an earlier attempt may have run; the last one failed")
	}
	return err
}

func worse(a, b errkind.RunState) errkind.RunState {
	if a == errkind.NotRun {
		return b
	}
	return a
}

func (s *sending) settle(reply lynxapi.SendReply, err error) (Result, error) {
	if err != nil {
		return s.ended(), err
	}
	return s.result(reply), nil
}

// stepAfter follows the error's resend advice. What a transport error has not
// sent can go elsewhere at once; what it may have sent is asked for first.
func stepAfter(err error) step {
	var transport *TransportError
	if errors.As(err, &transport) {
		if transport.Sent {
			return stepAsk
		}
		return stepElsewhere
	}
	if errors.Is(err, errReceiverStopped) {
		return stepStop
	}
	if errors.Is(err, ErrNoServers) {
		return stepLater
	}
	switch errkind.Of(err).Answer().Resend {
	case errkind.ResendLater:
		return stepLater
	case errkind.ResendElsewhere:
		return stepElsewhere
	case errkind.ResendAsk:
		return stepAsk
	}
	return stepStop
}

// ask asks for the outcome of the key until it is settled, or until a resend
// under the same key is the better question. Time that runs out while an
// instance says that the request is running ends with that word, not with the
// broken connection before.
func (s *sending) ask(ctx context.Context, cause error) (reply lynxapi.SendReply, settled bool, err error) {
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
			return s.recorded(found)
		case lynxapi.OutcomeFailed:
			return s.failed(found)
		case lynxapi.OutcomeRunning:
			cause = errkind.New(errkind.KeyInProgress, "the request was still running when its time was up")
			s.pause(ctx, stepLater, nil)
		default:
			return reply, false, nil // the instance that gets the resend knows more
		}
	}
	return reply, true, cause
}

// recorded delivers the kept answer of a run that has ended.
func (s *sending) recorded(found lynxapi.OutcomeReply) (lynxapi.SendReply, bool, error) {
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
	return reply, true, s.splice.whole(found.Output)
}

// failed ends a request whose recorded error forbids a resend.
func (s *sending) failed(found lynxapi.OutcomeReply) (lynxapi.SendReply, bool, error) {
	body := errkind.Body{Kind: found.ErrorKind, Message: "the request ended with " + found.ErrorKind}
	err := body.Err()
	return lynxapi.SendReply{}, stepAfter(err) == stepStop, err
}

// pause waits before the next attempt: as long as the instance said, else
// longer each time, and by chance, so that callers that failed together do not
// come back together.
func (s *sending) pause(ctx context.Context, next step, err error) {
	if next == stepElsewhere {
		s.caller.book.expire()
		if s.attempts < 3 {
			return
		}
	}
	wait := s.caller.opts.MinBackoff << min(s.attempts, 10)
	wait = min(wait, s.caller.opts.MaxBackoff)
	wait = wait/2 + rand.N(wait/2+1)
	if told := errkind.RetryAfter(err); told > 0 {
		wait = told + rand.N(told/4+1)
	}
	_ = sleep.For(ctx, wait)
}
