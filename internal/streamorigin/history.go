package streamorigin

import (
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/route"
)

// History knows since when each service has had one build only, and each route one service.
// A stream that began since then began there, whoever began it. It is safe for concurrent
// use.
type History struct {
	mu       sync.Mutex // guards the fields below
	services map[string]single
	routes   map[string]single
	whole    bool // no stream began before the first observation
}

// single is the only value that something has.
type single struct {
	value string
	since time.Time
	mixed bool // it has several values now
}

// NewHistory returns a History without observations.
func NewHistory() *History {
	return &History{services: make(map[string]single), routes: make(map[string]single)}
}

// beginning is before all streams.
var beginning = time.Unix(1, 0)

// SetWhole records that no stream has begun anywhere before the first observation, since the
// fleet starts for the first time. It is called before that observation.
func (h *History) SetWhole() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.whole = true
}

// observe returns s with the values that it has now.
func (s single) observe(values map[string]bool, now time.Time) single {
	switch len(values) {
	case 0:
		return s // nothing begins there; what was the only value still is
	case 1:
		for value := range values {
			if s.since.IsZero() || s.mixed || s.value != value {
				return single{value: value, since: now}
			}
		}
		return s
	default:
		return single{mixed: true}
	}
}

// Observe records the present targets and routes. It returns whether a service or a route
// that had one value before has several now, or another.
func (h *History) Observe(view *fleet.View, table *route.Table, now time.Time) (changed bool) {
	if view == nil || table == nil {
		return false
	}
	builds := make(map[string]map[string]bool)
	for _, service := range view.Services() {
		for build := range view.Builds(service) {
			add(builds, service, build)
		}
	}
	services := make(map[string]map[string]bool)
	for i := range table.Routes {
		r := &table.Routes[i]
		for _, s := range r.Services {
			if s.Weight > 0 || len(r.Services) == 1 {
				add(services, r.Name, s.Name)
			}
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	changed = h.update(h.services, builds, now)
	return h.update(h.routes, services, now) || changed
}

func add(sets map[string]map[string]bool, name, value string) {
	if sets[name] == nil {
		sets[name] = make(map[string]bool)
	}
	sets[name][value] = true
}

// update applies the values that are present to what is known. The caller holds mu.
func (h *History) update(known map[string]single, present map[string]map[string]bool, now time.Time) (changed bool) {
	for name, values := range present {
		before := known[name]
		after := before.observe(values, now)
		if first := before == (single{}); first && h.whole && !after.mixed && len(values) > 0 {
			after.since = beginning
		}
		changed = changed || !before.since.IsZero() && !before.mixed && after != before
		known[name] = after
	}
	for name := range known {
		if present[name] == nil && len(known) > len(present)+maxAbsent {
			delete(known, name)
			h.whole = false
		}
	}
	return changed
}

// maxAbsent is the number of services or routes that are remembered while they are not
// present.
const maxAbsent = 1024

// Interrupt records that changes may have been missed until now.
func (h *History) Interrupt(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.whole = false
	for _, known := range []map[string]single{h.services, h.routes} {
		for name, s := range known {
			if !s.mixed {
				s.since = now
				known[name] = s
			}
		}
	}
}

// Only returns the one origin that streams of a route have had for the time of the window.
// ok is false if there were several, or if that is not known for so long.
func (h *History) Only(routeName string, window time.Duration, now time.Time) (o Origin, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	o, since, ok := h.present(routeName)
	return o, ok && now.Sub(since) >= window
}

// Present returns the one origin that streams of a route have now.
func (h *History) Present(routeName string) (o Origin, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	o, _, ok = h.present(routeName)
	return o, ok
}

// present returns the one origin of a route and since when it has been that. The caller
// holds mu.
func (h *History) present(routeName string) (o Origin, since time.Time, ok bool) {
	r := h.routes[routeName]
	s := h.services[r.value]
	if r.mixed || s.mixed || r.since.IsZero() || s.since.IsZero() {
		return Origin{}, time.Time{}, false
	}
	since = r.since
	if s.since.After(since) {
		since = s.since
	}
	return Origin{Service: r.value, Build: s.value}, since, true
}

// Extend records that the streams of a route have had the origin since the given time, as
// another instance knows. It does nothing if that is not the only origin now.
func (h *History) Extend(routeName string, o Origin, since time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if known, _, ok := h.present(routeName); !ok || known != o {
		return
	}
	h.routes[routeName] = h.routes[routeName].extend(since)
	h.services[o.Service] = h.services[o.Service].extend(since)
}

// extend returns s with an earlier start.
func (s single) extend(since time.Time) single {
	if since.Before(s.since) {
		s.since = since
	}
	return s
}
