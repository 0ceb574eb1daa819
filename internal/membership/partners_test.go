package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/gossip"
)

// newManagerWithMembers returns the manager of one of n instances in four zones.
func newManagerWithMembers(n int) *Manager {
	m := New(Options{
		Self: board.Member{ID: "self", Zone: "p0"}, Board: board.New(), Clock: quartz.NewReal(),
		Rand: rand.New(rand.NewPCG(3, uint64(n))),
	})
	var rows []gossip.Member
	for i := 1; i < n; i++ {
		rows = append(rows, gossip.Member{ID: fmt.Sprintf("i%03d", i), State: "alive", PeerAddr: "a", Zone: fmt.Sprintf("p%d", i%4)})
	}
	m.view.merge(rows, m.o.Clock.Now())
	return m
}

func TestHalfOfHeartbeatsStayInZone(t *testing.T) {
	cases := []struct {
		instances   int
		least, most float64 // share within the zone
	}{{1, 0, 0}, {8, 0.05, 0.25}, {64, 0.4, 0.55}, {370, 0.45, 0.55}}
	for _, c := range cases {
		m := newManagerWithMembers(c.instances)
		var round heartbeatRound
		reached := make(map[string]int)
		sameZone := 0
		heartbeats := 3 * c.instances
		for range heartbeats {
			id, ok := m.partner(&round)
			if !ok {
				continue
			}
			reached[id]++
			if member, _ := m.view.get(id); member.Zone == "p0" {
				sameZone++
			}
		}
		if share := float64(sameZone) / float64(heartbeats); share < c.least || share > c.most {
			t.Errorf("%d instances: %.2f of the heartbeats in the zone", c.instances, share)
		}
		if len(reached) != c.instances-1 {
			t.Errorf("%d instances: %d others contacted in %d heartbeats", c.instances, len(reached), heartbeats)
		}
	}
}
