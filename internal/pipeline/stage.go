package pipeline

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/admission"
	"lynxhill.example/lynxhill/internal/claim"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/invariant"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/routing"
	"lynxhill.example/lynxhill/internal/stagecall"
)

// signalBuffer is the number of signals that are buffered, so that frames can be
// received from a target while an earlier one is being delivered.
const signalBuffer = 16

// errAnswerTooLarge is the error of a stage whose answer exceeds the limit.
var errAnswerTooLarge = errors.New("answer exceeds the limit")

// stageRun runs one stage. Its fields belong to the goroutine that executes run,
// except those whose comment says otherwise.
type stageRun struct {
	x        *execution
	index    int
	stage    profile.Stage
	last     bool
	streams  bool // targets answer with a stream
	previous json.RawMessage
	started  time.Time
	claim    claim.Claim // set if the stage is not idempotent and was granted its claim

	signals chan signal
	closed  chan struct{} // closed when signals is no longer read

	own dispatches // attempts of this stage that may have run; has its own lock

	attempts    []*attempt
	primary     *attempt           // the only attempt whose frames are accepted
	text        []byte             // answer so far, for a stage that streams
	detached    bool               // the caller has its answer; the attempt continues for the claim only
	lastFailure *stagecall.Failure // failure of the latest attempt that failed
	// useAllTime is set if no slot was granted within the stage's part of the
	// deadline; the stage may then use all the remaining time.
	useAllTime    bool
	allowExcluded bool // targets whose connections failed may be tried again

	hedgeTimer  *quartz.Timer
	retryTimer  *quartz.Timer
	paceTimer   *quartz.Timer // fires when the primary attempt's next frame is overdue
	replacement *attempt      // attempt on another target that may replace the primary one
	heldFrames  []signal      // frames of the primary attempt since the replacement was started
	migrations  int           // number of replacements started
	hedged      bool
	winner      *attempt
	tokens      int
}

func newStageRun(x *execution, index int, previous json.RawMessage) *stageRun {
	stages := x.prof.Profile.Stages
	return &stageRun{
		x:        x,
		index:    index,
		stage:    stages[index],
		last:     index == len(stages)-1,
		streams:  stages[index].Kind == profile.KindGenerate,
		previous: previous,
		started:  x.now(),
		signals:  make(chan signal, signalBuffer),
		closed:   make(chan struct{}),
	}
}

// run runs the stage and returns its output.
func (s *stageRun) run() (json.RawMessage, error) {
	if s.stage.Idempotent {
		return s.runAttempts()
	}
	return s.runClaimed()
}

// runAttempts makes attempts until one succeeds or no further attempt is allowed.
func (s *stageRun) runAttempts() (json.RawMessage, error) {
	s.launch(false, false)
	for {
		output, done, err := s.step()
		if !done {
			continue
		}
		if !s.detached {
			s.cancelAttempts()
			s.releaseIfNotRun()
		}
		return output, err
	}
}

// step waits for the next event and handles it. done reports that the stage has
// its result.
func (s *stageRun) step() (output json.RawMessage, done bool, err error) {
	// An answer that has already arrived is handled before the deadline is
	// checked: select would choose between the two at random.
	select {
	case sig := <-s.signals:
		return s.handle(sig)
	default:
	}
	select {
	case sig := <-s.signals:
		return s.handle(sig)
	case <-timerChan(s.hedgeTimer):
		s.hedgeTimer = nil
		s.launchHedge()
		return nil, false, nil
	case <-timerChan(s.paceTimer):
		s.paceTimer = nil
		s.checkPace()
		return nil, false, nil
	case <-timerChan(s.retryTimer):
		s.retryTimer = nil
		s.launch(true, false)
		return nil, false, nil
	case <-s.x.ctx.Done():
		return nil, true, s.abandon()
	}
}

// timerChan returns the channel of a timer, or nil if there is no timer.
func timerChan(t *quartz.Timer) <-chan time.Time {
	if t == nil {
		return nil
	}
	return t.C
}

// cancelAttempts cancels all attempts and unblocks their goroutines.
func (s *stageRun) cancelAttempts() {
	stopTimer(&s.hedgeTimer)
	stopTimer(&s.retryTimer)
	stopTimer(&s.paceTimer)
	for _, a := range s.attempts {
		a.cancel(errStageEnded)
	}
	close(s.closed)
}

func stopTimer(t **quartz.Timer) {
	if *t != nil {
		(*t).Stop()
		*t = nil
	}
}

// launch starts an attempt. A retry that is not a hedge is counted as a retry
// after a fault if the failure before it was one.
func (s *stageRun) launch(retry, hedge bool) *attempt {
	return s.launchWith(retry, hedge, retry && !hedge && s.lastFailure != nil && isFault(s.lastFailure))
}

func (s *stageRun) launchWith(retry, hedge, fault bool) *attempt {
	parent := context.Context(s.x.ctx)
	if s.claim != nil {
		parent = s.x.work
	}
	ctx, cancel := context.WithCancelCause(parent)
	want := admission.SlotRequest{
		Query:      s.query(),
		Priority:   s.x.prof.Profile.Priority,
		Provider:   s.boundProvider(),
		Retry:      retry,
		AfterFault: fault,
		NoWait:     hedge,
	}
	a := &attempt{
		s:      s,
		id:     fmt.Sprintf("%s.%d.%d", s.x.req.ID, s.index, len(s.attempts)),
		want:   want,
		resume: string(s.text),
		offset: len(s.text),
		ctx:    ctx,
		cancel: cancel,
		hedge:  hedge,
		open:   true,
	}
	s.attempts = append(s.attempts, a)
	go a.run()
	return a
}

// boundProvider returns the name of the provider whose text the caller has
// already received, or "" if there is none. The model of another provider would
// continue with a different answer.
func (s *stageRun) boundProvider() string {
	for _, a := range s.attempts {
		if a.delivered {
			return a.choice.Provider.Name
		}
	}
	return ""
}

func (s *stageRun) query() routing.Query {
	return routing.Query{
		Stage:        s.stage,
		Organisation: s.x.req.Organisation,
		Key:          s.x.req.Key,
		Prefix:       s.x.req.Prefix,
		Zone:         s.x.r.opts.Zone,
		Region:       s.x.r.opts.Region,
		Exclude:      s.excluded(),
		Deadline:     s.queueDeadline(),
	}
}

// queueDeadline returns the time by which an attempt that starts now should end.
// It is computed for each attempt: otherwise a retry after a long silence would
// be refused by the deadline of the first attempt, although most of the request's
// time is left.
func (s *stageRun) queueDeadline() time.Time {
	if s.useAllTime {
		return s.x.req.Deadline
	}
	return s.x.stageDeadline(s.index)
}

// excluded returns the targets that this stage has tried and those that must not
// run a request suspected of crashing targets. When no other target is left, the
// ones whose connection failed may be tried again, because a failed connection
// says little about its target.
func (s *stageRun) excluded() []string {
	var ids []string
	for _, a := range s.attempts {
		if a.started && !(s.allowExcluded && a.connectionFailed) {
			ids = append(ids, a.choice.Target.ID)
		}
	}
	if s.allowExcluded {
		return ids
	}
	return append(ids, s.x.r.opts.CrashGuard.TargetsWithSuspects(s.x.fingerprint)...)
}

// beginDispatch is called by an attempt's goroutine immediately before the call.
// It returns false if the call must not be made.
func (s *stageRun) beginDispatch() bool {
	allowed := s.stage.Idempotent || (s.claim != nil && !s.own.mayHaveRun())
	if !s.x.r.opts.Invariants.Check(allowed, invariant.ClaimBeforeDispatch,
		"stage %s of request %s: dispatch without a claim, or second dispatch", s.stage.Name, s.x.req.ID) {
		return false
	}
	if !s.own.begin() {
		return false
	}
	if !s.x.dispatches.begin() {
		s.own.undo()
		return false
	}
	return true
}

// endNotRun is called by an attempt's goroutine when it is proven that the
// attempt has not run.
func (s *stageRun) endNotRun() {
	s.own.undo()
	s.x.dispatches.undo()
}

// abandon ends the stage because the caller has disconnected or the deadline has
// passed.
func (s *stageRun) abandon() error {
	s.detach()
	return s.endOfContext()
}

// endOfContext returns the error of a stage whose context has ended.
func (s *stageRun) endOfContext() error {
	if !s.x.late() {
		return errkind.New(errkind.Cancelled, "the caller went away")
	}
	return errkind.New(errkind.DeadlineAfterRun, "the deadline passed in stage %s", s.stage.Name)
}

// openAttempts returns the number of attempts that may still deliver the answer.
func (s *stageRun) openAttempts() int {
	n := 0
	for _, a := range s.attempts {
		if a.open && !a.superseded {
			n++
		}
	}
	return n
}
