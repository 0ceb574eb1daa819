package stagework

import (
	"maps"
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/route"
)

// Limits of a job's patience.
const (
	// maxTries is how often one piece is begun.
	maxTries = 6
	// lifetimeMargin is taken off the stated lifetime of a result.
	lifetimeMargin = 200 * time.Millisecond
	// comeBack bounds the time after which a refused caller may come back.
	comeBackMin = 200 * time.Millisecond
	comeBackMax = 3 * time.Second
)

// Planner holds the state of the stage targets and engines and decides what is
// done next. It is not safe for concurrent use; Dispatcher holds its lock.
// Every method is given the time.
type Planner struct {
	services map[string]*service
	byName   []*service // services by name, so that runs repeat
	pools    map[string]*pool
	jobs     map[*job]struct{}
	arrived  line               // by arrival
	urgent   line               // by urgency
	staged   []*job             // memory of staging
	dueAt    time.Time          // when the next plan may decide something if nothing happens; zero = now
	leaving  map[string]leaving // by handle
	calls    int
	all      *forecast // of all that wait, nil = none is valid
	// reuse is the time within which it is a waste to read a prompt part that
	// was read before.
	reuse time.Duration
	// release gets results that are no longer needed.
	release func(address string, handles []string)
	counts  Counts
	cell    Cell
	// dissolved is set while the cell is not one of those into which the targets
	// are divided.
	dissolved bool
	bounds    Bounds
	lead      lead
	policy    Policy
}

// Counts is what the planner has seen since its start. Errors are pieces that
// failed and calls without results; Hung are those of the calls that were given
// up since they took too long.
type Counts struct {
	Jobs, Placed, Refused, Calls, Pieces       int
	Room, Gone, Late, Errors, Full, Hung, Redo int
}

// defaultReuse is Planner.reuse where the settings say nothing.
const defaultReuse = 10 * time.Second

// plus adds counts.
func (c Counts) plus(o Counts) Counts {
	return Counts{
		Jobs: c.Jobs + o.Jobs, Placed: c.Placed + o.Placed, Refused: c.Refused + o.Refused,
		Calls: c.Calls + o.Calls, Pieces: c.Pieces + o.Pieces, Room: c.Room + o.Room, Gone: c.Gone + o.Gone,
		Late: c.Late + o.Late, Errors: c.Errors + o.Errors, Full: c.Full + o.Full, Hung: c.Hung + o.Hung, Redo: c.Redo + o.Redo,
	}
}

// NewPlanner returns a planner that knows no target. Results to be given up are
// handed to release.
func NewPlanner(release func(address string, handles []string)) *Planner {
	return &Planner{
		reuse:    defaultReuse,
		services: make(map[string]*service),
		pools:    make(map[string]*pool),
		jobs:     make(map[*job]struct{}),
		arrived:  line{order: byArrival},
		urgent:   line{order: before},
		leaving:  make(map[string]leaving),
		release:  release,
	}
}

// SetTargets takes in the services that are declared and their targets.
func (p *Planner) SetTargets(table *route.Table, view *fleet.View) {
	if table == nil {
		return
	}
	for name, declared := range table.Services {
		if declared.Pieces != nil {
			p.setServers(name, *declared.Pieces, view)
		}
		if declared.Engine != nil {
			p.setEngines(name, *declared.Engine, view)
			p.pools[name].coldRate = declared.ColdRate
		}
	}
}

func (p *Planner) setServers(name string, limits route.Pieces, view *fleet.View) {
	v := p.services[name]
	if v == nil {
		v = &service{name: name, number: len(p.services), servers: make(map[string]*server), pace: 1, hold: firstHold, bounds: p.bounds}
		p.services[name] = v
		p.byName = slices.SortedFunc(maps.Values(p.services), func(a, b *service) int { return compare(a.name, b.name) })
	}
	v.limits = limits
	for id, s := range v.servers {
		t, listed := view.Get(id)
		if !listed {
			s.gone = true
			if s.calls == 0 {
				delete(v.servers, id)
			}
			continue
		}
		s.target, s.gone = t, false
	}
	for _, t := range view.Ready(name) {
		if v.servers[t.ID] == nil {
			v.servers[t.ID] = &server{target: t, service: v, pace: v.pace, limited: p.bounds.window()}
		}
	}
	v.arrange()
}

func (p *Planner) setEngines(name string, limits route.Engine, view *fleet.View) {
	o := p.pools[name]
	if o == nil {
		o = &pool{name: name, engines: make(map[string]*engine), rate: firstRate, first: 50, reuse: p.reuse, used: make(map[string]partUse), policy: p.policy, bounds: p.bounds}
		p.pools[name] = o
	}
	o.limits = limits
	for id, e := range o.engines {
		t, listed := view.Get(id)
		if !listed {
			e.gone = true
			if e.running == 0 {
				delete(o.engines, id)
			}
			continue
		}
		e.target, e.gone = t, false
	}
	for _, t := range view.Ready(name) {
		if o.engines[t.ID] == nil {
			o.engines[t.ID] = newEngine(t, p.bounds)
		}
	}
	o.order = slices.SortedFunc(maps.Values(o.engines), func(a, b *engine) int { return compare(a.target.ID, b.target.ID) })
}

// submit takes a job. It returns nil and the refusal if it can't be done.
func (p *Planner) submit(in Job, notify func(Placement, *Refusal), now time.Time) (*job, *Refusal) {
	p.counts.Jobs++
	p.dueNow() // others may have to be late, also for one that is refused
	in.Aim = earlier(in.Aim, in.Deadline)
	j := &job{Job: in, arrived: now, notify: notify, session: in.session()}
	if refusal := p.build(j, now); refusal != nil {
		p.counts.Refused++
		return nil, refusal
	}
	p.jobs[j] = struct{}{}
	p.stage(j)
	j.countArrival(now)
	return j, nil
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// judgeNew decides whether the new job can be on time, and refuses it if it
// cannot even be late. Jobs that have to give way to it are refused or late in
// their turn.
func (p *Planner) judgeNew(j *job, now time.Time) *Refusal {
	j.ownTime = p.remaining(j, now)
	j.countAsked(now)
	if !p.policy.NoForecast {
		p.judge(j, now)
	}
	if !j.late {
		for _, u := range j.units {
			u.service.load.add(float64(len(u.pieces))*u.service.pieceTime(u.bytes).Seconds(), now)
		}
		return nil
	}
	p.changed()
	if ok, takes := p.takeLate(j, p.everything(now)); !ok && !p.policy.NoEarlyRefusal {
		return &Refusal{Reason: ReasonLate, RetryAfter: clampTime(takes, comeBackMin, comeBackMax), Forecast: takes}
	}
	return nil
}

// remaining is the time that the job needs until the engine's first event if
// nothing waits before it.
func (p *Planner) remaining(j *job, now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, u := range j.units {
		if len(u.followers) == 0 {
			longest = max(longest, p.path(u, now))
		}
	}
	o := j.pool
	tokens := 0
	if j.Prompt != nil {
		tokens = j.Prompt.TokensIn
	}
	return longest + time.Duration((float64(tokens)/o.rate+o.first)*float64(time.Millisecond))
}

// path is the time until the unit's results are there if nothing waits.
func (p *Planner) path(u *unit, now time.Time) time.Duration {
	if u.done() {
		return 0
	}
	before := time.Duration(0)
	for _, a := range u.after {
		before = max(before, p.path(a, now))
	}
	own := u.service.expect(min(len(u.pieces), u.service.batch()))
	if u.waiting == 0 {
		own = max(u.latestEnd().Sub(now), 0)
	}
	return before + own
}

// latestEnd is when the calls that make the unit's pieces are expected to end.
func (u *unit) latestEnd() time.Time {
	var end time.Time
	for _, q := range u.pieces {
		if q.state == pieceRunning && q.server.busyTill.After(end) {
			end = q.server.busyTill
		}
	}
	return end
}
