package stagework

import (
	"context"
	"errors"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
)

// Times of the dispatcher.
const (
	// wakeEvery is how often the plan is made anew while jobs wait.
	wakeEvery = 20 * time.Millisecond
	// freeAfter is how long results to be given up are gathered, so that one
	// call names many.
	freeAfter = 8 * time.Millisecond
	// freeLimitedAfter is freeAfter for a target that names a limit, which each
	// call counts against.
	freeLimitedAfter = 2 * time.Second
	freeTime         = time.Second
)

// Options of a Dispatcher.
type Options struct {
	Self   string            // instance id
	Client relay.StageClient // nil = there are no stage targets, and engines are not asked
	Clock  clock.Clock
	Logger *event.Logger
	// Reuse is the time within which it is a waste to read a prompt part that
	// was read before.
	Reuse  time.Duration
	Bounds Bounds
	// First returns the instance that should schedule for the cell, and
	// whether that is sure to be there. nil = this one should.
	First func(Cell) (instance string, sure bool)
}

// Dispatcher carries out what a Planner decides. It is safe for concurrent use.
type Dispatcher struct {
	o    Options
	ctx  context.Context
	stop context.CancelFunc

	mu       sync.Mutex          // guards all below
	planners map[string]*Planner // by cell
	table    *route.Table
	view     *fleet.View
	division Division
	cells    []Cell // of the newest view
	waking   bool
	freeing  gathered // results to give up
	freeLate gathered // those at targets that name a limit
}

// gathered is results to give up together.
type gathered map[freed][]string

// freed is where results are given up: at an address, for a planner.
type freed struct {
	planner *Planner
	address string
}

// New returns a dispatcher without targets. Close ends its calls.
func New(o Options) *Dispatcher {
	ctx, stop := context.WithCancel(context.Background())
	return &Dispatcher{o: o, ctx: ctx, stop: stop, planners: make(map[string]*Planner), freeing: make(gathered), freeLate: make(gathered)}
}

// planner returns the planner of the cell. It is made with the cell's first
// job: an instance schedules for few cells. The lock is held.
func (d *Dispatcher) planner(cell Cell) *Planner {
	if p, ok := d.planners[cell.Name()]; ok {
		return p
	}
	var p *Planner
	p = NewPlanner(func(address string, handles []string) { d.release(freed{p, address}, handles) })
	p.cell, p.bounds = cell, d.o.Bounds
	if d.o.Reuse > 0 {
		p.reuse = d.o.Reuse
	}
	if d.view != nil {
		p.SetTargets(d.table, cell.within(d.view))
		p.setDissolved(!cell.among(d.cells))
	}
	d.planners[cell.Name()] = p
	d.askTargets(p)
	return p
}

// Close ends the calls in progress.
func (d *Dispatcher) Close() { d.stop() }

// SetTargets takes in the declared services and their targets.
func (d *Dispatcher) SetTargets(table *route.Table, view *fleet.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table, d.view = table, view
	d.cells = d.division.Next(table, view)
	for _, p := range d.planners {
		p.SetTargets(table, p.cell.within(view))
		p.setDissolved(!p.cell.among(d.cells))
		d.proceed(p)
	}
}

// Cells returns the parts into which the targets are divided now.
func (d *Dispatcher) Cells() []Cell {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cells == nil {
		return []Cell{{Weight: 1}}
	}
	return d.cells
}

// Counts returns what was seen since the start.
func (d *Dispatcher) Counts() Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all Counts
	for _, p := range d.planners {
		all = all.plus(p.counts)
	}
	return all
}

// Jobs returns how many jobs have not ended.
func (d *Dispatcher) Jobs() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, p := range d.planners {
		n += len(p.jobs)
	}
	return n
}

// Submit takes a job. The refusal says why it is not taken.
func (d *Dispatcher) Submit(in Job) (*Ticket, *Refusal) { return d.submit(in, false) }

// SubmitRemote is Submit for a job of another instance, whose decisions also
// say what was made: this instance may die with what it knows.
func (d *Dispatcher) SubmitRemote(in Job) (*Ticket, *Refusal) { return d.submit(in, true) }

func (d *Dispatcher) submit(in Job, remote bool) (*Ticket, *Refusal) {
	t := &Ticket{d: d, decisions: make(chan Decision, decisionsKept)}
	d.mu.Lock()
	defer d.mu.Unlock()
	t.p = d.planner(Cell{Places: in.Cell})
	j, refusal := t.p.submit(in, t.decide, d.o.Clock.Now())
	if refusal != nil {
		d.logRefusal(t.p, in, refusal)
		return nil, refusal
	}
	t.j = j
	j.lost = func(results []Made) {
		t.kept = results
		next, _ := d.first(t.p)
		t.put(Decision{Next: next})
	}
	if remote {
		j.made = func(made []Made) { t.put(Decision{Made: made}) }
	}
	d.proceed(t.p)
	return t, nil
}

// HandBack gives the jobs that have no engine yet back to their owners, with
// their results, each once none of its pieces is being made. The owners hand
// them to the next dispatcher. It is for an instance that is stopping: two
// dispatchers that go on beside each other for the time of a stop fill the same
// targets without knowing of each other.
func (d *Dispatcher) HandBack() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.planners {
		p.leave(true)
		d.proceed(p)
	}
}

// proceed makes the plan and starts its calls. The lock is held.
func (d *Dispatcher) proceed(p *Planner) {
	for _, c := range p.plan(d.o.Clock.Now()) {
		go d.make(p, c, c.server.target, entries(c, c.sent))
	}
	d.rest(p)
}

// proceedIfDue makes the plan after something that by itself gives it nothing
// to decide: a wake, room that got free, a job that ended. It may then only be
// due for what lies in time or for a target that could get a call. The lock is
// held.
func (d *Dispatcher) proceedIfDue(p *Planner) {
	if p.due(d.o.Clock.Now()) {
		d.proceed(p)
	} else {
		d.rest(p)
	}
}

// rest has the dispatcher wake while the planner has jobs. The lock is held.
func (d *Dispatcher) rest(p *Planner) {
	if len(p.jobs) > 0 && !d.waking {
		d.waking = true
		d.o.Clock.AfterFunc(wakeEvery, d.wake)
	}
}

func (d *Dispatcher) wake() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waking = false
	for _, p := range d.planners {
		if len(p.jobs) == 0 {
			continue
		}
		first, sure := d.first(p)
		if p.lead.lost(sure && first != d.o.Self, d.o.Clock.Now()) {
			p.leave(false)
		}
		d.proceedIfDue(p)
	}
}

// first returns the instance that should schedule for the planner's cell.
func (d *Dispatcher) first(p *Planner) (instance string, sure bool) {
	if d.o.First == nil {
		return d.o.Self, true
	}
	return d.o.First(p.cell)
}

// entries returns the pieces of a call as the client takes them.
func entries(c *call, now time.Time) []relay.Piece {
	list := make([]relay.Piece, 0, len(c.pieces))
	for _, q := range c.pieces {
		j := q.unit.job
		e := relay.Piece{ID: j.ID, Stage: q.unit.stage, Number: q.number, Left: max(j.Deadline.Sub(now), time.Millisecond)}
		for _, a := range q.unit.after {
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

// make makes a call and takes in how it ended.
func (d *Dispatcher) make(p *Planner, c *call, target fleet.Target, pieces []relay.Piece) {
	limit := time.Duration(hangFactor*float64(c.expected)) + hangMargin
	ctx, cancel := context.WithTimeout(d.ctx, limit)
	defer cancel()
	results, full, err := d.o.Client.Run(ctx, target, pieces)
	if err != nil || len(results) != len(pieces) {
		results = nil
	}
	hung := err != nil && !full && errors.Is(ctx.Err(), context.DeadlineExceeded)
	d.mu.Lock()
	defer d.mu.Unlock()
	if hung {
		p.counts.Hung++
	}
	now := d.o.Clock.Now()
	d.logCall(c, results, full, err, now)
	p.finished(c, results, full, now)
	d.proceed(p)
}

// release gathers results to give up. The lock is held.
func (d *Dispatcher) release(at freed, handles []string) {
	waiting, after := &d.freeing, freeAfter
	if id, listed := d.atAddress(at.address); listed {
		if _, named := d.o.Bounds.limit(id); named {
			waiting, after = &d.freeLate, freeLimitedAfter
		}
	}
	first := len(*waiting) == 0
	(*waiting)[at] = append((*waiting)[at], handles...)
	if first {
		d.o.Clock.AfterFunc(after, func() { d.free(waiting) })
	}
}

// atAddress returns the id of the target at the address. The lock is held.
func (d *Dispatcher) atAddress(address string) (string, bool) {
	if d.view == nil {
		return "", false
	}
	return d.view.AtAddress(address)
}

// free gives up the results that were gathered. A call that fails is not
// repeated: results end by themselves after their lifetime.
func (d *Dispatcher) free(waiting *gathered) {
	d.mu.Lock()
	all := *waiting
	*waiting = make(gathered)
	d.mu.Unlock()
	for at, handles := range all {
		go func() {
			ctx, cancel := context.WithTimeout(d.ctx, freeTime)
			defer cancel()
			_ = d.o.Client.Free(ctx, at.address, handles)
			d.mu.Lock()
			defer d.mu.Unlock()
			at.planner.released(handles)
			d.proceedIfDue(at.planner)
		}()
	}
}

// SetReuse changes Options.Reuse for what is decided from now on; r must be
// positive.
func (d *Dispatcher) SetReuse(r time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.o.Reuse = r
	for _, p := range d.planners {
		p.reuse = r
		for _, o := range p.pools {
			o.reuse = r
		}
	}
}
