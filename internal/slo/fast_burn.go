package slo

import (
	"context"
	"time"

	"lynxhill.example/lynxhill/internal/event"
)

// Thresholds of the fast burn event. A burn rate of 14.4 spends 2 % of a 30-day
// error budget in one hour. Both windows must exceed it: the long one so that a
// single slow minute does not raise the event, the short one so that the event
// ends soon after its cause.
const (
	fastBurn              = 14.4
	fastBurnCheckInterval = 10 * time.Second
	// minFastBurnRequests is the number of requests in the long window below
	// which the event is not raised, since a single miss among a few requests
	// already gives a high burn rate.
	minFastBurnRequests = 50
)

// Run logs an event when a profile's error budget starts to burn fast, and one
// when that ends. It uses the fleet's counts that this instance has received,
// and returns when ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	ticker := t.clock.NewTicker(fastBurnCheckInterval)
	defer ticker.Stop()
	burning := make(map[string]bool)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.checkFastBurn(burning)
		}
	}
}

func (t *Tracker) checkFastBurn(burning map[string]bool) {
	for _, row := range t.Fleet() {
		limit := fastBurnThreshold(row.Objective)
		fast := row.Total >= minFastBurnRequests && row.BurnShort > limit && row.BurnLong > limit
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

// fastBurnThreshold returns fastBurn, or half of the highest possible burn rate
// if that is less: with an objective of 0.9 the burn rate is 10 even if all
// requests fail.
func fastBurnThreshold(objective float64) float64 {
	return min(fastBurn, 0.5/(1-objective))
}
