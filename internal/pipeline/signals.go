package pipeline

import (
	"encoding/json"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/invariant"
	"lynxhill.example/lynxhill/internal/stagecall"
)

// handle processes a signal of an attempt. done reports that the stage has its
// result.
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

// onStarted records the target of an attempt and starts the timer for a hedge.
func (s *stageRun) onStarted(sig signal) {
	a := sig.attempt
	a.choice, a.started, a.begun = sig.choice, true, s.x.now()
	a.slot, a.usual = sig.slot, sig.timeouts.Typical
	if s.mayHedge() && sig.timeouts.HedgeDelay > 0 {
		stopTimer(&s.hedgeTimer)
		s.hedgeTimer = s.x.r.opts.Clock.NewTimer(sig.timeouts.HedgeDelay)
	}
}

// mayHedge reports whether a hedge is allowed: only for idempotent stages, once
// per stage, while there is no primary attempt, and never for a request that is
// suspected of crashing targets.
func (s *stageRun) mayHedge() bool {
	return s.stage.Idempotent && !s.hedged && s.primary == nil && !s.x.r.opts.CrashGuard.Suspected(s.x.fingerprint)
}

func (s *stageRun) launchHedge() {
	if !s.mayHedge() || s.openAttempts() != 1 || len(s.attempts) >= s.x.r.opts.MaxAttempts {
		return
	}
	s.hedged = true
	s.x.r.opts.Metrics.Counter(metricHedges).Add(1)
	s.launch(true, true)
}

// onFrame handles a frame. The first attempt that sends a frame becomes the
// primary attempt and the others are cancelled, and so does a replacement with its
// first frame. Frames of other attempts are dropped. While a replacement is
// running, frames of the primary attempt are held back.
func (s *stageRun) onFrame(sig signal) error {
	a := sig.attempt
	if (s.primary == nil || s.replacement == a) && a.open && !a.superseded {
		s.makePrimary(a)
	}
	if s.primary != a {
		return nil
	}
	if s.replacement != nil {
		s.heldFrames = append(s.heldFrames, sig)
		return nil
	}
	return s.accept(sig)
}

// accept appends a frame of the primary attempt to the answer.
func (s *stageRun) accept(sig signal) error {
	a := sig.attempt
	if !s.checkFrame(sig) {
		return errkind.New(errkind.Internal, "a frame did not fit the answer")
	}
	if len(s.text)+len(sig.frame.Text) > s.x.r.opts.MaxAnswerBytes {
		return errkind.Wrap(errAnswerTooLarge, errkind.AnswerTooLarge, "stage %s", s.stage.Name)
	}
	a.delivered = true
	s.text = append(s.text, sig.frame.Text...)
	a.pace.add(sig, s.x.now())
	if err := s.forward(sig.frame.Text); err != nil {
		return err
	}
	s.watchPace(a)
	return nil
}

// checkFrame asserts that a frame is the next one of the primary attempt. The
// arguments of the assertion are only evaluated when it fails, because they cost
// six allocations per frame.
func (s *stageRun) checkFrame(sig signal) bool {
	check, frame := s.x.r.opts.Invariants, &sig.frame
	if frame.RequestID != s.x.req.ID || frame.AttemptID != sig.attempt.id {
		return check.Check(false, invariant.OwnAnswer, "received a frame of %s/%s in attempt %s", frame.RequestID, frame.AttemptID, sig.attempt.id)
	}
	if frame.Offset != len(s.text) {
		return check.Check(false, invariant.OffsetsContiguous, "request %s: received a frame at offset %d, answer has %d bytes", s.x.req.ID, frame.Offset, len(s.text))
	}
	return true
}

// forward delivers text to the caller if the stage is the last one.
func (s *stageRun) forward(text string) error {
	if !s.last || s.detached {
		return nil
	}
	if err := s.x.deliver(text); err != nil {
		s.detach()
		return errkind.Wrap(err, errkind.Cancelled, "the caller went away")
	}
	return nil
}

// makePrimary makes a the only attempt that may deliver and cancels the others.
func (s *stageRun) makePrimary(a *attempt) {
	s.primary = a
	s.replacement, s.heldFrames = nil, nil
	stopTimer(&s.hedgeTimer)
	stopTimer(&s.paceTimer)
	for _, other := range s.attempts {
		if other != a && other.open {
			other.superseded = true
			other.cancel(errSuperseded)
		}
	}
}

// onEnded handles the end of an attempt. done reports that the stage has its
// result.
func (s *stageRun) onEnded(sig signal) (output json.RawMessage, done bool, err error) {
	a := sig.attempt
	a.open, a.ended = false, s.x.now()
	a.cancel(nil)
	if a.superseded {
		a.cost = sig.result.Cost
		return nil, false, nil
	}
	if err := s.settleMigration(a, sig.err); err != nil {
		return nil, true, err
	}
	if s.primary == a {
		s.primary = nil
	}
	if a.replaces && sig.err != nil && s.primary != nil {
		a.notRun = stagecall.FailureOf(sig.err).NotRun
		return nil, false, nil
	}
	if sig.err == nil {
		return s.onSuccess(a, sig.result)
	}
	err = s.onFailure(a, sig.err)
	return nil, err != nil, err
}

// onSuccess handles an attempt that returned its complete answer, and completes
// the stage and its claim.
func (s *stageRun) onSuccess(a *attempt, result stagecall.Result) (output json.RawMessage, done bool, err error) {
	a.cost = result.Cost
	if s.streams && result.Length != len(s.text) {
		err := s.onFailure(a, protocolError("end mark says %d bytes, %d came", result.Length, len(s.text)))
		return nil, err != nil, err
	}
	s.makePrimary(a)
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
