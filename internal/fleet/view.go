package fleet

import (
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// viewShards is the number of parts into which a View splits its targets. A change copies
// the parts that it touches and shares the others with the view before it.
const viewShards = 256

// View is the set of targets at one moment. It is immutable.
type View struct {
	Revision  uint64 // revision of the store up to which changes are included
	count     int
	byID      [viewShards]*idShard
	byAddress [viewShards]*addressShard
	services  map[string]*service
}

// idShard maps IDs to targets, addressShard addresses to what is listed there. A shard is
// never modified once its view is complete; nil = empty.
type (
	idShard      map[string]*Target
	addressShard map[string]listedAt
)

// listedAt are the IDs of the targets that are listed with an address: it may be assigned
// again before its earlier target is removed.
type listedAt struct {
	newest  string
	earlier []string // never modified
}

func (l listedAt) with(id string) listedAt {
	if l.newest == "" {
		return listedAt{newest: id}
	}
	return listedAt{newest: id, earlier: append(slices.Clone(l.earlier), l.newest)}
}

func (l listedAt) without(id string) listedAt {
	if l.newest != id {
		return listedAt{l.newest, slices.DeleteFunc(slices.Clone(l.earlier), func(at string) bool { return at == id })}
	}
	if n := len(l.earlier); n > 0 {
		return listedAt{l.earlier[n-1], slices.Clone(l.earlier[:n-1])}
	}
	return listedAt{}
}

// service is what a view holds of the targets of one service. It is never modified once its
// view is complete.
type service struct {
	ready  []Target       // by ID
	zones  map[string]int // ready targets by availability zone (short: zone)
	builds map[string]int // all targets by version of their software
}

// Change is a difference between two views: a target that was added (Before is nil),
// removed (After is nil), or is another than before.
type Change struct{ Before, After *Target }

// NewView returns a View of the targets.
func NewView(revision uint64, targets []Target) *View {
	return new(View).With(revision, targets, nil)
}

// With returns a View with the targets added or replaced, and the IDs removed. Its cost
// follows the number of changes, beside a copy of the ready targets of each service that
// they touch.
func (v *View) With(revision uint64, put []Target, removed []string) *View {
	next := &View{Revision: revision, count: v.count, byID: v.byID, byAddress: v.byAddress, services: maps.Clone(v.services)}
	if next.services == nil {
		next.services = make(map[string]*service)
	}
	e := viewEdit{View: next, old: v, shardSize: len(put) / viewShards, touched: make(map[string][]string)}
	for _, id := range removed {
		e.remove(id)
	}
	for i := range put {
		e.put(put[i])
	}
	e.finish()
	return next
}

// viewEdit is a View under construction.
type viewEdit struct {
	*View
	old       *View
	shardSize int                 // expected size of new shards
	touched   map[string][]string // IDs of changed targets by service
}

// ownIDs returns the shard of an ID, which the view under construction may modify.
func (e *viewEdit) ownIDs(id string) idShard {
	n := shardOf(id)
	if e.byID[n] == e.old.byID[n] {
		own := make(idShard, e.shardSize)
		if shared := e.byID[n]; shared != nil {
			own = maps.Clone(*shared)
		}
		e.byID[n] = &own
	}
	return *e.byID[n]
}

// ownAddresses returns the shard of an address, which the view under construction may modify.
func (e *viewEdit) ownAddresses(address string) addressShard {
	n := shardOf(address)
	if e.byAddress[n] == e.old.byAddress[n] {
		own := make(addressShard, e.shardSize)
		if shared := e.byAddress[n]; shared != nil {
			own = maps.Clone(*shared)
		}
		e.byAddress[n] = &own
	}
	return *e.byAddress[n]
}

// ownService returns a service, which the view under construction may modify, and records
// that one of its targets changes.
func (e *viewEdit) ownService(name, changed string) *service {
	if e.touched[name] == nil {
		own := &service{zones: make(map[string]int), builds: make(map[string]int)}
		if shared := e.services[name]; shared != nil {
			own.ready, own.zones, own.builds = shared.ready, maps.Clone(shared.zones), maps.Clone(shared.builds)
		}
		e.services[name] = own
	}
	e.touched[name] = append(e.touched[name], changed)
	return e.services[name]
}

func (e *viewEdit) put(t Target) {
	e.remove(t.ID)
	e.ownIDs(t.ID)[t.ID] = &t
	addresses := e.ownAddresses(t.Address)
	addresses[t.Address] = addresses[t.Address].with(t.ID)
	e.ownService(t.Service, t.ID).count(t, 1)
	e.count++
}

func (e *viewEdit) remove(id string) {
	t, ok := e.lookup(id)
	if !ok {
		return
	}
	delete(e.ownIDs(id), id)
	addresses := e.ownAddresses(t.Address)
	if left := addresses[t.Address].without(id); left.newest != "" {
		addresses[t.Address] = left
	} else {
		delete(addresses, t.Address)
	}
	e.ownService(t.Service, id).count(*t, -1)
	e.count--
}

// count adds n targets like t to the counts.
func (s *service) count(t Target, n int) {
	if !t.Draining {
		addTo(s.zones, t.Zone, n)
	}
	addTo(s.builds, t.Build, n)
}

func addTo(counts map[string]int, key string, n int) {
	if counts[key] += n; counts[key] == 0 {
		delete(counts, key)
	}
}

// finish updates the ready targets of the services that were touched.
func (e *viewEdit) finish() {
	for name, changed := range e.touched {
		slices.Sort(changed)
		s := e.services[name]
		s.ready = e.mergeReady(s.ready, name, slices.Compact(changed))
		if len(s.builds) == 0 {
			delete(e.services, name)
		}
	}
}

// mergeReady returns the ready targets of a service, given those of the view before and the
// sorted IDs that changed.
func (v *View) mergeReady(before []Target, service string, changed []string) []Target {
	ready := make([]Target, 0, len(before)+len(changed))
	for _, id := range changed {
		n, found := slices.BinarySearchFunc(before, id, func(t Target, id string) int { return strings.Compare(t.ID, id) })
		ready = append(ready, before[:n]...)
		before = before[n:]
		if found {
			before = before[1:]
		}
		if t, ok := v.lookup(id); ok && t.Service == service && !t.Draining {
			ready = append(ready, *t)
		}
	}
	return append(ready, before...)
}

func shardOf(key string) int { return int(xxhash.Sum64String(key) % viewShards) }

func (v *View) lookup(id string) (*Target, bool) {
	shard := v.byID[shardOf(id)]
	if shard == nil {
		return nil, false
	}
	t, ok := (*shard)[id]
	return t, ok
}

// Ready returns the targets of the service that accept new work, ordered by ID. The
// caller must not modify the slice.
func (v *View) Ready(service string) []Target {
	if s := v.services[service]; s != nil {
		return s.ready
	}
	return nil
}

// ReadyByZone returns the number of targets of the service that accept new work, by
// availability zone. The caller must not modify the map.
func (v *View) ReadyByZone(service string) map[string]int {
	if s := v.services[service]; s != nil {
		return s.zones
	}
	return nil
}

// Builds returns the versions of the software of the service's targets, ready or draining,
// with their numbers. The caller must not modify the map.
func (v *View) Builds(service string) map[string]int {
	if s := v.services[service]; s != nil {
		return s.builds
	}
	return nil
}

// Services returns the names of the services with targets, ready or draining, in no
// particular order.
func (v *View) Services() []string {
	names := make([]string, 0, len(v.services))
	for name := range v.services {
		names = append(names, name)
	}
	return names
}

// Get returns a target, ready or draining.
func (v *View) Get(id string) (Target, bool) {
	t, ok := v.lookup(id)
	if !ok {
		return Target{}, false
	}
	return *t, true
}

// Run returns the listed target of which run is Target.Run.
func (v *View) Run(run string) (Target, bool) {
	if t, ok := v.Get(run); ok && t.Started == 0 {
		return t, true // its ID may look like the name of a start
	}
	t, ok := v.Get(IDOfRun(run))
	return t, ok && t.Run() == run
}

// Usable reports whether the target is listed and accepts new work.
func (v *View) Usable(id string) bool {
	t, ok := v.lookup(id)
	return ok && !t.Draining
}

// Len returns the number of targets.
func (v *View) Len() int { return v.count }

// All returns every target, in no particular order. It copies all of them.
func (v *View) All() []Target {
	all := make([]Target, 0, v.count)
	for _, shard := range v.byID {
		if shard == nil {
			continue
		}
		for _, t := range *shard {
			all = append(all, *t)
		}
	}
	return all
}

// AtAddress returns the ID of the target at the address.
func (v *View) AtAddress(address string) (string, bool) {
	shard := v.byAddress[shardOf(address)]
	if shard == nil {
		return "", false
	}
	at, ok := (*shard)[address]
	return at.newest, ok
}

// ChangesSince returns the differences from an earlier view, in no particular order. What
// the two views share is not compared.
func (v *View) ChangesSince(earlier *View) (changes []Change) {
	for n, shard := range v.byID {
		before := earlier.byID[n]
		if shard == before {
			continue
		}
		changes = appendChanges(changes, before, shard)
	}
	return changes
}

func appendChanges(changes []Change, before, after *idShard) []Change {
	var old, now idShard
	if before != nil {
		old = *before
	}
	if after != nil {
		now = *after
	}
	for id, t := range old {
		next := now[id]
		if next != t && (next == nil || *next != *t) {
			changes = append(changes, Change{Before: t, After: next})
		}
	}
	for id, t := range now {
		if old[id] == nil {
			changes = append(changes, Change{After: t})
		}
	}
	return changes
}

// Within returns the View limited to the targets for which include returns true, derived from
// a View that Within returned for an earlier one with the same include; both nil = none.
func (v *View) Within(include func(Target) bool, earlier, limited *View) *View {
	if earlier == nil {
		earlier, limited = new(View), new(View)
	}
	var put []Target
	var removed []string
	for _, c := range v.ChangesSince(earlier) {
		switch {
		case c.After != nil && include(*c.After):
			put = append(put, *c.After)
		case c.Before != nil && include(*c.Before):
			removed = append(removed, c.Before.ID)
		}
	}
	return limited.With(v.Revision, put, removed)
}
