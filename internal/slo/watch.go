package slo

import (
	"context"
	"time"

	"lynxhill.example/lynxhill/internal/event"
)

// Thresholds of the fast burn event. At a burn of 14.4 two hundredths of a
// 30-day budget go in an hour. Both windows must exceed it: the long one so
// that a single slow minute raises nothing, the short one so that the event
// ends soon after the cause has ended.
const (
	fastBurn      = 14.4
	watchInterval = 10 * time.Second
	// minWatched keeps one miss among a handful of requests from being called
	// a burn.
	minWatched = 50
)

// Run logs when a profile's error budget starts to burn fast and when that
// ends, as far as this instance has heard of the fleet, until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	ticker := t.clock.NewTicker(watchInterval)
	defer ticker.Stop()
	burning := make(map[string]bool)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.watch(burning)
		}
	}
}

func (t *Tracker) watch(burning map[string]bool) {
	for _, row := range t.Fleet() {
		limit := fastLimit(row.Objective)
		fast := row.Total >= minWatched && row.BurnShort > limit && row.BurnLong > limit
		if fast == burning[row.Profile] {
			continue
		}
		burning[row.Profile] = fast
		id := event.BudgetBurnEnded
		if fast {
			id = event.BudgetBurnsFast
		}
		t.logger.Log(id, "profile", row.Profile, "burn_short", row.BurnShort, "burn_long", row.BurnLong,
			"attainment", row.Attainment, "objective", row.Objective)
	}
}

// fastLimit is fastBurn, or half of the highest burn that there can be: at an
// objective of 0.9 even a total failure burns at 10 only.
func fastLimit(objective float64) float64 {
	return min(fastBurn, 0.5/(1-objective))
}
