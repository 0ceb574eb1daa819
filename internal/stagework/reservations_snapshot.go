package stagework

import (
	"slices"
	"strings"
	"time"
)

// ReservedCallers are the reservations of one kind of request of an organisation.
type ReservedCallers struct {
	Cell, Organisation, Route string
	Callers                   int
	Next                      time.Time // when the first of them is due
}

// ReservationCounts returns the counters of reservations since the start.
func (d *Dispatcher) ReservationCounts() ReservationCounts {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all ReservationCounts
	for _, p := range d.planners {
		all = all.plus(p.reservations.counts)
	}
	return all
}

// Reservations returns the reservations that can be claimed, now or later, by cell,
// organisation and route.
func (d *Dispatcher) Reservations() []ReservedCallers {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.o.Clock.Now()
	var all []ReservedCallers
	index := make(map[ReservedCallers]int) // by cell, organisation and route
	for _, p := range d.planners {
		for _, r := range p.reservations.book.List(now) { // by time
			key := ReservedCallers{Cell: p.cell.Name(), Organisation: r.Organisation, Route: r.Route}
			at, known := index[key]
			if !known {
				at = len(all)
				index[key] = at
				key.Next = r.Due
				all = append(all, key)
			}
			all[at].Callers++
		}
	}
	slices.SortFunc(all, ReservedCallers.compare)
	return all
}

func (c ReservedCallers) compare(o ReservedCallers) int {
	if n := strings.Compare(c.Cell, o.Cell); n != 0 {
		return n
	}
	if n := strings.Compare(c.Organisation, o.Organisation); n != 0 {
		return n
	}
	return strings.Compare(c.Route, o.Route)
}
