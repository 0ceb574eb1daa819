package pipeline

import "time"

const (
	// behindFactor is the multiple of the usual time per token above which a
	// stream counts as slow. minMigrationGain is the minimum ratio of the expected
	// remaining time on the present target to that on another one. The estimate of
	// the remaining time is rough, and a migration costs the processing of the
	// prompt once more.
	behindFactor     = 3
	minMigrationGain = 2
	// minSaving is the time that a migration must be expected to save to justify
	// its risk.
	minSaving = 100 * time.Millisecond
	// minPaceWait is the shortest wait before an overdue frame is examined, so
	// that a pause of this process is not mistaken for a slow target.
	minPaceWait = 50 * time.Millisecond
	// maxMigrations is the maximum number of migrations of one stage: if a second
	// target is as slow as the first, a third probably is too.
	maxMigrations = 2
)

// pace measures the speed of an attempt's stream. It is accessed by the stage's
// goroutine only.
type pace struct {
	tokens   int           // tokens received, including those of the first frame
	later    int           // tokens received after the first frame
	last     int           // tokens in the latest frame
	waited   time.Duration // total wait for the frames after the first
	at       time.Time     // when the latest frame was accepted
	reported bool          // the gate has been informed that the stream is slow
}

func (p *pace) add(sig signal, now time.Time) {
	if p.tokens > 0 {
		p.later += sig.frame.Tokens
	}
	p.last = sig.frame.Tokens
	p.tokens += sig.frame.Tokens
	p.waited = sig.waited
	p.at = now
}

// perToken returns a lower bound of the stream's time per token: the value that
// results if the next frame arrives now and is as long as the latest.
func (p *pace) perToken(now time.Time) time.Duration {
	tokens := max(p.later+p.last, 1)
	return (p.waited + now.Sub(p.at)) / time.Duration(tokens)
}

// watchPace starts the timer that checks the pace of the attempt when its next
// frame is overdue.
func (s *stageRun) watchPace(a *attempt) {
	stopTimer(&s.paceTimer)
	if !s.mayMigrate(a) {
		return
	}
	due := behindFactor * a.usual.PerToken * time.Duration(max(a.pace.last, 1))
	s.paceTimer = s.x.r.opts.Clock.NewTimer(max(due, minPaceWait))
}

// mayMigrate reports whether the attempt's stream may be migrated to another
// target: only for idempotent stages, while the caller is waiting, and never for a
// request that is suspected of crashing targets.
func (s *stageRun) mayMigrate(a *attempt) bool {
	return s.stage.Idempotent && !s.detached && a.usual.PerToken > 0 && s.replacement == nil && s.migrations < maxMigrations &&
		len(s.attempts) < s.x.r.opts.MaxAttempts && !s.x.ended() && !s.x.r.opts.CrashGuard.Suspected(s.x.fingerprint)
}

// checkPace examines the primary attempt when its next frame is overdue, and
// starts a replacement on another target if that is expected to finish much
// sooner. Without this a stream that began on a straggler stays there to its end,
// which shows as waits between tokens of several times the usual and as a late
// answer.
func (s *stageRun) checkPace() {
	a := s.primary
	if a == nil || !s.mayMigrate(a) {
		return
	}
	now := s.x.now()
	perToken := a.pace.perToken(now)
	if perToken <= behindFactor*a.usual.PerToken {
		s.watchPace(a)
		return
	}
	if !a.pace.reported {
		a.pace.reported = true
		a.slot.ReportPace(perToken)
	}
	if !s.worthMigrating(a, perToken) {
		return
	}
	s.migrations++
	s.x.r.opts.Metrics.Counter(metricMigrations).Add(1)
	s.replacement = s.launchWith(true, true, true)
	s.replacement.hedge, s.replacement.replaces = false, true
}

// worthMigrating reports whether the rest of the answer is expected to take much
// longer on the present target than on another one.
func (s *stageRun) worthMigrating(a *attempt, perToken time.Duration) bool {
	left := time.Duration(s.tokensLeft(a.usual.Tokens))
	here := left * perToken
	there := a.usual.FirstByte + left*a.usual.PerToken
	return here >= minMigrationGain*there && here-there >= minSaving
}

// tokensLeft estimates the number of tokens that are still to come. It is at
// least a quarter of the usual length, for answers that are longer than usual.
func (s *stageRun) tokensLeft(usual int) int {
	const part = 4
	written := 0
	for _, a := range s.attempts {
		written += a.pace.tokens
	}
	return max(usual-written, usual/part)
}

// settleMigration ends a migration when the primary attempt or its replacement has
// ended. Meanwhile the frames of the primary attempt have been held back, because
// the replacement continues from the answer as it was when the replacement
// started, and its text may differ. If the primary attempt has completed or the
// replacement has failed, the held frames are accepted. If the primary attempt has
// failed, the replacement continues alone and the held frames are dropped.
func (s *stageRun) settleMigration(a *attempt, err error) error {
	if s.replacement == nil || (a != s.replacement && a != s.primary) {
		return nil
	}
	held := s.heldFrames
	primaryContinues := a == s.replacement && err != nil || a == s.primary && err == nil
	s.replacement, s.heldFrames = nil, nil
	if !primaryContinues {
		return nil
	}
	for _, sig := range held {
		if err := s.accept(sig); err != nil {
			return err
		}
	}
	return nil
}
