package stagework

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/reservation"
)

// Bounds of the copies that an owner keeps of the reservations of its callers.
const (
	// maxCopies bounds the copies for one cell; the newest are kept.
	maxCopies = 256
	// maxCopiesSent bounds the copies that are sent with one job, at about 100 bytes each.
	maxCopiesSent = 32
	// maxCopyStages is the number of stages up to which a copy is kept.
	maxCopyStages = 16
)

// reservationCopies holds, by cell, the reservations that an owner's jobs were given, until
// they are over. The next dispatcher of the cell gets them with the owner's next job. It is
// safe for concurrent use.
type reservationCopies struct {
	mu     sync.Mutex // guards byCell
	byCell map[string][]reservationCopy
}

type reservationCopy struct {
	reservation.Copy
	dispatcher string // the latest instance that has the reservation
}

// keep keeps a copy of a reservation that the dispatcher made for the job's caller.
func (c *reservationCopies) keep(cell, dispatcher string, j Job, refusal *Refusal, now time.Time) {
	r := reservation.Copy{
		CallerKey: j.CallerKey, Organisation: j.Organisation, Route: j.Route, Priority: j.Priority, RoutePriority: j.RoutePriority, OnTime: refusal.ReservedOnTime, Arrived: now, Due: now.Add(refusal.RetryAfter),
	}
	if !j.Arrived.IsZero() {
		r.Arrived = j.Arrived
	}
	for i, s := range j.Stages {
		if n := j.pieces(i); n > 0 {
			r.Stages = append(r.Stages, reservation.StageWork{Service: s.Service, Pieces: n, ResultBytes: s.ResultBytes})
		}
	}
	if len(r.Stages) > maxCopyStages {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	list := slices.DeleteFunc(c.byCell[cell], func(o reservationCopy) bool { return !o.Live(now) || o.CallerKey == r.CallerKey })
	if len(list) >= maxCopies {
		list = slices.Delete(list, 0, len(list)-maxCopies+1)
	}
	if c.byCell == nil {
		c.byCell = make(map[string][]reservationCopy)
	}
	c.byCell[cell] = append(list, reservationCopy{r, dispatcher})
}

// notAt returns the cell's reservations that the dispatcher does not have, the earliest first:
// that of the caller whose job they are sent with, and others up to the bound.
func (c *reservationCopies) notAt(cell, dispatcher, caller string, now time.Time) []reservation.Copy {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []reservation.Copy
	for _, r := range c.byCell[cell] {
		if r.dispatcher != dispatcher && r.Live(now) {
			list = append(list, r.Copy)
		}
	}
	slices.SortStableFunc(list, func(a, b reservation.Copy) int {
		if first := a.CallerKey == caller; first != (b.CallerKey == caller) {
			if first {
				return -1
			}
			return 1
		}
		return a.Due.Compare(b.Due)
	})
	return list[:min(len(list), maxCopiesSent)]
}

// sent records that the dispatcher has the reservations.
func (c *reservationCopies) sent(cell, dispatcher string, list []reservation.Copy) {
	if len(list) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.byCell[cell] {
		r := &c.byCell[cell][i]
		if slices.ContainsFunc(list, func(o reservation.Copy) bool { return o.CallerKey == r.CallerKey }) {
			r.dispatcher = dispatcher
		}
	}
}

// drop drops the copy for a caller whose job was accepted.
func (c *reservationCopies) drop(cell, caller string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if list, ok := c.byCell[cell]; ok {
		c.byCell[cell] = slices.DeleteFunc(list, func(r reservationCopy) bool { return r.CallerKey == caller })
	}
}

// reservationsOn reports whether reservations are in force.
func (f *Finder) reservationsOn() bool { return f.o.Reservations != nil && f.o.Reservations() }

// withCopies adds the copies to the job that the dispatcher does not have.
func (f *Finder) withCopies(dispatcher string, job Job) Job {
	if f.reservationsOn() {
		job.Reservations = f.copies.notAt(Cell{Zones: job.Cell}.Name(), dispatcher, job.CallerKey, f.o.Clock.Now())
	}
	return job
}

// recordCopies records what the dispatcher's answer to the job says about reservations.
func (f *Finder) recordCopies(dispatcher string, job Job, refusal *Refusal, err error) {
	if err != nil || !f.reservationsOn() || refusal != nil && (refusal.Reason == ReasonNotFirst || refusal.Reason == ReasonNoTarget) {
		return
	}
	cell := Cell{Zones: job.Cell}.Name()
	f.copies.sent(cell, dispatcher, job.Reservations)
	switch {
	case job.CallerKey == "":
	case refusal == nil:
		f.copies.drop(cell, job.CallerKey)
	case refusal.Reserved:
		f.copies.keep(cell, dispatcher, job, refusal, f.o.Clock.Now())
	}
}

// KeepReservation keeps a copy of the reservation for the caller of a job that the dispatcher
// had accepted, and then refused.
func (f *Finder) KeepReservation(job Job, dispatcher string, r *Refusal) {
	cells := job.Binding.cells(f.cells())
	if job.CallerKey == "" || !f.reservationsOn() || len(cells) == 0 {
		return
	}
	job.Cell = rankCells(job.cellKey(), cells)[0].Zones
	f.recordCopies(dispatcher, job, r, nil)
}

// cellKey is the key by which cells are ranked for the job: its session or, if it has none,
// what its caller's next attempt has in common with it.
func (j *Job) cellKey() string { return cmp.Or(j.session(), j.CallerKey, j.ID) }
