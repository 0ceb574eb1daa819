// Package memtarget is an in-memory stagecall.Caller for tests in virtual time:
// a fleet of targets that respond deterministically, fail as planned, and
// record every run.
package memtarget

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// Defaults of Options.
const (
	defaultService  = 20 * time.Millisecond
	defaultFrames   = 8
	defaultSlowdown = 20
	recentCrash     = time.Second
)

// Options configure a Fleet.
type Options struct {
	Clock clock.Clock
	// Plan returns the plan of each call; nil plans no faults. It is called
	// from many goroutines, with the fleet's lock held.
	Plan func(target stagecall.Target, req targetapi.RunRequest) Plan
	// CrashMarker is a byte sequence that crashes the target that runs an input with
	// it; "" = none.
	CrashMarker string
	// RestartAfter is how long a crashed target is down; 0 = it never restarts.
	RestartAfter time.Duration
	Service      time.Duration
	Frames       int // number of frames of a complete stream
}

// Run records one call that reached a target.
type Run struct {
	Target    string
	Request   targetapi.RunRequest
	Fault     Fault
	Started   time.Time
	Finished  bool // the target ran the call to completion
	Cancelled bool // the caller's context ended before the call did
}

// Fleet is a set of targets. Any target ID may be called; a target is created
// by its first call.
type Fleet struct {
	opts Options

	mu        sync.Mutex // guards runs, calls and hosts
	runs      []*Run
	calls     int
	processes map[string]*process
}

// process is the server process of a target.
type process struct {
	crashes       int
	crashedAt     time.Time
	downUntil     time.Time
	neverRestarts bool
	crashed       chan struct{} // closed when the current process crashes
}

var _ stagecall.Caller = (*Fleet)(nil)

// New returns a fleet without targets.
func New(opts Options) *Fleet {
	if opts.Service <= 0 {
		opts.Service = defaultService
	}
	if opts.Frames <= 0 {
		opts.Frames = defaultFrames
	}
	return &Fleet{opts: opts, processes: make(map[string]*process)}
}

// Runs returns a copy of all recorded runs.
func (f *Fleet) Runs() []Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := make([]Run, len(f.runs))
	for i, r := range f.runs {
		runs[i] = *r
	}
	return runs
}

// Calls returns the number of calls, including those that reached no target.
func (f *Fleet) Calls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// Crashes returns how often the target crashed.
func (f *Fleet) Crashes(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h := f.processes[id]; h != nil {
		return h.crashes
	}
	return 0
}

// Alive reports whether the target is up and has not crashed within the last
// second. It serves as crashguard's liveness check.
func (f *Fleet) Alive(_ context.Context, target stagecall.Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.processes[target.ID]
	if h == nil || h.crashes == 0 {
		return true
	}
	return !h.neverRestarts && f.opts.Clock.Since(h.crashedAt) > recentCrash
}

// Text returns the complete response to a streamed request. It contains the
// request's inputs, so that a response to another request is recognised.
func Text(req targetapi.RunRequest) string {
	return fmt.Sprintf("<%s of %s after %s: %s>", req.Stage, compact(req.Input), compact(req.Previous), "lorem ipsum dolor sit amet")
}

// Output returns the response to a request that does not stream.
func Output(req targetapi.RunRequest) json.RawMessage {
	data, _ := json.Marshal(Text(req))
	return data
}

func compact(raw json.RawMessage) string {
	if len(raw) == 0 {
		return "nothing"
	}
	return string(raw)
}

// Run implements stagecall.Caller. For WrongIDs and Gap it passes the bad frame
// to onFrame, as a faulty implementation of the interface would, so that the
// receiver's own checks are tested as well.
func (f *Fleet) Run(ctx context.Context, target stagecall.Target, req targetapi.RunRequest, opts stagecall.Options, onFrame func(targetapi.Frame) error) (stagecall.Result, error) {
	plan, h := f.admit(target, req)
	if plan.Fault == ConnectFail || h == nil {
		return stagecall.Result{}, &stagecall.Failure{Class: stagecall.ClassConnect, NotRun: true, Err: errors.New("connection refused")}
	}
	if ctx.Err() != nil {
		return stagecall.Result{}, &stagecall.Failure{Class: stagecall.ClassCancelled, NotRun: true, Err: ctx.Err()}
	}
	if plan.Fault == Silent && plan.PooledConnectionOnly && opts.NewConnection {
		plan.Fault = None
	}
	if plan.Fault == Refuse {
		return stagecall.Result{}, refusal(plan)
	}
	run := f.record(target, req, plan)
	c := &call{fleet: f, run: run, process: h, plan: plan, ctx: ctx, opts: opts, req: req, onFrame: onFrame}
	result, err := c.serve()
	f.close(run, err)
	return result, err
}

func refusal(plan Plan) error {
	code := plan.Code
	if code == "" {
		code = targetapi.CodeBusy
	}
	return &stagecall.Failure{Class: stagecall.ClassRefused, Code: code, NotRun: true, Err: errors.New("refused")}
}

// admit returns the plan of the call and the process that serves it; the
// process is nil if the target is down.
func (f *Fleet) admit(target stagecall.Target, req targetapi.RunRequest) (Plan, *process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	h := f.processes[target.ID]
	if h == nil {
		h = &process{crashed: make(chan struct{})}
		f.processes[target.ID] = h
	}
	if h.neverRestarts || f.opts.Clock.Now().Before(h.downUntil) {
		return Plan{}, nil
	}
	plan := Plan{}
	if f.opts.Plan != nil {
		plan = f.opts.Plan(target, req)
	}
	if f.opts.CrashMarker != "" && bytes.Contains(req.Input, []byte(f.opts.CrashMarker)) {
		plan.Fault = Crash
	}
	return plan, h
}

func (f *Fleet) record(target stagecall.Target, req targetapi.RunRequest, plan Plan) *Run {
	run := &Run{Target: target.ID, Request: req, Fault: plan.Fault, Started: f.opts.Clock.Now()}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs = append(f.runs, run)
	return run
}

func (f *Fleet) close(run *Run, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil || run.Fault == LostReply {
		run.Finished = true
	}
	run.Cancelled = err != nil && stagecall.FailureOf(err).Class == stagecall.ClassCancelled
}

// crash ends the current process of a target and breaks its calls.
func (f *Fleet) crash(h *process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h.crashes++
	h.neverRestarts = f.opts.RestartAfter <= 0
	h.crashedAt = f.opts.Clock.Now()
	h.downUntil = h.crashedAt.Add(f.opts.RestartAfter)
	close(h.crashed)
	h.crashed = make(chan struct{})
}

func (f *Fleet) crashOf(h *process) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return h.crashed
}

// Load implements stagecall.Caller.
func (f *Fleet) Load(_ context.Context, target stagecall.Target) (targetapi.LoadReport, error) {
	return targetapi.LoadReport{Target: target.ID}, nil
}

// Order implements stagecall.Caller.
func (f *Fleet) Order(context.Context, stagecall.Target, targetapi.Order) error { return nil }

// State implements stagecall.Caller.
func (f *Fleet) State(ctx context.Context, target stagecall.Target) (targetapi.LoadReport, error) {
	return f.Load(ctx, target)
}

// CacheEvents implements stagecall.Caller.
func (f *Fleet) CacheEvents(context.Context, stagecall.Target, uint64) ([]targetapi.CacheEvent, error) {
	return nil, nil
}
