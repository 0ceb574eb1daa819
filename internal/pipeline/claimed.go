package pipeline

import (
	"encoding/json"
	"time"

	"lynxhill.example/lynxhill/internal/claim"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/outcome"
)

// maxClaimRequests is the maximum number of times that a claim is requested. The
// second request is made when the holder reports that its request was not run,
// because the claim is then free.
const maxClaimRequests = 2

// claimGrace is how long after the deadline a dispatched call that is not
// idempotent continues, only to record its result. If a target that answers
// slightly late were cut off at the deadline, every resend would get "may have
// run" for the whole retention period of the claim, although the work was done.
// claimGrace must be shorter than the grace period of a stopping instance.
const claimGrace = 3 * time.Second

// runClaimed runs a stage that is not idempotent. It requests a claim first, so
// that only one of the requests with the same key dispatches the stage.
func (s *stageRun) runClaimed() (json.RawMessage, error) {
	if s.x.r.opts.Claims == nil {
		return nil, errkind.New(errkind.Internal, "no claims for stage %s", s.stage.Name)
	}
	for try := 1; ; try++ {
		answer, err := s.requestClaim()
		if err != nil {
			return nil, err
		}
		if answer.State == claim.Granted {
			s.claim = answer.Claim
			return s.runAttempts()
		}
		output, again, err := s.fromRecord(answer)
		if !again || try == maxClaimRequests {
			return output, err
		}
	}
}

func (s *stageRun) requestClaim() (claim.Answer, error) {
	answer, err := s.x.r.opts.Claims.Claim(s.x.ctx, claim.Request{
		Key:      claim.Key{Organisation: s.x.req.Organisation, Key: s.x.req.Key, Stage: s.stage.Name},
		BodyHash: s.x.bodyHash,
		Ticket:   s.x.req.Ticket,
		Deadline: s.x.req.Deadline,
	})
	if err != nil {
		return claim.Answer{}, err
	}
	// A recorded result is used even if the deadline has passed meanwhile: an
	// earlier request with the key may have run.
	if answer.State == claim.Granted && s.x.ended() {
		answer.Claim.Release()
		return claim.Answer{}, s.endOfContext()
	}
	return answer, nil
}

// fromRecord answers with the recorded result of another request with the same
// key. again reports that the claim may be free now.
func (s *stageRun) fromRecord(answer claim.Answer) (output json.RawMessage, again bool, err error) {
	if answer.State == claim.Completed && answer.HasResult {
		s.x.dispatches.begin()
		return answer.Result, false, s.deliverIfLast(answer.Result)
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
		return record.Output, false, s.deliverWhole(record.Output)
	}
	err = record.Err.Err()
	return nil, errkind.Of(err).RunState() == errkind.NotRun, err
}

// askHolder asks the instance that holds the claim for the outcome of the whole
// request. This instance does not ask itself: its record of the key is the
// present request, which would wait for itself.
func (s *stageRun) askHolder(holder string) (outcome.Record, bool) {
	if holder == "" || holder == s.x.r.opts.InstanceID || s.x.r.opts.RemoteOutcomes == nil {
		return outcome.Record{}, false
	}
	key := outcome.Key{Organisation: s.x.req.Organisation, Key: s.x.req.Key}
	record, found, err := s.x.r.opts.RemoteOutcomes.Outcome(s.x.ctx, holder, key)
	return record, found && err == nil
}

// deliverIfLast delivers the recorded output of a stage to the caller if the
// stage is the last one.
func (s *stageRun) deliverIfLast(output json.RawMessage) error {
	if !s.last {
		return nil
	}
	return s.deliverWhole(output)
}

// deliverWhole delivers a recorded answer as a single frame if the answer of the
// profile is a stream.
func (s *stageRun) deliverWhole(output json.RawMessage) error {
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

// detach marks the stage to continue without its caller if it has a claim and
// an attempt that was dispatched, so that a resend gets the answer. All other
// work is cancelled.
func (s *stageRun) detach() {
	if s.claim == nil || s.openAttempts() == 0 {
		return
	}
	s.detached = s.own.close()
}

// finishInBackground starts a goroutine that completes a detached stage. From
// then on only that goroutine may access the stage's fields.
func (s *stageRun) finishInBackground() {
	s.x.work.retain()
	s.x.r.background.Add(1)
	go s.drain()
}

// drain waits for the claimed attempt, which ends claimGrace after the deadline
// at the latest.
func (s *stageRun) drain() {
	defer s.x.r.background.Done()
	defer s.x.work.release()
	for s.openAttempts() > 0 {
		sig := <-s.signals
		_, _, _ = s.handle(sig)
	}
	s.cancelAttempts()
	s.releaseIfNotRun()
}
