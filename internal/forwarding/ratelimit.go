package forwarding

import (
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
)

// coldRate returns the rate limit of a cold target of the request's service, in
// requests per second; 0 = no limit.
func (fl *flight) coldRate() float64 {
	s := fl.Table.Services[fl.service]
	if s == nil || fl.o.ColdLimits == nil {
		return 0
	}
	return s.ColdRate
}

// limited reports whether this instance must not send a request to the target
// now: the target has paused this instance, or this instance has used up its share
// of the target's rate limit, either the one of a cold target or one that the
// target stated.
func (fl *flight) limited(t fleet.Target) bool {
	if fl.paused(t.ID) {
		return true
	}
	if rate := fl.coldRate(); rate > 0 && t.Cold(fl.o.Clock.Now()) && !fl.o.ColdLimits.Allows(t.ID, rate) {
		return true
	}
	rate, named := fl.limit(t.ID)
	return named && !fl.o.StatedLimits.Allows(t.ID, rate)
}

// paused reports whether the target has refused requests of this instance for a
// period that is not over yet.
//
// Without it, an overloaded target spends time on refusing one request after the
// other that it needs for the requests it has accepted. The symptom is many
// refusals per second from one target to one instance.
func (fl *flight) paused(id string) bool {
	return fl.o.Notices != nil && !fl.o.Notices.Pause(id).IsZero()
}

// retryAfterPause returns the retry delay for a service whose targets accept no
// requests: the time until the first of their pauses ends, but at least
// defaultRetryAfter; defaultRetryAfter if one of the targets has not asked for a
// pause.
func (fl *flight) retryAfterPause() time.Duration {
	now, next := fl.o.Clock.Now(), time.Duration(0)
	if fl.o.Notices == nil {
		return defaultRetryAfter
	}
	for _, t := range fl.o.Targets().Ready(fl.service) {
		end := fl.o.Notices.Pause(t.ID)
		if end.IsZero() {
			return defaultRetryAfter
		}
		if left := end.Sub(now); next == 0 || left < next {
			next = left
		}
	}
	return max(next, defaultRetryAfter)
}

// pausedTargets returns the ids of the service's targets that have paused this
// instance.
func (fl *flight) pausedTargets() (ids []string) {
	if fl.o.Notices == nil {
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
	if fl.o.Notices == nil {
		return 0, false
	}
	return fl.o.Notices.Limit(id)
}

// take reports whether the request may be sent to the target now, and if so
// counts it against the target's rate limits. It is the last check before every
// attempt, whether this instance or a dispatcher chose the target, and also during
// a partition.
func (fl *flight) take(id string) bool {
	if fl.paused(id) {
		return false
	}
	if rate, named := fl.limit(id); named && !fl.o.StatedLimits.Take(id, rate) {
		return false
	}
	rate := fl.coldRate()
	if rate <= 0 {
		return true
	}
	t, _ := fl.o.Targets().Get(id)
	return !t.Cold(fl.o.Clock.Now()) || fl.o.ColdLimits.Take(id, rate)
}

// chooser chooses one of the targets and counts a request in flight at it; Loads.Choose or
// Loads.ChooseOfTwo.
type chooser func(targets []fleet.Target, tried []string) (fleet.Target, bool)

// chooseUnlimited returns the plain target for the next attempt, without the
// targets that are limited.
func (fl *flight) chooseUnlimited(choose chooser, tried []string) (fleet.Target, bool) {
	targets := fl.o.Targets().Ready(fl.service)
	if fl.build != nil {
		targets = slices.DeleteFunc(slices.Clone(targets), func(t fleet.Target) bool { return !fl.mayRunAt(t) })
	}
	for {
		if slices.ContainsFunc(targets, fl.limited) {
			targets = slices.DeleteFunc(slices.Clone(targets), fl.limited)
		}
		target, ok := choose(targets, tried)
		if !ok || fl.take(target.ID) {
			return target, ok
		}
		fl.o.Loads.Done(target, Abandoned, 0, nil)
		// Another request has used up this instance's share in the meantime.
		targets = slices.DeleteFunc(slices.Clone(targets), func(t fleet.Target) bool { return t.ID == target.ID })
	}
}
