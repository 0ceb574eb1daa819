package edge

import (
	"fmt"
	"testing"

	"lynxhill.example/lynxhill/internal/board"
)

// BenchmarkSchedulers chooses the instances that may schedule, which each submission of a
// job does.
func BenchmarkSchedulers(b *testing.B) {
	for _, members := range []int{58, 370, 985} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			i := &Instance{board: board.New()}
			for n := range members {
				id := fmt.Sprintf("edge-%04d", n)
				i.board.Members.Put(id, board.Member{ID: id, Incarnation: 1, State: board.MemberAlive, Features: board.OwnFeatures})
			}
			b.ReportAllocs()
			for b.Loop() {
				_ = i.withoutOlderBuilds(i.board.LiveMembers("edge-0000"))
			}
		})
	}
}
