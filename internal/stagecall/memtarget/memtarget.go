// Package memtarget is an in-memory stagecall.Caller for tests in virtual
// time: a fleet of targets that answer predictably, fail as planned, and
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
	defaultService = 20 * time.Millisecond
	defaultFrames  = 8
	defaultSlow    = 20
	restartMemory  = time.Second
)

// Options of a Fleet.
type Options struct {
	Clock clock.Clock
	// Plan decides the fate of each call; nil plans no fault. It is called
	// from many goroutines, under the fleet's lock.
	Plan func(target stagecall.Target, req targetapi.RunRequest) Plan
	// Marker in an input crashes the target that runs it; "" for none.
	Marker string
	// RestartAfter is how long a dead target stays away; 0 = for good.
	RestartAfter time.Duration
	Service      time.Duration
	Frames       int // frames of a whole stream
}

// Run is the record of one call that reached a target.
type Run struct {
	Target    string
	Request   targetapi.RunRequest
	Fault     Fault
	Started   time.Time
	Finished  bool // the target ran it to its end
	Cancelled bool // the caller's context ended first
}

// Fleet is a set of targets. Any target id may be called; a target exists from
// its first call on.
type Fleet struct {
	opts Options

	mu    sync.Mutex // guards runs, calls and hosts
	runs  []*Run
	calls int
	hosts map[string]*host
}

// host is the process behind a target.
type host struct {
	deaths   int
	diedAt   time.Time
	deadTill time.Time
	gone     bool
	died     chan struct{} // closed when the present process dies
}

var _ stagecall.Caller = (*Fleet)(nil)

// New returns a fleet.
func New(opts Options) *Fleet {
	if opts.Service <= 0 {
		opts.Service = defaultService
	}
	if opts.Frames <= 0 {
		opts.Frames = defaultFrames
	}
	return &Fleet{opts: opts, hosts: make(map[string]*host)}
}

// Runs returns a copy of the records.
func (f *Fleet) Runs() []Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := make([]Run, len(f.runs))
	for i, r := range f.runs {
		runs[i] = *r
	}
	return runs
}

// Calls returns the number of calls, also of those that reached no target.
func (f *Fleet) Calls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// Deaths returns how often the target died.
func (f *Fleet) Deaths(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h := f.hosts[id]; h != nil {
		return h.deaths
	}
	return 0
}

// Alive reports whether the target is up and has not died within the last
// second, as crashguard asks it.
func (f *Fleet) Alive(_ context.Context, target stagecall.Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.hosts[target.ID]
	if h == nil || h.deaths == 0 {
		return true
	}
	return !h.gone && f.opts.Clock.Since(h.diedAt) > restartMemory
}

// Text is the whole answer to a streamed request. It names what it answers, so
// that an answer to another request shows.
func Text(req targetapi.RunRequest) string {
	return fmt.Sprintf("<%s of %s after %s: %s>", req.Stage, compact(req.Input), compact(req.Previous), "lorem ipsum dolor sit amet")
}

// Output is the answer to a request that does not stream.
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

// Run implements stagecall.Caller. For WrongIDs and Gap it hands the bad frame
// to onFrame, as a faulty implementation of the interface would, so that the
// receiver's own checks are tested too.
func (f *Fleet) Run(ctx context.Context, target stagecall.Target, req targetapi.RunRequest, opts stagecall.Options, onFrame func(targetapi.Frame) error) (stagecall.Result, error) {
	plan, h := f.receive(target, req)
	if plan.Fault == ConnectFail || h == nil {
		return stagecall.Result{}, &stagecall.Failure{Class: stagecall.ClassConnect, NotRun: true, Err: errors.New("connection refused")}
	}
	if ctx.Err() != nil {
		return stagecall.Result{}, &stagecall.Failure{Class: stagecall.ClassCancelled, NotRun: true, Err: ctx.Err()}
	}
	if plan.Fault == Silent && plan.OldConnection && opts.NewConnection {
		plan.Fault = None
	}
	if plan.Fault == Refuse {
		return stagecall.Result{}, refusal(plan)
	}
	run := f.record(target, req, plan)
	c := &call{fleet: f, run: run, host: h, plan: plan, ctx: ctx, opts: opts, req: req, onFrame: onFrame}
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

// receive returns the plan and the process that takes the call, nil if the
// target is down.
func (f *Fleet) receive(target stagecall.Target, req targetapi.RunRequest) (Plan, *host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	h := f.hosts[target.ID]
	if h == nil {
		h = &host{died: make(chan struct{})}
		f.hosts[target.ID] = h
	}
	if h.gone || f.opts.Clock.Now().Before(h.deadTill) {
		return Plan{}, nil
	}
	plan := Plan{}
	if f.opts.Plan != nil {
		plan = f.opts.Plan(target, req)
	}
	if f.opts.Marker != "" && bytes.Contains(req.Input, []byte(f.opts.Marker)) {
		plan.Fault = Die
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

// kill ends the process of a target.
func (f *Fleet) kill(h *host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h.deaths++
	h.gone = f.opts.RestartAfter <= 0
	h.diedAt = f.opts.Clock.Now()
	h.deadTill = h.diedAt.Add(f.opts.RestartAfter)
	close(h.died)
	h.died = make(chan struct{})
}

func (f *Fleet) diedOf(h *host) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return h.died
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
