package membership

import "lynxhill.example/lynxhill/internal/board"

// Heartbeats go to members of the own place more often than their number would
// have it: an instance chooses targets of its own place first, so it needs
// their loads fresh, and the instances that poll them are there. The rest go
// to the other places, so that deaths, changes and healing reach all.
const (
	// nearShare is the share of heartbeats within the own place.
	nearShare = 0.5
	// nearFull is the number of others in the own place from which nearShare
	// holds; with fewer the same rows would go back and forth.
	nearFull = 16
)

// turns are the members that are still to be reached in this round, in the own
// place and elsewhere.
type turns struct {
	near, far []string
	share     float64 // of heartbeats within the own place
}

// partner picks the member for the next heartbeat: each in turn, in an order
// drawn anew each round, so that each is reached within one round of its part.
func (m *Manager) partner(t *turns) (id string, ok bool) {
	if len(t.near) == 0 || len(t.far) == 0 {
		near, far := m.partners()
		if len(t.near) == 0 {
			t.near = m.shuffled(near)
		}
		if len(t.far) == 0 {
			t.far = m.shuffled(far)
		}
		t.share = shareNear(len(near), len(far))
	}
	from := &t.far
	if m.rand.Float64() < t.share {
		from = &t.near
	}
	if len(*from) == 0 {
		return "", false
	}
	id = (*from)[0]
	*from = (*from)[1:]
	return id, true
}

// shareNear is the share of heartbeats within the own place.
func shareNear(near, far int) float64 {
	if near+far == 0 {
		return 0
	}
	byNumber := float64(near) / float64(near+far)
	return max(byNumber, nearShare*min(1, float64(near)/nearFull))
}

// partners returns the members that heartbeats go to.
func (m *Manager) partners() (near, far []string) {
	for _, id := range m.view.ids(board.MemberAlive, board.MemberSuspect, board.MemberLeaving) {
		if member, ok := m.view.get(id); ok && member.Place == m.o.Self.Place {
			near = append(near, id)
		} else {
			far = append(far, id)
		}
	}
	return near, far
}
