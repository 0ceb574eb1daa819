package reservation

import (
	"slices"
	"sort"
	"time"
)

// Len returns the number of reservations.
func (b *Book) Len() int { return len(b.byKey) }

// List returns the reservations that can be claimed, now or later, by time.
func (b *Book) List(now time.Time) []Reservation {
	var list []Reservation
	for _, r := range b.byDue {
		if r.live(now) {
			list = append(list, *r)
		}
	}
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
	list := b.schedule[service]
	over := sort.Search(len(list), func(i int) bool { return !now.After(list[i].At.Add(ValidAfter)) })
	return list[over:]
}

// due is the entry of the schedule for one of the reservation's demands.
func (r *Reservation) due(d Demand) Due {
	return Due{At: r.Due, Priority: r.Priority, OnTime: r.OnTime, Work: d.Work}
}

func compareAt(a, b Due) int { return a.At.Compare(b.At) }

// insertWork and removeWork keep the schedule sorted. Building it anew after each change would
// cost milliseconds per refusal while thousands of reservations are held.
func (b *Book) insertWork(service string, d Due) {
	list := b.schedule[service]
	at, _ := slices.BinarySearchFunc(list, d, compareAt)
	b.schedule[service] = slices.Insert(list, at, d)
}

func (b *Book) removeWork(service string, d Due) {
	list := b.schedule[service]
	at, _ := slices.BinarySearchFunc(list, d, compareAt)
	for ; at < len(list) && list[at].At.Equal(d.At); at++ {
		if list[at] == d {
			b.schedule[service] = slices.Delete(list, at, at+1)
			return
		}
	}
}
