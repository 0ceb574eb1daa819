// Package sleep waits in real time, for code that has no injected clock.
package sleep

import (
	"context"
	"time"
)

// For waits for the duration d and returns nil. If ctx ends first, For returns
// its error at once. A duration of 0 or less does not wait.
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
