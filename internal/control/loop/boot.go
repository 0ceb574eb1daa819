package loop

import (
	"context"
	"time"

	"lynxhill.example/lynxhill/internal/clock"
)

// WithBootDeadline returns a context that is done once the boot clock reaches
// until. Done and Err compare the boot clock with the deadline whenever they are
// called; no timer wakes a goroutine that already waits on Done.
//
// Timers do not run while the host is suspended, so a call that was prepared before
// the suspension would be sent after it. This context reports the expired deadline
// as soon as the host has resumed.
func WithBootDeadline(ctx context.Context, boot clock.Boot, until time.Duration) context.Context {
	return bootContext{Context: ctx, boot: boot, until: until}
}

type bootContext struct {
	context.Context
	boot  clock.Boot
	until time.Duration
}

// closedChannel is a closed channel.
var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

func (c bootContext) expired() bool { return c.boot.SinceBoot() >= c.until }

// Done implements context.Context.
func (c bootContext) Done() <-chan struct{} {
	if c.expired() {
		return closedChannel
	}
	return c.Context.Done()
}

// Err implements context.Context.
func (c bootContext) Err() error {
	if err := c.Context.Err(); err != nil {
		return err
	}
	if c.expired() {
		return context.DeadlineExceeded
	}
	return nil
}
