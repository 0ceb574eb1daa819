// Package reservation keeps the capacity that is reserved for callers that were refused and
// told when to come back. A Book decides when that is. It performs no I/O, takes times as
// arguments, and is not safe for concurrent use.
package reservation

import (
	"slices"
	"strings"
	"time"
)

const (
	// Window is the span over which the reserved share of the capacity is bounded.
	Window = 100 * time.Millisecond
	// MaxShare is the share of a window's capacity that may be reserved. The rest is left to
	// callers that come for the first time.
	MaxShare = 0.5
	// ValidBefore and ValidAfter are how long before and after its time a reservation can be
	// claimed: callers' timers are inexact, and a new connection takes time.
	ValidBefore = 150 * time.Millisecond
	ValidAfter  = 400 * time.Millisecond
	// maxReservations bounds the reservations of a Book.
	maxReservations = 4096
	// maxWindows bounds the windows over which the work of one reservation is spread.
	maxWindows = 50
	// maxAhead bounds how far ahead an adopted reservation may be: a third of the longest
	// deadline of callers is less.
	maxAhead = 15 * time.Second
)

// Demand is work that a request needs at a service.
type Demand struct {
	Service string
	Work    time.Duration // time of the service's targets that the work takes
}

// Request asks for a time at which a refused caller may come back.
type Request struct {
	CallerKey    string // identifies the caller's work in all its attempts
	Organisation string
	Route        string
	Priority     int       // 0 is the most urgent
	Arrived      time.Time // of the caller's first attempt
	Latest       time.Time // latest useful time to come back
	// OnTime: a caller that is back by Latest is served on time. Such callers are scheduled
	// independently of those that will be late, whose times are further ahead.
	OnTime  bool
	Demands []Demand
}

// Reservation is capacity that is reserved for a caller that comes back at Due.
type Reservation struct {
	Request
	Due time.Time

	shares []share
}

// share is the part of a reservation's work that is charged to a window.
type share struct {
	service string
	window  int64
	work    time.Duration
}

// live reports whether the reservation can still be claimed, now or later.
func (r *Reservation) live(now time.Time) bool { return !now.After(r.Due.Add(ValidAfter)) }

// valid reports whether the reservation can be claimed now.
func (r *Reservation) valid(now time.Time) bool {
	return r.live(now) && !now.Before(r.Due.Add(-ValidBefore))
}

// Capacity is what a service offers.
type Capacity struct {
	PerWindow time.Duration // time of the service's targets in a window
	FreeAt    time.Time     // when the forecast has capacity for the request
}

// Book holds the reservations of the services that one dispatcher schedules.
type Book struct {
	origin   time.Time // windows are counted from it; zero = nothing has been reserved yet
	byKey    map[string]*Reservation
	byDue    []*Reservation                     // the same reservations, in the order of compareDue
	reserved map[string]map[int64]time.Duration // by service and window
	schedule map[string][]Due                   // by service, by time; including work that is no longer live
}

// New returns an empty book.
func New() *Book {
	return &Book{byKey: make(map[string]*Reservation), reserved: make(map[string]map[int64]time.Duration), schedule: make(map[string][]Due)}
}

// Offer reserves capacity for the request at the earliest possible time, and returns false if
// there is none by its latest time. Times are assigned in the order of the offers: among
// requests of one priority that need the same service and are all to be on time, or all to be
// late, none gets an earlier time than one that has a reservation. A caller that has a
// reservation which is not yet due keeps it.
func (b *Book) Offer(q Request, capacity map[string]Capacity, now time.Time) (Reservation, bool) {
	if r := b.byKey[q.CallerKey]; r != nil && now.Before(r.Due) {
		return *r, true
	}
	b.start(now)
	b.Cancel(q.CallerKey)
	earliest, ok := b.earliest(q, capacity, now)
	if !ok || q.CallerKey == "" || len(b.byKey) >= maxReservations {
		return Reservation{}, false
	}
	for at := earliest; !at.After(q.Latest); at = b.windowStart(b.windowOf(at) + 1) {
		r := &Reservation{Request: q, Due: b.within(q, capacity, at)}
		if r.Due.Before(earliest) || r.Due.After(q.Latest) || !b.allot(r, capacity) {
			continue
		}
		b.add(r)
		return *r, true
	}
	return Reservation{}, false
}

// earliest returns the earliest time that the forecast and the order of the offers permit;
// false if a service has no capacity.
func (b *Book) earliest(q Request, capacity map[string]Capacity, now time.Time) (time.Time, bool) {
	at := now
	if !servable(q.Demands, capacity) {
		return at, false
	}
	for _, d := range q.Demands {
		at = later(at, capacity[d.Service].FreeAt)
	}
	for _, d := range q.Demands {
		for _, due := range slices.Backward(b.Schedule(d.Service, now)) {
			if due.Priority == q.Priority && due.OnTime == q.OnTime {
				at = later(at, due.At)
				break
			}
		}
	}
	return at, true
}

// within returns the time for a caller in the window of at. The callers of a window are spread
// over it by the share of its capacity that is reserved.
func (b *Book) within(q Request, capacity map[string]Capacity, at time.Time) time.Time {
	window, filled := b.windowOf(at), 0.0
	for _, d := range q.Demands {
		most := float64(capacity[d.Service].PerWindow) * MaxShare
		filled = max(filled, float64(b.reserved[d.Service][window])/most)
	}
	return later(at, b.windowStart(window).Add(time.Duration(min(filled, 1)*float64(Window-time.Millisecond))))
}

// allot charges the reservation's work to windows from its time on, and reports whether it
// fits. Work that does not fit half of a window's capacity continues in the next windows.
func (b *Book) allot(r *Reservation, capacity map[string]Capacity) bool {
	r.shares = nil
	taken := make(map[string]map[int64]time.Duration)
	for _, d := range r.Demands {
		most := time.Duration(float64(capacity[d.Service].PerWindow) * MaxShare)
		if taken[d.Service] == nil {
			taken[d.Service] = make(map[int64]time.Duration)
		}
		left, first := d.Work, b.windowOf(r.Due)
		for window := first; left > 0; window++ {
			room := most - b.reserved[d.Service][window] - taken[d.Service][window]
			if window == first && room < min(left, most) || window-first >= maxWindows {
				return false
			}
			if part := min(room, left); part > 0 {
				r.shares = append(r.shares, share{d.Service, window, part})
				taken[d.Service][window] += part
				left -= part
			}
		}
	}
	return true
}

func (b *Book) add(r *Reservation) {
	b.byKey[r.CallerKey] = r
	at, _ := slices.BinarySearchFunc(b.byDue, r, compareDue)
	b.byDue = slices.Insert(b.byDue, at, r)
	for _, d := range r.Demands {
		b.insertWork(d.Service, r.due(d))
	}
	for _, s := range r.shares {
		if b.reserved[s.service] == nil {
			b.reserved[s.service] = make(map[int64]time.Duration)
		}
		b.reserved[s.service][s.window] += s.work
	}
}

// Claim ends the reservation of a caller that is back, and returns it. It returns false if
// there is none that is valid now.
func (b *Book) Claim(key string, now time.Time) (Reservation, bool) {
	r := b.byKey[key]
	if r == nil || !r.valid(now) {
		return Reservation{}, false
	}
	b.Cancel(key)
	return *r, true
}

// Cancel ends the caller's reservation, if there is one.
func (b *Book) Cancel(key string) {
	r := b.byKey[key]
	if r == nil {
		return
	}
	delete(b.byKey, key)
	at, found := slices.BinarySearchFunc(b.byDue, r, compareDue)
	if !found || b.byDue[at] != r {
		at = slices.Index(b.byDue, r)
	}
	b.byDue = slices.Delete(b.byDue, at, at+1)
	for _, d := range r.Demands {
		b.removeWork(d.Service, r.due(d))
	}
	for _, s := range r.shares {
		windows := b.reserved[s.service]
		if windows[s.window] -= s.work; windows[s.window] <= 0 {
			delete(windows, s.window)
		}
	}
}

// Expire ends the reservations that can no longer be claimed, and returns them by time.
func (b *Book) Expire(now time.Time) []Reservation {
	n := 0
	for n < len(b.byDue) && !b.byDue[n].live(now) {
		n++
	}
	over := make([]Reservation, 0, n)
	for _, r := range slices.Clone(b.byDue[:n]) {
		over = append(over, *r)
		b.Cancel(r.CallerKey)
	}
	return over
}

// Adopt takes over reservations that another dispatcher made, at their times, as far as they
// fit. It returns those that it took over. Reservations that the book has are not replaced.
func (b *Book) Adopt(list []Reservation, capacity map[string]Capacity, now time.Time) []Reservation {
	var adopted []Reservation
	b.start(now)
	for _, r := range list {
		switch {
		case r.CallerKey == "", b.byKey[r.CallerKey] != nil, len(b.byKey) >= maxReservations:
			continue
		case !r.live(now), r.Due.After(now.Add(maxAhead)):
			continue
		case !servable(r.Demands, capacity), !b.allot(&r, capacity):
			continue
		}
		b.add(&r)
		adopted = append(adopted, r)
	}
	return adopted
}

// servable reports whether there is work, and capacity for all of it.
func servable(demands []Demand, capacity map[string]Capacity) bool {
	return len(demands) > 0 && !slices.ContainsFunc(demands, func(d Demand) bool { return capacity[d.Service].PerWindow <= 0 })
}

// compareDue orders reservations by time.
func compareDue(a, b *Reservation) int {
	if c := a.Due.Compare(b.Due); c != 0 {
		return c
	}
	return strings.Compare(a.CallerKey, b.CallerKey)
}

// start sets the origin of the windows. It lies before the times of all reservations, and has
// the monotonic reading of now, which all times of the book must have: compared by the wall
// clock, their order would change when it is stepped.
func (b *Book) start(now time.Time) {
	if b.origin.IsZero() {
		b.origin = now.Add(-maxAhead - time.Duration(now.UnixNano()%int64(Window)))
	}
}

func (b *Book) windowOf(at time.Time) int64 { return int64(at.Sub(b.origin) / Window) }

func (b *Book) windowStart(window int64) time.Time {
	return b.origin.Add(time.Duration(window) * Window)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
