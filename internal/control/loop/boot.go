package loop

import (
	"context"
	"time"

	"lynxhill.example/lynxhill/internal/clock"
)

// WithBootDeadline returns a context that has ended for everybody who asks
// when the boot clock reaches until.
//
// Timers do not run while a machine is suspended, so that a call begun before
// the suspension would be sent after it. Asked after the machine woke, this
// context says that it has ended.
func WithBootDeadline(ctx context.Context, boot clock.Boot, until time.Duration) context.Context {
	return bootContext{Context: ctx, boot: boot, until: until}
}

type bootContext struct {
	context.Context
	boot  clock.Boot
	until time.Duration
}

var ended = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

func (c bootContext) past() bool { return c.boot.SinceBoot() >= c.until }

// Done implements context.Context.
func (c bootContext) Done() <-chan struct{} {
	if c.past() {
		return ended
	}
	return c.Context.Done()
}

// Err implements context.Context.
func (c bootContext) Err() error {
	if err := c.Context.Err(); err != nil {
		return err
	}
	if c.past() {
		return context.DeadlineExceeded
	}
	return nil
}
