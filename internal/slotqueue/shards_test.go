package slotqueue

import (
	"fmt"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"lynxhill.example/lynxhill/internal/fleet"
)

func shardTargets(n int) (list []fleet.Target) {
	for i := range n {
		list = append(list, listed(fmt.Sprint("server-", i), 6))
	}
	return list
}

// Guards against instances that put a target into different shards, a target in none or
// in two, and a coordinator that decides for more targets than it can.
func TestEachTargetIsInOneShard(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("one shard of at most 32, whatever the order of the list", prop.ForAll(func(n int, cut int) bool {
		list := shardTargets(n)
		turned := append(slices.Clone(list[min(cut, n):]), list[:min(cut, n)]...)
		shards, again := Shards(list), Shards(turned)
		seen := make(map[string]int)
		for i, shard := range shards {
			if len(shard) > maxShardTargets || !slices.Equal(shard, again[i]) {
				return false
			}
			for _, target := range shard {
				seen[target.ID]++
			}
			if len(shard) > 0 {
				if number, ok := ShardOf(turned, shard[0].ID); !ok || number != i {
					return false
				}
			}
		}
		return len(seen) == n && len(shards) == len(again) && !slices.ContainsFunc(list, func(f fleet.Target) bool { return seen[f.ID] != 1 })
	}, gen.IntRange(0, 150), gen.IntRange(0, 150)))
	properties.TestingRun(t)
}

// Guards against a new order of all shards, and of all slots' owners, when one target
// joins.
func TestTargetThatJoinsMovesFewOthers(t *testing.T) {
	before, after := shardTargets(60), shardTargets(61)
	moved := 0
	for _, target := range before {
		a, _ := ShardOf(before, target.ID)
		b, _ := ShardOf(after, target.ID)
		if a != b {
			moved++
		}
	}
	if moved > 6 {
		t.Fatalf("%d of 60 targets moved", moved)
	}
}
