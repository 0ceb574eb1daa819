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

// Subjects of drains.
const (
	DrainInstance = "instance/"
	DrainPlace    = "place/"
	DrainTarget   = "target/"
)
