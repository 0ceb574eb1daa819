package daemon

import (
	"fmt"
	"testing"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/config"
)

// Guards against owners of claim shards that exceed their share of the budget because
// instances count other owners than those they forward claims to, by a different
// ranking.
func TestOwnedShardsAreThoseThatClaimsGoTo(t *testing.T) {
	const shards = 64
	d := &Daemon{board: board.New(), cfg: config.Config{Instance: config.Instance{ID: "i-0"}}}
	for i := range 24 {
		id := fmt.Sprintf("i-%d", i)
		d.board.Members.Put(id, board.Member{ID: id, State: board.MemberAlive})
	}
	owned := make(map[string]int)
	for shard := range shards {
		owned[d.claimOwner(shard)]++
	}
	members := d.board.LiveMembers("i-0")
	total := 0
	for _, id := range members {
		n := ownedShards(id, members, shards)
		total += n
		if n != owned[id] {
			t.Errorf("%s counts %d shards, %d are forwarded to it", id, n, owned[id])
		}
	}
	if total != shards {
		t.Errorf("%d of %d shards have an owner", total, shards)
	}
}
