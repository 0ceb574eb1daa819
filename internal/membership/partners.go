package membership

import (
	"slices"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/control/rendezvous"
)

// Heartbeats go to members of this instance's availability zone (short: zone) more
// often than in proportion to their number. An instance prefers targets of its own
// zone, so it needs their current loads, and the instances that poll those targets
// are in that zone. The remaining heartbeats go to the other zones, so that deaths,
// changes and the healing of splits reach all instances.
const (
	// sameZoneShare is the share of heartbeats within this instance's zone.
	sameZoneShare = 0.5
	// sameZoneFullShareFrom is the number of other members in the zone from which
	// sameZoneShare applies; with fewer, the same rows would be exchanged repeatedly.
	sameZoneFullShareFrom = 16
	// maxPartners is the number of members of this zone, and of the other zones together,
	// with which an instance exchanges digests. Without it each instance has a connection
	// to every other one in a large fleet, most of them unused for minutes.
	maxPartners = 32
)

// heartbeatRound holds the members that are still to be contacted in this round, in
// this instance's zone and in others.
type heartbeatRound struct {
	sameZone, otherZones []string
	share                float64 // of heartbeats within the zone
}

// partner selects the member for the next heartbeat. Each round has its own random
// order and contacts each member of the zone, or of the other zones, once.
func (m *Manager) partner(r *heartbeatRound) (id string, ok bool) {
	if len(r.sameZone) == 0 || len(r.otherZones) == 0 {
		sameZone, otherZones := m.partners()
		if len(r.sameZone) == 0 {
			r.sameZone = m.shuffled(sameZone)
		}
		if len(r.otherZones) == 0 {
			r.otherZones = m.shuffled(otherZones)
		}
		r.share = sameZoneHeartbeatShare(len(sameZone), len(otherZones))
	}
	from := &r.otherZones
	if m.rand.Float64() < r.share {
		from = &r.sameZone
	}
	if len(*from) == 0 {
		return "", false
	}
	id = (*from)[0]
	*from = (*from)[1:]
	return id, true
}

// sameZoneHeartbeatShare returns the share of heartbeats within this instance's zone.
func sameZoneHeartbeatShare(sameZone, otherZones int) float64 {
	if sameZone+otherZones == 0 {
		return 0
	}
	byNumber := float64(sameZone) / float64(sameZone+otherZones)
	return max(byNumber, sameZoneShare*min(1, float64(sameZone)/sameZoneFullShareFrom))
}

// partners returns the members that receive heartbeats. Each instance selects its own by
// rendezvous hashing: few of them change with a member, and every member is selected by
// about as many others, which notice its failure.
func (m *Manager) partners() (sameZone, otherZones []string) {
	for _, id := range m.view.ids(board.MemberAlive, board.MemberSuspect, board.MemberLeaving) {
		if member, ok := m.view.get(id); ok && member.Zone == m.o.Self.Zone {
			sameZone = append(sameZone, id)
		} else {
			otherZones = append(otherZones, id)
		}
	}
	return m.limitPartners(sameZone), m.limitPartners(otherZones)
}

func (m *Manager) limitPartners(ids []string) []string {
	if len(ids) <= maxPartners {
		return ids
	}
	return rendezvous.Top("membership/partners/"+m.o.Self.ID, ids, maxPartners)
}

// alivePartners returns the partners that are alive.
func (m *Manager) alivePartners() []string {
	sameZone, otherZones := m.partners()
	return slices.DeleteFunc(slices.Concat(sameZone, otherZones), func(id string) bool {
		member, ok := m.view.get(id)
		return !ok || member.State != string(board.MemberAlive)
	})
}
