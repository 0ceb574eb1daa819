package loadview

import (
	"sort"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/control/rendezvous"
)

// rankPrefix is prepended to a target's ID in the rendezvous hash that ranks its
// pollers.
const rankPrefix = "load/"

// fleet holds the IDs of the live instances by zone and region, each list sorted.
type fleet struct {
	all      []string
	byZone   map[string][]string
	byRegion map[string][]string
}

// fleetOf returns the live instances. Self is always among them.
func fleetOf(b *board.Board, self, zone, region string) fleet {
	f := fleet{byZone: make(map[string][]string), byRegion: make(map[string][]string)}
	members := b.Members.Snapshot()
	members[self] = board.Member{ID: self, State: board.MemberAlive, Zone: zone, Region: region}
	for id, m := range members {
		if m.State == board.MemberAlive {
			f.all = append(f.all, id)
		}
	}
	sort.Strings(f.all)
	for _, id := range f.all {
		m := members[id]
		f.byZone[m.Zone] = append(f.byZone[m.Zone], id)
		f.byRegion[m.Region] = append(f.byRegion[m.Region], id)
	}
	return f
}

// candidates returns the instances that may poll the target: those in its zone,
// since they are closest and need its load most; if there are too few, those in
// its region; else all.
func (f fleet) candidates(t board.Target, pollers int) []string {
	if near := f.byZone[t.Zone]; len(near) >= pollers {
		return near
	}
	if near := f.byRegion[t.Region]; len(near) >= pollers {
		return near
	}
	return f.all
}

// isPoller reports whether self is one of the target's pollers.
func (f fleet) isPoller(self string, t board.Target, pollers int) bool {
	candidates := f.candidates(t, pollers)
	i := sort.SearchStrings(candidates, self)
	if i == len(candidates) || candidates[i] != self {
		return false
	}
	return rendezvous.Position(rankPrefix+t.ID, self, candidates) < pollers
}
