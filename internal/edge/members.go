package edge

import (
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/control/watchers"
	"lynxhill.example/lynxhill/internal/fleet"
)

// asksStore reports whether this instance asks the store for news itself, age
// being that of the newest word of it.
func (i *Instance) asksStore(age time.Duration) bool {
	return watchers.Facts{
		Self:            i.id(),
		Members:         i.board.LiveMembers(i.id()),
		StoreLost:       i.storeLost,
		Running:         i.running(),
		Others:          i.seeded() > 1,
		Silence:         i.members.Silence(),
		Behind:          i.routes.Behind(),
		UnansweredShare: i.members.UnansweredShare(),
		Overdue:         i.times().Overdue(),
		Patience:        i.times().Patience(),
	}.Asks(age)
}

// storeLost reports whether the given instance has lost the store, as known here.
func (i *Instance) storeLost(instance string) bool {
	if instance == i.id() {
		return i.routes.StoreLost()
	}
	m, _ := i.board.Members.Get(instance)
	return m.StoreLost
}

// storeLostInstances returns the live instances that have lost the store, possibly
// including this one.
func (i *Instance) storeLostInstances() []string {
	return slices.DeleteFunc(i.board.LiveMembers(i.id()), func(id string) bool { return !i.storeLost(id) })
}

// instancesPrefix is the key prefix of the instance list in the store.
const instancesPrefix = "instances/"

// probesStore reports whether this instance probes the store. It does so only while
// it watches the store on behalf of other instances, which can replace it.
func (i *Instance) probesStore(age time.Duration) bool {
	return i.instances() > watchers.Watchers && i.asksStore(age)
}

// passOn has a change told to the others at once, if there are any that do not
// watch the store themselves.
func (i *Instance) passOn() {
	if i.instances() > watchers.Watchers {
		i.members.Hurry()
	}
}

// retarget takes in a change of targets; connections to those that are gone
// are closed, since another service may get their address.
func (i *Instance) retarget(before, now *fleet.View) {
	for _, t := range before.All() {
		if _, listed := now.Get(t.ID); !listed {
			i.pool.CloseIdle(t.Address)
		}
	}
	i.notices.Forget(func(target string) bool {
		_, listed := now.Get(target)
		return listed
	})
	i.targetsChanged()
	i.passOn()
}

// everHeardOf returns all instances that were heard of in this life, dead ones
// and this one included, in order; nil until this instance has had time to hear
// of all. Instances on the platform's list are included, because an instance that
// starts during a partition cannot reach those on the other side.
func (i *Instance) everHeardOf() []string {
	if i.seeded() > 1 && i.members.KnownFor() < meetTime {
		return nil
	}
	ids := append(i.members.ListedIDs(), i.id())
	for id := range i.board.Members.Snapshot() {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// instances is how many instances are believed alive, this one included.
func (i *Instance) instances() int {
	return max(len(i.board.LiveMembers(i.id())), 1)
}

func (i *Instance) peerAddress(instance string) (string, bool) {
	m, ok := i.board.Members.Get(instance)
	return m.PeerAddr, ok && m.PeerAddr != ""
}
