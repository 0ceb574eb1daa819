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

// signalBuffer lets a target's frames come in while the caller takes one.
const signalBuffer = 16

// errAnswerTooLarge ends a stage whose answer exceeds the limit.
var errAnswerTooLarge = errors.New("answer exceeds the limit")

// stageRun runs one stage. All its fields belong to the goroutine of run, but
// for those that name another.
type stageRun struct {
	x        *execution
	index    int
	stage    profile.Stage
	last     bool
	streams  bool // targets answer it as a stream
	previous json.RawMessage
	started  time.Time
	claim    claim.Claim // set while a stage that is not idempotent may run

	signals chan signal
	left    chan struct{} // closed when nobody reads signals any more

	own dispatches // attempts of this stage that may have run; it has its own lock

	attempts []*attempt
	owner    *attempt           // the only attempt whose frames are taken
	text     []byte             // of the answer so far, for a stage that streams
	detached bool               // the caller has its answer; only the claim is served
	failed   *stagecall.Failure // the latest
	// wholeRest: the queue did not serve it within its part of the time, so it
	// may take all that is left.
	wholeRest bool
	forgave   bool // targets whose connections failed may be tried again

	hedgeTimer  *quartz.Timer
	repeatTimer *quartz.Timer
	paceTimer   *quartz.Timer // the owner's next frame is overdue
	mover       *attempt      // may take over from the owner
	held        []signal      // frames of the owner that came since mover began
	moves       int
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
		left:     make(chan struct{}),
	}
}

// run returns the stage's output.
func (s *stageRun) run() (json.RawMessage, error) {
	if s.stage.Idempotent {
		return s.runAttempts()
	}
	return s.runClaimed()
}

// runAttempts makes attempts until one succeeds or no further one is allowed.
func (s *stageRun) runAttempts() (json.RawMessage, error) {
	s.launch(false, false)
	for {
		output, done, err := s.step()
		if !done {
			continue
		}
		if !s.detached {
			s.leave()
			s.releaseIfNotRun()
		}
		return output, err
	}
}

// step waits for what happens next. done says that the stage has its result.
func (s *stageRun) step() (output json.RawMessage, done bool, err error) {
	// An answer that is there already is taken before the deadline is looked
	// at: select would choose between the two at random.
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
	case <-timerChan(s.repeatTimer):
		s.repeatTimer = nil
		s.launch(true, false)
		return nil, false, nil
	case <-s.x.ctx.Done():
		return nil, true, s.abandon()
	}
}

// timerChan returns the channel of a timer, nil for none.
func timerChan(t *quartz.Timer) <-chan time.Time {
	if t == nil {
		return nil
	}
	return t.C
}

// leave ends all attempts and lets their goroutines go.
func (s *stageRun) leave() {
	stopTimer(&s.hedgeTimer)
	stopTimer(&s.repeatTimer)
	stopTimer(&s.paceTimer)
	for _, a := range s.attempts {
		a.cancel(errLeft)
	}
	close(s.left)
}

func stopTimer(t **quartz.Timer) {
	if *t != nil {
		(*t).Stop()
		*t = nil
	}
}

// launch starts an attempt. A repeat that takes no hedge's place is counted by
// the failure before it.
func (s *stageRun) launch(repeat, hedge bool) *attempt {
	return s.launchWith(repeat, hedge, repeat && !hedge && s.failed != nil && notLoad(s.failed))
}

func (s *stageRun) launchWith(repeat, hedge, fault bool) *attempt {
	parent := context.Context(s.x.ctx)
	if s.claim != nil {
		parent = s.x.work
	}
	ctx, cancel := context.WithCancelCause(parent)
	want := admission.Want{
		Query:    s.query(),
		Priority: s.x.prof.Profile.Priority,
		Provider: s.boundProvider(),
		Repeat:   repeat,
		Fault:    fault,
		NoWait:   hedge,
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

// boundProvider is the provider whose text the caller already has, "" while
// there is none: another model would go on with another answer.
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
		Place:        s.x.r.opts.Place,
		Region:       s.x.r.opts.Region,
		Exclude:      s.excluded(),
		Deadline:     s.queueDeadline(),
	}
}

// queueDeadline is by when an attempt that starts now should end. It is worked
// out for each attempt: a repeat after a long silence would otherwise be refused
// for the time that the first attempt had, with most of the request's time left.
func (s *stageRun) queueDeadline() time.Time {
	if s.wholeRest {
		return s.x.req.Deadline
	}
	return s.x.stageDeadline(s.index)
}

// excluded returns the targets that this stage has tried, and those on which a
// suspected request must not be. When no other target is left, those remain
// whose connection failed: a connection says little of its target.
func (s *stageRun) excluded() []string {
	var ids []string
	for _, a := range s.attempts {
		if a.started && !(s.forgave && a.connectionFailed) {
			ids = append(ids, a.choice.Target.ID)
		}
	}
	if s.forgave {
		return ids
	}
	return append(ids, s.x.r.opts.Crash.Occupied(s.x.fingerprint)...)
}

// beginDispatch is called by an attempt's goroutine just before the call. It
// returns false if the call must not be made.
func (s *stageRun) beginDispatch() bool {
	allowed := s.stage.Idempotent || (s.claim != nil && !s.own.any())
	if !s.x.r.opts.Check.Check(allowed, invariant.ClaimBeforeDispatch,
		"stage %s of request %s: no claim, or a second dispatch", s.stage.Name, s.x.req.ID) {
		return false
	}
	if !s.own.begin() {
		return false
	}
	if !s.x.dispatches.begin() {
		s.own.notRun()
		return false
	}
	return true
}

// endNotRun is called by an attempt's goroutine when the attempt is proven not
// to have run.
func (s *stageRun) endNotRun() {
	s.own.notRun()
	s.x.dispatches.notRun()
}

// abandon ends the stage because the caller went away or the deadline passed.
func (s *stageRun) abandon() error {
	s.detach()
	return s.endOfContext()
}

func (s *stageRun) endOfContext() error {
	if !s.x.late() {
		return errkind.New(errkind.Cancelled, "the caller went away")
	}
	return errkind.New(errkind.DeadlineAfterRun, "the deadline passed in stage %s", s.stage.Name)
}

// openAttempts returns the number of attempts that may still win.
func (s *stageRun) openAttempts() int {
	n := 0
	for _, a := range s.attempts {
		if a.open && !a.lost {
			n++
		}
	}
	return n
}
