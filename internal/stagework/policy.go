package stagework

import (
	"math"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
)

// Policy switches scheduling policies off, one by one, so that each can be
// measured against its baseline (lynxbench stages). The zero value is what
// instances run; no setting of theirs changes it.
type Policy struct {
	// NoForecast takes all jobs as if they could be on time; only the moment at
	// which they have to start orders them. What goes wrong without the
	// forecast: under load each job gets a part of the targets' time, and more
	// of them are late than need be. One notices results of requests that are
	// never answered.
	NoForecast bool
	// NoRoom sets no room aside for whole units; a piece is sent wherever its
	// own result fits. What goes wrong: targets fill up with results of many
	// half-made requests, none of which gets room for its last piece. One
	// notices targets that are idle and full.
	NoRoom bool
	// AnyPlace ignores the bytes between places: pieces go to any free target
	// and the engine to any place. What goes wrong: results are fetched over
	// the links between places, each of which is priced and makes a call
	// longer. One notices it by the bytes between places.
	AnyPlace bool
	// LeastLoaded chooses the engine with the least load, wherever the
	// session's prompt parts are kept. What goes wrong: each engine reads the
	// parts of each session again. One notices first events that are late at
	// engines with free slots.
	LeastLoaded bool
	// NoTakeover has a dispatcher make again what the one before had made of a
	// job. What goes wrong: the old results take room until their lifetime
	// ends, while the targets spend their time on making them a second time.
	// One notices refusals for want of room after a dispatcher was lost.
	NoTakeover bool
	// EachByItself has every instance schedule its own requests. A Planner
	// cannot tell; whoever hands jobs out heeds it. What goes wrong: instances
	// fill the same targets without knowing of each other. One notices calls
	// that find a target full, and pieces refused for want of room.
	EachByItself bool
	// NoEarlyRefusal keeps late jobs until they cannot end before their
	// deadline even if nothing waited before them. What goes wrong: callers
	// wait for an answer that does not come, and cannot ask again in time. One
	// notices refusals at the end of the callers' time.
	NoEarlyRefusal bool
	// NoMargin takes a job for on time if it is forecast to end just at its aim.
	// What goes wrong: see margin.
	NoMargin bool
	// MixedCalls fills a call with what comes next by rank, wherever its inputs
	// lie, and divides units. What goes wrong: see Planner.group.
	MixedCalls bool
	// NoRoomWait begins a call as soon as one piece has room. What goes wrong:
	// see candidate.awaitsRoom.
	NoRoomWait bool
	// NoLookahead begins a call though more of its pieces come a moment later.
	// What goes wrong: see round.holdFor.
	NoLookahead bool
	// NoGathering begins calls of first stages with what is there. What goes
	// wrong: see round.gatherUntil.
	NoGathering bool
}

// With is the policy with the parts switched off that o switches off too.
func (p Policy) With(o Policy) Policy {
	return Policy{
		NoForecast: p.NoForecast || o.NoForecast, NoRoom: p.NoRoom || o.NoRoom,
		AnyPlace: p.AnyPlace || o.AnyPlace, LeastLoaded: p.LeastLoaded || o.LeastLoaded,
		NoTakeover: p.NoTakeover || o.NoTakeover, EachByItself: p.EachByItself || o.EachByItself,
		NoEarlyRefusal: p.NoEarlyRefusal || o.NoEarlyRefusal, NoMargin: p.NoMargin || o.NoMargin,
		MixedCalls: p.MixedCalls || o.MixedCalls, NoRoomWait: p.NoRoomWait || o.NoRoomWait,
		NoLookahead: p.NoLookahead || o.NoLookahead, NoGathering: p.NoGathering || o.NoGathering,
	}
}

// margin is the margin of forecasts.
func (p Policy) margin() float64 {
	if p.NoMargin {
		return 0
	}
	return margin
}

// moveWeight is the weight of a megabyte that crosses places.
func (p Policy) moveWeight() float64 {
	if p.AnyPlace {
		return 0
	}
	return moveWeight
}

// loadCost is the cost of an engine by its load and the results' places alone.
func (p *pool) loadCost(e *engine, j *job) float64 {
	cost := p.policy.moveWeight() * float64(j.resultsElsewhere(e.target.Place)) / 1e6
	cost += spreadWeight * float64(e.running) / float64(max(p.limits.Slots, 1))
	if p.limits.MemoryTokens > 0 {
		cost += spreadWeight * math.Pow(float64(e.tokens)/float64(p.limits.MemoryTokens), 4)
	}
	return cost
}

// Stepper drives a Planner without a Dispatcher, for experiments in virtual
// time: nothing happens but in its methods, and each is given the time. After
// any of them Calls tells what to do next. It is not safe for concurrent use.
type Stepper struct{ p *Planner }

// NewStepper returns a stepper that knows no target. Results to be given up are
// handed to release, from within its methods; Released has to follow.
func NewStepper(policy Policy, release func(address string, handles []string)) *Stepper {
	p := NewPlanner(release)
	p.policy = policy
	return &Stepper{p: p}
}

// SetTargets takes in the declared services and their targets.
func (s *Stepper) SetTargets(table *route.Table, view *fleet.View) { s.p.SetTargets(table, view) }

// Reported takes in a stage target's report of its free room in bytes.
func (s *Stepper) Reported(service, target string, freeRoom int64, now time.Time) {
	v := s.p.services[service]
	if v == nil {
		return
	}
	if t := v.servers[target]; t != nil {
		t.reported(freeRoom, now)
	}
}

// Released tells that the makers of results have been told to give them up.
func (s *Stepper) Released(handles []string) { s.p.released(handles) }

// Busy reports whether jobs have not ended.
func (s *Stepper) Busy() bool { return len(s.p.jobs) > 0 }

// Step is a job of a Stepper.
type Step struct {
	p *Planner
	j *job
}

// Submit takes a job. decide is told of its placements or its refusal, made of
// results; both are called from within the Stepper's methods.
func (s *Stepper) Submit(in Job, decide func(Placement, *Refusal), made func([]Made), now time.Time) (*Step, *Refusal) {
	j, refusal := s.p.submit(in, decide, now)
	if refusal != nil {
		return nil, refusal
	}
	j.made = made
	return &Step{s.p, j}, nil
}

// Begun tells that the engine's answer has begun.
func (t *Step) Begun(now time.Time) { t.p.begun(t.j, now) }

// Rejected tells that the engine did not run the job; gone, that inputs were
// gone.
func (t *Step) Rejected(gone bool, now time.Time) { t.p.rejected(t.j, gone, false, now) }

// End tells that the job is over, whatever its state.
func (t *Step) End(now time.Time) { t.p.cancel(t.j, now) }

// StepCall is a call of a stage target that is to be made.
type StepCall struct {
	Target fleet.Target
	Pieces []relay.Piece
	Limit  time.Duration // after which it is given up
	p      *Planner
	c      *call
}

// Calls plans and returns the calls to make now.
func (s *Stepper) Calls(now time.Time) []StepCall {
	var calls []StepCall
	for _, c := range s.p.plan(now) {
		limit := time.Duration(hangFactor*float64(c.expected)) + hangMargin
		calls = append(calls, StepCall{c.server.target, entries(c, c.sent), limit, s.p, c})
	}
	return calls
}

// Finished tells how the call ended. results is nil if it failed; full says
// that the target did not take it.
func (c StepCall) Finished(results []relay.PieceResult, full bool, now time.Time) {
	c.p.finished(c.c, results, full, now)
}
