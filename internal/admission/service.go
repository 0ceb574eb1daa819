package admission

import (
	"math/rand/v2"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/routing"
)

const (
	// dispatchInterval is how often waiters are retried while the queue is not
	// empty: load reports can free capacity too, but trigger no dispatch.
	dispatchInterval = 25 * time.Millisecond
	// maxSkippedFlows bounds the flows without a target that one pass skips.
	maxSkippedFlows = 16
	// meanInterval is how often the mean load of the service is recomputed.
	meanInterval = 100 * time.Millisecond
	// defaultCost is charged for a slot while no duration has been measured.
	defaultCost = 100 * time.Millisecond
	// minTimeQuantile is the quantile of a stage's total time that must fit into
	// the time left until the deadline.
	minTimeQuantile = 0.1
	// tokensWeight is the weight of a new answer in the mean answer length.
	tokensWeight = 0.05
)

// service is the shard of the gate for one service.
type service struct {
	gate *ServiceGate
	name string

	mu                sync.Mutex // guards all below
	now               time.Time  // when the operation that holds mu began
	limits            *GateLimits
	policy            routing.Policy
	rand              *rand.Rand
	turn              uint64 // number of choices made
	pass              uint64 // number of calls of dispatchWaiting
	targets           map[string]*targetState
	stages            map[string]*stageStats
	all               stageStats
	queue             *queue
	budget            retryBudget
	mean              routing.ServiceMean
	meanAt            time.Time // when mean was computed
	dispatchScheduled bool      // a call of dispatchWaiting is scheduled
	inFlight          int
	pendingLog        []logEntry // written by unlock
}

// stageStats holds the distributions of a stage over all targets.
type stageStats struct {
	waitTimes
	total    distribution
	perToken distribution
	tokens   float64 // moving mean of complete answers
	// Cached quantiles of the distributions.
	medianFirstByte time.Duration // median of firstByte
	medianPerToken  time.Duration // median of perToken
	fastTotal       time.Duration // minTimeQuantile of total
	median          time.Duration // of total
	pending         int           // samples since the quantiles were computed
}

func (st *stageStats) measure(r Result, now time.Time, l *GateLimits) {
	st.addWaitTimes(r, now, l)
	if !r.OK {
		return
	}
	if r.PerToken > 0 {
		st.perToken.add(r.PerToken, now, l.Window, l.MinSamples)
	}
	if r.Tokens > 0 {
		st.addTokens(float64(r.Tokens))
	}
	st.total.add(r.Duration, now, l.Window, l.MinSamples)
	st.pending++
	if st.pending >= quantileRefreshEvery || st.median == 0 {
		st.pending = 0
		st.fastTotal, _ = st.total.quantile(minTimeQuantile, l.MinSamples)
		st.median, _ = st.total.quantile(0.5, l.MinSamples)
		st.medianFirstByte, _ = st.firstByte.quantile(0.5, quantileRefreshEvery)
		st.medianPerToken, _ = st.perToken.quantile(0.5, quantileRefreshEvery)
	}
}

func (st *stageStats) addTokens(tokens float64) {
	if st.tokens == 0 {
		st.tokens = tokens
	}
	st.tokens += tokensWeight * (tokens - st.tokens)
}

// slowness returns the ratio of an ended call's time to the usual time, and the
// score of that sign if the call was slow; 0 and 0 if the call says nothing about
// slowness. A call that took long without producing tokens may simply have been a
// long call: it counts only if another target responded first.
func (st *stageStats) slowness(r Result) (ratio float64, score int) {
	switch {
	case r.OK && r.PerToken > 0 && st.medianPerToken > 0:
		return float64(r.PerToken) / float64(st.medianPerToken), slowPaceScore
	case r.LostRace && r.FirstByte == 0 && st.medianFirstByte > 0:
		return float64(r.Duration) / float64(st.medianFirstByte), lateStartScore
	case r.OK && r.FirstByte > 0 && r.FirstByte <= st.medianFirstByte:
		return 1, lateStartScore
	}
	return 0, 0
}

func (s *service) lock(c clock.Clock) {
	s.mu.Lock()
	s.now = c.Now()
}

// unlock releases the lock and then writes the log entries recorded under it.
func (s *service) unlock() {
	entries := s.pendingLog
	s.pendingLog = nil
	s.mu.Unlock()
	s.gate.writeLog(entries)
}

func (s *service) stage(name string) *stageStats {
	st := s.stages[name]
	if st == nil {
		st = &stageStats{}
		s.stages[name] = st
	}
	return st
}

func (s *service) target(id string) *targetState {
	t := s.targets[id]
	if t == nil {
		t = &targetState{}
		s.targets[id] = t
	}
	return t
}

// choose runs the chooser with this service's local view of the targets.
func (s *service) choose(want *SlotRequest, provider profile.Provider) (routing.Choice, routing.Verdict) {
	s.refreshMean()
	s.turn++
	return s.gate.chooser.Choose(routing.ChooseParams{
		Query:    &want.Query,
		Provider: provider,
		Policy:   s.policy,
		Now:      s.now,
		View:     s,
		Rand:     s.rand,
		Turn:     s.turn,
		Mean:     s.mean,
	})
}

// refreshMean recomputes the mean load of the service from the load reports, and
// deletes the state of removed targets once there is much of it.
func (s *service) refreshMean() {
	if s.now.Sub(s.meanAt) < meanInterval && !s.meanAt.IsZero() {
		return
	}
	s.meanAt = s.now
	s.mean = routing.ServiceMean{Service: s.all.median}
	listed := s.gate.chooser.Index.Service(s.name)
	if listed == nil {
		return
	}
	outstanding, slots := 0, 0
	for _, e := range listed.All {
		if load, ok := s.gate.options.Board.Loads.Get(e.Target.ID); ok {
			outstanding += load.Report.Running + load.Report.Queued
			slots += load.Report.Slots
		}
	}
	if slots > 0 {
		s.mean.PerSlot = float64(outstanding) / float64(slots)
	}
	if len(s.targets) > 2*len(listed.All) {
		s.removeStaleTargets()
	}
}

func (s *service) removeStaleTargets() {
	for id, t := range s.targets {
		if _, listed := s.gate.options.Board.Targets.Get(id); !listed && t.inFlight() == 0 {
			delete(s.targets, id)
		}
	}
}

// acquireOrEnqueue grants a slot immediately, refuses the attempt, or returns
// its waiter in the queue.
func (s *service) acquireOrEnqueue(want *SlotRequest, provider profile.Provider) (*slot, *waiter, error) {
	if err := s.checkDeadline(want); err != nil {
		return nil, nil, err
	}
	if s.queue.waiting == 0 {
		choice, verdict := s.choose(want, provider)
		switch verdict {
		case routing.NoCandidate:
			return nil, nil, noTarget(s.name)
		case routing.Chosen:
			if err := s.chargeRetryBudget(want); err != nil {
				return nil, nil, err
			}
			return s.grant(want, choice), nil, nil
		}
	}
	if want.NoWait {
		return nil, nil, s.overloaded("no target of %s has room", s.name)
	}
	w, err := s.enqueue(want, provider)
	return nil, w, err
}

// checkDeadline refuses an attempt that would not finish in time even if it ran
// fast.
func (s *service) checkDeadline(want *SlotRequest) error {
	deadline := want.Query.Deadline
	if deadline.IsZero() {
		return nil
	}
	left := deadline.Sub(s.now)
	if left <= 0 {
		return errkind.New(errkind.DeadlineBeforeRun, "the deadline passed before stage %s", want.Query.Stage.Name)
	}
	if left < s.stage(want.Query.Stage.Name).fastTotal {
		return s.deadlineUnreachable(want, 0)
	}
	return nil
}

// chargeRetryBudget charges a retry, resume or hedge to its budget, or counts a
// first attempt.
func (s *service) chargeRetryBudget(want *SlotRequest) error {
	if !want.Retry {
		s.budget.countFirst(s.now, s.limits)
		return nil
	}
	take := s.budget.takeRetry
	switch {
	case want.AfterFault:
		take = s.budget.takeFaultRetry
	case want.NoWait:
		take = s.budget.takeHedge
	}
	if take(s.now, s.limits) {
		return nil
	}
	s.gate.counts.budgetRefusals.Add(1)
	return s.overloaded("the budget for repeats of %s is spent", s.name)
}

func (s *service) overloaded(format string, args ...any) error {
	err := errkind.New(errkind.Overloaded, format, args...)
	return errkind.WithRetryAfter(err, s.retryAfter())
}

func (s *service) deadlineUnreachable(want *SlotRequest, wait time.Duration) error {
	s.gate.counts.unreachable.Add(1)
	err := errkind.New(errkind.DeadlineUnreachable, "stage %s would not finish in time", want.Query.Stage.Name)
	return errkind.WithRetryAfter(err, max(wait, s.retryAfter()))
}

// retryAfter estimates when half of the present waiters will have been served.
func (s *service) retryAfter() time.Duration {
	const floor, ceil = 100 * time.Millisecond, 10 * time.Second
	served := max(s.inFlight, 1)
	wait := time.Duration(s.queue.waiting+1) * s.all.median / time.Duration(2*served)
	return min(max(wait, floor), ceil)
}

func noTarget(service string) error {
	const again = time.Second
	return errkind.WithRetryAfter(errkind.New(errkind.NoTarget, "no target of %s is ready", service), again)
}
