package board

import "sort"

// liveList is the result of LiveMembers at a revision of the table of members.
type liveList struct {
	revision uint64
	self     string
	ids      []string
}

// LiveMembers returns the sorted ids of the members that are considered alive,
// including self even if membership has not listed it yet. The caller must not modify
// the slice: while no member changes, all calls return the same one.
func (b *Board) LiveMembers(self string) []string {
	revision := b.Members.Revision()
	if known := b.live.Load(); known != nil && known.revision == revision && known.self == self {
		return known.ids
	}
	ids := b.liveMembers(self, func(Member) bool { return true })
	b.live.Store(&liveList{revision, self, ids})
	return ids
}

// LiveMembersIn returns the ids that LiveMembers returns, limited to one availability
// zone (short: zone).
func (b *Board) LiveMembersIn(zone, self string) []string {
	return b.liveMembers(self, func(m Member) bool { return m.Zone == zone })
}

func (b *Board) liveMembers(self string, match func(Member) bool) []string {
	ids := []string{self}
	b.Members.Each(func(id string, m Member) {
		if id != self && m.State == MemberAlive && match(m) {
			ids = append(ids, id)
		}
	})
	sort.Strings(ids)
	return ids
}

// Drained reports whether an operator's drain covers the subject.
func (b *Board) Drained(subject string) bool {
	_, ok := b.Drains.Get(subject)
	return ok
}

// Prefixes of drain subjects.
const (
	DrainInstance = "instance/"
	DrainZone     = "place/"
	DrainTarget   = "target/"
	// DrainTargetsIn evacuates a zone: its targets get no new work, whatever its
	// instances do.
	DrainTargetsIn = "targets-in/"
)

// DrainSubjects are all prefixes of drain subjects.
var DrainSubjects = []string{DrainInstance, DrainZone, DrainTarget, DrainTargetsIn}

// TargetDrained reports whether an operator's drain keeps new work from the target.
func (b *Board) TargetDrained(t Target) bool {
	return b.Drained(DrainTarget+t.ID) || b.Drained(DrainTargetsIn+t.Zone)
}
