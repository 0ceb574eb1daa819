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

// acceptEvery is how often a waiting change is looked at.
const acceptEvery = 50 * time.Millisecond

// written puts a written change in force here, waits for its acceptance as
// long as the operator wants, and answers.
func (m *Manager) written(ctx context.Context, c Change, now held, version uint64, diff []profile.DiffLine) (lynxapi.ChangeReply, error) {
	key := profile.KeyPrefix + c.Name
	m.objects.adopt(store.Object{Key: key, Version: now.version, Value: encode(now.stored)}, fromSelf)
	m.Refresh()
	reply := lynxapi.ChangeReply{ChangeID: c.ChangeID, State: lynxapi.ChangeWritten, Name: c.Name, Version: version, Diff: diff}
	deadline := m.o.Clock.Now().Add(c.Wait)
	known := evidenceOfForce{listed: m.listed(ctx)}
	for {
		var accepted bool
		reply.Force, accepted = m.force(c.Name, version, known)
		if accepted {
			reply.State = lynxapi.ChangeAccepted
			m.o.Logger.Log(event.ProfileAccepted, "profile", c.Name, "version", version, "fenced", len(reply.Force.Fenced))
			return reply, nil
		}
		if !m.o.Clock.Now().Before(deadline) || !loop.Sleep(ctx, m.o.Clock, acceptEvery) {
			return reply, nil
		}
		if m.o.Clock.Since(known.askedAt) >= askEvery && m.objects.markOf(profile.KeyPrefix) >= version {
			m.ask(ctx, reply.Force.Missing, &known)
			known.askedAt = m.o.Clock.Now()
		}
	}
}

// listed returns the instances on the platform's list that membership has not
// met yet: what is not known of them is no reason to accept a change early.
func (m *Manager) listed(ctx context.Context) []string {
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

// Force tells where the version of a profile that this instance holds is in
// force.
func (m *Manager) Force(name string) lynxapi.ForceReply {
	held, _ := m.o.Board.Profiles.Get(name)
	reply, _ := m.force(name, held.Version, evidenceOfForce{})
	return reply
}

// force counts the instances that hold the version and decides acceptance:
// every instance that may take work holds it, or a majority does and the
// others have had the time after which they take no work without it.
func (m *Manager) force(name string, version uint64, known evidenceOfForce) (reply lynxapi.ForceReply, accepted bool) {
	reply = lynxapi.ForceReply{Name: name, Version: version, Total: 1}
	if m.objects.markOf(profile.KeyPrefix) >= version {
		reply.InForce = 1
	} else {
		reply.Missing = append(reply.Missing, m.o.Self)
	}
	forgotten := 0 // dead instances that held it: they may have come back without it
	members := m.o.Board.Members.Snapshot()
	for _, id := range known.listed {
		if _, met := members[id]; !met && id != m.o.Self {
			reply.Total++
			reply.Missing = append(reply.Missing, id)
		}
	}
	for id, member := range members {
		if id == m.o.Self || m.fence.gone(member) {
			continue
		}
		if max(member.Profiles, known.markOf(member)) >= version {
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
	majority := 2*reply.InForce > reply.Total+forgotten && fewAmongTheirOwn(reply.Missing, members, forgotten)
	if len(reply.Missing) > 0 && m.fencedSince(name, version, majority) {
		reply.Fenced, reply.Missing = reply.Missing, nil
	}
	return reply, version > 0 && len(reply.Missing) == 0
}

// fewAmongTheirOwn reports whether those that lack the version are at most half
// of the instances that each of the dead among them may have known.
//
// What goes wrong without it: the larger side of a split loses the store, and
// new instances are started on the side that has it. Those are a majority of
// all that this side knows; but the lost ones know nothing of the new ones, are
// a majority of all that they know, and go on serving the old version.
func fewAmongTheirOwn(missing []string, members map[string]board.Member, forgotten int) bool {
	for _, id := range missing {
		m := members[id]
		if m.State == board.MemberDead && m.Fleet > 0 && 2*(len(missing)+forgotten) > m.Fleet {
			return false
		}
	}
	return true
}

// fencedSince reports whether those that lack the version have had the time
// after which they take no work. The time is counted from when the version was
// known here and a majority held it: until then a split-off majority without
// the store might still confirm itself under the old version.
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

// Lookup tells what became of a change by its id. The error is of kind
// NotFound if no profile shows it, and StoreUnavailable if the store could not
// be asked.
func (m *Manager) Lookup(ctx context.Context, changeID string) (lynxapi.ChangeReply, error) {
	if reply, found := m.lookupHere(changeID); found {
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
	if reply, found := m.lookupHere(changeID); found {
		return reply, nil
	}
	return lynxapi.ChangeReply{ChangeID: changeID, State: lynxapi.ChangeUnknown},
		errkind.New(errkind.NotFound, "no profile shows change %s", changeID)
}

func (m *Manager) lookupHere(changeID string) (lynxapi.ChangeReply, bool) {
	for key, obj := range m.o.Board.Objects.Snapshot() {
		name, ok := strings.CutPrefix(key, profile.KeyPrefix)
		if !ok || obj.Deleted {
			continue
		}
		stored, err := decode(obj.Value)
		if err != nil {
			continue
		}
		version, found := held{obj.Version, stored}.find(changeID)
		if !found {
			continue
		}
		reply := lynxapi.ChangeReply{ChangeID: changeID, State: lynxapi.ChangeWritten, Name: name, Version: version}
		var accepted bool
		if reply.Force, accepted = m.force(name, version, evidenceOfForce{}); accepted {
			reply.State = lynxapi.ChangeAccepted
		}
		return reply, true
	}
	return lynxapi.ChangeReply{}, false
}

// View returns a profile in force with who changed it last.
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

// Views returns all profiles in force by name.
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
