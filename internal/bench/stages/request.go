package stages

import (
	"time"

	"lynxhill.example/lynxhill/internal/stagework"
)

// request is a caller's request and what its owner, an instance, knows of it.
type request struct {
	day      *day
	kind     kind
	owner    *instance
	job      stagework.Job
	arrived  time.Time
	at       *instance // whose planner has the job
	step     *stagework.Step
	try      int // counts placements and moves: what belongs to an earlier one is void
	engine   *engine
	inputs   []string
	results  []known
	pieces   map[[2]int]bool // made at least once
	answered bool
	ended    bool
}

// known is a result that the owner was told of.
type known struct {
	stagework.ResultRef
	told time.Time
}

// arrive hands the request to an instance.
func (q *request) arrive() {
	d := q.day
	if q.owner.dead {
		q.owner = d.first() // the caller has turned to another
		q.job.Zone = q.owner.zone
	}
	d.out.Requests++
	q.arrived = d.now
	q.job.OnTimeUntil = d.now.Add(q.kind.aim)
	q.job.Deadline = d.now.Add(q.kind.deadline)
	d.after(q.kind.deadline, q.leave)
	q.submit()
}

// submit hands the job to the planner that schedules it.
func (q *request) submit() {
	d := q.day
	q.at = d.scheduler(q)
	q.try++
	try := q.try
	decide := func(p stagework.Placement, r *stagework.Refusal) { q.decided(p, r, try) }
	step, refusal := q.at.steps.Submit(q.job, decide, q.told, d.now)
	if refusal != nil {
		q.refused()
		return
	}
	q.step = step
	q.at.proceed()
}

// told takes in what was made.
func (q *request) told(made []stagework.ResultRef) {
	for _, m := range made {
		q.results = append(q.results, known{m, q.day.now})
	}
}

// decided takes in a decision of the planner. It is called while that plans.
func (q *request) decided(p stagework.Placement, r *stagework.Refusal, try int) {
	if q.ended || try != q.try {
		return
	}
	if r != nil {
		q.refused()
		return
	}
	q.inputs, q.engine = p.Inputs, q.day.engineByID[p.Target]
	q.day.after(hop, func() {
		if !q.ended {
			q.engine.take(q)
		}
	})
}

// begun takes in the first event.
func (q *request) begun() {
	q.answered = true
	q.day.answer(q)
	q.tell(func() { q.step.AnswerStarted(q.day.now) })
}

// rejected asks for another engine, of another planner if the first is lost.
func (q *request) rejected(gone bool) {
	q.engine = nil
	if q.at.dead {
		q.move()
		return
	}
	q.day.after(hop, func() {
		if !q.ended {
			q.tell(func() { q.step.Rejected(gone, q.day.now) })
		}
	})
}

// move hands the job to the next planner with the results that are known.
func (q *request) move() {
	q.job.Results = nil
	for _, k := range q.results {
		m := k.ResultRef
		m.Age += q.day.now.Sub(k.told)
		q.job.Results = append(q.job.Results, m)
	}
	q.submit()
}

// tell tells the planner that has the job, unless that is lost.
func (q *request) tell(what func()) {
	if q.at.dead || q.step == nil {
		return
	}
	what()
	q.at.proceed()
}

func (q *request) refused() {
	q.ended = true
	q.day.out.Refused++
	q.day.out.refusedAfter += q.day.now.Sub(q.arrived)
}

// leave ends a request whose caller has not got its first event.
func (q *request) leave() {
	if q.ended || q.answered {
		return
	}
	q.day.out.Left++
	q.end()
}

// end ends the request, whatever its state.
func (q *request) end() {
	if q.ended {
		return
	}
	q.ended = true
	if q.engine != nil {
		q.engine.leave(q)
	}
	q.tell(func() { q.step.End(q.day.now) })
}
