package emulator

import (
	"net/http"
	"slices"
	"sync"
	"time"
)

// Names of broken promises about servers that are to be spared.
const (
	NameEvacuated = "evacuated" // a server of an evacuated zone got a request
	NameCold      = "cold"      // a cold server got more requests in a second than it bears
)

// spared counts what a server gets while it is cold, and knows whether it is to
// get nothing at all.
type spared struct {
	mu        sync.Mutex
	bound     int         // requests in a second while cold; 0 = not bounded
	countFrom time.Time   // requests are counted from then on
	coldUntil time.Time   // zero = it was never cold
	arrived   []time.Time // within the last second
	barredBy  time.Time   // from then on it is to get nothing; zero = it may
	most      int         // in a second while cold
}

// spare records a request, and breaches of what the server is to get.
func (t *Target) spare(r *http.Request) {
	s, now := &t.spared, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.Header.Get("Attempt-Id")
	if !s.barredBy.IsZero() && now.After(s.barredBy) && r.Method == http.MethodPost && r.URL.Path != "/lynxhill/stage-free" {
		t.options.Journal.violate(NameEvacuated, id, "%s at %s, %v after the bound", r.URL.Path, t.options.Instance, now.Sub(s.barredBy))
	}
	if s.bound == 0 || now.Before(s.countFrom) || now.After(s.coldUntil) || id == "" {
		return
	}
	s.arrived = append(slices.DeleteFunc(s.arrived, func(at time.Time) bool { return now.Sub(at) >= time.Second }), now)
	s.most = max(s.most, len(s.arrived))
	if len(s.arrived) > s.bound {
		t.options.Journal.violate(NameCold, id, "%d requests in a second at %s, which is cold and bears %d", len(s.arrived), t.options.Instance, s.bound)
	}
}

// MostWhileCold is the largest number of requests in a second that the server
// got while it was cold.
func (t *Target) MostWhileCold() int {
	t.spared.mu.Lock()
	defer t.spared.mu.Unlock()
	return t.spared.most
}

// Evacuate orders that the servers of a zone get nothing more; what comes later
// than the bound is recorded as a breach.
func (w *World) Evacuate(zone string, within time.Duration) error {
	w.changeMu.Lock() // an order acknowledged during the outage of a drill would be lost when the copy is restored
	defer w.changeMu.Unlock()
	w.order(zone, true)
	_, err := w.Store.Put("evacuations", zone, struct{}{})
	by := time.Now().Add(within)
	w.inZone(zone, func(s *Server) { s.bar(by) })
	return err
}

// TakeBack ends the evacuation of a zone.
func (w *World) TakeBack(zone string) {
	w.changeMu.Lock()
	defer w.changeMu.Unlock()
	w.inZone(zone, func(s *Server) { s.bar(time.Time{}) })
	w.order(zone, false)
	w.Store.Delete("evacuations", zone)
}

// order notes what the operator ordered last.
func (w *World) order(zone string, evacuated bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evacuated[zone] = evacuated
}

func (w *World) inZone(zone string, do func(*Server)) {
	for _, s := range w.Servers("") {
		if s.Zone == zone {
			do(s)
		}
	}
}

func (t *Target) bar(by time.Time) {
	t.spared.mu.Lock()
	defer t.spared.mu.Unlock()
	t.spared.barredBy = by
}

// Cool makes a server cold for a while, as its entry tells at once. bound is the
// number of requests in a second above which it counts as broken; those of the
// first moments, until the instances have heard, are not counted.
func (w *World) Cool(id string, d, first time.Duration, bound int) error {
	w.mu.Lock()
	s := w.servers[id]
	w.mu.Unlock()
	if s != nil {
		s.spared.mu.Lock()
		s.spared.bound, s.spared.countFrom, s.spared.coldUntil = bound, time.Now().Add(first), time.Now().Add(d)
		s.spared.mu.Unlock()
	}
	w.after(d, func() { _ = w.announce(id, func(e *serverEntry) { e.ColdRemainingMs = 0 }) })
	return w.announce(id, func(e *serverEntry) { e.ColdRemainingMs = int(d.Milliseconds()) })
}
