// Package clock defines the clocks that are injected into the packages that
// make decisions. None of those packages reads a global clock, so that they
// behave the same in real time and in virtual time.
package clock

import (
	"time"

	"github.com/coder/quartz"
)

// Clock returns the time and creates timers. In production it is
// quartz.NewReal(); in tests it is a quartz mock, or the real clock inside
// testing/synctest.
type Clock = quartz.Clock

// Boot returns the time since a fixed moment, including time in which the
// process or the host was suspended. Go's monotonic clock stops while the host
// is suspended, so a lease measured with it would appear to be still valid after
// the host resumes.
type Boot interface {
	SinceBoot() time.Duration
}

// BootFunc is an adapter that lets a function serve as a Boot clock.
type BootFunc func() time.Duration

// SinceBoot implements Boot.
func (f BootFunc) SinceBoot() time.Duration { return f() }
