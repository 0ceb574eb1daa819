package pipeline

import (
	"errors"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

const (
	// retryAfter is the default time after which a caller may retry, before
	// jitter.
	retryAfter = 500 * time.Millisecond
	// retryBackoff is the backoff before the third attempt; it doubles for each
	// further attempt. The second attempt is made at once, because most faults
	// affect a single target.
	retryBackoff = 10 * time.Millisecond
)

// onFailure handles a failed attempt. It does nothing while another attempt may
// still succeed, makes a further attempt, or returns the error of the stage.
func (s *stageRun) onFailure(a *attempt, err error) error {
	var acquire *acquireError
	if errors.As(err, &acquire) {
		return s.onNoSlot(acquire.err)
	}
	f := stagecall.FailureOf(err)
	a.notRun, a.connectionFailed = f.NotRun, ofConnection(f)
	s.lastFailure = f
	s.x.r.opts.Metrics.Labelled(metricFailures).Add(f.Class.String(), 1)
	switch {
	case notRetryable(f):
		return s.giveUp()
	case s.openAttempts() > 0:
		return nil
	case !s.mayRetry(f):
		return s.giveUp()
	}
	s.retry()
	return nil
}

// ofConnection reports whether a failure may be the fault of the connection and
// not of the target.
func ofConnection(f *stagecall.Failure) bool {
	switch f.Class {
	case stagecall.ClassSilent, stagecall.ClassBroken, stagecall.ClassProtocol:
		return true
	}
	return false
}

// isFault reports whether a failure is independent of load: the target could not
// be reached, its connection was lost, or it is leaving. Timeouts and busy targets
// may be caused by load.
func isFault(f *stagecall.Failure) bool {
	switch f.Class {
	case stagecall.ClassConnect, stagecall.ClassBroken, stagecall.ClassProtocol:
		return true
	case stagecall.ClassRefused:
		return f.Code != targetapi.CodeBusy
	}
	return f.ConnectionLost
}

// notRetryable reports whether the attempt would fail on any other target too.
func notRetryable(f *stagecall.Failure) bool {
	return f.Class == stagecall.ClassBadInput || f.Code == stagecall.CodeTooLarge
}

// mayRetry reports whether a further attempt is allowed. Only a stage that is
// idempotent, or whose attempt is proven not to have run, may be retried. A
// failure after the first byte of a call was sent is never such a proof.
func (s *stageRun) mayRetry(f *stagecall.Failure) bool {
	if s.detached || s.x.ended() {
		return false
	}
	if !s.stage.Idempotent && !f.NotRun {
		return false
	}
	if len(s.attempts) >= s.x.r.opts.MaxAttempts {
		return false
	}
	return !s.x.r.opts.CrashGuard.Refused(s.x.fingerprint)
}

// retry makes a further attempt: the second at once, later ones after a backoff
// with jitter.
func (s *stageRun) retry() {
	s.x.r.opts.Metrics.Counter(metricRetries).Add(1)
	made := len(s.attempts)
	if made < 2 {
		s.launch(true, false)
		return
	}
	pause := retryBackoff << (made - 2)
	s.retryTimer = s.x.r.opts.Clock.NewTimer(s.x.r.jitter(pause))
}

// onNoSlot handles an attempt that did not get a slot. If an earlier attempt has
// failed, the caller gets that failure, which is more informative than the lack of
// a slot for a retry.
func (s *stageRun) onNoSlot(err error) error {
	switch {
	case s.openAttempts() > 0:
		return nil
	case s.x.ended():
		return s.endOfContext()
	case stageTimeExceeded(err) && !s.useAllTime:
		s.useAllTime = true
		s.launch(s.lastFailure != nil, false)
		return nil
	case s.lastFailure == nil:
		return err
	case errkind.Is(err, errkind.NoTarget) && !s.allowExcluded && s.mayRetry(s.lastFailure):
		s.allowExcluded = true
		s.launch(true, false)
		return nil
	}
	return s.giveUp()
}

// stageTimeExceeded reports whether the queue refused the attempt because of the
// stage's part of the deadline. That part only determines the order in queues; a
// request ends only at its own deadline.
func stageTimeExceeded(err error) bool {
	kind := errkind.Of(err)
	return kind == errkind.DeadlineBeforeRun || kind == errkind.DeadlineUnreachable
}

// giveUp returns the error of the stage, which wraps its last failure.
func (s *stageRun) giveUp() error {
	return errkind.Wrap(s.lastFailure, s.kindOf(s.lastFailure), "stage %s", s.stage.Name)
}

// kindOf maps a failure to the error kind that the caller gets.
func (s *stageRun) kindOf(f *stagecall.Failure) errkind.Kind {
	switch {
	case s.x.r.opts.CrashGuard.Refused(s.x.fingerprint):
		return errkind.CrashesTargets
	case f.Class == stagecall.ClassBadInput:
		return errkind.TargetRejectedInput
	case f.Code == stagecall.CodeTooLarge:
		return errkind.AnswerTooLarge
	case f.Class == stagecall.ClassCancelled && s.x.late():
		return errkind.DeadlineAfterRun
	case f.Class == stagecall.ClassCancelled && s.x.ctx.Err() != nil:
		return errkind.Cancelled
	case !s.own.mayHaveRun() && f.Class == stagecall.ClassConnect:
		return errkind.NoTarget
	case !s.own.mayHaveRun():
		return errkind.TargetRefused
	case s.streams && len(s.text) > 0:
		return errkind.StreamBroken
	}
	return errkind.TargetFailed
}

// releaseIfNotRun releases the claim of a stage that is proven not to have run, so
// that a resend may run it.
func (s *stageRun) releaseIfNotRun() {
	if s.claim == nil || s.own.close() {
		return
	}
	s.claim.Release()
}
