package emulator

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

// NameRepeats names a violation of a RepeatBound.
const NameRepeats = "repeats"

// RepeatBound limits the repeats at a service within any window, summed over its
// servers. A repeat is an arrival of a request beyond the first.
type RepeatBound struct {
	Ratio  float64 // repeats allowed per request
	Extra  float64 // repeats allowed in addition
	Window time.Duration
}

// arrival is a request that reached a server, whether it ran or not.
type arrival struct {
	attempt, service string
	at               time.Time
	cause            string // by which the Poison in force crashes servers under it; "" = it does not
}

// recordArrival records a client request that reached the server.
func (t *Target) recordArrival(r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if id == "" || strings.HasPrefix(r.URL.Path, "/lynxhill/") {
		return
	}
	cause := t.poison().crashingPart(r)
	if prefix := t.poison().PathPrefix; t.poison().crashesRun(r.URL.Path) {
		cause = prefix
	}
	t.options.Journal.arrived(t.options, r)
	t.options.Journal.arrive(arrival{id, t.options.Service, time.Now(), cause})
}

func (j *Journal) arrive(a arrival) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.arrivals = append(j.arrivals, a)
}

// CheckRepeats returns the worst violation of the bound at each service. Requests
// are attributed to services by the newest configuration.
func (w *World) CheckRepeats(bound RepeatBound, clients ...*Client) (found []Violation) {
	requests := make(map[string][]time.Time)
	config := w.Config()
	for _, c := range clients {
		for _, a := range c.Attempts() {
			if route := config.Route(a.Ask.Host, pathOf(a.Ask.Path)); route != nil {
				requests[route.Service] = append(requests[route.Service], a.Sent)
			}
		}
	}
	w.Journal.mu.Lock()
	arrivals := slices.Clone(w.Journal.arrivals)
	w.Journal.mu.Unlock()
	repeats, last, seen := make(map[string][]time.Time), make(map[string]string), make(map[string]bool)
	for _, a := range arrivals {
		if strings.HasPrefix(a.cause, pieceKeyCause) {
			continue // a piece, of which the bound says nothing
		}
		if key := a.service + " " + a.attempt; seen[key] {
			repeats[a.service] = append(repeats[a.service], a.at)
			last[a.service] = a.attempt
		} else {
			seen[key] = true
		}
	}
	for service, times := range repeats {
		if v, broken := bound.worstWindow(service, last[service], requests[service], times); broken {
			found = append(found, v)
		}
	}
	return found
}

// worstWindow returns the violation in the window that exceeds the bound most. As
// repeats may arrive after their requests left the window, the most requests of
// the window and of those that end half a window and a window earlier count.
func (b RepeatBound) worstWindow(service, attempt string, requests, repeats []time.Time) (v Violation, broken bool) {
	within := func(times []time.Time, end time.Time) (n int) {
		for _, at := range times {
			if !at.After(end) && at.After(end.Add(-b.Window)) {
				n++
			}
		}
		return n
	}
	maxExcess := 0.0
	for _, end := range repeats {
		requested := max(within(requests, end), within(requests, end.Add(-b.Window/2)), within(requests, end.Add(-b.Window)))
		n, allowed := within(repeats, end), b.Ratio*float64(requested)+b.Extra
		if excess := float64(n) - allowed; excess > maxExcess {
			maxExcess, broken = excess, true
			v = newViolation(NameRepeats, attempt, "%d arrivals at %s beyond the first of their request within %v, for %d requests; %.1f allowed", n, service, b.Window, requested, allowed)
		}
	}
	return v, broken
}
