// Package clock names the clocks that the decision packages are given. None
// of them reads a global clock, so that they run the same in real time and in
// virtual time.
package clock

import (
	"time"

	"github.com/coder/quartz"
)

// Clock tells the time and makes timers. In production quartz.NewReal(); in
// tests a quartz mock, or the real one inside testing/synctest.
type Clock = quartz.Clock

// Boot tells the time since some fixed moment, counting time in which the
// process or the machine was suspended. Go's monotonic clock does not count a
// suspended machine, so a lease measured with it would seem to last on after
// the machine woke.
type Boot interface {
	SinceBoot() time.Duration
}

// BootFunc makes a function a Boot clock.
type BootFunc func() time.Duration

// SinceBoot implements Boot.
func (f BootFunc) SinceBoot() time.Duration { return f() }
