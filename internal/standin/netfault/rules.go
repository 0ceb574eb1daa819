package netfault

import (
	"maps"
	"slices"
	"time"
)

// zonePair is an unordered pair of zones, the lesser name first.
type zonePair struct{ a, b string }

func pairOf(a, b string) zonePair {
	if b < a {
		a, b = b, a
	}
	return zonePair{a, b}
}

// cut stops what owners in from send to owners in to.
type cut struct {
	id     CutID
	from   map[string]bool
	to     map[string]bool
	refuse bool
}

func (c cut) stops(from, to string) bool { return c.from[from] && c.to[to] }

// rules are immutable: a change makes a new value and closes changed of the
// old one, so that whoever waits for a rule looks again.
type rules struct {
	changed chan struct{}
	zones   map[string]string // by owner
	latency map[zonePair]time.Duration
	between time.Duration // different zones without an entry in latency
	cuts    []cut
	frozen  map[string]bool
	dead    map[string]bool
}

func newRules() *rules {
	return &rules{
		changed: make(chan struct{}),
		zones:   map[string]string{},
		latency: map[zonePair]time.Duration{},
		frozen:  map[string]bool{},
		dead:    map[string]bool{},
	}
}

func (r *rules) clone() *rules {
	return &rules{
		changed: make(chan struct{}),
		zones:   maps.Clone(r.zones),
		latency: maps.Clone(r.latency),
		between: r.between,
		cuts:    slices.Clone(r.cuts),
		frozen:  maps.Clone(r.frozen),
		dead:    maps.Clone(r.dead),
	}
}

// delay returns the one-way latency between two owners. It is 0 where one of
// them has no zone.
func (r *rules) delay(from, to string) time.Duration {
	a, b := r.zones[from], r.zones[to]
	if a == "" || b == "" {
		return 0
	}
	if d, ok := r.latency[pairOf(a, b)]; ok {
		return d
	}
	if a != b {
		return r.between
	}
	return 0
}

// cutOff tells whether what one owner sends doesn't reach the other.
func (r *rules) cutOff(from, to string) bool {
	return slices.ContainsFunc(r.cuts, func(c cut) bool { return c.stops(from, to) })
}

// refused tells whether a cut between the two, in either direction, refuses
// connections.
func (r *rules) refused(a, b string) bool {
	return slices.ContainsFunc(r.cuts, func(c cut) bool {
		return c.refuse && (c.stops(a, b) || c.stops(b, a))
	})
}
