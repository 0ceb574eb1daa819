// Package bootclock reads the host's boot-time clock, which keeps running while
// the host is suspended.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock implements clock.Boot with CLOCK_BOOTTIME. The zero value is ready to
// use.
type Clock struct{}

// SinceBoot returns the time since the host booted. Go's monotonic clock stops
// while the host is suspended, so with it an instance that was suspended for an
// hour would consider its configuration up to date. SinceBoot panics if the
// clock cannot be read.
func (Clock) SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39. Without it leases cannot be
		// trusted, so the instance must not continue.
		panic("bootclock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
