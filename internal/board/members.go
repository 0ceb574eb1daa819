package board

import "sort"

// LiveMembers returns the ids of the members believed alive, in order, among
// them self even if membership has not listed it yet.
func (b *Board) LiveMembers(self string) []string {
	return b.liveMembers(self, func(Member) bool { return true })
}

// LiveMembersIn is LiveMembers for one place.
func (b *Board) LiveMembersIn(place, self string) []string {
	return b.liveMembers(self, func(m Member) bool { return m.Place == place })
}

func (b *Board) liveMembers(self string, in func(Member) bool) []string {
	ids := []string{self}
	for id, m := range b.Members.Snapshot() {
		if id != self && m.State == MemberAlive && in(m) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// Drained reports whether an operator's drain covers the subject.
func (b *Board) Drained(subject string) bool {
	_, ok := b.Drains.Get(subject)
	return ok
}

// Beginnings of the subjects of drains.
const (
	DrainInstance = "instance/"
	DrainPlace    = "place/"
	DrainTarget   = "target/"
	// DrainTargetsIn evacuates a place: its targets get no new work, whatever
	// its instances do.
	DrainTargetsIn = "targets-in/"
)

// DrainSubjects are the beginnings of all subjects of drains.
var DrainSubjects = []string{DrainInstance, DrainPlace, DrainTarget, DrainTargetsIn}

// TargetDrained reports whether an operator's order keeps new work from the
// target.
func (b *Board) TargetDrained(t Target) bool {
	return b.Drained(DrainTarget+t.ID) || b.Drained(DrainTargetsIn+t.Place)
}
