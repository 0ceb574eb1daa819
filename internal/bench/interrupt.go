package bench

import (
	"context"
	"errors"
)

// interrupted reports whether ctx was ended by a person or a signal. A time
// limit that has passed is no interrupt: what had no answer by then is lost.
//
// An interrupt cuts callers off and leaves instances no time to agree. Both
// look like broken promises, by the dozen, and hide those that were broken
// before. So an interrupted run judges only what had ended by then.
func interrupted(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled)
}

// causedByInterrupt reports whether an error is only that the run was
// interrupted.
func causedByInterrupt(ctx context.Context, err error) bool {
	return interrupted(ctx) && errors.Is(err, context.Canceled)
}

// cutOff reports whether the interrupt of ctx may be why a request got no
// answer. A part that was delivered twice is a fault of its own.
func (r *Record) cutOff(ctx context.Context) bool {
	return interrupted(ctx) && r.Err != nil && r.Broken == nil
}
