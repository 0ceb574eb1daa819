package pipeline

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/crashguard"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/profile"
)

// Runner runs requests. It is safe for concurrent use.
type Runner struct {
	opts Options

	randMu sync.Mutex // guards opts.Rand

	background sync.WaitGroup // claimed attempts whose caller went away
}

// New returns a runner.
func New(opts Options) *Runner { return &Runner{opts: opts.withDefaults()} }

// Wait returns when the attempts that go on without their callers have ended.
// A stopping instance calls it before it exits.
func (r *Runner) Wait() { r.background.Wait() }

// BodyHash identifies what a request asks for: the same key with another hash
// is refused.
func BodyHash(req Request) string {
	hash := sha256.New()
	hash.Write([]byte(req.Profile))
	hash.Write([]byte{0})
	hash.Write(req.Input)
	return hex.EncodeToString(hash.Sum(nil))
}

// Run runs the request through the stages of its profile and returns its one
// answer, or an error with a kind. When it returns, sink is not called any
// more. When ctx ends, idempotent work is cancelled; a stage that is not
// idempotent and was dispatched goes on until claimGrace after the deadline, so
// that a resend gets its answer.
func (r *Runner) Run(ctx context.Context, req Request, sink Sink) (Outcome, error) {
	prof, ok := r.opts.Profiles(req.Profile)
	if !ok || prof.Deleted || len(prof.Profile.Stages) == 0 {
		return Outcome{}, errkind.New(errkind.UnknownProfile, "no profile %q is in force", req.Profile)
	}
	if req.Deadline.IsZero() {
		req.Deadline = r.opts.Clock.Now().Add(prof.Profile.Deadline)
	}
	x := newExecution(r, ctx, req, prof, sink)
	defer x.release()
	output, err := x.runStages()
	out, err := x.finish(output, err)
	if r.opts.Report != nil {
		r.opts.Report(req, prof, out, err)
	}
	return out, err
}

// execution is one request under way.
type execution struct {
	r           *Runner
	req         Request
	prof        profile.Versioned
	sink        Sink
	fingerprint string
	bodyHash    string

	// ctx ends when the caller goes away or the deadline passes; work ends
	// claimGrace after the deadline.
	ctx  *deadlineContext
	work *deadlineContext

	dispatches dispatches
	reports    []StageReport
	firstFrame time.Time
	delivered  int // bytes given to the sink
	tokens     int
	repeated   bool // the answer is that of an earlier request
	finished   bool
}

func newExecution(r *Runner, ctx context.Context, req Request, prof profile.Versioned, sink Sink) *execution {
	return &execution{
		r:           r,
		req:         req,
		prof:        prof,
		sink:        sink,
		fingerprint: crashguard.Fingerprint(req.Profile, req.Input),
		bodyHash:    BodyHash(req),
		ctx:         newDeadlineContext(ctx, r.opts.Clock, req.Deadline),
		work:        newDeadlineContext(context.WithoutCancel(ctx), r.opts.Clock, req.Deadline.Add(claimGrace)),
	}
}

// release frees the contexts. Attempts in the background hold their own use of
// the work context.
func (x *execution) release() {
	x.ctx.stop()
	x.work.stop()
}

func (x *execution) now() time.Time { return x.r.opts.Clock.Now() }

func (x *execution) remaining() time.Duration { return x.req.Deadline.Sub(x.now()) }

// late reports whether the deadline has passed. The clock is asked as well as
// the context: the timers of the two contexts fire one after the other, and an
// attempt that ended by the first is not the caller's doing.
func (x *execution) late() bool { return x.ctx.passed() || x.remaining() <= 0 }

// over reports whether nothing new may be begun.
func (x *execution) over() bool { return x.ctx.Err() != nil || x.remaining() <= 0 }

// runStages returns the output of the last stage.
func (x *execution) runStages() (json.RawMessage, error) {
	if x.r.opts.Crash.Refused(x.fingerprint) {
		return nil, errkind.New(errkind.CrashesTargets, "targets died while running this request")
	}
	if x.remaining() <= 0 {
		return nil, errkind.New(errkind.DeadlineBeforeRun, "the deadline passed before a stage was started")
	}
	var output json.RawMessage
	for i := range x.prof.Profile.Stages {
		if err := x.refuseEarly(i); err != nil {
			return nil, err
		}
		s := newStageRun(x, i, output)
		var err error
		output, err = s.run()
		if x.repeated {
			return output, err
		}
		x.stageDone(s, err)
		if err != nil {
			return nil, err
		}
	}
	return output, nil
}

func (x *execution) stageDone(s *stageRun, err error) {
	report := s.report(err)
	x.reports = append(x.reports, report)
	x.tokens = s.tokens
	if x.sink != nil && x.ctx.callerHere() {
		x.sink.StageDone(report)
	}
	if s.detached {
		s.finishInBackground()
	}
}

// deliver hands a piece of the answer to the caller.
func (x *execution) deliver(text string) error {
	if x.firstFrame.IsZero() {
		x.firstFrame = x.now()
	}
	offset := x.delivered
	x.delivered += len(text)
	if x.sink == nil {
		return nil
	}
	return x.sink.Frame(offset, text)
}
