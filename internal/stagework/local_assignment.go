package stagework

import (
	"time"

	"lynxhill.example/lynxhill/internal/relay"
)

// Decision is a placement, or the end of a job if Refusal is set, or one of the
// events below.
type Decision struct {
	Placement
	Refusal *Refusal
	// LostDispatcher is the instance whose dispatcher can no longer be reached; the job
	// may be submitted to another one. "" = it is reachable.
	LostDispatcher string
	// NextDispatcher is the instance that ranks first, if the dispatcher returns the job;
	// the owner should resubmit the job to it. "" = the job is not returned.
	NextDispatcher string
	// Results lists the results produced since the last decision, in a decision
	// that is nothing else.
	Results []ResultRef
}

// Assignment is a job at a dispatcher, of this or another instance.
type Assignment interface {
	// Decisions returns the channel of the job's placements; each rejected one
	// is followed by another. It is never closed.
	Decisions() <-chan Decision
	// AnswerStarted reports that the engine's answer has started, with the load
	// that the engine stated; nil = it stated none.
	AnswerStarted(load *relay.Load)
	// Rejected reports that the engine did not run the request, so that another
	// engine is needed. inputsLost reports that inputs were lost, failed that
	// the engine did not respond correctly.
	Rejected(inputsLost, failed bool)
	// EngineFailed reports that the engine failed the request after its answer had
	// started.
	EngineFailed()
	// End ends the job, whatever its state.
	End()
	// Transferred reports that the job continues at another dispatcher, which adopts
	// the results that Results returns.
	Transferred()
	// Results returns the job's known results once its dispatcher is lost or has
	// returned the job.
	Results() []ResultRef
	// Dispatcher is the instance whose dispatcher has the job.
	Dispatcher() string
}

// LocalAssignment is the Assignment of a job at the dispatcher of this
// instance.
type LocalAssignment struct {
	d         *Dispatcher
	p         *Planner
	j         *job
	decisions chan Decision
	returned  []ResultRef // results of a job that was returned to its owner
}

// decisionBuffer is more than the number of decisions of a job: one for each
// engine that it may be sent to, and a refusal.
const decisionBuffer = 64

func (t *LocalAssignment) decide(p Placement, r *Refusal) {
	if r != nil {
		t.d.countRefusal(&t.j.Job, r)
		t.logGivenUp(r)
	}
	t.send(Decision{Placement: p, Refusal: r})
}

func (t *LocalAssignment) send(d Decision) {
	select {
	case t.decisions <- d:
	default: // the owner has stopped reading
	}
}

// Decisions implements Assignment.
func (t *LocalAssignment) Decisions() <-chan Decision { return t.decisions }

// AnswerStarted implements Assignment.
func (t *LocalAssignment) AnswerStarted(load *relay.Load) {
	t.update(func(p *Planner, now time.Time) {
		p.statePace(t.j, load, now)
		p.answerStarted(t.j, now)
	})
}

// Rejected implements Assignment.
func (t *LocalAssignment) Rejected(inputsLost, failed bool) {
	t.update(func(p *Planner, now time.Time) { p.engineRejected(t.j, inputsLost, failed, now) })
}

// EngineFailed implements Assignment.
func (t *LocalAssignment) EngineFailed() {
	t.update(func(p *Planner, now time.Time) { p.engineFailed(t.j, now) })
}

// End implements Assignment.
func (t *LocalAssignment) End() {
	t.d.mu.Lock()
	defer t.d.mu.Unlock()
	t.p.cancel(t.j, t.d.o.Clock.Now())
	t.d.runPlanIfDue(t.p)
}

// Transferred implements Assignment.
func (t *LocalAssignment) Transferred() {
	t.update(func(p *Planner, now time.Time) { p.transfer(t.j, now) })
}

// Results implements Assignment.
func (t *LocalAssignment) Results() []ResultRef {
	t.d.mu.Lock()
	defer t.d.mu.Unlock()
	return t.returned
}

// Dispatcher implements Assignment.
func (t *LocalAssignment) Dispatcher() string { return t.d.o.Self }

func (t *LocalAssignment) update(apply func(p *Planner, now time.Time)) {
	t.d.mu.Lock()
	defer t.d.mu.Unlock()
	apply(t.p, t.d.o.Clock.Now())
	t.d.runPlan(t.p)
}
