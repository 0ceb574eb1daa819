package slotqueue

import (
	"cmp"
	"slices"
	"strconv"

	"lynxhill.example/lynxhill/internal/control/rendezvous"
	"lynxhill.example/lynxhill/internal/fleet"
)

const (
	// maxShardTargets is the largest number of targets for which one coordinator decides.
	maxShardTargets = 32
	// meanShardTargets leaves room in the shards, so that most targets get the one that
	// ranks first for them, and few change theirs when another target joins.
	meanShardTargets = 24
)

// Shards divides the targets of one service into shards of at most 32. The result
// depends only on the IDs of the targets, so it is the same on all instances that have
// the same list. An empty list has no shard.
func Shards(targets []fleet.Target) [][]fleet.Target {
	if len(targets) == 0 {
		return nil
	}
	sorted := slices.SortedFunc(slices.Values(targets), func(a, b fleet.Target) int { return cmp.Compare(a.ID, b.ID) })
	if len(sorted) <= maxShardTargets {
		return [][]fleet.Target{sorted}
	}
	shards := make([][]fleet.Target, (len(sorted)+meanShardTargets-1)/meanShardTargets)
	names := make([]string, len(shards))
	for i := range names {
		names[i] = strconv.Itoa(i)
	}
	for _, t := range sorted {
		for _, name := range rendezvous.Top(t.ID, names, len(names)) {
			i, _ := strconv.Atoi(name)
			if len(shards[i]) < maxShardTargets {
				shards[i] = append(shards[i], t)
				break
			}
		}
	}
	return shards
}

// ShardOf returns the shard of the target with the given ID; false if it is not listed.
func ShardOf(targets []fleet.Target, id string) (int, bool) {
	for i, shard := range Shards(targets) {
		if slices.ContainsFunc(shard, func(t fleet.Target) bool { return t.ID == id }) {
			return i, true
		}
	}
	return 0, false
}
