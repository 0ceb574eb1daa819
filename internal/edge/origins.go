package edge

import (
	"context"

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
		return i.confirmed()
	}
	return i.contact() != stagework.ConnectivityLost
}

// confirmed reports whether the store has confirmed the routes and targets so recently that
// this instance is in touch.
func (i *Instance) confirmed() bool {
	return i.routes.ConfirmedAge() <= i.settings().OutOfTouchAfter.Duration
}

// missedChangesFactor is the age of the newest confirmation by the store, as a multiple of
// the time after which an instance is out of touch, from which on changes of targets may
// have been missed. Confirmations of large fleets are at times older than that time.
const missedChangesFactor = 2

// mayMissChanges reports whether changes of routes or targets may have been missed.
func (i *Instance) mayMissChanges() bool {
	return i.routes.ConfirmedAge() > missedChangesFactor*i.settings().OutOfTouchAfter.Duration
}

// handOverTimeout is the time limit for handing over origins of streams. It fits into the
// part of the grace period that is reserved for the end of the process.
const handOverTimeout = stopMargin / 2

// handOverOrigins sends the origins of streams that this instance keeps to those that keep
// them without it.
func (i *Instance) handOverOrigins() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	i.origins.HandOver(ctx)
}
