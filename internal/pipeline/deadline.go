package pipeline

import (
	"context"
	"errors"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/clock"
)

// errDeadline is the cause with which a context ends at its deadline.
var errDeadline = errors.New("deadline passed")

// deadlineContext is a context that ends at a deadline of the given clock. The
// ones of package context read the global clock.
type deadlineContext struct {
	context.Context
	cancel context.CancelCauseFunc
	stopAt func()

	mu   sync.Mutex // guards uses
	uses int        // parties that still need the context
}

func newDeadlineContext(parent context.Context, clk clock.Clock, deadline time.Time) *deadlineContext {
	ctx, cancel := context.WithCancelCause(parent)
	timer := clk.AfterFunc(deadline.Sub(clk.Now()), func() { cancel(errDeadline) })
	return &deadlineContext{
		Context: ctx,
		cancel:  cancel,
		stopAt:  func() { timer.Stop() },
		uses:    1,
	}
}

// hold keeps the context open until one more call of stop.
func (d *deadlineContext) hold() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.uses++
}

// stop ends the context when nobody holds it any more.
func (d *deadlineContext) stop() {
	d.mu.Lock()
	d.uses--
	last := d.uses == 0
	d.mu.Unlock()
	if last {
		d.stopAt()
		d.cancel(context.Canceled)
	}
}

// passed reports whether the context ended because of the deadline.
func (d *deadlineContext) passed() bool {
	return errors.Is(context.Cause(d.Context), errDeadline)
}

// callerHere reports whether the caller still waits, as far as is known.
func (d *deadlineContext) callerHere() bool { return d.Err() == nil || d.passed() }
