package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
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
		sameZoneMembers := max((c.instances-1)/4, 0)
		if want := min(sameZoneMembers, maxPartners) + min(c.instances-1-sameZoneMembers, maxPartners); len(reached) != want {
			t.Errorf("%d instances: %d others contacted in %d heartbeats, want %d", c.instances, len(reached), heartbeats, want)
		}
	}
}

// Guards against an instance whose failure is noticed by few others, and against digests that
// do not reach all of a fleet in which each instance exchanges them with some others only.
func TestPartnersCoverTheFleet(t *testing.T) {
	for _, n := range []int{64, 300, 985, 2000} {
		zones := make(map[string][]string)
		for i := range n {
			zone := fmt.Sprint("p", i%6)
			zones[zone] = append(zones[zone], fmt.Sprintf("i%04d", i))
		}
		partners, callers := make(map[string][]string), make(map[string]int)
		for zone, ids := range zones {
			for _, id := range ids {
				m := &Manager{o: Options{Self: board.Member{ID: id}}}
				var others []string
				for other, far := range zones {
					if other != zone {
						others = append(others, far...)
					}
				}
				near := slices.DeleteFunc(slices.Clone(ids), func(member string) bool { return member == id })
				partners[id] = append(m.limitPartners(near), m.limitPartners(others)...)
				for _, partner := range partners[id] {
					callers[partner]++
				}
			}
		}
		fewest := n
		for id := range partners {
			fewest = min(fewest, callers[id])
		}
		reached, rounds := map[string]bool{"i0000": true}, 0
		for last := []string{"i0000"}; len(last) > 0; rounds++ {
			var next []string
			for _, id := range last {
				for _, partner := range partners[id] {
					if !reached[partner] {
						reached[partner] = true
						next = append(next, partner)
					}
				}
			}
			last = next
		}
		t.Logf("%d instances: called by %d others at least, all reached over %d hops", n, fewest, rounds-1)
		if fewest < 16 || len(reached) != n || rounds-1 > 4 {
			t.Errorf("%d instances: one is called by %d others only; %d reached over %d hops", n, fewest, len(reached), rounds-1)
		}
	}
}
