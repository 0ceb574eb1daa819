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
	// call, is not asked. After that a stream without requests tries it.
	excludeFor = 2 * time.Second
	// forgetAfter is how long an instance that is not tried again stays recorded.
	forgetAfter = time.Minute
)

// rankKey returns the key by which the coordinators of the shard are ranked.
func (k shardKey) rankKey() string { return fmt.Sprintf("%s%s/%d", coordinatorKey, k.service, k.shard) }

func (r *Request) key() shardKey { return shardKey{r.Service, r.Shard} }

// exclusion says how an instance is left out of the ranking. It ends when the instance
// answers a probe: members may count a dead instance in for longer than excludeFor, and each
// request that tried it would wait in vain.
type exclusion struct {
	until time.Time // of the next probe
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
	members := c.largeMembers(slices.Clone(c.o.Members()))
	ranked := rendezvous.Top(key.rankKey(), members, len(members))
	now := c.o.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, instance := range ranked {
		e, excluded := c.excluded[instance]
		if !excluded {
			return instance, true
		}
		if !now.Before(e.until) {
			c.probe(instance, e)
		}
		if e.unknownCall {
			return "", false
		}
	}
	return "", false
}

// probe opens a stream to an excluded instance to see whether it answers. The caller holds
// c.mu.
func (c *Client) probe(instance string, e exclusion) {
	e.until = c.o.Clock.Now().Add(excludeFor)
	c.excluded[instance] = e
	if c.conns[instance] != nil {
		return
	}
	if cn := c.connTo(instance); cn != nil {
		cn.probing, cn.heartbeat, cn.busySince = true, true, c.o.Clock.Now()
		notify(cn.wake)
	}
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
	now := c.o.Clock.Now()
	maps.DeleteFunc(c.excluded, func(_ string, e exclusion) bool { return now.Sub(e.until) > forgetAfter })
	c.excluded[instance] = exclusion{until: now.Add(excludeFor), unknownCall: unknownCall}
}
