package pipeline

import (
	"encoding/json"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/invariant"
	"lynxhill.example/lynxhill/internal/stagecall"
)

func (s *stageRun) handle(sig signal) (output json.RawMessage, done bool, err error) {
	switch sig.kind {
	case signalStarted:
		s.onStarted(sig)
		return nil, false, nil
	case signalFrame:
		err := s.onFrame(sig)
		return nil, err != nil, err
	default:
		return s.onEnded(sig)
	}
}

// onStarted notes the target and sets the time for a hedge.
func (s *stageRun) onStarted(sig signal) {
	a := sig.attempt
	a.choice, a.started, a.begun = sig.choice, true, s.x.now()
	a.slot, a.usual = sig.slot, sig.timeouts.Usual
	if s.mayHedge() && sig.timeouts.HedgeAt > 0 {
		stopTimer(&s.hedgeTimer)
		s.hedgeTimer = s.x.r.opts.Clock.NewTimer(sig.timeouts.HedgeAt)
	}
}

// mayHedge: only idempotent stages, once, and never a request that may have
// crashed a target.
func (s *stageRun) mayHedge() bool {
	return s.stage.Idempotent && !s.hedged && s.owner == nil && !s.x.r.opts.Crash.Suspect(s.x.fingerprint)
}

func (s *stageRun) launchHedge() {
	if !s.mayHedge() || s.openAttempts() != 1 || len(s.attempts) >= s.x.r.opts.MaxAttempts {
		return
	}
	s.hedged = true
	s.x.r.opts.Metrics.Counter(metricHedges).Add(1)
	s.launch(true, true)
}

// onFrame takes a frame of the one attempt that delivers. The first attempt to
// send a frame becomes that attempt and the others are cancelled.
func (s *stageRun) onFrame(sig signal) error {
	a := sig.attempt
	if (s.owner == nil || s.mover == a) && a.open && !a.lost {
		s.choose(a)
	}
	if s.owner != a {
		return nil
	}
	if s.mover != nil {
		s.held = append(s.held, sig)
		return nil
	}
	return s.take(sig)
}

// take adds a frame of the owner to the answer.
func (s *stageRun) take(sig signal) error {
	a := sig.attempt
	if !s.ownFrame(sig) {
		return errkind.New(errkind.Internal, "a frame did not fit the answer")
	}
	if len(s.text)+len(sig.frame.Text) > s.x.r.opts.MaxAnswerBytes {
		return errkind.Wrap(errAnswerTooLarge, errkind.AnswerTooLarge, "stage %s", s.stage.Name)
	}
	a.delivered = true
	s.text = append(s.text, sig.frame.Text...)
	a.pace.add(sig, s.x.now())
	if err := s.pass(sig.frame.Text); err != nil {
		return err
	}
	s.watchPace(a)
	return nil
}

// ownFrame asserts that a frame is the owner's next one. The arguments of the
// assertion are only made when it fails: they cost six allocations a frame.
func (s *stageRun) ownFrame(sig signal) bool {
	check, frame := s.x.r.opts.Check, &sig.frame
	if frame.RequestID != s.x.req.ID || frame.AttemptID != sig.attempt.id {
		return check.Check(false, invariant.OwnAnswer, "frame of %s/%s in attempt %s", frame.RequestID, frame.AttemptID, sig.attempt.id)
	}
	if frame.Offset != len(s.text) {
		return check.Check(false, invariant.OffsetsContiguous, "request %s: frame at %d, answer at %d", s.x.req.ID, frame.Offset, len(s.text))
	}
	return true
}

// pass hands text of the last stage to the caller.
func (s *stageRun) pass(text string) error {
	if !s.last || s.detached {
		return nil
	}
	if err := s.x.deliver(text); err != nil {
		s.detach()
		return errkind.Wrap(err, errkind.Cancelled, "the caller went away")
	}
	return nil
}

// choose makes a the only attempt that may deliver.
func (s *stageRun) choose(a *attempt) {
	s.owner = a
	s.mover, s.held = nil, nil
	stopTimer(&s.hedgeTimer)
	stopTimer(&s.paceTimer)
	for _, other := range s.attempts {
		if other != a && other.open {
			other.lost = true
			other.cancel(errOutrun)
		}
	}
}

func (s *stageRun) onEnded(sig signal) (output json.RawMessage, done bool, err error) {
	a := sig.attempt
	a.open, a.ended = false, s.x.now()
	a.cancel(nil)
	if a.lost {
		a.cost = sig.result.Cost
		return nil, false, nil
	}
	if err := s.endMove(a, sig.err); err != nil {
		return nil, true, err
	}
	if s.owner == a {
		s.owner = nil
	}
	if a.move && sig.err != nil && s.owner != nil {
		a.notRun = stagecall.FailureOf(sig.err).NotRun
		return nil, false, nil
	}
	if sig.err == nil {
		return s.onSuccess(a, sig.result)
	}
	err = s.onFailure(a, sig.err)
	return nil, err != nil, err
}

// onSuccess takes an attempt's whole answer.
func (s *stageRun) onSuccess(a *attempt, result stagecall.Result) (output json.RawMessage, done bool, err error) {
	a.cost = result.Cost
	if s.streams && result.Length != len(s.text) {
		err := s.onFailure(a, protocolError("end mark says %d bytes, %d came", result.Length, len(s.text)))
		return nil, err != nil, err
	}
	s.choose(a)
	s.winner, s.tokens = a, result.Tokens
	output, err = s.output(result)
	if err == nil && s.claim != nil {
		s.claim.Complete(output)
	}
	return output, true, err
}

func (s *stageRun) output(result stagecall.Result) (json.RawMessage, error) {
	if s.streams {
		return json.Marshal(string(s.text))
	}
	if len(result.Output) > s.x.r.opts.MaxAnswerBytes {
		return nil, errkind.Wrap(errAnswerTooLarge, errkind.AnswerTooLarge, "stage %s", s.stage.Name)
	}
	return result.Output, nil
}
