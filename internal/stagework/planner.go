package stagework

import (
	"maps"
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/reservation"
	"lynxhill.example/lynxhill/internal/route"
)

// Limits of jobs and their pieces.
const (
	// maxAttempts is the maximum number of times that a piece is started.
	maxAttempts = 6
	// lifetimeMargin is subtracted from the declared lifetime of a result.
	lifetimeMargin = 200 * time.Millisecond
	// retryAfterMin and retryAfterMax bound the retry delay given to refused
	// callers.
	retryAfterMin = 200 * time.Millisecond
	retryAfterMax = 3 * time.Second
)

// Planner holds the state of the stage targets and engines of a cell and
// decides what to do next. It is not safe for concurrent use; Dispatcher holds
// its lock while calling it. All methods that depend on the time take it as a
// parameter.
type Planner struct {
	services        map[string]*service
	byName          []*service // services sorted by name, so that decisions are deterministic
	pools           map[string]*pool
	jobs            map[*job]struct{}
	pieces          int // of all jobs
	limits          Limits
	arrivalQueue    jobQueue                  // jobs without an engine, by arrival
	urgencyQueue    jobQueue                  // the same jobs, by urgency
	stagingBuf      []*job                    // buffer of staging
	dueAt           time.Time                 // when the next plan may decide something if nothing happens; zero = now
	pendingReleases map[string]pendingRelease // by handle
	calls           int
	cachedTotal     *forecast // result of totalForecast; nil = invalid
	// reuseWindow is the time after its use within which processing a prompt
	// part again counts as redundant.
	reuseWindow time.Duration
	// release is called with the handles of results that are no longer needed.
	release func(address string, handles []string)
	counts  Counts
	cell    Cell
	// cellView is the view of the cell's targets that a Dispatcher passed to SetTargets last.
	cellView cellView
	// retired is set while the cell is not part of the current partition of the
	// targets.
	retired    bool
	bounds     RateLimits
	leadership leadership
	policy     Policy
	overload   Overload
	// reservations are for callers that were refused for lack of time.
	reservations reservations
	sharing      sharingCounts
	results      resultCounts
	// cachedOnTime is the forecast of on-time jobs at the latest plan.
	cachedOnTime *forecast
	// lateCheckedAt is when all late jobs were checked by checkLate.
	lateCheckedAt time.Time
	// onLate is called with each job that becomes late by a rule of the shares;
	// nil = it is not reported.
	onLate  func(*job, Rule)
	crashes crashes
}

// Counts holds counters of a planner since its start. Errors counts failed
// pieces and calls without results; TimedOut counts those of the calls that timed
// out.
type Counts struct {
	Jobs, Placed, Refused, Calls, Pieces                            int
	OutOfMemory, InputsLost, Late, Errors, NoSlot, TimedOut, Remade int
}

// defaultReuse is the reuse window if none is configured.
const defaultReuse = 10 * time.Second

// plus returns the sum of the counters.
func (c Counts) plus(o Counts) Counts {
	return Counts{
		Jobs: c.Jobs + o.Jobs, Placed: c.Placed + o.Placed, Refused: c.Refused + o.Refused,
		Calls: c.Calls + o.Calls, Pieces: c.Pieces + o.Pieces, OutOfMemory: c.OutOfMemory + o.OutOfMemory, InputsLost: c.InputsLost + o.InputsLost,
		Late: c.Late + o.Late, Errors: c.Errors + o.Errors, NoSlot: c.NoSlot + o.NoSlot, TimedOut: c.TimedOut + o.TimedOut, Remade: c.Remade + o.Remade,
	}
}

// NewPlanner returns a planner without targets. It calls release with the
// handles of results that are no longer needed.
func NewPlanner(release func(address string, handles []string)) *Planner {
	return &Planner{
		reuseWindow:     defaultReuse,
		services:        make(map[string]*service),
		pools:           make(map[string]*pool),
		jobs:            make(map[*job]struct{}),
		arrivalQueue:    jobQueue{order: byArrival},
		urgencyQueue:    jobQueue{order: byUrgency},
		pendingReleases: make(map[string]pendingRelease),
		release:         release,
		reservations:    reservations{book: reservation.New()},
	}
}

// SetTargets updates the declared services and their targets.
func (p *Planner) SetTargets(table *route.Table, view *fleet.View) {
	if table == nil {
		return
	}
	for name, declared := range table.Services {
		if declared.Pieces != nil {
			p.setStageTargets(name, *declared.Pieces, view)
		}
		if declared.Engine != nil {
			p.setEngines(name, *declared.Engine, view)
			p.pools[name].coldRate = declared.ColdRate
		}
	}
}

func (p *Planner) setStageTargets(name string, limits route.Pieces, view *fleet.View) {
	v := p.services[name]
	if v == nil {
		v = &service{name: name, number: len(p.services), targets: make(map[string]*stageTarget), latencyRatio: 1, retention: initialRetention, bounds: p.bounds}
		p.services[name] = v
		p.byName = slices.SortedFunc(maps.Values(p.services), func(a, b *service) int { return compare(a.name, b.name) })
	}
	v.limits = limits
	for id, s := range v.targets {
		t, listed := view.Get(id)
		if listed && t.Succeeds(s.info) {
			p.replaceStageTarget(s, t)
			continue
		}
		if !listed || t.Service != name {
			s.removed = true
			if s.calls == 0 {
				delete(v.targets, id)
			}
			continue
		}
		s.info, s.removed = t, false
	}
	for _, t := range view.Ready(name) {
		if v.targets[t.ID] == nil {
			v.targets[t.ID] = newStageTarget(t, v)
		}
	}
	v.sortTargets()
}

func (p *Planner) setEngines(name string, limits route.Engine, view *fleet.View) {
	o := p.pools[name]
	if o == nil {
		o = &pool{name: name, engines: make(map[string]*engine), prefillRate: initialPrefillRate, firstEventBase: 50, reuseWindow: p.reuseWindow, partUses: make(map[string]partUse), policy: p.policy, bounds: p.bounds}
		p.pools[name] = o
	}
	o.limits = limits
	for id, e := range o.engines {
		t, listed := view.Get(id)
		if listed && t.Succeeds(e.info) {
			o.replaceEngine(e, t)
			continue
		}
		if !listed || t.Service != name {
			e.removed = true
			if e.running == 0 {
				delete(o.engines, id)
			}
			continue
		}
		e.info, e.removed = t, false
	}
	for _, t := range view.Ready(name) {
		if o.engines[t.ID] == nil {
			o.engines[t.ID] = newEngine(t, p.bounds)
		}
	}
	o.byID = slices.SortedFunc(maps.Values(o.engines), func(a, b *engine) int { return compare(a.info.ID, b.info.ID) })
	o.setMaxParts(p.limits.Parts)
}

// submit accepts a job, or returns nil and a refusal if it cannot be done.
func (p *Planner) submit(in Job, notify func(Placement, *Refusal), now time.Time) (*job, *Refusal) {
	p.counts.Jobs++
	p.dueNow() // the new job may make others late, even if it is refused
	in.OnTimeUntil = earlier(in.OnTimeUntil, in.Deadline)
	if p.overload.Shares {
		in.Priority = route.CombinedPriority(in.Priority, in.RoutePriority)
	}
	j := &job{Job: in, urgency: in.Priority, arrived: now, notify: notify, session: in.session(), shares: jobShares{inForce: p.overload.Shares}}
	p.claimReservation(j, now)
	if refusal := p.build(j, now); refusal != nil {
		p.counts.Refused++
		p.countRule(j, refusal)
		return nil, refusal
	}
	p.acceptedWithoutReservation(j)
	p.jobs[j] = struct{}{}
	p.pieces += j.countPieces()
	p.enqueueJob(j)
	j.countArrival(now)
	return j, nil
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// classifyNew decides whether the new job can be on time, and refuses it if it
// could not even be served late. Jobs that it displaces are in turn refused or
// late.
func (p *Planner) classifyNew(j *job, now time.Time) *Refusal {
	j.minTime = p.remaining(j, now)
	if j.claimed {
		p.acceptClaimed(j, now)
		return nil
	}
	j.countRequest(now)
	if !p.policy.NoForecast {
		p.classify(j, now)
	}
	if !j.late {
		j.countLoad(now)
		return nil
	}
	p.invalidateForecast()
	if ok, takes := p.acceptLate(j, p.totalForecast(now)); !ok && !p.policy.NoEarlyRefusal {
		r := p.lateRefusal(j, Refusal{Reason: ReasonLate, RetryAfter: clampTime(takes, retryAfterMin, retryAfterMax), Forecast: takes}, now)
		return &r
	}
	return nil
}

// countLoad counts the work of an on-time job at each service.
func (j *job) countLoad(now time.Time) {
	for _, u := range j.units {
		u.service.load.add(float64(len(u.pieces))*u.service.pieceTime(u.resultBytes).Seconds(), now)
	}
}

// remaining is the time that the job needs until the engine's first event
// without any queueing.
func (p *Planner) remaining(j *job, now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, u := range j.units {
		if len(u.dependents) == 0 {
			longest = max(longest, p.minTimeTo(u, now))
		}
	}
	o := j.pool
	tokens := 0
	if j.Prompt != nil {
		tokens = j.Prompt.TokensIn
	}
	return longest + time.Duration((float64(tokens)/o.prefillRate+o.firstEventBase)*float64(time.Millisecond))
}

// minTimeTo is the time until the unit's results are available without any
// queueing.
func (p *Planner) minTimeTo(u *workUnit, now time.Time) time.Duration {
	if u.done() {
		return 0
	}
	before := time.Duration(0)
	for _, a := range u.inputs {
		before = max(before, p.minTimeTo(a, now))
	}
	own := u.service.expectedCallTime(min(len(u.pieces), u.service.batch()))
	if u.waiting == 0 {
		own = max(u.latestEnd().Sub(now), 0)
	}
	return before + own
}

// latestEnd is the latest expected end of the calls that run the unit's pieces.
func (u *workUnit) latestEnd() time.Time {
	var end time.Time
	for _, q := range u.pieces {
		if q.state == pieceRunning && q.target.busyUntil.After(end) {
			end = q.target.busyUntil
		}
	}
	return end
}
