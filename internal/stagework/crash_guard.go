package stagework

import (
	"context"
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
)

// CrashGuard knows which requests crashed the stage targets that ran their
// pieces. Keys are those that Key returns. Its methods do not block, except
// HasCrashed, and are safe for concurrent use.
type CrashGuard interface {
	// Key returns the key of the requests of an organisation with a piece key.
	Key(organisation, pieceKey string) string
	// Active reports whether any key may be suspected.
	Active() bool
	// Judge returns what is known about requests with the key. owner is the
	// instance that handles the request.
	Judge(key, owner string) Judgement
	// HasCrashed checks whether the process of the target has ended. A target
	// that cannot be reached or is busy has not crashed.
	HasCrashed(ctx context.Context, t fleet.Target) bool
	// RecordCrash counts the crash of a target for a key.
	RecordCrash(key string, c TargetCrash)
	// RecordCompleted records that all pieces of a request with the key were
	// completed; trial reports that the request was accepted as a trial.
	RecordCompleted(key string, trial bool)
}

// Judgement is what is known about requests with a key.
type Judgement struct {
	Suspected bool // targets crashed under them
	Refused   bool // so many that they may not run, except as a trial
	// TrialDue reports that a refused request of the owner is a trial.
	TrialDue   bool
	RetryAfter time.Duration // of a refused request
}

// TargetCrash is the crash of a stage target while it ran a call.
type TargetCrash struct {
	Target      string
	Sent, Broke time.Time // start and end of the call
}

// CrashCounts holds counters of crashed stage targets since the start.
type CrashCounts struct {
	Targets int // calls whose target crashed
	Refused int // jobs refused because targets had crashed
	Trials  int // refused jobs that were accepted as trials
}

// suspicion is what the crash guard knows about a job.
type suspicion struct {
	key       string // "" = not computed yet, or the job has no piece key
	suspected bool
	trial     bool // the job is refused in general and runs as a trial
}

// crashes is a planner's access to the crash guard.
type crashes struct {
	guard    CrashGuard // nil = nothing is known about any request
	judging  bool       // the latest plan judged its jobs
	refused  func()
	accepted func(*job) // called with a job that is accepted as a trial
	// completed is called when all pieces of a suspected job are completed.
	completed func(key string, trial bool)
}

// computeCrashKey returns the job's key for the guard; "" = it has none.
func (j *job) computeCrashKey(guard CrashGuard) string {
	if j.suspicion.key == "" && j.Key != "" && j.hasPieces() {
		j.suspicion.key = guard.Key(j.Organisation, j.Key)
	}
	return j.suspicion.key
}

// judgeNew returns the refusal of a new job whose pieces crash targets.
func (p *Planner) judgeNew(j *job) *Refusal {
	if p.crashes.guard == nil || !p.crashes.guard.Active() || j.computeCrashKey(p.crashes.guard) == "" {
		return nil
	}
	known := p.crashes.guard.Judge(j.suspicion.key, j.Owner)
	j.suspicion.suspected = known.Suspected
	if !known.Refused {
		return nil
	}
	if known.TrialDue {
		j.suspicion.trial = true
		p.crashes.accepted(j)
		return nil
	}
	p.crashes.refused()
	return &Refusal{Reason: ReasonCrashes, RetryAfter: known.RetryAfter}
}

// judgeAll updates what is known about the waiting jobs, and refuses those whose
// pieces turned out to crash targets since they were accepted.
func (p *Planner) judgeAll(now time.Time) {
	if p.crashes.guard == nil {
		return
	}
	active := p.crashes.guard.Active()
	if !active && !p.crashes.judging {
		return
	}
	p.crashes.judging = active
	for _, j := range p.staging() {
		if j.computeCrashKey(p.crashes.guard) == "" {
			continue
		}
		known := p.crashes.guard.Judge(j.suspicion.key, j.Owner)
		j.suspicion.suspected = known.Suspected
		if known.Refused && !j.suspicion.trial {
			p.crashes.refused()
			p.refuse(j, Refusal{Reason: ReasonCrashes, RetryAfter: known.RetryAfter}, now)
		}
	}
}

// stagesCompleted reports that all pieces of the job were completed: they crash
// no targets now. Some completed pieces show nothing, since the others may be
// those that crash targets.
func (p *Planner) stagesCompleted(j *job) {
	if j.suspicion.suspected && p.crashes.completed != nil {
		p.crashes.completed(j.suspicion.key, j.suspicion.trial)
	}
}

// mayJoin reports whether the unit may share a call with the others. A suspected
// job shares calls with no other suspect: if the target crashes, one of them is
// harmless, and would be refused after three such crashes.
func (u *workUnit) mayJoin(others []*workUnit) bool {
	if !u.job.suspicion.suspected {
		return true
	}
	for _, o := range others {
		if o.job.suspicion.suspected && o.job.suspicion.key != u.job.suspicion.key {
			return false
		}
	}
	return true
}

// runsOtherSuspect reports whether the target runs a call with another suspect
// than the unit's job, so that it must not get the unit now.
func (s *stageTarget) runsOtherSuspect(u *workUnit) bool {
	if s.calls == 0 || !u.job.suspicion.suspected {
		return false
	}
	return slices.ContainsFunc(s.running, func(c *call) bool {
		return slices.ContainsFunc(c.pieces, func(q *piece) bool {
			other := q.unit.job.suspicion
			return other.suspected && other.key != u.job.suspicion.key
		})
	})
}
