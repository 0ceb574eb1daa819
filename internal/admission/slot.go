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
	cost         float64 // charged, in seconds
	began        time.Time
	done         atomic.Bool
}

// Choice implements Slot.
func (s *slot) Choice() routing.Choice { return s.choice }

// Pace implements Slot.
func (s *slot) Pace(perToken time.Duration) { s.service.pace(s, perToken) }

// Done implements Slot. Only the first call counts.
func (s *slot) Done(result Result) {
	if s.done.Swap(true) {
		return
	}
	s.service.release(s, result)
}

// grant gives out a slot on the chosen target.
func (s *service) grant(want *Want, choice routing.Choice) *slot {
	s.assertNotLeaving(choice)
	t := s.target(choice.Target.ID)
	t.begin(s.now)
	s.inFlight++
	cost := unknownCost
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

// assertNotLeaving reads the board itself, not the index that the choice was
// made from, so that an index that isn't kept up to date shows.
func (s *service) assertNotLeaving(choice routing.Choice) {
	t, ok := s.gate.options.Board.Targets.Get(choice.Target.ID)
	if !ok || !t.Leaving {
		return
	}
	late := s.now.Sub(t.LeavingSince)
	s.gate.options.Check.Check(late <= s.limits.LeavingGrace, invariant.NoLeavingDispatch,
		"target %s was chosen %s after it began to leave", t.ID, late)
}

func (s *service) release(done *slot, r Result) {
	s.lock(s.gate.options.Clock)
	if r.Duration == 0 {
		r.Duration = s.now.Sub(done.began)
	}
	s.learn(done, r)
	done.state.end(done.began)
	s.inFlight--
	s.queue.tags.correct(done.organisation, r.Duration.Seconds()-done.cost)
	s.pump()
	s.unlock()
	if r.Leaving {
		s.gate.markLeaving(done.choice.Target.ID, done.began)
	}
}

// learn takes in what a result says of the target and of the stage.
func (s *service) learn(done *slot, r Result) {
	t := done.state
	st := s.stage(done.stage)
	typical := st.median
	if t.ejection.observe(r, typical, s.now, s.limits) {
		s.eject(done.choice.Target.ID, t)
	}
	load, _ := s.gate.options.Board.Loads.Get(done.choice.Target.ID)
	if ratio, sign := st.slowness(r); sign > 0 && t.ejection.observePace(ratio, sign, s.limits) {
		s.eject(done.choice.Target.ID, t)
	}
	t.limiter.observe(r, t.inFlight(), load.Report.Slots, s.now, s.limits)
	t.measure(r, s.now, s.limits)
	st.measure(r, s.now, s.limits)
	s.all.measure(r, s.now, s.limits)
}

func (s *service) pace(of *slot, perToken time.Duration) {
	s.lock(s.gate.options.Clock)
	defer s.unlock()
	usual := s.usual(s.stage(of.stage)).PerToken
	if usual > 0 && of.state.ejection.observePace(float64(perToken)/float64(usual), behindPace, s.limits) {
		s.eject(of.choice.Target.ID, of.state)
	}
}

// eject leaves a straggler out unless too much of the service is out already:
// when everything is slow, the fault isn't the targets'.
func (s *service) eject(id string, t *targetState) {
	if t.ejection.ejected(s.now) {
		return
	}
	listed := s.gate.chooser.Index.Service(s.name)
	if listed == nil {
		return
	}
	out := 1
	for _, other := range s.targets {
		if other.ejection.ejected(s.now) {
			out++
		}
	}
	if float64(out) > s.limits.EjectShare*float64(len(listed.All)) {
		s.gate.counts.ejectionsHeld.Add(1)
		return
	}
	failures, slowness := t.ejection.failures, t.ejection.slowness
	d := t.ejection.eject(s.now, s.limits)
	s.gate.counts.ejections.Add(1)
	s.news = append(s.news, news{kind: newsEjected, target: id, service: s.name, failures: failures, slowness: slowness, duration: d})
}
