package stagework

import (
	"context"
	"errors"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/refusallog"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
)

// Intervals and timeouts of the dispatcher.
const (
	// planInterval is the interval at which the dispatcher wakes up while it
	// has jobs, and makes a plan if one is due.
	planInterval = 20 * time.Millisecond
	// releaseDelay is how long results to be released are collected, so that
	// one call covers many.
	releaseDelay = 8 * time.Millisecond
	// limitedReleaseDelay is the release delay for a target that announces a
	// rate limit, against which each call counts.
	limitedReleaseDelay = 2 * time.Second
	releaseTimeout      = time.Second
)

// Options configure a Dispatcher.
type Options struct {
	Self   string            // ID of this instance
	Client relay.StageClient // nil = there are no stage targets, and engines are not queried
	Clock  clock.Clock
	Logger *event.Logger
	// Reuse is the time after its use within which processing a prompt part
	// again counts as redundant. 0 = a default.
	Reuse      time.Duration
	RateLimits RateLimits
	// First returns the instance that should schedule for the cell, and whether
	// that instance is known to be reachable. nil = this instance should.
	First func(Cell) (instance string, sure bool)
	// CrashGuard knows which requests crashed stage targets; nil = nothing is known.
	CrashGuard CrashGuard
}

// Dispatcher carries out the decisions of its planners. It is safe for
// concurrent use.
type Dispatcher struct {
	o    Options
	ctx  context.Context
	stop context.CancelFunc

	mu              sync.Mutex          // guards all fields below
	planners        map[string]*Planner // by cell
	table           *route.Table
	view            *fleet.View
	partition       Partition
	cells           []Cell // of the latest view
	overload        Overload
	limits          Limits
	refusals        refusallog.Log
	wakeScheduled   bool
	releases        releaseBatch // results to be released
	limitedReleases releaseBatch // results to be released by targets that announce a limit
	undecided       []brokenCall // calls of which it is not known whether their target crashed
	crashCounts     CrashCounts
}

// releaseBatch holds the handles of results to be released together.
type releaseBatch map[releaseDest][]string

// releaseDest is the address of the target that holds the results, and the
// planner that released them.
type releaseDest struct {
	planner *Planner
	address string
}

// New returns a dispatcher without targets. Close cancels its calls.
func New(o Options) *Dispatcher {
	ctx, stop := context.WithCancel(context.Background())
	return &Dispatcher{o: o, ctx: ctx, stop: stop, planners: make(map[string]*Planner), releases: make(releaseBatch), limitedReleases: make(releaseBatch)}
}

// planner returns the planner of the cell. It is created with the cell's first
// job, since an instance schedules for few cells. The caller holds the lock.
func (d *Dispatcher) planner(cell Cell) *Planner {
	if p, ok := d.planners[cell.Name()]; ok {
		return p
	}
	var p *Planner
	p = NewPlanner(func(address string, handles []string) { d.release(releaseDest{p, address}, handles) })
	p.cell, p.bounds, p.overload, p.limits = cell, d.o.RateLimits, d.overload, d.limits
	p.reservations.log = func(id event.ID, fields ...any) { d.o.Logger.Log(id, fields...) }
	p.onLate = func(j *job, rule Rule) { d.logLate(p, j, rule) }
	p.crashes = d.newCrashes(p)
	if d.o.Reuse > 0 {
		p.reuseWindow = d.o.Reuse
	}
	if d.view != nil {
		p.SetTargets(d.table, p.cellView.update(cell, d.view))
		p.setRetired(!cell.among(d.cells))
	}
	d.planners[cell.Name()] = p
	d.queryTargets(p)
	return p
}

// Close cancels the calls in progress.
func (d *Dispatcher) Close() { d.stop() }

// SetTargets updates the declared services and their targets.
func (d *Dispatcher) SetTargets(table *route.Table, view *fleet.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table, d.view = table, view
	d.cells = d.partition.Update(table, view)
	d.decideBrokenCalls()
	for _, p := range d.planners {
		p.SetTargets(table, p.cellView.update(p.cell, view))
		p.setRetired(!p.cell.among(d.cells))
		d.runPlan(p)
	}
}

// Cells returns the current cells.
func (d *Dispatcher) Cells() []Cell {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cells == nil {
		return []Cell{{Weight: 1}}
	}
	return d.cells
}

// Counts returns the counters since the start.
func (d *Dispatcher) Counts() Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all Counts
	for _, p := range d.planners {
		all = all.plus(p.counts)
	}
	return all
}

// Jobs returns the number of jobs that have not ended.
func (d *Dispatcher) Jobs() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, p := range d.planners {
		n += len(p.jobs)
	}
	return n
}

// Submit submits a job. The refusal says why it was not accepted.
func (d *Dispatcher) Submit(in Job) (*LocalAssignment, *Refusal) { return d.submit(in, false) }

// SubmitRemote is Submit for a job of another instance. Its decisions also
// report results, so that the owner still has their handles if this instance
// crashes.
func (d *Dispatcher) SubmitRemote(in Job) (*LocalAssignment, *Refusal) { return d.submit(in, true) }

func (d *Dispatcher) submit(in Job, remote bool) (*LocalAssignment, *Refusal) {
	t := &LocalAssignment{d: d, decisions: make(chan Decision, decisionBuffer)}
	d.mu.Lock()
	defer d.mu.Unlock()
	t.p = d.planner(Cell{Zones: in.Cell})
	j, refusal := t.p.submit(in, t.decide, d.o.Clock.Now())
	if refusal != nil {
		d.countRefusal(&in, refusal)
		d.logRefusal(t.p, in, refusal)
		return nil, refusal
	}
	t.j = j
	j.onReturn = func(results []ResultRef) {
		t.returned = results
		next, _ := d.first(t.p)
		t.send(Decision{NextDispatcher: next})
	}
	if remote {
		j.onResults = func(made []ResultRef) { t.send(Decision{Results: made}) }
	}
	d.runPlan(t.p)
	return t, nil
}

// ReturnJobs returns the jobs that have no engine yet to their owners with their
// results, each once none of its pieces is running. The owners submit them to
// the next dispatcher. It is called when the instance is stopping: otherwise
// two dispatchers would schedule for the same targets, without knowing of each
// other, until the stop is complete.
func (d *Dispatcher) ReturnJobs() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.planners {
		p.startReturn(true)
		d.runPlan(p)
	}
}

// runPlan makes a plan and starts its calls. The caller holds the lock.
func (d *Dispatcher) runPlan(p *Planner) {
	for _, c := range p.plan(d.o.Clock.Now()) {
		go d.runCall(p, c, c.target.info, relayPieces(c, c.sent))
	}
	d.scheduleWake(p)
}

// runPlanIfDue makes a plan if one is due. It is called after an event that by
// itself requires no decision: a wakeup, released memory, the end of a job. A
// plan is then only due because of the time or of a target that could get a
// call. The caller holds the lock.
func (d *Dispatcher) runPlanIfDue(p *Planner) {
	if p.due(d.o.Clock.Now()) {
		d.runPlan(p)
	} else {
		d.scheduleWake(p)
	}
}

// scheduleWake schedules the next wakeup while the planner has jobs. The caller
// holds the lock.
func (d *Dispatcher) scheduleWake(p *Planner) {
	if len(p.jobs) > 0 && !d.wakeScheduled {
		d.wakeScheduled = true
		d.o.Clock.AfterFunc(planInterval, d.wake)
	}
}

func (d *Dispatcher) wake() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wakeScheduled = false
	for _, p := range d.planners {
		if len(p.jobs) == 0 {
			continue
		}
		first, reachable := d.first(p)
		if p.leadership.shouldHandOver(reachable && first != d.o.Self, d.o.Clock.Now()) {
			p.startReturn(false)
		}
		d.runPlanIfDue(p)
	}
}

// first returns the instance that should schedule for the planner's cell.
func (d *Dispatcher) first(p *Planner) (instance string, reachable bool) {
	if d.o.First == nil {
		return d.o.Self, true
	}
	return d.o.First(p.cell)
}

// relayPieces returns the pieces of a call in the form that the client expects.
func relayPieces(c *call, now time.Time) []relay.Piece {
	list := make([]relay.Piece, 0, len(c.pieces))
	for _, q := range c.pieces {
		j := q.unit.job
		e := relay.Piece{ID: j.ID, Stage: q.unit.stage, Number: q.number, Remaining: max(j.Deadline.Sub(now), time.Millisecond)}
		for _, a := range q.unit.inputs {
			for _, in := range a.pieces {
				e.Inputs = append(e.Inputs, in.handle)
			}
		}
		if e.Inputs == nil {
			e.Key = j.Key
		}
		list = append(list, e)
	}
	return list
}

// runCall makes a call and processes its outcome.
func (d *Dispatcher) runCall(p *Planner, c *call, target fleet.Target, pieces []relay.Piece) {
	limit := time.Duration(callTimeoutFactor*float64(c.expected)) + callTimeoutMargin
	ctx, cancel := context.WithTimeout(d.ctx, limit)
	defer cancel()
	results, noSlot, err := d.o.Client.Run(ctx, target, pieces)
	if err != nil || len(results) != len(pieces) {
		results = nil
	}
	timedOut := err != nil && !noSlot && errors.Is(ctx.Err(), context.DeadlineExceeded)
	if err != nil && !noSlot {
		d.checkCrash(c, target, timedOut)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if timedOut {
		p.counts.TimedOut++
	}
	now := d.o.Clock.Now()
	d.logCall(c, results, noSlot, err, now)
	p.callFinished(c, results, noSlot, now)
	d.runPlan(p)
}

// release adds results to a batch of releases. The caller holds the lock.
func (d *Dispatcher) release(at releaseDest, handles []string) {
	batch, after := &d.releases, releaseDelay
	if id, listed := d.targetAtAddress(at.address); listed {
		if _, named := d.o.RateLimits.limit(id); named {
			batch, after = &d.limitedReleases, limitedReleaseDelay
		}
	}
	first := len(*batch) == 0
	(*batch)[at] = append((*batch)[at], handles...)
	if first {
		d.o.Clock.AfterFunc(after, func() { d.sendReleases(batch) })
	}
}

// targetAtAddress returns the ID of the target at the address. The caller holds
// the lock.
func (d *Dispatcher) targetAtAddress(address string) (string, bool) {
	if d.view == nil {
		return "", false
	}
	return d.view.AtAddress(address)
}

// sendReleases asks targets to release the results of the batch. A failed call
// is not retried: results expire after their lifetime.
func (d *Dispatcher) sendReleases(batch *releaseBatch) {
	d.mu.Lock()
	all := batch.pending()
	*batch = make(releaseBatch)
	d.mu.Unlock()
	for at, handles := range all {
		go func() {
			ctx, cancel := context.WithTimeout(d.ctx, releaseTimeout)
			defer cancel()
			_ = d.o.Client.Free(ctx, at.address, handles)
			d.mu.Lock()
			defer d.mu.Unlock()
			at.planner.released(handles)
			d.runPlanIfDue(at.planner)
		}()
	}
}

// SetReuse changes Options.Reuse for future decisions; r must be positive.
func (d *Dispatcher) SetReuse(r time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.o.Reuse = r
	for _, p := range d.planners {
		p.reuseWindow = r
		for _, o := range p.pools {
			o.reuseWindow = r
		}
	}
}
