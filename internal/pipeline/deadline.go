package pipeline

import (
	"context"
	"errors"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/clock"
)

// errDeadline is the cause of a context that has ended at its deadline.
var errDeadline = errors.New("deadline passed")

// deadlineContext is a context that ends at a deadline on an injected clock;
// package context uses the global clock.
type deadlineContext struct {
	context.Context
	cancel context.CancelCauseFunc
	stopAt func()

	mu   sync.Mutex // guards refs
	refs int        // reference count
}

func newDeadlineContext(parent context.Context, clk clock.Clock, deadline time.Time) *deadlineContext {
	ctx, cancel := context.WithCancelCause(parent)
	timer := clk.AfterFunc(deadline.Sub(clk.Now()), func() { cancel(errDeadline) })
	return &deadlineContext{
		Context: ctx,
		cancel:  cancel,
		stopAt:  func() { timer.Stop() },
		refs:    1,
	}
}

// retain adds a reference to the context, which requires one more call of release.
func (d *deadlineContext) retain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refs++
}

// release drops a reference and ends the context when none is left.
func (d *deadlineContext) release() {
	d.mu.Lock()
	d.refs--
	last := d.refs == 0
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

// callerConnected reports whether the caller is still connected, as far as is
// known. A context that ended at its deadline does not count as disconnected.
func (d *deadlineContext) callerConnected() bool { return d.Err() == nil || d.passed() }
