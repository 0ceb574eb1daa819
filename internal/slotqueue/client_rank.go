package slotqueue

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/control/rendezvous"
)

const (
	// coordinatorKey is the prefix of the key by which instances are ranked.
	coordinatorKey = "slotqueue/"
	// minCapacityShare is the minimum CPU capacity of a coordinator, as a share of that of
	// the largest instance.
	minCapacityShare = 0.5
	// excludeFor is how long an instance that was lost as coordinator, or does not know the
	// call, is not asked. It exceeds the time after which members count a dead instance
	// out.
	excludeFor = 2 * time.Second
)

// rankKey returns the key by which the coordinators of the shard are ranked.
func (k shardKey) rankKey() string { return fmt.Sprintf("%s%s/%d", coordinatorKey, k.service, k.shard) }

func (r *Request) key() shardKey { return shardKey{r.Service, r.Shard} }

// exclusion says how an instance is left out of the ranking.
type exclusion struct {
	until time.Time
	// unknownCall: the instance is of a build without the call. It keeps its rank, so that
	// all owners agree on who ranks first, and owners choose by themselves.
	unknownCall bool
}

// coordinatorOf returns the instance to ask for slots of the shard; ok is false if there
// is none at the moment. The caller must not hold c.mu.
func (c *Client) coordinatorOf(key shardKey) (instance string, ok bool) {
	if c.o.Joining != nil && c.o.Joining() {
		return "", false
	}
	members := slices.Clone(c.o.Members())
	now := c.o.Clock.Now()
	c.mu.Lock()
	maps.DeleteFunc(c.excluded, func(_ string, e exclusion) bool { return !now.Before(e.until) })
	excluded := maps.Clone(c.excluded)
	c.mu.Unlock()
	members = slices.DeleteFunc(members, func(m string) bool {
		e, is := excluded[m]
		return is && !e.unknownCall
	})
	best := rendezvous.Top(key.rankKey(), c.largeMembers(members), 1)
	if len(best) == 0 || excluded[best[0]].unknownCall {
		return "", false
	}
	return best[0], true
}

// largeMembers returns the members with at least minCapacityShare of the CPU capacity of
// the largest. Every decision of a small instance would be late.
func (c *Client) largeMembers(members []string) []string {
	if c.o.Capacity == nil {
		return members
	}
	capacities, most := make(map[string]float64, len(members)), 0.0
	for _, m := range members {
		capacities[m] = c.o.Capacity(m)
		most = max(most, capacities[m])
	}
	return slices.DeleteFunc(members, func(m string) bool { return capacities[m] < minCapacityShare*most })
}

// exclude leaves the instance out for a while. The caller holds c.mu.
func (c *Client) exclude(instance string, unknownCall bool) {
	c.excluded[instance] = exclusion{until: c.o.Clock.Now().Add(excludeFor), unknownCall: unknownCall}
}
