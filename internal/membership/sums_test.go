package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/gossip"
)

// Guards against checksums that miss a change, so that two instances never find out that
// their lists differ.
func TestSumsFollowEveryChange(t *testing.T) {
	states := []board.MemberState{board.MemberAlive, board.MemberSuspect, board.MemberLeaving, board.MemberDead}
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 2))
		m := newManagerWithMembers(40)
		for step := range 100 {
			now := m.o.Clock.Now()
			id := fmt.Sprintf("i%03d", random.IntN(45))
			switch random.IntN(4) {
			case 0:
				m.view.merge([]gossip.Member{{
					ID: id, State: string(states[random.IntN(len(states))]), PeerAddr: "a", Zone: "p1", Incarnation: uint64(random.IntN(3)),
					Seq: uint64(step), ConfigVersion: uint64(random.IntN(3)), DeadFor: 2 * time.Minute,
				}}, now)
			case 1:
				if member, known := m.view.get(id); known {
					m.suspect(member)
				}
			case 2:
				m.view.merge([]gossip.Member{{ID: "self", State: string(board.MemberSuspect), Incarnation: uint64(step)}}, now)
			case 3:
				m.removeExpiredDead(nil, now.Add(24*time.Hour))
			}
			m.view.mu.Lock()
			got := m.view.sumsLocked(now)
			fresh := m.view.sumRows()
			fresh.sums[sumDead] = m.view.deadSum(now)
			m.view.mu.Unlock()
			if !slices.Equal(got, fresh.sums[:]) {
				t.Fatalf("seed %d, step %d: checksums %v, want %v", seed, step, got, fresh.sums)
			}
		}
	}
}
