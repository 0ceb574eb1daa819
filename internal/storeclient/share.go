package storeclient

import "math"

// DefaultFleetBudget is the total rate of calls to the platform for all instances
// together. It stays below the platform's limits of several hundred writes and two
// thousand reads a second, and gives each of eight instances DefaultBudget.
var DefaultFleetBudget = Budget{WritesPerSecond: 320, ReadsPerSecond: 1200, Watches: DefaultBudget.Watches}

// Constants of the division of the fleet budget.
const (
	// smallFleet is the smallest number of instances by which the budget is divided.
	// In a smaller fleet an instance gets no larger share: an instance that is cut
	// off sees only itself alive, and would otherwise use the share of the others.
	smallFleet = 8
	// minWrites and minReads are the smallest rates of an instance in a large fleet,
	// in calls a second. They cover the renewal of the lease under which it gives the
	// orders of a service, and calls that a request waits for. They limit a runaway
	// instance and are not the usual rates.
	minWrites = 2.0
	minReads  = 5.0
	// writesPerShard and readsPerShard are added for each shard of claims that the
	// instance is the preferred owner of, because it writes for the whole fleet. The
	// measured rate is four writes a second; the rest is for indexes and retries.
	writesPerShard = 5.0
	readsPerShard  = 5.0
)

// Share returns one instance's share of the budget of a fleet, given how many
// instances are alive and how many shards of claims this instance writes for the whole
// fleet. The number of watches is not divided.
func (b Budget) Share(members, shards int) Budget {
	return Budget{
		WritesPerSecond: share(b.WritesPerSecond, minWrites, writesPerShard, members, shards),
		ReadsPerSecond:  share(b.ReadsPerSecond, minReads, readsPerShard, members, shards),
		Watches:         b.Watches,
	}
}

func share(total, least, perShard float64, members, shards int) float64 {
	most := total / smallFleet
	even := total / float64(max(members, smallFleet))
	return math.Min(most, math.Max(even, least)+perShard*float64(shards))
}

// SetStopping tells the client that the instance is shutting down. Its calls then no
// longer wait after an outage.
func (c *Client) SetStopping() {
	c.limiterMu.Lock()
	defer c.limiterMu.Unlock()
	c.limiter.setStopping(c.clock.Now())
}

// SetBudget changes the budget when the size of the fleet has changed. Calls in flight
// are not affected.
func (c *Client) SetBudget(b Budget) {
	c.limiterMu.Lock()
	defer c.limiterMu.Unlock()
	c.limiter.setBudget(c.clock.Now(), b)
}
