package pipeline

import (
	"errors"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

const (
	// retryAfter is around when a caller may come back if nothing better is
	// known.
	retryAfter = 500 * time.Millisecond
	// repeatPause is waited before the third attempt, doubled for each more.
	// The second goes at once: most faults are of one target.
	repeatPause = 10 * time.Millisecond
)

// onFailure decides what follows a failed attempt: nothing while another may
// win, a further attempt, or the stage's error.
func (s *stageRun) onFailure(a *attempt, err error) error {
	var acquire *acquireError
	if errors.As(err, &acquire) {
		return s.onNoSlot(acquire.err)
	}
	f := stagecall.FailureOf(err)
	a.notRun, a.connectionFailed = f.NotRun, ofConnection(f)
	s.failed = f
	s.x.r.opts.Metrics.Labelled(metricFailures).Add(f.Class.String(), 1)
	switch {
	case final(f):
		return s.giveUp()
	case s.openAttempts() > 0:
		return nil
	case !s.mayRepeat(f):
		return s.giveUp()
	}
	s.repeat()
	return nil
}

// ofConnection reports failures that may be the connection's, not the target's.
func ofConnection(f *stagecall.Failure) bool {
	switch f.Class {
	case stagecall.ClassSilent, stagecall.ClassBroken, stagecall.ClassProtocol:
		return true
	}
	return false
}

// notLoad reports failures that more load neither causes nor follows from: the
// target could not be reached, its connection was lost, it is leaving. A wait
// that was too long and a busy target may be load.
func notLoad(f *stagecall.Failure) bool {
	switch f.Class {
	case stagecall.ClassConnect, stagecall.ClassBroken, stagecall.ClassProtocol:
		return true
	case stagecall.ClassRefused:
		return f.Code != targetapi.CodeBusy
	}
	return f.Connection
}

// final reports failures that another target would meet too.
func final(f *stagecall.Failure) bool {
	return f.Class == stagecall.ClassBadInput || f.Code == stagecall.CodeTooLarge
}

// mayRepeat is the rule of repeats: only what is idempotent, or proven not to
// have run. A failure after the first byte of a call is never proof.
func (s *stageRun) mayRepeat(f *stagecall.Failure) bool {
	if s.detached || s.x.over() {
		return false
	}
	if !s.stage.Idempotent && !f.NotRun {
		return false
	}
	if len(s.attempts) >= s.x.r.opts.MaxAttempts {
		return false
	}
	return !s.x.r.opts.Crash.Refused(s.x.fingerprint)
}

// repeat makes a further attempt, after a pause from the third on.
func (s *stageRun) repeat() {
	s.x.r.opts.Metrics.Counter(metricRepeats).Add(1)
	made := len(s.attempts)
	if made < 2 {
		s.launch(true, false)
		return
	}
	pause := repeatPause << (made - 2)
	s.repeatTimer = s.x.r.opts.Clock.NewTimer(s.x.r.jitter(pause))
}

// onNoSlot handles an attempt that had no slot. Once an attempt has failed,
// that failure tells the caller more than "no slot for a repeat".
func (s *stageRun) onNoSlot(err error) error {
	switch {
	case s.openAttempts() > 0:
		return nil
	case s.x.over():
		return s.endOfContext()
	case outOfPart(err) && !s.wholeRest:
		s.wholeRest = true
		s.launch(s.failed != nil, false)
		return nil
	case s.failed == nil:
		return err
	case errkind.Is(err, errkind.NoTarget) && !s.forgave && s.mayRepeat(s.failed):
		s.forgave = true
		s.launch(true, false)
		return nil
	}
	return s.giveUp()
}

// outOfPart reports that the queue refused for the stage's part of the deadline.
// The part orders queues; only the request's own deadline ends it.
func outOfPart(err error) bool {
	kind := errkind.Of(err)
	return kind == errkind.DeadlineBeforeRun || kind == errkind.DeadlineUnreachable
}

// giveUp returns the stage's error after its last failure.
func (s *stageRun) giveUp() error {
	return errkind.Wrap(s.failed, s.kindOf(s.failed), "stage %s", s.stage.Name)
}

// kindOf maps a failure to what the caller is told.
func (s *stageRun) kindOf(f *stagecall.Failure) errkind.Kind {
	switch {
	case s.x.r.opts.Crash.Refused(s.x.fingerprint):
		return errkind.CrashesTargets
	case f.Class == stagecall.ClassBadInput:
		return errkind.TargetRejectedInput
	case f.Code == stagecall.CodeTooLarge:
		return errkind.AnswerTooLarge
	case f.Class == stagecall.ClassCancelled && s.x.late():
		return errkind.DeadlineAfterRun
	case f.Class == stagecall.ClassCancelled && s.x.ctx.Err() != nil:
		return errkind.Cancelled
	case !s.own.any() && f.Class == stagecall.ClassConnect:
		return errkind.NoTarget
	case !s.own.any():
		return errkind.TargetRefused
	case s.streams && len(s.text) > 0:
		return errkind.StreamBroken
	}
	return errkind.TargetFailed
}

// releaseIfNotRun lets a resend run a claimed stage that was certainly not run.
func (s *stageRun) releaseIfNotRun() {
	if s.claim == nil || s.own.close() {
		return
	}
	s.claim.Release()
}
