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

	background sync.WaitGroup // claimed attempts that continue without a caller
}

// New returns a runner.
func New(opts Options) *Runner { return &Runner{opts: opts.withDefaults()} }

// Wait waits for the attempts that continue without their callers. A stopping
// instance calls it before it exits.
func (r *Runner) Wait() { r.background.Wait() }

// BodyHash returns the SHA-256 hash of the request's profile and input as
// hexadecimal digits. A request that reuses a key with another hash is refused.
func BodyHash(req Request) string {
	hash := sha256.New()
	hash.Write([]byte(req.Profile))
	hash.Write([]byte{0})
	hash.Write(req.Input)
	return hex.EncodeToString(hash.Sum(nil))
}

// Run runs the request through the stages of its profile and returns its only
// answer, or an error with an errkind.Kind. It does not call sink after it has
// returned. When ctx ends, idempotent work is cancelled. A stage that is not
// idempotent and has been dispatched continues until claimGrace after the
// deadline, so that a resend of the request gets its answer.
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

// execution is the state of a running request.
type execution struct {
	r           *Runner
	req         Request
	prof        profile.Versioned
	sink        Sink
	fingerprint string
	trial       bool // the request is refused in general and runs to find out whether it still crashes targets
	bodyHash    string

	// ctx ends when the caller disconnects or the deadline passes. work ends
	// claimGrace after the deadline.
	ctx  *deadlineContext
	work *deadlineContext

	dispatches dispatches
	reports    []StageReport
	firstFrame time.Time
	delivered  int // bytes passed to the sink
	tokens     int
	repeated   bool // the answer is the recorded one of an earlier request
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

// release releases the contexts. Attempts in the background hold their own
// reference to the work context.
func (x *execution) release() {
	x.ctx.release()
	x.work.release()
}

func (x *execution) now() time.Time { return x.r.opts.Clock.Now() }

func (x *execution) remaining() time.Duration { return x.req.Deadline.Sub(x.now()) }

// late reports whether the deadline has passed. It checks the clock as well as
// the context: the timers of the two contexts fire one after the other, and an
// attempt that the first one ended must not count as cancelled by the caller.
func (x *execution) late() bool { return x.ctx.passed() || x.remaining() <= 0 }

// ended reports whether no new work may be started, because the caller has
// disconnected or the deadline has passed.
func (x *execution) ended() bool { return x.ctx.Err() != nil || x.remaining() <= 0 }

// runStages runs the stages in order and returns the output of the last one.
func (x *execution) runStages() (json.RawMessage, error) {
	admission := x.r.opts.CrashGuard.Admit(x.fingerprint)
	x.trial = admission.Trial
	if admission.Refused {
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

// stageDone records the report of a stage that has ended and passes it to the
// sink while the caller is connected.
func (x *execution) stageDone(s *stageRun, err error) {
	report := s.report(err)
	x.reports = append(x.reports, report)
	x.tokens = s.tokens
	if x.sink != nil && x.ctx.callerConnected() {
		x.sink.StageDone(report)
	}
	if s.detached {
		s.finishInBackground()
	}
}

// deliver passes the next part of the answer to the sink.
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
