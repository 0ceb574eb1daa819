package stagework

import (
	"math"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
)

// Policy disables individual scheduling policies, so that each can be measured
// against a baseline without it (lynxbench stages). The zero value is what
// instances run; no setting changes it.
type Policy struct {
	// NoForecast classifies all jobs as on time; they are ordered only by their
	// latest start time. Without the forecast, under load each job gets a part
	// of the targets' time, and more jobs than necessary are late. The symptom
	// is results of requests that are never answered.
	NoForecast bool
	// NoRoom disables memory reservations for whole units; a piece is sent to
	// any target with memory for its own result. Without reservations, targets
	// fill up with results of many partly executed requests, none of which gets
	// memory for its last piece. The symptom is targets that are idle while
	// their memory is full.
	NoRoom bool
	// AnyZone ignores cross-zone traffic: pieces go to any free target and
	// engines are chosen in any zone. Results are then fetched over cross-zone
	// links, which cost money and make calls longer. The symptom is a rise of
	// cross-zone traffic.
	AnyZone bool
	// LeastLoaded chooses the least loaded engine, regardless of the session's
	// cached prompt parts. Each engine then processes the parts of each session
	// again. The symptom is late first events on engines with free slots.
	LeastLoaded bool
	// NoTakeover makes a new dispatcher ignore the results that the previous
	// one obtained for a job. The old results then take up memory until they
	// expire, while the targets spend time on executing the pieces again. The
	// symptom is rejections for lack of result memory after a dispatcher was
	// lost.
	NoTakeover bool
	// EachByItself makes every instance schedule its own requests. It has no
	// effect in a Planner; whoever submits jobs has to implement it. Instances
	// then schedule for the same targets without knowing of each other. The
	// symptom is calls that find a target busy and pieces rejected for lack of
	// result memory.
	EachByItself bool
	// NoEarlyRefusal keeps late jobs until they could not meet their deadline
	// even without any queueing. Callers then wait for an answer that never
	// comes and cannot retry in time. The symptom is refusals shortly before
	// the callers' deadlines.
	NoEarlyRefusal bool
	// NoMargin classifies a job as on time if it is forecast to end just in
	// time; see forecastMargin.
	NoMargin bool
	// MixedCalls fills a call with the next pieces by rank, regardless of the
	// zone of their inputs, and splits units; see Planner.draftCall.
	MixedCalls bool
	// NoRoomWait starts a call as soon as the result of one piece fits; see
	// candidate.waitsForMemory.
	NoRoomWait bool
	// NoLookahead starts a call even if more of its pieces become ready a
	// moment later; see round.lookaheadDelay.
	NoLookahead bool
	// NoGathering starts calls of first stages with the pieces that are
	// waiting; see round.batchDelayUntil.
	NoGathering bool
}

// With returns the policy with everything disabled that p or o disables.
func (p Policy) With(o Policy) Policy {
	return Policy{
		NoForecast: p.NoForecast || o.NoForecast, NoRoom: p.NoRoom || o.NoRoom,
		AnyZone: p.AnyZone || o.AnyZone, LeastLoaded: p.LeastLoaded || o.LeastLoaded,
		NoTakeover: p.NoTakeover || o.NoTakeover, EachByItself: p.EachByItself || o.EachByItself,
		NoEarlyRefusal: p.NoEarlyRefusal || o.NoEarlyRefusal, NoMargin: p.NoMargin || o.NoMargin,
		MixedCalls: p.MixedCalls || o.MixedCalls, NoRoomWait: p.NoRoomWait || o.NoRoomWait,
		NoLookahead: p.NoLookahead || o.NoLookahead, NoGathering: p.NoGathering || o.NoGathering,
	}
}

// margin is the safety margin of forecasts.
func (p Policy) margin() float64 {
	if p.NoMargin {
		return 0
	}
	return forecastMargin
}

// crossZoneWeight is the cost of a megabyte that crosses zones.
func (p Policy) crossZoneWeight() float64 {
	if p.AnyZone {
		return 0
	}
	return crossZoneWeight
}

// loadCost is the cost of an engine that considers only its load and the zones
// of the job's results.
func (p *pool) loadCost(e *engine, j *job) float64 {
	cost := p.policy.crossZoneWeight() * float64(j.bytesInOtherZones(e.info.Zone)) / 1e6
	cost += utilizationWeight * float64(e.running) / float64(max(p.limits.Slots, 1))
	if p.limits.MemoryTokens > 0 {
		cost += utilizationWeight * math.Pow(float64(e.tokens)/float64(p.limits.MemoryTokens), 4)
	}
	return cost
}

// Stepper drives a Planner without a Dispatcher, for simulations in virtual
// time: state changes only within its methods, each of which takes the current
// time. After each of them, Calls has to be called to get the calls to make. It
// is not safe for concurrent use.
type Stepper struct{ p *Planner }

// NewStepper returns a stepper without targets. It calls release, from within
// its methods, with the handles of results that are no longer needed; the
// caller confirms with Released.
func NewStepper(policy Policy, release func(address string, handles []string)) *Stepper {
	p := NewPlanner(release)
	p.policy = policy
	return &Stepper{p: p}
}

// SetTargets updates the declared services and their targets.
func (s *Stepper) SetTargets(table *route.Table, view *fleet.View) { s.p.SetTargets(table, view) }

// Reported passes on a stage target's report of its free result memory in
// bytes.
func (s *Stepper) Reported(service, target string, freeBytes int64, now time.Time) {
	v := s.p.services[service]
	if v == nil {
		return
	}
	if t := v.targets[target]; t != nil {
		t.applyReport(freeBytes, now)
	}
}

// Released confirms that the targets were asked to release the results.
func (s *Stepper) Released(handles []string) { s.p.released(handles) }

// Busy reports whether there are jobs that have not ended.
func (s *Stepper) Busy() bool { return len(s.p.jobs) > 0 }

// Step is a job submitted to a Stepper.
type Step struct {
	p *Planner
	j *job
}

// Submit submits a job. decide is called with each of its placements or its
// refusal, made with its results; both are called from within the Stepper's
// methods.
func (s *Stepper) Submit(in Job, decide func(Placement, *Refusal), made func([]ResultRef), now time.Time) (*Step, *Refusal) {
	j, refusal := s.p.submit(in, decide, now)
	if refusal != nil {
		return nil, refusal
	}
	j.onResults = made
	return &Step{s.p, j}, nil
}

// AnswerStarted reports that the engine's answer has started.
func (t *Step) AnswerStarted(now time.Time) { t.p.answerStarted(t.j, now) }

// Rejected reports that the engine did not run the job; inputsLost reports that
// inputs were lost.
func (t *Step) Rejected(inputsLost bool, now time.Time) {
	t.p.engineRejected(t.j, inputsLost, false, now)
}

// End ends the job, whatever its state.
func (t *Step) End(now time.Time) { t.p.cancel(t.j, now) }

// StepCall is a call of a stage target to be made.
type StepCall struct {
	Target fleet.Target
	Pieces []relay.Piece
	Limit  time.Duration // timeout of the call
	p      *Planner
	c      *call
}

// Calls makes a plan and returns the calls to make now.
func (s *Stepper) Calls(now time.Time) []StepCall {
	var calls []StepCall
	for _, c := range s.p.plan(now) {
		limit := time.Duration(callTimeoutFactor*float64(c.expected)) + callTimeoutMargin
		calls = append(calls, StepCall{c.target.info, relayPieces(c, c.sent), limit, s.p, c})
	}
	return calls
}

// Finished reports the outcome of the call. results is nil if it failed; noSlot
// reports that the target had no free slot.
func (c StepCall) Finished(results []relay.PieceResult, noSlot bool, now time.Time) {
	c.p.callFinished(c.c, results, noSlot, now)
}
