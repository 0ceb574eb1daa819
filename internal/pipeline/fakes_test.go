package pipeline

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/admission"
	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/claim"
	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/crashguard"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/invariant"
	"lynxhill.example/lynxhill/internal/outcome"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/routing"
	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/stagecall/memtarget"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// fakeGate grants the targets of a service in turn.
type fakeGate struct {
	targets   int // per service
	timeouts  admission.Timeouts
	quantiles map[string]time.Duration // by stage
	refuse    func(want admission.SlotRequest) error
	wait      time.Duration // time in the queue
	clock     clock.Clock

	mu      sync.Mutex // guards the fields below
	next    int
	wants   []admission.SlotRequest
	results []admission.Result
	paces   []time.Duration
}

type fakeSlot struct {
	gate   *fakeGate
	choice routing.Choice
}

func (s *fakeSlot) Choice() routing.Choice { return s.choice }

func (s *fakeSlot) ReportPace(perToken time.Duration) {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	s.gate.paces = append(s.gate.paces, perToken)
}

func (s *fakeSlot) Done(result admission.Result) {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	s.gate.results = append(s.gate.results, result)
}

func (g *fakeGate) Acquire(ctx context.Context, want admission.SlotRequest) (admission.Slot, error) {
	if g.wait > 0 {
		timer := g.clock.NewTimer(g.wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return nil, errkind.New(errkind.DeadlineBeforeRun, "queue")
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wants = append(g.wants, want)
	if g.clock != nil && !want.Query.Deadline.After(g.clock.Now()) {
		return nil, errkind.New(errkind.DeadlineBeforeRun, "the stage's part has passed")
	}
	if g.refuse != nil {
		if err := g.refuse(want); err != nil {
			return nil, err
		}
	}
	provider := want.Query.Stage.Providers[0]
	for range g.targets {
		id := fmt.Sprintf("%s-%d", provider.Service, g.next%g.targets)
		g.next++
		if !slices.Contains(want.Query.Exclude, id) {
			return &fakeSlot{gate: g, choice: routing.Choice{Target: board.Target{ID: id, Address: id}, Provider: provider}}, nil
		}
	}
	return nil, errkind.New(errkind.NoTarget, "all excluded")
}

func (g *fakeGate) Timeouts(routing.Choice, routing.Query) admission.Timeouts { return g.timeouts }

func (g *fakeGate) Quantile(_, stage string, _ float64) (time.Duration, bool) {
	d, ok := g.quantiles[stage]
	return d, ok
}

// fakeClaims stores claims in memory.
type fakeClaims struct {
	holder string
	err    error
	fail   func() error // called before each claim with the lock held

	mu   sync.Mutex // guards rows
	rows map[claim.Key]*fakeRow
}

type fakeRow struct {
	bodyHash  string
	completed bool
	result    json.RawMessage
	holder    string
}

func newFakeClaims() *fakeClaims {
	return &fakeClaims{holder: "self", rows: make(map[claim.Key]*fakeRow)}
}

func (c *fakeClaims) Claim(_ context.Context, req claim.Request) (claim.Answer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return claim.Answer{}, c.err
	}
	if c.fail != nil {
		if err := c.fail(); err != nil {
			return claim.Answer{}, err
		}
	}
	row := c.rows[req.Key]
	switch {
	case row == nil:
		c.rows[req.Key] = &fakeRow{bodyHash: req.BodyHash, holder: c.holder}
		return claim.Answer{State: claim.Granted, Claim: &fakeClaim{claims: c, key: req.Key}}, nil
	case row.bodyHash != req.BodyHash:
		return claim.Answer{}, errkind.New(errkind.KeyReused, "another body")
	case row.completed:
		return claim.Answer{State: claim.Completed, Holder: row.holder, Result: row.result, HasResult: row.result != nil}, nil
	}
	return claim.Answer{State: claim.Held, Holder: row.holder}, nil
}

func (c *fakeClaims) Lookup(context.Context, claim.Key) (claim.Answer, bool, error) {
	return claim.Answer{}, false, nil
}

type fakeClaim struct {
	claims *fakeClaims
	key    claim.Key
}

func (c *fakeClaim) Complete(output json.RawMessage) {
	c.claims.mu.Lock()
	defer c.claims.mu.Unlock()
	row := c.claims.rows[c.key]
	row.completed, row.result = true, output
}

func (c *fakeClaim) Release() {
	c.claims.mu.Lock()
	defer c.claims.mu.Unlock()
	delete(c.claims.rows, c.key)
}

// fakeRemote holds the outcome records of other instances, by instance ID.
type fakeRemote map[string]outcome.Record

func (r fakeRemote) Outcome(_ context.Context, instance string, _ outcome.Key) (outcome.Record, bool, error) {
	record, found := r[instance]
	return record, found, nil
}

// recorder is a sink that records its calls.
type recorder struct {
	offsets []int
	text    string
	reports []StageReport
	onFrame func() error
}

func (s *recorder) Frame(offset int, text string) error {
	s.offsets = append(s.offsets, offset)
	s.text += text
	if s.onFrame != nil {
		return s.onFrame()
	}
	return nil
}

func (s *recorder) StageDone(report StageReport) { s.reports = append(s.reports, report) }

// Names of the stages of the test profiles.
const (
	stageEncode = "encode"
	stageDraft  = "draft"
	stageBook   = "book"
)

func stageOf(name string, kind profile.Kind, idempotent bool) profile.Stage {
	return profile.Stage{
		Name: name, Kind: kind, Idempotent: idempotent,
		Providers: []profile.Provider{{Name: "p", Service: name, Weight: 1}},
	}
}

func draftProfile() profile.Profile {
	return profile.Profile{Name: "draft", Deadline: 10 * time.Second, Stages: []profile.Stage{
		stageOf(stageEncode, profile.KindEncode, true),
		stageOf(stageDraft, profile.KindGenerate, true),
	}}
}

func bookProfile() profile.Profile {
	return profile.Profile{Name: "book", Deadline: 10 * time.Second, Stages: []profile.Stage{
		stageOf(stageEncode, profile.KindEncode, true),
		stageOf(stageBook, profile.KindService, false),
	}}
}

// testEnv is a runner with fake dependencies, inside a synctest bubble.
type testEnv struct {
	fleet    *memtarget.Fleet
	gate     *fakeGate
	claims   *fakeClaims
	guard    *crashguard.Guard
	remote   fakeRemote
	runner   *Runner
	violated *invariant.Collector
	clock    clock.Clock
	requests int
}

func newTestEnv(fleet memtarget.Options) *testEnv {
	clk := quartz.NewReal()
	fleet.Clock = clk
	w := &testEnv{
		fleet:    memtarget.New(fleet),
		gate:     &fakeGate{targets: 4, clock: clk, timeouts: admission.Timeouts{FirstByte: 500 * time.Millisecond, Progress: 300 * time.Millisecond}},
		claims:   newFakeClaims(),
		remote:   make(fakeRemote),
		violated: new(invariant.Collector),
		clock:    clk,
	}
	w.guard = crashguard.New(crashguard.Options{Clock: clk, Alive: w.fleet.Alive})
	w.runner = w.newRunner("self")
	return w
}

func (w *testEnv) newRunner(self string) *Runner {
	profiles := map[string]profile.Versioned{
		"draft": {Version: 3, Profile: draftProfile()},
		"book":  {Version: 4, Profile: bookProfile()},
	}
	return New(Options{
		Profiles:       func(name string) (profile.Versioned, bool) { p, ok := profiles[name]; return p, ok },
		Gate:           w.gate,
		Caller:         w.fleet,
		Claims:         w.claims,
		RemoteOutcomes: w.remote,
		CrashGuard:     w.guard,
		Clock:          w.clock,
		Rand:           rand.New(rand.NewPCG(7, 7)),
		InstanceID:     self,
		Invariants:     invariant.New(w.violated),
	})
}

func (w *testEnv) request(prof, key string) Request {
	w.requests++
	now := w.clock.Now()
	return Request{
		ID: fmt.Sprintf("r%d", w.requests), Organisation: "o", Profile: prof, Key: key, KeyGiven: true,
		Input:    json.RawMessage(fmt.Sprintf(`{"n":%q}`, key)),
		Received: now, Deadline: now.Add(10 * time.Second),
	}
}

// wholeDraft returns the complete answer of the draft profile.
func wholeDraft(req Request) string {
	first := memtarget.Output(targetapi.RunRequest{Stage: stageEncode, Input: req.Input})
	return memtarget.Text(targetapi.RunRequest{Stage: stageDraft, Input: req.Input, Previous: first})
}

func wholeBooking(req Request) string {
	first := memtarget.Output(targetapi.RunRequest{Stage: stageEncode, Input: req.Input})
	return string(memtarget.Output(targetapi.RunRequest{Stage: stageBook, Input: req.Input, Previous: first}))
}

// faultOnce applies the plan to the first call of the stage only.
func faultOnce(stage string, plan memtarget.Plan) func(stagecall.Target, targetapi.RunRequest) memtarget.Plan {
	used := false
	return func(_ stagecall.Target, req targetapi.RunRequest) memtarget.Plan {
		if used || req.Stage != stage {
			return memtarget.Plan{}
		}
		used = true
		return plan
	}
}

func (w *testEnv) runsOf(stage string) []memtarget.Run {
	var runs []memtarget.Run
	for _, run := range w.fleet.Runs() {
		if run.Request.Stage == stage {
			runs = append(runs, run)
		}
	}
	return runs
}

func (w *testEnv) noViolations(t *testing.T) {
	t.Helper()
	for _, v := range w.violated.Violations() {
		t.Errorf("invariant %s violated: %s", v.Rule, v.Detail)
	}
}

func refuseRepeats(want admission.SlotRequest) error {
	if want.Retry {
		return errkind.New(errkind.Overloaded, "budget for repeats is spent")
	}
	return nil
}
