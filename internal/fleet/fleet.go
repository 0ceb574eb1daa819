// Package fleet holds the targets of plain HTTP requests as the platform lists
// them: an immutable View of all, and what changed between two of them. It does
// no I/O and reads no clock.
package fleet

import (
	"slices"
	"strings"
	"time"
)

// Target is one running copy of a service's server.
type Target struct {
	ID       string // of this life; a restarted server has another
	Service  string
	Address  string // IP:port
	Place    string
	Slots    int
	Draining bool // takes no new work: it leaves, or its place is evacuated
	// Sequence counts the target's own words to the store; 0 = it does not say.
	Sequence uint64
	// ColdFor is how much longer the target was cold when it said so; 0 = it is
	// not, or ColdUntil tells.
	ColdFor time.Duration
	// ColdUntil is the moment until which the target has to be spared; zero = it
	// was not cold.
	ColdUntil time.Time
}

// Cold reports whether the target has to be spared at the moment.
func (t Target) Cold(now time.Time) bool { return now.Before(t.ColdUntil) }

// Notice is what a target asks, in an answer, of those who send it requests.
type Notice struct {
	Leaving bool // it leaves and wants no new work
	// Limit is how many requests a second the target takes from all instances
	// together; nil = it names no limit.
	Limit *float64
	// Pause is for how long a target that turned the request away wants nothing
	// more from this instance; 0 = it does not say.
	Pause time.Duration
	// From is the id of the target that answers, if it says so: another one than
	// was meant has taken its address. "" = it does not say.
	From string
	// Unreadable is what the target said and could not be read; "" = nothing.
	Unreadable string
}

// View is the targets at one moment. It never changes.
type View struct {
	Revision  uint64 // of the store, newest change seen
	byID      map[string]Target
	byService map[string][]Target // ready ones, by ID
	byAddress map[string]string   // address to ID
}

// NewView returns a view of the targets.
func NewView(revision uint64, targets []Target) *View {
	v := &View{
		Revision:  revision,
		byID:      make(map[string]Target, len(targets)),
		byService: make(map[string][]Target),
		byAddress: make(map[string]string, len(targets)),
	}
	for _, t := range targets {
		v.byID[t.ID] = t
		v.byAddress[t.Address] = t.ID
		if !t.Draining {
			v.byService[t.Service] = append(v.byService[t.Service], t)
		}
	}
	for _, list := range v.byService {
		slices.SortFunc(list, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	}
	return v
}

// Ready returns the targets of the service that take new work, ordered by ID.
// The caller must not change the slice.
func (v *View) Ready(service string) []Target { return v.byService[service] }

// Get returns a target, ready or draining.
func (v *View) Get(id string) (Target, bool) {
	t, ok := v.byID[id]
	return t, ok
}

// Usable reports whether the target is listed and takes new work.
func (v *View) Usable(id string) bool {
	t, ok := v.byID[id]
	return ok && !t.Draining
}

// All returns every target, in no order.
func (v *View) All() []Target {
	all := make([]Target, 0, len(v.byID))
	for _, t := range v.byID {
		all = append(all, t)
	}
	return all
}

// AtAddress returns the ID of the target at the address.
func (v *View) AtAddress(address string) (string, bool) {
	id, ok := v.byAddress[address]
	return id, ok
}
