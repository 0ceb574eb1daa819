package stagework

import (
	"slices"
	"sort"
	"time"

	"lynxhill.example/lynxhill/internal/reservation"
)

// maxWaitSteps bounds the steps in which the wait for a service is extended by the reserved
// work that becomes due during the wait.
const maxWaitSteps = 4

// wait is the time until a target of the service is free for a job of the priority. It
// includes the reserved work of callers that may be back before that and rank before the job.
func (f *forecast) wait(q *serviceQueue, priority int) time.Duration {
	n := float64(max(q.healthy, 1))
	base := q.firstFree + time.Duration(q.work/n)
	if f.book == nil {
		return base
	}
	due, wait := f.reservedFor(q, priority), base
	for range maxWaitSteps {
		next := base + time.Duration(float64(dueUntil(due, f.now.Add(wait+reservation.ValidBefore)))/n)
		if next <= wait {
			break
		}
		wait = next
	}
	return wait
}

// dueWork is the sum of the reserved work that is due until a time.
type dueWork struct {
	at  time.Time
	sum time.Duration
}

// reservedKey is a service and the priority of the jobs that wait for it.
type reservedKey struct{ service, priority int }

// reservedFor returns the reserved work at the service that ranks before a job of the priority,
// by time. It is computed once for all jobs of a forecast, which ask for it several times each.
func (f *forecast) reservedFor(q *serviceQueue, priority int) []dueWork {
	key := reservedKey{q.service.number, priority}
	list, known := f.reserved[key]
	if known {
		return list
	}
	sum := time.Duration(0)
	for _, d := range f.book.Schedule(q.service.name, f.now) {
		if d.Priority <= priority && (d.OnTime || f.late) {
			sum += d.Work
			list = append(list, dueWork{d.At, sum})
		}
	}
	if f.reserved == nil {
		f.reserved = make(map[reservedKey][]dueWork)
	}
	f.reserved[key] = list
	return list
}

// dueUntil returns the work of the list that is due until the time.
func dueUntil(list []dueWork, until time.Time) time.Duration {
	n := sort.Search(len(list), func(i int) bool { return list[i].at.After(until) })
	if n == 0 {
		return 0
	}
	return list[n-1].sum
}

// reservedWork is the book whose reserved work forecasts count; nil = none.
func (p *Planner) reservedWork() *reservation.Book {
	if !p.overload.Reservations || p.reservations.book.Len() == 0 {
		return nil
	}
	return p.reservations.book
}

// acceptedForecast is the forecast of the other jobs that are to be on time and rank no lower
// than the given one by priority.
func (p *Planner) acceptedForecast(j *job, now time.Time) *forecast {
	f := p.newForecast(now)
	for _, other := range p.urgencyQueue.jobs {
		started := other.committed() && !p.overload.Shares // with shares, it runs after more urgent work
		if other != j && !other.late && (started || other.Priority <= j.Priority) {
			f.add(other)
		}
	}
	return f
}

// leftForecast is the forecast of all other jobs for one that gets only the capacity that
// on-time jobs leave (freeAfter).
func (p *Planner) leftForecast(j *job, now time.Time) *forecast {
	if p.overload.Shares {
		f := p.rankedForecast(j, now)
		f.late = true
		return f
	}
	total := p.totalForecast(now)
	f := &forecast{now: now, margin: total.margin, book: total.book, late: true, queues: slices.Clone(total.queues)}
	if _, accepted := p.jobs[j]; accepted {
		f.drop(j)
	}
	return f
}

// capacityFor returns the capacity of the services that the job needs. A stage that begins
// later than the job can wait for its service while earlier stages run.
func (p *Planner) capacityFor(j *job, f *forecast, now time.Time) map[string]reservation.Capacity {
	capacity := make(map[string]reservation.Capacity, len(j.units))
	for _, u := range j.units {
		q := f.queue(u.service)
		before := time.Duration(0)
		for _, a := range u.inputs {
			before = max(before, p.minTimeTo(a, now))
		}
		c := reservation.Capacity{PerWindow: time.Duration(q.healthy) * reservation.Window, FreeAt: now.Add(f.freeAfter(q, j.Priority) - before)}
		if known, ok := capacity[u.service.name]; ok && known.FreeAt.After(c.FreeAt) {
			c.FreeAt = known.FreeAt
		}
		capacity[u.service.name] = c
	}
	return capacity
}

// longestWait is the time until all services have capacity.
func longestWait(capacity map[string]reservation.Capacity, now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, c := range capacity {
		longest = max(longest, c.FreeAt.Sub(now))
	}
	return longest
}
