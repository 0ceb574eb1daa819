package stagework

import "time"

// Decision is a placement or, if Refusal is set, the end of a job.
type Decision struct {
	Placement
	Refusal *Refusal
	// Lost names the instance whose dispatcher is not reached any more; the job
	// may be handed to another. "" = it is reached.
	Lost string
	// Next names the instance that ranks first: the dispatcher gives the job
	// back and it is to be handed to that one. "" = it does not.
	Next string
	// Made are results made since the last decision, where it is nothing else.
	Made []Made
}

// Assignment is a job at a dispatcher, here or on another instance.
type Assignment interface {
	// Decisions gives the job's placements; after one was rejected there is
	// another. It is never closed.
	Decisions() <-chan Decision
	// Begun tells that the engine's answer has begun.
	Begun()
	// Rejected tells that the engine did not run the request, so that another
	// is wanted. gone says that inputs were gone, failed that the engine did
	// not answer as it should.
	Rejected(gone, failed bool)
	// Broke tells that the engine failed the request after it had begun.
	Broke()
	// End tells that the job is over, whatever its state.
	End()
	// Moved tells that the job goes on at another dispatcher, which takes over
	// what Made returns.
	Moved()
	// Made returns the results that are known to be made, once the dispatcher
	// is lost.
	Made() []Made
	// Dispatcher is the instance whose dispatcher has the job.
	Dispatcher() string
}

// Ticket is the Assignment of a job at the dispatcher of this instance.
type Ticket struct {
	d         *Dispatcher
	p         *Planner
	j         *job
	decisions chan Decision
	kept      []Made // results of a job that was given back
}

// decisionsKept is more than a job can get: one for each engine that it may be
// sent to, and a refusal.
const decisionsKept = 64

func (t *Ticket) decide(p Placement, r *Refusal) {
	if r != nil {
		t.logGivenUp(r)
	}
	t.put(Decision{Placement: p, Refusal: r})
}

func (t *Ticket) put(d Decision) {
	select {
	case t.decisions <- d:
	default: // the owner has not read any of them: it is gone
	}
}

// Decisions implements Assignment.
func (t *Ticket) Decisions() <-chan Decision { return t.decisions }

// Begun implements Assignment.
func (t *Ticket) Begun() { t.tell(func(p *Planner, now time.Time) { p.begun(t.j, now) }) }

// Rejected implements Assignment.
func (t *Ticket) Rejected(gone, failed bool) {
	t.tell(func(p *Planner, now time.Time) { p.rejected(t.j, gone, failed, now) })
}

// Broke implements Assignment.
func (t *Ticket) Broke() { t.tell(func(p *Planner, now time.Time) { p.broke(t.j, now) }) }

// End implements Assignment.
func (t *Ticket) End() {
	t.d.mu.Lock()
	defer t.d.mu.Unlock()
	t.p.cancel(t.j, t.d.o.Clock.Now())
	t.d.proceedIfDue(t.p)
}

// Moved implements Assignment.
func (t *Ticket) Moved() { t.tell(func(p *Planner, now time.Time) { p.move(t.j, now) }) }

// Made implements Assignment.
func (t *Ticket) Made() []Made {
	t.d.mu.Lock()
	defer t.d.mu.Unlock()
	return t.kept
}

// Dispatcher implements Assignment.
func (t *Ticket) Dispatcher() string { return t.d.o.Self }

func (t *Ticket) tell(what func(p *Planner, now time.Time)) {
	t.d.mu.Lock()
	defer t.d.mu.Unlock()
	what(t.p, t.d.o.Clock.Now())
	t.d.proceed(t.p)
}
