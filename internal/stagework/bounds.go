package stagework

import (
	"time"

	"lynxhill.example/lynxhill/internal/allowance"
)

// RateShares divides the request rate that a target can handle among the
// instances; allowance.Allowance implements it. Share returns how many requests
// the instance may send to the target within a span if the target handles rate
// requests per second.
type RateShares interface {
	Share(instance, target string, rate float64) int
	Span() time.Duration
}

// TargetNotices holds what targets announce to all their senders; notice.Tracker
// implements it.
type TargetNotices interface {
	// Limit returns the maximum number of requests per second that the target
	// accepts from all instances together. named is false if it announces no
	// limit.
	Limit(target string) (rate float64, named bool)
	// Pause returns the time until which the target accepts nothing from this
	// instance; zero = it announced no pause.
	Pause(target string) time.Time
}

// RateLimits are the rate limits of targets, which apply in addition to their
// slots. Requests to engines are sent by the owners of jobs, calls of stage
// targets by the dispatcher itself.
type RateLimits struct {
	Self    string        // ID of the dispatcher's instance
	Cold    RateShares    // shares of engines that have just started; nil = cold engines are not limited
	Limited RateShares    // shares of targets that announce a limit; nil if Notices is nil
	Notices TargetNotices // nil = targets announce nothing
}

// limit returns the rate limit that the target announces.
func (b RateLimits) limit(target string) (rate float64, named bool) {
	if b.Notices == nil {
		return 0, false
	}
	return b.Notices.Limit(target)
}

// pause returns the time until which the target accepts nothing from this
// instance.
func (b RateLimits) pause(target string) time.Time {
	if b.Notices == nil {
		return time.Time{}
	}
	return b.Notices.Pause(target)
}

// restricted reports whether the target announces a limit or a pause.
func (b RateLimits) restricted(target string) bool {
	_, named := b.limit(target)
	return named || !b.pause(target).IsZero()
}

// window returns an empty count of requests to a target that announces a limit.
func (b RateLimits) window() allowance.Window {
	if b.Limited == nil {
		return allowance.Window{}
	}
	return allowance.NewWindow(b.Limited.Span())
}

// exhausted reports whether the instance has used up its share of the target's
// limit, if there is one, given the requests sent.
func (b RateLimits) exhausted(instance, target string, sent *allowance.Window, now time.Time) bool {
	rate, named := b.limit(target)
	return named && sent.Count(instance, now) >= b.Limited.Share(instance, target, rate)
}

// allOwners is the key under which the jobs of all owners are counted.
const allOwners = ""

// rateLimited reports whether the job's owner has used up its share of the
// engine's rate. The owner would not send the request there
// (allowance.Allowance).
func (p *pool) rateLimited(e *engine, j *job, now time.Time) bool {
	if p.coldRate > 0 && p.bounds.Cold != nil && e.info.Cold(now) &&
		e.sentWindow.Count(j.Owner, now) >= p.bounds.Cold.Share(j.Owner, e.info.ID, p.coldRate) {
		return true
	}
	return p.bounds.exhausted(j.Owner, e.info.ID, &e.limitWindow, now)
}

// atColdRate reports whether the engine got as many requests within the last
// second as it could handle if it were cold. Such an engine gets more requests
// only if no other healthy one takes work. It is preferred to engines in
// backoff; otherwise, once all engines are at their cold rate, failing ones
// would get as many requests as healthy ones.
//
// An engine may become cold while it is serving, and announces it only with its
// next heartbeat. Without this bound, if many requests share a prompt part, the
// engine that has it cached gets all of them until then and crashes. The
// symptom is crashes of engines that have a widely shared prompt part cached.
func (p *pool) atColdRate(e *engine, now time.Time) bool {
	return p.coldRate > 0 && float64(e.sentWindow.Count(allOwners, now)) >= p.coldRate
}

// recordPlacement counts a job that is placed on the engine.
func (p *pool) recordPlacement(e *engine, j *job, now time.Time) {
	if _, named := p.bounds.limit(e.info.ID); named {
		e.limitWindow.Add(j.Owner, now)
	}
	if p.coldRate <= 0 {
		return
	}
	e.sentWindow.Add(allOwners, now)
	if e.info.Cold(now) {
		e.sentWindow.Add(j.Owner, now)
	}
}

// rateLimited reports whether the stage target has announced a pause or this
// instance has used up its share of the limit that the target announces.
func (s *stageTarget) rateLimited(now time.Time) bool {
	b := s.service.bounds
	if !b.pause(s.info.ID).IsZero() {
		return true
	}
	return b.exhausted(b.Self, s.info.ID, &s.limitWindow, now)
}

// recordCall counts a call of the stage target.
func (s *stageTarget) recordCall(now time.Time) {
	if _, named := s.service.bounds.limit(s.info.ID); named {
		s.limitWindow.Add(s.service.bounds.Self, now)
	}
}
