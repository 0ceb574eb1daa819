package forwarding

import (
	"slices"
	"time"

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

// spared reports whether the target wants nothing from this instance now, or the
// instance has no share left of what it bears: one that is cold, or that names a
// limit.
func (fl *flight) spared(t fleet.Target) bool {
	if fl.paused(t.ID) {
		return true
	}
	if rate := fl.coldRate(); rate > 0 && t.Cold(fl.o.Clock.Now()) && !fl.o.Cold.May(t.ID, rate) {
		return true
	}
	rate, named := fl.limit(t.ID)
	return named && !fl.o.Limited.May(t.ID, rate)
}

// paused reports whether the target has turned this instance away for a time
// that is not over.
//
// What goes wrong without it: a target that has more to do than it can goes on
// to turn away one request after the other, and has less time for what it took.
// One notices it by one target's refusals, many a second from one instance.
func (fl *flight) paused(id string) bool {
	return fl.o.Asks != nil && !fl.o.Asks.Pause(id).IsZero()
}

// nextPauseEnd returns when a caller may come back to a service none of whose
// targets wants a request: when the first of their pauses ends.
func (fl *flight) nextPauseEnd() time.Duration {
	now, next := fl.o.Clock.Now(), time.Duration(0)
	if fl.o.Asks == nil {
		return comeBack
	}
	for _, t := range fl.o.Targets().Ready(fl.service) {
		end := fl.o.Asks.Pause(t.ID)
		if end.IsZero() {
			return comeBack
		}
		if left := end.Sub(now); next == 0 || left < next {
			next = left
		}
	}
	return max(next, comeBack)
}

// pausedTargets returns the service's targets that want nothing from here now.
func (fl *flight) pausedTargets() (ids []string) {
	if fl.o.Asks == nil {
		return nil
	}
	for _, t := range fl.o.Targets().Ready(fl.service) {
		if fl.paused(t.ID) {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

func (fl *flight) limit(id string) (rate float64, named bool) {
	if fl.o.Asks == nil {
		return 0, false
	}
	return fl.o.Asks.Limit(id)
}

// take reports whether the request may be sent to the target at once, and counts
// it against what the target bears. Every request to a target passes here last,
// whoever chose the target, and whether or not this instance reaches another.
func (fl *flight) take(id string) bool {
	if fl.paused(id) {
		return false
	}
	if rate, named := fl.limit(id); named && !fl.o.Limited.Take(id, rate) {
		return false
	}
	rate := fl.coldRate()
	if rate <= 0 {
		return true
	}
	t, _ := fl.o.Targets().Get(id)
	return !t.Cold(fl.o.Clock.Now()) || fl.o.Cold.Take(id, rate)
}

// chooseUnspared returns the plain target for the next attempt. Those of whose
// bounds this instance has no share left are out of the question.
func (fl *flight) chooseUnspared(tried []string) (fleet.Target, bool) {
	targets := fl.o.Targets().Ready(fl.service)
	for {
		if slices.ContainsFunc(targets, fl.spared) {
			targets = slices.DeleteFunc(slices.Clone(targets), fl.spared)
		}
		target, ok := fl.o.Loads.Choose(targets, tried)
		if !ok || fl.take(target.ID) {
			return target, ok
		}
		fl.o.Loads.Done(target, Abandoned, 0, nil)
		// Another request has taken the share meanwhile.
		targets = slices.DeleteFunc(slices.Clone(targets), func(t fleet.Target) bool { return t.ID == target.ID })
	}
}
