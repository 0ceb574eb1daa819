package profilesync

import (
	"context"
	"sort"
	"strings"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/store"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
	"lynxhill.example/lynxhill/internal/wire/platformapi"
)

// acceptanceInterval is how often the acceptance of a change is checked while an
// operator waits for it.
const acceptanceInterval = 50 * time.Millisecond

// awaitAcceptance puts a written change in force on this instance, waits for its
// acceptance for at most the time that the operator asked for, and returns the
// reply.
func (m *Manager) awaitAcceptance(ctx context.Context, c Change, now versionedProfile, version uint64, diff []profile.DiffLine) (lynxapi.ChangeReply, error) {
	key := profile.KeyPrefix + c.Name
	m.objects.adopt(store.Object{Key: key, Version: now.version, Value: encode(now.stored)}, fromSelf)
	m.Refresh()
	reply := lynxapi.ChangeReply{ChangeID: c.ChangeID, State: lynxapi.ChangeWritten, Name: c.Name, Version: version, Diff: diff}
	deadline := m.o.Clock.Now().Add(c.Wait)
	known := acceptanceEvidence{unmet: m.listUnmet(ctx)}
	for {
		var accepted bool
		reply.Force, accepted = m.force(c.Name, version, known)
		if accepted {
			reply.State = lynxapi.ChangeAccepted
			m.o.Logger.Log(event.ProfileAccepted, "profile", c.Name, "version", version, "fenced", len(reply.Force.Fenced))
			return reply, nil
		}
		if !m.o.Clock.Now().Before(deadline) || !loop.Sleep(ctx, m.o.Clock, acceptanceInterval) {
			return reply, nil
		}
		if m.o.Clock.Since(known.queriedAt) >= queryInterval && m.objects.markOf(profile.KeyPrefix) >= version {
			m.queryMarks(ctx, reply.Force.Missing, &known)
			known.queriedAt = m.o.Clock.Now()
		}
	}
}

// listUnmet returns the instances on the platform's list that membership does not
// know yet. They may serve an older version, so they count as missing it.
func (m *Manager) listUnmet(ctx context.Context) []string {
	instances, err := m.o.Store.Instances(ctx)
	if err != nil {
		return nil
	}
	var ids []string
	for _, in := range instances {
		_, met := m.o.Board.Members.Get(in.ID)
		if in.Service == m.o.Service && in.State == platformapi.StateLive && !met {
			ids = append(ids, in.ID)
		}
	}
	return ids
}

// Force reports which instances have the version of a profile in force that this
// instance holds.
func (m *Manager) Force(name string) lynxapi.InForceReply {
	held, _ := m.o.Board.Profiles.Get(name)
	reply, _ := m.force(name, held.Version, acceptanceEvidence{})
	return reply
}

// force counts the instances that hold the version and decides on acceptance. A
// change is accepted when every instance that may accept work holds it, or when
// a majority holds it and the others have had the time after which they are
// fenced without it.
func (m *Manager) force(name string, version uint64, known acceptanceEvidence) (reply lynxapi.InForceReply, accepted bool) {
	reply = lynxapi.InForceReply{Name: name, Version: version, Total: 1}
	if m.objects.markOf(profile.KeyPrefix) >= version {
		reply.InForce = 1
	} else {
		reply.Missing = append(reply.Missing, m.o.Self)
	}
	forgotten := 0 // dead instances that held it: they may have restarted without it
	members := m.o.Board.Members.Snapshot()
	for _, id := range known.unmet {
		if _, met := members[id]; !met && id != m.o.Self {
			reply.Total++
			reply.Missing = append(reply.Missing, id)
		}
	}
	for id, member := range members {
		if id == m.o.Self || m.fence.leftDeliberately(member) {
			continue
		}
		if max(member.ConfigVersion, known.markOf(member)) >= version {
			if member.State != board.MemberDead {
				reply.Total++
				reply.InForce++
			} else {
				forgotten++
			}
			continue
		}
		reply.Total++
		reply.Missing = append(reply.Missing, id)
	}
	sort.Strings(reply.Missing)
	majority := 2*reply.InForce > reply.Total+forgotten && missingLackMajority(reply.Missing, members, forgotten)
	if len(reply.Missing) > 0 && m.fencedSince(name, version, majority) {
		reply.Fenced, reply.Missing = reply.Missing, nil
	}
	return reply, version > 0 && len(reply.Missing) == 0
}

// missingLackMajority reports whether the instances that lack the version are at
// most half of the fleet as each dead one among them may have known it.
//
// It guards against this case: the larger side of a network partition loses the
// store, and new instances are started on the side that still has it. These
// become a majority of all instances known on that side. The instances that
// were cut off do not know the new ones, are a majority of the instances known
// to them, and go on serving the old version.
func missingLackMajority(missing []string, members map[string]board.Member, forgotten int) bool {
	for _, id := range missing {
		m := members[id]
		if m.State == board.MemberDead && m.KnownInstances > 0 && 2*(len(missing)+forgotten) > m.KnownInstances {
			return false
		}
	}
	return true
}

// fencedSince reports whether the instances that lack the version have had the
// time after which they are fenced. The time counts from when this instance held
// the version and a majority held it: until then, a majority that is cut off
// from the store might still confirm itself under the old version.
func (m *Manager) fencedSince(name string, version uint64, majority bool) bool {
	now := m.o.Boot.SinceBoot()
	if !majority {
		m.fence.forgetMajority(name)
		return false
	}
	since := m.fence.majorityFor(name, version, now)
	since = max(since, m.objects.adoptedAt(profile.KeyPrefix+name))
	return now-since >= m.o.FenceAfter+m.o.FenceMargin
}

// Lookup returns the state of a change by its id. The error is of kind NotFound
// if no profile has the change in its history, and StoreUnavailable if the store
// could not be read.
func (m *Manager) Lookup(ctx context.Context, changeID string) (lynxapi.ChangeReply, error) {
	if reply, found := m.lookupLocal(changeID); found {
		return reply, nil
	}
	listed, _, err := m.o.Store.List(store.WithPriority(ctx, store.PriorityOperator), profile.KeyPrefix)
	if err != nil {
		return lynxapi.ChangeReply{ChangeID: changeID, State: lynxapi.ChangeUnknown},
			errkind.Wrap(err, errkind.StoreUnavailable, "the platform could not be asked")
	}
	for _, obj := range listed {
		m.objects.adopt(obj, fromStore)
	}
	if reply, found := m.lookupLocal(changeID); found {
		return reply, nil
	}
	return lynxapi.ChangeReply{ChangeID: changeID, State: lynxapi.ChangeUnknown},
		errkind.New(errkind.NotFound, "no profile shows change %s", changeID)
}

func (m *Manager) lookupLocal(changeID string) (lynxapi.ChangeReply, bool) {
	for key, obj := range m.o.Board.Objects.Snapshot() {
		name, ok := strings.CutPrefix(key, profile.KeyPrefix)
		if !ok || obj.Deleted {
			continue
		}
		stored, err := decode(obj.Value)
		if err != nil {
			continue
		}
		version, found := versionedProfile{obj.Version, stored}.find(changeID)
		if !found {
			continue
		}
		reply := lynxapi.ChangeReply{ChangeID: changeID, State: lynxapi.ChangeWritten, Name: name, Version: version}
		var accepted bool
		if reply.Force, accepted = m.force(name, version, acceptanceEvidence{}); accepted {
			reply.State = lynxapi.ChangeAccepted
		}
		return reply, true
	}
	return lynxapi.ChangeReply{}, false
}

// View returns a profile in force, with its last change.
func (m *Manager) View(name string) (lynxapi.ProfileView, bool) {
	obj, ok := m.o.Board.Objects.Get(profile.KeyPrefix + name)
	if !ok || obj.Deleted {
		return lynxapi.ProfileView{}, false
	}
	stored, err := decode(obj.Value)
	if err != nil || stored.Deleted {
		return lynxapi.ProfileView{}, false
	}
	return lynxapi.ProfileView{
		Name:     name,
		Version:  obj.Version,
		ChangeID: stored.ChangeID,
		Operator: stored.Operator,
		At:       stored.At,
		Profile:  stored.Profile,
		History:  len(stored.Previous),
	}, true
}

// Views returns all profiles in force, sorted by name.
func (m *Manager) Views() []lynxapi.ProfileView {
	var views []lynxapi.ProfileView
	for key := range m.o.Board.Objects.Snapshot() {
		name, ok := strings.CutPrefix(key, profile.KeyPrefix)
		if !ok {
			continue
		}
		if view, ok := m.View(name); ok {
			views = append(views, view)
		}
	}
	sort.Slice(views, func(i, j int) bool { return views[i].Name < views[j].Name })
	return views
}
