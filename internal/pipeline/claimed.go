package pipeline

import (
	"encoding/json"
	"time"

	"lynxhill.example/lynxhill/internal/claim"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/outcome"
)

// claimTries bounds how often a claim is asked for: a second time when the
// holder says that its request was not run, for then the claim is free.
const claimTries = 2

// claimGrace is how long a dispatched call that may not be repeated goes on past
// the deadline, for the record only. A target that answers a moment late has done
// its work; cut off at the deadline, every resend would be told "may have run"
// for the whole retention of the claim. It must stay below the grace with which
// an instance stops.
const claimGrace = 3 * time.Second

// runClaimed runs a stage that is not idempotent: under a claim, so that of
// all requests with the key one dispatches it.
func (s *stageRun) runClaimed() (json.RawMessage, error) {
	if s.x.r.opts.Claims == nil {
		return nil, errkind.New(errkind.Internal, "no claims for stage %s", s.stage.Name)
	}
	for try := 1; ; try++ {
		answer, err := s.askClaim()
		if err != nil {
			return nil, err
		}
		if answer.State == claim.Granted {
			s.claim = answer.Claim
			return s.runAttempts()
		}
		output, again, err := s.recorded(answer)
		if !again || try == claimTries {
			return output, err
		}
	}
}

func (s *stageRun) askClaim() (claim.Answer, error) {
	answer, err := s.x.r.opts.Claims.Claim(s.x.ctx, claim.Request{
		Key:      claim.Key{Organisation: s.x.req.Organisation, Key: s.x.req.Key, Stage: s.stage.Name},
		BodyHash: s.x.bodyHash,
		Ticket:   s.x.req.Ticket,
		Deadline: s.x.req.Deadline,
	})
	if err != nil {
		return claim.Answer{}, err
	}
	// What is recorded stands also when the deadline has passed meanwhile: an
	// earlier request with the key may have run.
	if answer.State == claim.Granted && s.x.over() {
		answer.Claim.Release()
		return claim.Answer{}, s.endOfContext()
	}
	return answer, nil
}

// recorded answers from what another request with the key has done. again says
// that the claim may be free now.
func (s *stageRun) recorded(answer claim.Answer) (output json.RawMessage, again bool, err error) {
	if answer.State == claim.Completed && answer.HasResult {
		s.x.dispatches.begin()
		return answer.Result, false, s.passRecorded(answer.Result)
	}
	record, found := s.askHolder(answer.Holder)
	if !found && s.x.ctx.Err() != nil {
		return nil, false, errkind.New(errkind.KeyInProgress, "a request with this key has not finished stage %s", s.stage.Name)
	}
	if !found {
		return nil, false, errkind.New(errkind.OutcomeUnknown, "stage %s was started by an earlier request and its outcome is not recorded", s.stage.Name)
	}
	if record.Err == nil {
		s.x.repeated = true
		s.x.r.opts.Metrics.Counter(metricRepeated).Add(1)
		return record.Output, false, s.passWhole(record.Output)
	}
	err = record.Err.Err()
	return nil, errkind.Of(err).RunState() == errkind.NotRun, err
}

// askHolder asks the instance that holds the claim for the outcome of the whole
// request. This instance is not asked: its record of the key is the present
// request, and that would wait for itself.
func (s *stageRun) askHolder(holder string) (outcome.Record, bool) {
	if holder == "" || holder == s.x.r.opts.Self || s.x.r.opts.Remote == nil {
		return outcome.Record{}, false
	}
	key := outcome.Key{Organisation: s.x.req.Organisation, Key: s.x.req.Key}
	record, found, err := s.x.r.opts.Remote.Outcome(s.x.ctx, holder, key)
	return record, found && err == nil
}

// passRecorded delivers a recorded output of a stage that streams to the
// caller, if it is the last one's.
func (s *stageRun) passRecorded(output json.RawMessage) error {
	if !s.last {
		return nil
	}
	return s.passWhole(output)
}

// passWhole delivers a whole recorded answer as one frame, if the profile's
// answer is a stream.
func (s *stageRun) passWhole(output json.RawMessage) error {
	if !s.x.answerStreams() {
		return nil
	}
	var text string
	if err := json.Unmarshal(output, &text); err != nil {
		return errkind.Wrap(err, errkind.OutcomeUnknown, "the recorded answer is not text")
	}
	if text == "" {
		return nil
	}
	if err := s.x.deliver(text); err != nil {
		return errkind.Wrap(err, errkind.Cancelled, "the caller went away")
	}
	return nil
}

// detach lets a claimed attempt that was dispatched go on without its caller,
// so that a resend gets its answer. Anything else is cancelled.
func (s *stageRun) detach() {
	if s.claim == nil || s.openAttempts() == 0 {
		return
	}
	s.detached = s.own.close()
}

// finishInBackground hands a detached stage to a goroutine of its own. The
// stage's fields are that goroutine's from here on.
func (s *stageRun) finishInBackground() {
	s.x.work.hold()
	s.x.r.background.Add(1)
	go s.drain()
}

// drain waits for the claimed attempt; it ends claimGrace after the deadline at
// the latest.
func (s *stageRun) drain() {
	defer s.x.r.background.Done()
	defer s.x.work.stop()
	for s.openAttempts() > 0 {
		sig := <-s.signals
		_, _, _ = s.handle(sig)
	}
	s.leave()
	s.releaseIfNotRun()
}
