package pipeline

import "time"

const (
	// behindFactor is how many times the usual time a token a stream must take
	// to count as behind, and moveGain by how many times it must be expected to
	// end sooner elsewhere. The estimate of what is left is rough, and a move
	// costs the prompt once more.
	behindFactor = 3
	moveGain     = 2
	// minSaving is what a move must save to be worth its own risk.
	minSaving = 100 * time.Millisecond
	// minPaceWait is the shortest wait after which an overdue frame is looked
	// at, so that a pause of this process is not taken for a slow target.
	minPaceWait = 50 * time.Millisecond
	// maxMoves of one stage: when a second target is as slow, the next will be.
	maxMoves = 2
)

// pace is how fast an attempt's stream goes. It belongs to the stage.
type pace struct {
	tokens int           // taken, those of the first frame included
	later  int           // taken after the first frame
	last   int           // in the latest frame
	waited time.Duration // for the later frames
	at     time.Time     // when the latest frame was taken
	told   bool          // the gate knows that it is behind
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

// perToken is the least time a token that the stream can have, if its next
// frame came now and were as long as the latest.
func (p *pace) perToken(now time.Time) time.Duration {
	tokens := max(p.later+p.last, 1)
	return (p.waited + now.Sub(p.at)) / time.Duration(tokens)
}

// watchPace has the owner looked at again if its next frame is overdue.
func (s *stageRun) watchPace(a *attempt) {
	stopTimer(&s.paceTimer)
	if !s.mayMove(a) {
		return
	}
	due := behindFactor * a.usual.PerToken * time.Duration(max(a.pace.last, 1))
	s.paceTimer = s.x.r.opts.Clock.NewTimer(max(due, minPaceWait))
}

// mayMove: only what is idempotent, while the caller waits, and never a request
// that may have crashed a target.
func (s *stageRun) mayMove(a *attempt) bool {
	return s.stage.Idempotent && !s.detached && a.usual.PerToken > 0 && s.mover == nil && s.moves < maxMoves &&
		len(s.attempts) < s.x.r.opts.MaxAttempts && !s.x.over() && !s.x.r.opts.Crash.Suspect(s.x.fingerprint)
}

// checkPace looks at the owner when its next frame is overdue. Without this a
// stream that began on a straggler stays there to its end: one would see it in
// the waits between tokens, several times the usual, and in a late answer.
func (s *stageRun) checkPace() {
	a := s.owner
	if a == nil || !s.mayMove(a) {
		return
	}
	now := s.x.now()
	perToken := a.pace.perToken(now)
	if perToken <= behindFactor*a.usual.PerToken {
		s.watchPace(a)
		return
	}
	if !a.pace.told {
		a.pace.told = true
		a.slot.Pace(perToken)
	}
	if !s.worthMoving(a, perToken) {
		return
	}
	s.moves++
	s.x.r.opts.Metrics.Counter(metricMoves).Add(1)
	s.mover = s.launchWith(true, true, true)
	s.mover.hedge, s.mover.move = false, true
}

// worthMoving compares the time to the end of the answer here and elsewhere.
func (s *stageRun) worthMoving(a *attempt, perToken time.Duration) bool {
	left := time.Duration(s.tokensLeft(a.usual.Tokens))
	here := left * perToken
	there := a.usual.FirstByte + left*a.usual.PerToken
	return here >= moveGain*there && here-there >= minSaving
}

// tokensLeft estimates what is still to come: of an answer longer than the
// usual one, a part of the usual.
func (s *stageRun) tokensLeft(usual int) int {
	const part = 4
	written := 0
	for _, a := range s.attempts {
		written += a.pace.tokens
	}
	return max(usual-written, usual/part)
}

// endMove settles a move when one of its two attempts has ended. Frames of the
// owner that came meanwhile were held back: the mover goes on from where the
// answer was when it began, and its text need not be the owner's. If the owner
// has all of the answer or the mover failed, they are taken; if the owner
// failed, the mover goes on alone.
func (s *stageRun) endMove(a *attempt, err error) error {
	if s.mover == nil || (a != s.mover && a != s.owner) {
		return nil
	}
	held := s.held
	ownerGoesOn := a == s.mover && err != nil || a == s.owner && err == nil
	s.mover, s.held = nil, nil
	if !ownerGoesOn {
		return nil
	}
	for _, sig := range held {
		if err := s.take(sig); err != nil {
			return err
		}
	}
	return nil
}
