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
	// pumpInterval is how often waiters are tried again while the queue isn't
	// empty: room also comes from load reports, which wake nobody.
	pumpInterval = 25 * time.Millisecond
	// pumpSkips bounds the flows that one pass finds no target for.
	pumpSkips = 16
	// meanInterval is how often the service's mean load is computed anew.
	meanInterval = 100 * time.Millisecond
	// unknownCost is charged for a slot while no duration is measured.
	unknownCost = 100 * time.Millisecond
	// hopeless is the quantile of a stage's time that must still fit into the
	// deadline.
	hopeless = 0.1
	// tokensWeight is that of a new answer in the mean length.
	tokensWeight = 0.05
)

// service is the shard of the gate for one service.
type service struct {
	gate *ServiceGate
	name string

	mu       sync.Mutex // guards all below
	now      time.Time  // of the operation that holds mu
	limits   *GateLimits
	policy   routing.Policy
	rand     *rand.Rand
	turn     uint64
	pass     uint64
	targets  map[string]*targetState
	stages   map[string]*stageStats
	all      stageStats
	queue    *queue
	budget   repeatBudget
	mean     routing.Mean
	meanAt   time.Time
	timer    bool // a pump is due
	inFlight int
	news     []news
}

// stageStats are the distributions of a stage over all targets.
type stageStats struct {
	silences
	total    distribution
	perToken distribution
	tokens   float64 // moving mean of whole answers
	// Cached quantiles of the distributions.
	first   time.Duration // median of firstByte
	pace    time.Duration // median of perToken
	fastest time.Duration // of total
	median  time.Duration // of total
	pending int
}

func (st *stageStats) measure(r Result, now time.Time, l *GateLimits) {
	st.addSilences(r, now, l)
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
	if st.pending >= medianEvery || st.median == 0 {
		st.pending = 0
		st.fastest, _ = st.total.quantile(hopeless, l.MinSamples)
		st.median, _ = st.total.quantile(0.5, l.MinSamples)
		st.first, _ = st.firstByte.quantile(0.5, medianEvery)
		st.pace, _ = st.perToken.quantile(0.5, medianEvery)
	}
}

func (st *stageStats) addTokens(tokens float64) {
	if st.tokens == 0 {
		st.tokens = tokens
	}
	st.tokens += tokensWeight * (tokens - st.tokens)
}

// slowness is how many times the usual time an ended call needed, and what that
// counts as a sign; 0 where it says nothing. A call without tokens that took
// long may just have been a long one: only that another target was faster tells.
func (st *stageStats) slowness(r Result) (ratio float64, sign int) {
	switch {
	case r.OK && r.PerToken > 0 && st.pace > 0:
		return float64(r.PerToken) / float64(st.pace), behindPace
	case r.Outrun && r.FirstByte == 0 && st.first > 0:
		return float64(r.Duration) / float64(st.first), behindStart
	case r.OK && r.FirstByte > 0 && r.FirstByte <= st.first:
		return 1, behindStart
	}
	return 0, 0
}

func (s *service) lock(c clock.Clock) {
	s.mu.Lock()
	s.now = c.Now()
}

// unlock lets go of the lock and then tells what happened under it.
func (s *service) unlock() {
	told := s.news
	s.news = nil
	s.mu.Unlock()
	s.gate.tell(told)
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

// choose asks the chooser with this service's view.
func (s *service) choose(want *Want, provider profile.Provider) (routing.Choice, routing.Verdict) {
	s.refreshMean()
	s.turn++
	return s.gate.chooser.Choose(routing.Pick{
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

// refreshMean computes the mean load of the service from the reports, and
// drops the state of targets that are gone.
func (s *service) refreshMean() {
	if s.now.Sub(s.meanAt) < meanInterval && !s.meanAt.IsZero() {
		return
	}
	s.meanAt = s.now
	s.mean = routing.Mean{Service: s.all.median}
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
		s.forgetGone()
	}
}

func (s *service) forgetGone() {
	for id, t := range s.targets {
		if _, listed := s.gate.options.Board.Targets.Get(id); !listed && t.inFlight() == 0 {
			delete(s.targets, id)
		}
	}
}

// enter grants a slot at once, refuses, or returns a waiter in the queue.
func (s *service) enter(want *Want, provider profile.Provider) (*slot, *waiter, error) {
	if err := s.reachable(want); err != nil {
		return nil, nil, err
	}
	if s.queue.waiting == 0 {
		choice, verdict := s.choose(want, provider)
		switch verdict {
		case routing.NoCandidate:
			return nil, nil, noTarget(s.name)
		case routing.Chosen:
			if err := s.spend(want); err != nil {
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

// reachable refuses what even a fast run would not finish in time.
func (s *service) reachable(want *Want) error {
	deadline := want.Query.Deadline
	if deadline.IsZero() {
		return nil
	}
	left := deadline.Sub(s.now)
	if left <= 0 {
		return errkind.New(errkind.DeadlineBeforeRun, "the deadline passed before stage %s", want.Query.Stage.Name)
	}
	if left < s.stage(want.Query.Stage.Name).fastest {
		return s.unreachable(want, 0)
	}
	return nil
}

// spend takes a repeat from the budget or counts a first attempt.
func (s *service) spend(want *Want) error {
	if !want.Repeat {
		s.budget.countFirst(s.now, s.limits)
		return nil
	}
	take := s.budget.takeRepeat
	switch {
	case want.Fault:
		take = s.budget.takeFault
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

func (s *service) unreachable(want *Want, wait time.Duration) error {
	s.gate.counts.unreachable.Add(1)
	err := errkind.New(errkind.DeadlineUnreachable, "stage %s would not finish in time", want.Query.Stage.Name)
	return errkind.WithRetryAfter(err, max(wait, s.retryAfter()))
}

// retryAfter is when about half of what waits now will have been served.
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
