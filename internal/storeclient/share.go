package storeclient

import "math"

// DefaultFleetBudget is what all instances together may ask of the platform.
// It stays below the platform's limits of several hundred writes and two
// thousand reads a second, and gives each of eight instances DefaultBudget.
var DefaultFleetBudget = Budget{WritesPerSecond: 320, ReadsPerSecond: 1200, Watches: DefaultBudget.Watches}

// Parts of a share.
const (
	// smallFleet is the number of instances from which on the budget is
	// divided. Fewer get no more each: an instance that is cut off sees only
	// itself alive, and would else take what belongs to the others.
	smallFleet = 8
	// leastWrites and leastReads are what an instance of a large fleet always
	// has: a lease of an order-giver is renewed from it, and a request waits
	// for it. They are a bound for a runaway, not what is used.
	leastWrites = 2.0
	leastReads  = 5.0
	// writesPerShard and readsPerShard are added for each shard of claims
	// that the instance is the preferred owner of: it writes for the whole
	// fleet, at the measured interval of four writes a second, with a part
	// more for indexes and repeats.
	writesPerShard = 5.0
	readsPerShard  = 5.0
)

// Share is one instance's part of the budget of a fleet, given how many
// instances are alive and how many shards of claims this one writes for all.
// The watches are each instance's own.
func (b Budget) Share(members, shards int) Budget {
	return Budget{
		WritesPerSecond: share(b.WritesPerSecond, leastWrites, writesPerShard, members, shards),
		ReadsPerSecond:  share(b.ReadsPerSecond, leastReads, readsPerShard, members, shards),
		Watches:         b.Watches,
	}
}

func share(total, least, perShard float64, members, shards int) float64 {
	most := total / smallFleet
	even := total / float64(max(members, smallFleet))
	return math.Min(most, math.Max(even, least)+perShard*float64(shards))
}

// SetStopping tells the client that the instance is about to end. After an
// outage its calls no longer wait for their turn.
func (c *Client) SetStopping() {
	c.governorMu.Lock()
	defer c.governorMu.Unlock()
	c.governor.setStopping(c.clock.Now())
}

// SetBudget changes the budget, for a fleet whose size has changed. Calls
// under way go on.
func (c *Client) SetBudget(b Budget) {
	c.governorMu.Lock()
	defer c.governorMu.Unlock()
	c.governor.setBudget(c.clock.Now(), b)
}
