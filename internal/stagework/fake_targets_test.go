package stagework

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
)

const (
	ms = time.Millisecond
	mb = 1 << 20
	// firstEvent is the time to the first event of the fake engines.
	firstEvent = 50 * ms
)

// fakeTargets is a relay.StageClient for stage targets in virtual time. A
// target reserves memory for results when a call starts, and continues to run a
// call after the client has cancelled it.
type fakeTargets struct {
	t              *testing.T
	mu             sync.Mutex // guards all fields, and those of the targets
	targets        map[string]*fakeTarget
	jobs           map[string]Job
	results        map[string]*fakeResult // by handle, including those that are gone
	sent           map[pieceID][]time.Time
	cachedParts    map[string][]relay.PromptPart // by engine
	releaseCalls   map[string]int                // release calls, by target
	violations     int
	crossZoneReads int // results that pieces have read from another zone
}

// fakeResult is a result that a target holds or has held.
type fakeResult struct {
	pieceID
	target  string
	bytes   int64
	expires time.Time // zero = gone
}

type pieceID struct {
	job           string
	stage, number int
}

// fakeTarget is one target with its faults.
type fakeTarget struct {
	limits      route.Pieces
	slowdown    float64       // factor of the duration of its calls
	memory      int64         // actual result memory
	removed     chan struct{} // closed when the target is removed
	hangs, busy bool
	calls       int // calls in progress, as seen by the dispatcher
	running     int // calls in progress, including cancelled ones
	outOfMemory int // pieces rejected for lack of memory
	started     []time.Time
}

// violation reports a violated invariant; only the first few per test are
// logged.
func (f *fakeTargets) violation(format string, args ...any) {
	if f.violations++; f.violations <= 5 {
		f.t.Errorf(format, args...)
	}
}

// Run implements relay.StageClient.
func (f *fakeTargets) Run(ctx context.Context, t fleet.Target, pieces []relay.Piece) ([]relay.PieceResult, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, now := f.targets[t.ID], time.Now()
	for _, p := range pieces {
		id := pieceID{p.ID, p.Stage, p.Number}
		f.sent[id] = append(f.sent[id], now)
	}
	s.started = append(s.started, now)
	s.calls++
	defer func() { s.calls-- }()
	if s.calls > s.limits.Slots || len(pieces) == 0 || len(pieces) > s.limits.Batch {
		f.violation("%s got concurrent call %d of %d with %d pieces of %d", t.ID, s.calls, s.limits.Slots, len(pieces), s.limits.Batch)
	}
	if s.busy || s.running >= s.limits.Slots {
		return nil, true, errors.New("503")
	}
	results, work := f.begin(t.ID, s, pieces)
	if s.hangs {
		work = time.Hour
	}
	s.running++
	time.AfterFunc(work, func() { f.update(t.ID, func(s *fakeTarget) { s.running-- }) })
	f.mu.Unlock()
	defer f.mu.Lock()
	select {
	case <-time.After(work + time.Microsecond):
		return results, false, nil
	case <-ctx.Done():
		return nil, false, ctx.Err()
	case <-s.removed:
		return nil, false, errors.New("connection reset")
	}
}

// begin decides about each piece and reserves the memory. It returns the
// duration of the call.
func (f *fakeTargets) begin(id string, s *fakeTarget, pieces []relay.Piece) (results []relay.PieceResult, work time.Duration) {
	for _, p := range pieces {
		j := f.jobs[p.ID]
		stage := j.Stages[p.Stage]
		switch {
		case !f.inputsPresent(j, stage.After, p.Inputs):
			results = append(results, relay.PieceResult{Status: relay.PieceInputMissing})
		case f.usedLocked(id)+stage.ResultBytes > s.memory:
			s.outOfMemory++
			results = append(results, relay.PieceResult{Status: relay.PieceNoMemory})
		default:
			handle := fmt.Sprintf("%s#%d", id, len(f.results))
			f.crossZoneReads += f.inOtherZone(id, p.Inputs)
			f.results[handle] = &fakeResult{pieceID{p.ID, p.Stage, p.Number}, id, stage.ResultBytes, time.Now().Add(time.Hour)}
			results = append(results, relay.PieceResult{Handle: handle})
			work += s.limits.ItemTime
		}
	}
	if work > 0 {
		work = time.Duration(float64(s.limits.CallTime+work) * s.slowdown)
	}
	for _, r := range results {
		if m := f.results[r.Handle]; m != nil {
			m.expires = time.Now().Add(work + s.limits.ResultLifetime)
		}
	}
	return results, work
}

// inOtherZone counts the results that are stored in another zone than the
// target. Targets alternate between two zones by their number.
func (f *fakeTargets) inOtherZone(id string, handles []string) (n int) {
	for _, h := range handles {
		if m := f.results[h]; m != nil && (m.target[len(m.target)-1]-id[len(id)-1])%2 != 0 {
			n++
		}
	}
	return n
}

// inputsPresent checks that the handles are exactly those of all pieces of the
// job's stages, each once, and reports whether all results still exist.
func (f *fakeTargets) inputsPresent(j Job, stages []int, handles []string) bool {
	want := make(map[pieceID]bool)
	for _, st := range stages {
		for n := range j.pieces(st) {
			want[pieceID{j.ID, st, n}] = true
		}
	}
	all := true
	for _, h := range handles {
		m := f.results[h]
		if m == nil || !want[m.pieceID] {
			f.violation("%s, stages %v: handle %q is unknown, of another piece or a duplicate", j.ID, stages, h)
			return false
		}
		delete(want, m.pieceID)
		all = all && time.Now().Before(m.expires)
	}
	if len(want) > 0 {
		f.violation("%s: missing handles of %v", j.ID, want)
	}
	return all && len(want) == 0
}

// usedLocked returns the memory used by a target's results. The caller holds
// the lock.
func (f *fakeTargets) usedLocked(id string) (bytes int64) {
	for _, m := range f.results {
		if m.target == id && time.Now().Before(m.expires) {
			bytes += m.bytes
		}
	}
	return bytes
}

// usedBytes is usedLocked for callers that do not hold the lock.
func (f *fakeTargets) usedBytes(id string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.usedLocked(id)
}

// Report implements relay.StageClient.
func (f *fakeTargets) Report(_ context.Context, t fleet.Target) (relay.StageReport, error) {
	used := f.usedBytes(t.ID)
	s := f.target(t.ID)
	if s.limits.Batch == 0 {
		return relay.StageReport{}, errors.New("no such target")
	}
	return relay.StageReport{Busy: s.running > 0, FreeBytes: s.memory - used}, nil
}

// CachedParts implements relay.StageClient.
func (f *fakeTargets) CachedParts(_ context.Context, t fleet.Target) ([]relay.PromptPart, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cachedParts[t.ID], nil
}

// Free implements relay.StageClient.
func (f *fakeTargets) Free(_ context.Context, address string, handles []string) error {
	f.mu.Lock()
	if f.releaseCalls == nil {
		f.releaseCalls = make(map[string]int)
	}
	f.releaseCalls[strings.TrimPrefix(address, "at ")]++
	f.mu.Unlock()
	f.dropResults(func(m *fakeResult, handle string) bool {
		return slices.Contains(handles, handle) && "at "+m.target == address
	})
	if slices.Contains(handles, "") {
		f.t.Errorf("a result without a handle is released at %s", address)
	}
	return nil
}

// dropResults deletes the selected results. It returns a target that held one
// of them.
func (f *fakeTargets) dropResults(which func(m *fakeResult, handle string) bool) (target string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for h, m := range f.results {
		if time.Now().Before(m.expires) && which(m, h) {
			target, m.expires = m.target, time.Time{}
		}
	}
	return target
}

// loseResults deletes a stage's results without notice.
func (f *fakeTargets) loseResults(job string, stage int) (target string) {
	return f.dropResults(func(m *fakeResult, _ string) bool { return m.job == job && m.stage == stage })
}

// target returns a copy of a target's state.
func (f *fakeTargets) target(id string) fakeTarget {
	f.mu.Lock()
	defer f.mu.Unlock()
	return *f.targets[id]
}

// update modifies a target.
func (f *fakeTargets) update(id string, how func(s *fakeTarget)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	how(f.targets[id])
}

// limits returns the parameters of a typical stage service.
func limits(batch int, call, item time.Duration, room int64) route.Pieces {
	return route.Pieces{Slots: 1, Batch: batch, CallTime: call, ItemTime: item, ResultMemory: room, ResultLifetime: 30 * time.Second}
}

// serviceSpec declares a service with its targets, whose IDs are the service's
// name and a number.
type serviceSpec struct {
	targets int
	limits  route.Pieces
}

// testEnv is a dispatcher with fake stage targets, and two engines of service
// "lm".
type testEnv struct {
	t       *testing.T
	d       *Dispatcher
	fake    *fakeTargets
	table   *route.Table
	targets []fleet.Target
}

// withEnv runs the test in virtual time and checks at its end that all
// resources were released.
func withEnv(t *testing.T, services map[string]serviceSpec, test func(w *testEnv)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fakeTargets{t: t, targets: make(map[string]*fakeTarget), jobs: make(map[string]Job), results: make(map[string]*fakeResult), sent: make(map[pieceID][]time.Time)}
		w := &testEnv{t: t, fake: f, d: New(Options{Client: f, Clock: quartz.NewReal()})}
		w.table, w.targets = engines(2)
		for name, g := range services {
			w.table.Services[name] = &route.Service{Name: name, Pieces: &g.limits}
			for n := range g.targets {
				id := fmt.Sprint(name, n)
				w.targets = append(w.targets, fleet.Target{ID: id, Service: name, Address: "at " + id, Zone: fmt.Sprint("p", n%2)})
				f.targets[id] = &fakeTarget{limits: g.limits, slowdown: 1, memory: g.limits.ResultMemory, removed: make(chan struct{})}
			}
		}
		w.publish()
		test(w)
		time.Sleep(5 * time.Second) // calls in progress end
		w.checkReleased()
		w.d.Close()
		synctest.Wait()
	})
}

// engines returns a table with the service "lm" and its targets.
func engines(n int) (*route.Table, []fleet.Target) {
	var targets []fleet.Target
	for i := range n {
		targets = append(targets, fleet.Target{ID: fmt.Sprint("lm", i), Service: "lm", Address: fmt.Sprint("at lm", i), Zone: fmt.Sprint("p", i%2)})
	}
	return &route.Table{Services: map[string]*route.Service{"lm": {Name: "lm", Engine: &route.Engine{Slots: 64, MemoryTokens: 1e6}}}}, targets
}

func (w *testEnv) publish() { w.d.SetTargets(w.table, fleet.NewView(1, slices.Clone(w.targets))) }

// removeTarget removes a target with all its results.
func (w *testEnv) removeTarget(id string) {
	w.fake.dropResults(func(m *fakeResult, _ string) bool { return m.target == id })
	w.fake.update(id, func(s *fakeTarget) { close(s.removed); s.busy = true })
	w.targets = slices.DeleteFunc(w.targets, func(t fleet.Target) bool { return t.ID == id })
	w.publish()
}

// checkReleased checks that no state is kept for jobs that have ended.
func (w *testEnv) checkReleased() {
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	if n := len(w.d.planner(Cell{}).jobs); n > 0 {
		w.t.Errorf("%d jobs have not ended", n)
	}
	for name, v := range w.d.planner(Cell{}).services {
		if v.reservedBytes != 0 || len(v.pendingUnits) > 0 {
			w.t.Errorf("%s: %d bytes reserved, %d units wait", name, v.reservedBytes, len(v.pendingUnits))
		}
		for id, s := range v.targets {
			if s.usedBytes != 0 || s.calls != 0 {
				w.t.Errorf("%s: used bytes %d, calls %d", id, s.usedBytes, s.calls)
			}
		}
	}
	for id, e := range w.d.planner(Cell{}).pools["lm"].engines {
		if e.running != 0 || e.tokens != 0 || e.prefillTokens != 0 {
			w.t.Errorf("%s: running %d, tokens %d, prefill tokens %d", id, e.running, e.tokens, e.prefillTokens)
		}
	}
}

// newJob returns a job with the given time until it is late and until its
// deadline.
func newJob(id any, aim, deadline time.Duration, stages []route.Stage, pieces ...int) Job {
	return Job{
		ID: fmt.Sprint("job ", id), OnTimeUntil: time.Now().Add(aim), Deadline: time.Now().Add(deadline),
		Stages: stages, Pieces: pieces, Service: "lm", Zone: "p0",
	}
}

// submit submits a job to the dispatcher.
func (w *testEnv) submit(j Job) (*LocalAssignment, *Refusal) {
	w.fake.mu.Lock()
	w.fake.jobs[j.ID] = j
	w.fake.mu.Unlock()
	return w.d.Submit(j)
}

// jobOutcome is how a job ended.
type jobOutcome struct {
	engine     string // "" = not placed
	refusal    *Refusal
	at         time.Time // of the first event or the refusal
	lostInputs int       // placements with missing inputs
}

// serve runs a job to its end; the engine checks its inputs.
func (w *testEnv) serve(j Job) (e jobOutcome) {
	assignment, refusal := w.submit(j)
	if refusal != nil {
		return jobOutcome{refusal: refusal, at: time.Now()}
	}
	defer assignment.End()
	for {
		var d Decision
		select {
		case d = <-assignment.Decisions():
		case <-time.After(time.Until(j.Deadline) + time.Second):
			w.t.Errorf("%s was neither placed nor refused", j.ID)
			return e
		}
		if d.Refusal != nil {
			e.refusal, e.at = d.Refusal, time.Now()
			return e
		}
		if !w.engineInputsPresent(j, d.Inputs) {
			e.lostInputs++
			assignment.Rejected(true, false)
			continue
		}
		time.Sleep(firstEvent)
		assignment.AnswerStarted(nil)
		e.engine, e.at = d.Target, time.Now()
		time.Sleep(4 * firstEvent)
		return e
	}
}

// engineInputsPresent reports whether all inputs of the engine exist.
func (w *testEnv) engineInputsPresent(j Job, inputs []string) bool {
	var last []int
	for st := range j.Stages {
		if !slices.ContainsFunc(j.Stages, func(o route.Stage) bool { return slices.Contains(o.After, st) }) {
			last = append(last, st)
		}
	}
	w.fake.mu.Lock()
	defer w.fake.mu.Unlock()
	if (inputs == nil) != (len(j.Stages) == 0) {
		w.fake.violation("%s with %d stages: inputs %#v", j.ID, len(j.Stages), inputs)
	}
	return w.fake.inputsPresent(j, last, inputs)
}

// serveAll runs jobs that arrive at a fixed interval.
func (w *testEnv) serveAll(n int, pause time.Duration, job func(i int) Job) []jobOutcome {
	outcomes := make([]jobOutcome, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * pause)
			outcomes[i] = w.serve(job(i))
		})
	}
	wg.Wait()
	return outcomes
}

// requirePlaced checks that all jobs were placed and that none lost inputs.
func requirePlaced(t *testing.T, outcomes ...jobOutcome) {
	t.Helper()
	bad := slices.DeleteFunc(slices.Clone(outcomes), func(e jobOutcome) bool { return e.engine != "" && e.lostInputs == 0 })
	if len(bad) > 0 {
		t.Errorf("%d of %d jobs were not placed properly; one was placed %d times with lost results, refusal %+v", len(bad), len(outcomes), bad[0].lostInputs, bad[0].refusal)
	}
}
