package forwarding

import (
	"slices"

	"lynxhill.example/lynxhill/internal/fleet"
)

// coldRate is how many requests a second a cold target of the request's service
// bears; 0 = it is not bounded.
func (fl *flight) coldRate() float64 {
	s := fl.Table.Services[fl.service]
	if s == nil || fl.o.Cold == nil {
		return 0
	}
	return s.ColdRate
}

// takeCold reports whether the request may be sent to the target at once, and
// counts it if the target is cold.
func (fl *flight) takeCold(id string) bool {
	rate := fl.coldRate()
	if rate <= 0 {
		return true
	}
	t, _ := fl.o.Targets().Get(id)
	return !t.Cold(fl.o.Clock.Now()) || fl.o.Cold.Take(id, rate)
}

// chooseWarm returns the plain target for the next attempt. Cold ones of which
// this instance has no share left are out of the question.
func (fl *flight) chooseWarm(tried []string) (fleet.Target, bool) {
	targets := fl.o.Targets().Ready(fl.service)
	if rate := fl.coldRate(); rate > 0 {
		now := fl.o.Clock.Now()
		spared := func(t fleet.Target) bool { return t.Cold(now) && !fl.o.Cold.May(t.ID, rate) }
		if slices.ContainsFunc(targets, spared) {
			targets = slices.DeleteFunc(slices.Clone(targets), spared)
		}
	}
	target, ok := fl.o.Loads.Choose(targets, tried)
	if ok && !fl.takeCold(target.ID) {
		fl.o.Loads.Done(target, Abandoned, 0, nil) // another request has taken the share meanwhile
		return target, false
	}
	return target, ok
}
