package main

import (
	"context"
	"fmt"
	"time"
)

// Stalls of the stand-ins and clients, which are one process: while it does not run, targets
// notice no closed connection, and clients read no answer.
const (
	stallInterval = 20 * time.Millisecond
	minStall      = 150 * time.Millisecond
)

// stalls are the times in which the process hardly ran.
type stalls struct {
	count   int
	longest time.Duration
	at      time.Time // end of the longest
}

// watch measures until ctx ends.
func (s *stalls) watch(ctx context.Context, note func(kind, subject string)) {
	last := time.Now()
	for pause(ctx, stallInterval) {
		now := time.Now()
		if late := now.Sub(last) - stallInterval; late >= minStall {
			s.count++
			note("stand-ins stalled", late.Round(time.Millisecond).String())
			if late > s.longest {
				s.longest, s.at = late, now
			}
		}
		last = now
	}
}

// describe returns a line for the result, with times since zero.
func (s *stalls) describe(zero time.Time) string {
	if s.count == 0 {
		return "stand-ins stalled: never"
	}
	return fmt.Sprintf("stand-ins stalled: %d times, for at most %v until %.2f s", s.count, s.longest.Round(time.Millisecond), s.at.Sub(zero).Seconds())
}
