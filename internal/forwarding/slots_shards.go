package forwarding

import (
	"slices"
	"sync"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/slotqueue"
)

// shardIndex caches into which shards the targets of services are divided. It is safe for
// concurrent use.
type shardIndex struct {
	mu       sync.Mutex // guards all below
	view     *fleet.View
	services map[string][][]fleet.Target
}

// all returns the shards of the service.
func (x *shardIndex) all(view *fleet.View, service string) [][]fleet.Target {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.view != view {
		x.view, x.services = view, make(map[string][][]fleet.Target)
	}
	shards, known := x.services[service]
	if !known {
		shards = slotqueue.Shards(view.Ready(service))
		x.services[service] = shards
	}
	return shards
}

// pick returns a shard of the service with a probability in proportion to its targets. u is
// a random number, uniform in [0, 1).
func (x *shardIndex) pick(view *fleet.View, service string, u float64) int {
	shards := x.all(view, service)
	rest := int(u * float64(len(view.Ready(service))))
	for i, shard := range shards {
		if rest -= len(shard); rest < 0 {
			return i
		}
	}
	return 0
}

// of returns the shard of a target.
func (x *shardIndex) of(view *fleet.View, target fleet.Target) int {
	return max(0, slices.IndexFunc(x.all(view, target.Service), func(shard []fleet.Target) bool {
		return slices.ContainsFunc(shard, func(t fleet.Target) bool { return t.ID == target.ID })
	}))
}
