package membership

import (
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/store"
	"lynxhill.example/lynxhill/internal/wire/platformapi"
)

// assumedAliveFor is how long an instance of the platform's list that is not a member
// yet is assumed to be alive. With digests, each of 295 instances that start together
// knows all others after 4 s; one that is still not a member by then is considered gone.
const assumedAliveFor = 4 * time.Second

// assumedMembers are instances of the platform's list that are assumed to be alive
// until they become members or assumedAliveFor has passed. They are on the board
// only, for this instance's own decisions: digests carry members only.
//
// Instances that start together, as after a power failure, know only a few others
// each for the first seconds. Without this assumption they select different
// dispatchers, which place work on the same targets independently of each other, and
// return few addresses to callers. The symptoms are calls that find a target full, and
// dispatchers that differ from instance to instance. The list still has the entries of
// the instances' previous runs, so that all know the same members with their first
// read. Measured with whole instances in virtual time, 0.5 s after their start:
// without it 6 dispatchers of one cell with 58 instances, 10 with 295; with it one,
// 0.1 s after the last has started.
//
// Each is assumed alive only once by a process: the entries of dead ones stay listed.
type assumedMembers map[string]time.Time // end of the assumption; zero once it is over

// assumeAlive assumes that listed instances that are not members are alive, if there
// are at least as many as members. Otherwise the digests of the members are more
// reliable than the list, which still has the entries of dead instances. The list has
// no admin API addresses, so those stay empty until the instances are members.
func (v *view) assumeAlive(listed []store.Instance, service string, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var unmet []store.Instance
	for _, in := range listed {
		if _, met := v.rows[in.ID]; !met && in.Service == service && in.Peer != "" && in.State == platformapi.StateLive {
			unmet = append(unmet, in)
		}
	}
	if len(unmet) < len(v.rows) {
		return
	}
	for _, in := range unmet {
		if _, assumedBefore := v.assumed[in.ID]; assumedBefore {
			continue
		}
		v.assumed[in.ID] = now.Add(assumedAliveFor)
		v.board.Members.Put(in.ID, board.Member{
			ID: in.ID, State: board.MemberAlive, CallerAddr: in.Address, PeerAddr: in.Peer,
			Zone: in.Zone, Region: in.Region, FreeShare: 1, Capacity: in.Capacity, Changed: now,
		})
	}
}

// ListedIDs returns the ids of this service's instances on the platform's list at its
// last read, in no particular order, including those that are not members.
func (m *Manager) ListedIDs() []string {
	m.view.mu.Lock()
	defer m.view.mu.Unlock()
	return slices.Clone(m.view.listedIDs)
}

// setListedIDs replaces the listed ids with those of the service's instances.
func (v *view) setListedIDs(listed []store.Instance, service string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.listedIDs = v.listedIDs[:0]
	for _, in := range listed {
		if in.Service == service {
			v.listedIDs = append(v.listedIDs, in.ID)
		}
	}
}

// expireAssumed removes the assumed members whose time is over.
func (v *view) expireAssumed(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, until := range v.assumed {
		if !until.IsZero() && now.After(until) {
			v.assumed[id] = time.Time{}
			v.board.Members.Delete(id)
		}
	}
}

// dropAssumed removes an assumed member when a peer reports it as not alive.
// Otherwise an instance that starts could assign work to a member that died shortly
// before, until assumedAliveFor has passed. The caller holds mu.
func (v *view) dropAssumed(id string) {
	if until, listed := v.assumed[id]; listed && !until.IsZero() {
		v.assumed[id] = time.Time{}
		v.board.Members.Delete(id)
	}
}

// markMet records that a member has a row of its own. The caller holds mu.
func (v *view) markMet(id string) {
	if _, listed := v.assumed[id]; listed {
		v.assumed[id] = time.Time{}
	}
}
