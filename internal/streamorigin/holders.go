package streamorigin

import (
	"slices"

	"lynxhill.example/lynxhill/internal/control/rendezvous"
)

const (
	// holderCount is the number of other instances to which a record is sent.
	holderCount = 2
	// askCount is the number of instances that are asked at once. It is higher than
	// holderCount since the views of the members differ after joins and deaths.
	askCount = 4
	// maxCandidates is the number of instances that may hold or be asked for a record.
	maxCandidates = 2 * askCount
)

// Member is an instance that may hold records.
type Member struct {
	ID   string
	Zone string // availability zone
}

// rank returns the members that may hold the record of a key, in an order on which all
// instances with the same members agree: by rendezvous hashing, with the first member of
// another zone in the second place, so that the loss of a zone leaves a holder.
func rank(key Key, members []Member) []string {
	ids, zones := make([]string, len(members)), make(map[string]string, len(members))
	for i, m := range members {
		ids[i], zones[m.ID] = m.ID, m.Zone
	}
	ranked := rendezvous.Top(key.Organisation+"\x00"+key.Attempt, ids, maxCandidates+1)
	other := slices.IndexFunc(ranked, func(id string) bool { return zones[id] != zones[ranked[0]] })
	if other > 1 {
		second := ranked[other]
		copy(ranked[2:other+1], ranked[1:other])
		ranked[1] = second
	}
	return ranked
}

// candidates returns the other instances that may hold the record of a key, in order.
func (m *Manager) candidates(key Key) []string {
	ranked := rank(key, m.o.Members())
	others := slices.DeleteFunc(ranked, func(id string) bool { return id == m.o.Self })
	return others[:min(len(others), maxCandidates)]
}
