package reservation

import (
	"sort"
	"time"
)

// Len returns the number of reservations.
func (b *Book) Len() int { return len(b.byKey) }

// List returns the reservations that can be claimed, now or later, by time.
func (b *Book) List(now time.Time) []Reservation {
	var list []Reservation
	for _, r := range b.byKey {
		if r.live(now) {
			list = append(list, *r)
		}
	}
	sortByDue(list)
	return list
}

// Due is reserved work of a priority that is due at a time.
type Due struct {
	At       time.Time
	Priority int
	OnTime   bool
	Work     time.Duration
}

// Schedule returns the reserved work at the service that can still be claimed, by time. The
// result is valid until the next change of the book.
func (b *Book) Schedule(service string, now time.Time) []Due {
	if b.schedule == nil {
		b.schedule = make(map[string][]Due)
		for _, r := range b.List(time.Time{}) {
			for _, d := range r.Demands {
				b.schedule[d.Service] = append(b.schedule[d.Service], Due{At: r.Due, Priority: r.Priority, OnTime: r.OnTime, Work: d.Work})
			}
		}
	}
	list := b.schedule[service]
	over := sort.Search(len(list), func(i int) bool { return !now.After(list[i].At.Add(ValidAfter)) })
	return list[over:]
}
