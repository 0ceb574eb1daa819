package edge

import (
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/control/watchers"
	"lynxhill.example/lynxhill/internal/fleet"
)

// callsStore reports whether this instance itself reads changes from the store. age is
// the age of the newest confirmation by the store.
func (i *Instance) callsStore(age time.Duration) bool {
	return i.watcherFacts().CallsStore(age)
}

// listsWhole reports whether this instance reads a long list of the store whole.
func (i *Instance) listsWhole() bool { return i.watcherFacts().ListsWhole(i.isSeed()) }

const (
	// transfersPerCore is the number of transfers of all targets that an instance with a
	// whole core serves at the same time.
	transfersPerCore = 8
	minTransfers     = 2
)

// maxTransfers returns the number of transfers of all targets that this instance serves at
// the same time.
func (i *Instance) maxTransfers() int {
	return max(int(transfersPerCore*i.capacity(i.id())), minTransfers)
}

// watcherFacts returns what decides whether this instance calls the store.
func (i *Instance) watcherFacts() watchers.Facts {
	return watchers.Facts{
		Ranks:           i.storeRanks(),
		StoreLost:       i.routes.StoreLost(),
		Uptime:          i.uptime(),
		HasPeers:        i.seededInstances() > 1,
		Silence:         i.members.Silence(),
		Behind:          i.routes.Behind(),
		UnansweredShare: i.members.UnansweredShare(),
		Overdue:         i.times().Overdue(),
		EscalateAfter:   i.times().EscalateAfter(),
	}
}

// knownRanks are the ranks at a revision of the table of members.
type knownRanks struct {
	revision uint64
	ranks    watchers.Ranks
}

// storeRanks returns the ranks of this instance among those that may call the store. They
// are computed again only after a change of the members: they are needed many times a
// second, and take time in proportion to the fleet.
func (i *Instance) storeRanks() watchers.Ranks {
	revision := i.board.Members.Revision()
	if known := i.ranks.Load(); known != nil && known.revision == revision {
		return known.ranks
	}
	ranks := watchers.RanksOf(i.id(), i.board.LiveMembers(i.id()), i.storeLost)
	i.ranks.Store(&knownRanks{revision, ranks})
	return ranks
}

// storeLost reports whether the given instance has lost the store, as far as this
// instance knows.
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
	return slices.DeleteFunc(slices.Clone(i.board.LiveMembers(i.id())), func(id string) bool { return !i.storeLost(id) })
}

// instancesPrefix is the key prefix of the instance list in the store.
const instancesPrefix = "instances/"

// probesStore reports whether this instance probes the store. It does so only while
// it watches the store on behalf of other instances, which can replace it.
func (i *Instance) probesStore(age time.Duration) bool {
	return i.liveInstances() > watchers.MaxWatchers && i.callsStore(age)
}

// spreadChange requests extra gossip exchanges at once if there are instances that do
// not watch the store themselves.
func (i *Instance) spreadChange() {
	if i.liveInstances() > watchers.MaxWatchers {
		i.members.RequestExchanges()
	}
}

// handleTargets applies a change of the targets. It closes idle connections to removed
// targets, since their addresses may be reused by another service, and to earlier starts
// of targets, which have ended.
func (i *Instance) handleTargets(before, now *fleet.View) {
	for _, c := range now.ChangesSince(before) {
		if c.Before == nil {
			continue
		}
		succeeded := c.After != nil && c.After.Succeeds(*c.Before)
		if c.After == nil || succeeded {
			i.pool.CloseIdle(c.Before.Address)
		}
		if succeeded {
			i.paths.TargetStarted(c.After.Address)
		}
	}
	i.notices.RemoveExpired(func(run string) bool {
		_, listed := now.Run(run)
		return listed
	})
	i.updateDispatcher()
	i.slots.coordinator.TargetsChanged()
	i.spreadChange()
}

// everKnownInstances returns the sorted ids of all instances that this process has
// known, including dead ones and this one; nil until this instance has had time to
// discover all others. Instances on the platform's list are included, because an
// instance that starts during a partition cannot reach those on the other side.
func (i *Instance) everKnownInstances() []string {
	if i.seededInstances() > 1 && i.members.MembersKnownFor() < memberDiscoveryTime {
		return nil
	}
	ids := append(i.members.ListedIDs(), i.id())
	i.board.Members.Each(func(id string, _ board.Member) { ids = append(ids, id) })
	slices.Sort(ids)
	return slices.Compact(ids)
}

// liveInstances returns the number of instances that are considered alive, including
// this one.
func (i *Instance) liveInstances() int {
	return max(len(i.board.LiveMembers(i.id())), 1)
}

func (i *Instance) peerAddress(instance string) (string, bool) {
	m, ok := i.board.Members.Get(instance)
	return m.PeerAddr, ok && m.PeerAddr != ""
}
