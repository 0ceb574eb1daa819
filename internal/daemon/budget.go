package daemon

import (
	"context"
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/control/rendezvous"
	"lynxhill.example/lynxhill/internal/storeclient"
)

// budgetEvery is how often the share of the platform's budget is looked at.
const budgetEvery = time.Second

// fleetBudget is what all instances together may ask of the platform.
func (d *Daemon) fleetBudget() storeclient.Budget {
	settings := d.cfg.Platform
	return storeclient.Budget{
		WritesPerSecond: float64(settings.WritesPerSecond),
		ReadsPerSecond:  float64(settings.ReadsPerSecond),
		Watches:         settings.Watches,
	}
}

// shareBudget keeps the platform's client at this instance's share of the
// budget as instances come and go.
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

// ownedShards counts the shards of claims that an instance is the preferred
// owner of.
func ownedShards(self string, members []string, shards int) int {
	owned := 0
	for shard := range shards {
		if rendezvous.Position(claimKey(shard), self, members) == 0 {
			owned++
		}
	}
	return owned
}
