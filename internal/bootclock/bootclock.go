// Package bootclock reads the clock of the machine that goes on while the
// machine is suspended.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock implements clock.Boot by CLOCK_BOOTTIME. The zero value is ready.
type Clock struct{}

// SinceBoot returns the time since the machine was started. Go's own monotonic
// clock stands still while the machine is suspended, so an instance that was
// suspended for an hour would take its configuration for fresh.
func (Clock) SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux since 2.6.39 has the clock. Without it no lease could be
		// trusted, so the instance must not go on.
		panic("bootclock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
