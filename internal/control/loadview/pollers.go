package loadview

import (
	"sort"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/control/rendezvous"
)

// rankKey precedes a target's id in the ranking of its pollers.
const rankKey = "load/"

// fleet is the live instances by place and region, ids in order.
type fleet struct {
	all      []string
	byPlace  map[string][]string
	byRegion map[string][]string
}

// fleetOf returns the live instances. Self is always among them.
func fleetOf(b *board.Board, self, place, region string) fleet {
	f := fleet{byPlace: make(map[string][]string), byRegion: make(map[string][]string)}
	members := b.Members.Snapshot()
	members[self] = board.Member{ID: self, State: board.MemberAlive, Place: place, Region: region}
	for id, m := range members {
		if m.State == board.MemberAlive {
			f.all = append(f.all, id)
		}
	}
	sort.Strings(f.all)
	for _, id := range f.all {
		m := members[id]
		f.byPlace[m.Place] = append(f.byPlace[m.Place], id)
		f.byRegion[m.Region] = append(f.byRegion[m.Region], id)
	}
	return f
}

// candidates are the instances that may poll the target: those of its place,
// for the short way and because they need its load most; if they are too few,
// those of its region; else all.
func (f fleet) candidates(t board.Target, pollers int) []string {
	if near := f.byPlace[t.Place]; len(near) >= pollers {
		return near
	}
	if near := f.byRegion[t.Region]; len(near) >= pollers {
		return near
	}
	return f.all
}

// polls reports whether self is one of the target's pollers.
func (f fleet) polls(self string, t board.Target, pollers int) bool {
	candidates := f.candidates(t, pollers)
	i := sort.SearchStrings(candidates, self)
	if i == len(candidates) || candidates[i] != self {
		return false
	}
	return rendezvous.Position(rankKey+t.ID, self, candidates) < pollers
}
