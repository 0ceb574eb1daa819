// Package sleep waits in real time, for code that is not given a clock.
package sleep

import (
	"context"
	"time"
)

// For waits for d, or less if ctx ends first: its error then.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
