package edge

import (
	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/stagework"
	"lynxhill.example/lynxhill/internal/streamorigin"
)

// originHolders returns the instances that may keep origins of streams: those that are
// alive and not leaving, including this one.
func (i *Instance) originHolders() []streamorigin.Member {
	members := []streamorigin.Member{{ID: i.id(), Zone: i.cfg.Instance.Zone}}
	for id, m := range i.board.Members.Snapshot() {
		if id != i.id() && m.State == board.MemberAlive {
			members = append(members, streamorigin.Member{ID: id, Zone: m.Zone})
		}
	}
	return members
}

// reachesOthers reports whether this instance knows the others and is not cut off. One that
// believes all others dead is cut off if the store does not confirm its configuration either.
func (i *Instance) reachesOthers() bool {
	if i.discoveringMembers() {
		return false
	}
	if i.liveInstances() < 2 && len(i.everKnownInstances()) > 1 {
		return i.routes.ConfirmedAge() <= i.settings().OutOfTouchAfter.Duration
	}
	return i.contact() != stagework.ConnectivityLost
}
