package admission

import (
	"sync/atomic"
	"time"

	"lynxhill.example/lynxhill/internal/invariant"
	"lynxhill.example/lynxhill/internal/routing"
)

// slot implements Slot.
type slot struct {
	service      *service
	choice       routing.Choice
	state        *targetState
	organisation string
	stage        string
	cost         float64 // charged to the organisation, in seconds
	began        time.Time
	done         atomic.Bool
}

// Choice implements Slot.
func (s *slot) Choice() routing.Choice { return s.choice }

// ReportPace implements Slot.
func (s *slot) ReportPace(perToken time.Duration) { s.service.recordPace(s, perToken) }

// Done implements Slot. Only the first call counts.
func (s *slot) Done(result Result) {
	if s.done.Swap(true) {
		return
	}
	s.service.release(s, result)
}

// grant creates a slot on the chosen target and charges its organisation.
func (s *service) grant(want *SlotRequest, choice routing.Choice) *slot {
	s.assertNotLeaving(choice)
	t := s.target(choice.Target.ID)
	t.begin(s.now)
	s.inFlight++
	cost := defaultCost
	if median := s.stage(want.Query.Stage.Name).median; median > 0 {
		cost = median
	}
	s.queue.tags.charge(want.Query.Organisation, cost.Seconds())
	s.gate.counts.granted.Add(1)
	return &slot{
		service:      s,
		choice:       choice,
		state:        t,
		organisation: want.Query.Organisation,
		stage:        want.Query.Stage.Name,
		cost:         cost.Seconds(),
		began:        s.now,
	}
}

// assertNotLeaving checks that a leaving target gets no calls after
// LeavingGrace. It reads the board itself, not the index that the choice was
// made from, so that an outdated index is detected.
func (s *service) assertNotLeaving(choice routing.Choice) {
	t, ok := s.gate.options.Board.Targets.Get(choice.Target.ID)
	if !ok || !t.Leaving {
		return
	}
	elapsed := s.now.Sub(t.LeavingSince)
	s.gate.options.Check.Check(elapsed <= s.limits.LeavingGrace, invariant.NoLeavingDispatch,
		"target %s was chosen %s after it began to leave", t.ID, elapsed)
}

func (s *service) release(released *slot, r Result) {
	s.lock(s.gate.options.Clock)
	if r.Duration == 0 {
		r.Duration = s.now.Sub(released.began)
	}
	s.recordResult(released, r)
	released.state.end(released.began)
	s.inFlight--
	s.queue.tags.correct(released.organisation, r.Duration.Seconds()-released.cost)
	s.dispatchWaiting()
	s.unlock()
	if r.Leaving {
		s.gate.markLeaving(released.choice.Target.ID, released.began)
	}
}

// recordResult updates the ejection state, the limiter and the distributions
// of the target and the stage with the result.
func (s *service) recordResult(released *slot, r Result) {
	t := released.state
	st := s.stage(released.stage)
	typical := st.median
	if t.ejection.observe(r, typical, s.now, s.limits) {
		s.eject(released.choice.Target.ID, t)
	}
	load, _ := s.gate.options.Board.Loads.Get(released.choice.Target.ID)
	if ratio, score := st.slowness(r); score > 0 && t.ejection.observePace(ratio, score, s.limits) {
		s.eject(released.choice.Target.ID, t)
	}
	t.limiter.observe(r, t.inFlight(), load.Report.Slots, s.now, s.limits)
	t.measure(r, s.now, s.limits)
	st.measure(r, s.now, s.limits)
	s.all.measure(r, s.now, s.limits)
}

func (s *service) recordPace(granted *slot, perToken time.Duration) {
	s.lock(s.gate.options.Clock)
	defer s.unlock()
	usual := s.typical(s.stage(granted.stage)).PerToken
	if usual > 0 && granted.state.ejection.observePace(float64(perToken)/float64(usual), slowPaceScore, s.limits) {
		s.eject(granted.choice.Target.ID, granted.state)
	}
}

// eject ejects a straggler unless too large a share of the service's targets
// would then be ejected: when everything is slow, the targets are not at fault.
func (s *service) eject(id string, t *targetState) {
	if t.ejection.ejected(s.now) {
		return
	}
	listed := s.gate.chooser.Index.Service(s.name)
	if listed == nil {
		return
	}
	ejected := 1
	for _, other := range s.targets {
		if other.ejection.ejected(s.now) {
			ejected++
		}
	}
	if float64(ejected) > s.limits.EjectShare*float64(len(listed.All)) {
		s.gate.counts.ejectionsHeld.Add(1)
		return
	}
	failures, slowness := t.ejection.failures, t.ejection.slowness
	d := t.ejection.eject(s.now, s.limits)
	s.gate.counts.ejections.Add(1)
	s.pendingLog = append(s.pendingLog, logEntry{kind: logEjected, target: id, service: s.name, failures: failures, slowness: slowness, duration: d})
}
