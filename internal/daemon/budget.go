package daemon

import (
	"context"
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/control/rendezvous"
	"lynxhill.example/lynxhill/internal/storeclient"
)

// budgetEvery is the interval at which this instance recomputes its share of the
// platform's budget.
const budgetEvery = time.Second

// fleetBudget returns the rate limits and the number of watches that the platform
// grants: the rates to all instances together, the watches to each.
func (d *Daemon) fleetBudget() storeclient.Budget {
	settings := d.cfg.Platform
	return storeclient.Budget{
		WritesPerSecond: float64(settings.WritesPerSecond),
		ReadsPerSecond:  float64(settings.ReadsPerSecond),
		Watches:         settings.Watches,
	}
}

// shareBudget updates the rate limits of the platform client to this instance's
// share of the budget whenever the set of live instances changes.
func (d *Daemon) shareBudget(ctx context.Context) {
	var known []string
	for loop.Sleep(ctx, d.opts.Clock, budgetEvery) {
		members := d.board.LiveMembers(d.id())
		if slices.Equal(members, known) {
			continue
		}
		known = members
		d.platform.SetBudget(d.fleetBudget().Share(len(members), ownedShards(d.id(), members, d.cfg.Claims.Shards)))
	}
}

// ownedShards returns the number of claim shards of which an instance is the
// preferred owner.
func ownedShards(self string, members []string, shards int) int {
	owned := 0
	for shard := range shards {
		if rendezvous.Position(claimKey(shard), self, members) == 0 {
			owned++
		}
	}
	return owned
}
