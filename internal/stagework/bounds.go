package stagework

import (
	"time"

	"lynxhill.example/lynxhill/internal/allowance"
)

// Shares says how many requests an instance may send to a target within a span
// if the target bears so many a second; allowance.Allowance implements it.
type Shares interface {
	Share(instance, target string, rate float64) int
	Span() time.Duration
}

// Asks tells what targets ask of all that send them requests; notice.Keeper
// implements it.
type Asks interface {
	// Limit returns how many requests a second the target takes from all
	// instances together. named is false if it names no limit.
	Limit(target string) (rate float64, named bool)
	// Pause returns until when the target wants nothing from this instance; zero
	// = it does not say.
	Pause(target string) time.Time
}

// Bounds is what targets bear beside their places for work. Requests for engines
// are sent by the owners of jobs, calls of stage targets by the dispatcher
// itself.
type Bounds struct {
	Self    string // instance id of the dispatcher
	Cold    Shares // of engines that have just started; nil = they bear all
	Limited Shares // of targets that name a limit; nil with Asks
	Asks    Asks   // nil = targets ask nothing
}

// limit returns the limit that the target names.
func (b Bounds) limit(target string) (rate float64, named bool) {
	if b.Asks == nil {
		return 0, false
	}
	return b.Asks.Limit(target)
}

// pause returns until when the target wants nothing from this instance.
func (b Bounds) pause(target string) time.Time {
	if b.Asks == nil {
		return time.Time{}
	}
	return b.Asks.Pause(target)
}

// inNeed reports whether the target names a limit or wants nothing from this
// instance.
func (b Bounds) inNeed(target string) bool {
	_, named := b.limit(target)
	return named || !b.pause(target).IsZero()
}

// window returns the memory of what is sent to a target that names a limit.
func (b Bounds) window() allowance.Window {
	if b.Limited == nil {
		return allowance.Window{}
	}
	return allowance.NewWindow(b.Limited.Span())
}

// used reports whether the instance has no share left of the target's limit, if
// it names one, given what was sent.
func (b Bounds) used(instance, target string, sent *allowance.Window, now time.Time) bool {
	rate, named := b.limit(target)
	return named && sent.Count(instance, now) >= b.Limited.Share(instance, target, rate)
}

// allOwners is the key under which the jobs of all owners are counted.
const allOwners = ""

// spared reports whether the job's owner has no share left of what the engine
// bears. The owner would not send the request there (allowance.Allowance).
func (p *pool) spared(e *engine, j *job, now time.Time) bool {
	if p.coldRate > 0 && p.bounds.Cold != nil && e.target.Cold(now) &&
		e.sent.Count(j.Owner, now) >= p.bounds.Cold.Share(j.Owner, e.target.ID, p.coldRate) {
		return true
	}
	return p.bounds.used(j.Owner, e.target.ID, &e.limited, now)
}

// crowded reports whether the engine got as much within the last second as it
// would bear if it were cold. Such an engine gets more only if no other that is
// well takes work; it goes before those under suspicion, since else those that
// fail get as much as those that are well as soon as all are crowded.
//
// What goes wrong without it: engines become cold in the middle of their work,
// and tell it a heartbeat later. Until then one of which many requests share a
// prompt part gets all of those, and crashes. One notices engines that crash
// with a part that much of the traffic shares.
func (p *pool) crowded(e *engine, now time.Time) bool {
	return p.coldRate > 0 && float64(e.sent.Count(allOwners, now)) >= p.coldRate
}

// countSent counts a job that is placed at the engine.
func (p *pool) countSent(e *engine, j *job, now time.Time) {
	if _, named := p.bounds.limit(e.target.ID); named {
		e.limited.Add(j.Owner, now)
	}
	if p.coldRate <= 0 {
		return
	}
	e.sent.Add(allOwners, now)
	if e.target.Cold(now) {
		e.sent.Add(j.Owner, now)
	}
}

// spared reports whether the stage target wants nothing from this instance now,
// or the instance has no share left of the limit that it names.
func (s *server) spared(now time.Time) bool {
	b := s.service.bounds
	if !b.pause(s.target.ID).IsZero() {
		return true
	}
	return b.used(b.Self, s.target.ID, &s.limited, now)
}

// countCall counts a call of the stage target.
func (s *server) countCall(now time.Time) {
	if _, named := s.service.bounds.limit(s.target.ID); named {
		s.limited.Add(s.service.bounds.Self, now)
	}
}
