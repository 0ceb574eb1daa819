package stagework

import (
	"cmp"
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/refusallog"
)

// QueuedJobs are the jobs of one kind of request of an organisation.
type QueuedJobs struct {
	Service, Organisation, Route string // Service is that of the engines
	Priority                     int
	Waiting                      int           // without an engine
	Late                         int           // of them, not expected to be on time
	Oldest                       time.Duration // longest time that one of them has waited
	Placed                       int           // at an engine
}

type queuedKey struct {
	service, organisation, route string
	priority                     int
}

// Queued returns the jobs of all cells that have not ended, by service, priority, organisation
// and route.
func (d *Dispatcher) Queued() []QueuedJobs {
	rows := make(map[queuedKey]*QueuedJobs)
	d.mu.Lock()
	now := d.o.Clock.Now()
	for _, p := range d.planners {
		for j := range p.jobs {
			rowOf(rows, j).count(j, now)
		}
	}
	d.mu.Unlock()
	list := make([]QueuedJobs, 0, len(rows))
	for _, row := range rows {
		list = append(list, *row)
	}
	slices.SortFunc(list, func(a, b QueuedJobs) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Route, b.Route))
	})
	return list
}

func rowOf(rows map[queuedKey]*QueuedJobs, j *job) *QueuedJobs {
	key := queuedKey{j.Service, j.Organisation, j.Route, j.Priority}
	row := rows[key]
	if row == nil {
		row = &QueuedJobs{Service: j.Service, Organisation: j.Organisation, Route: j.Route, Priority: j.Priority}
		rows[key] = row
	}
	return row
}

func (row *QueuedJobs) count(j *job, now time.Time) {
	if j.engine != nil {
		row.Placed++
		return
	}
	row.Waiting++
	if j.late {
		row.Late++
	}
	row.Oldest = max(row.Oldest, now.Sub(j.arrived))
}

// countRefusal counts a refusal under its rule or, if it has none, its reason. The caller holds
// the lock.
func (d *Dispatcher) countRefusal(in *Job, r *Refusal) {
	now := d.o.Clock.Now()
	d.refusals.Add(refusallog.Key{
		Service: in.Service, Organisation: in.Organisation, Route: in.Route, Rule: cmp.Or(r.Rule, r.Reason),
	}, now, now.Add(r.RetryAfter))
}

// RecentRefusals returns the refusals of the last refusallog.Window. Their rule is that of the
// shares or, without one, the reason.
func (d *Dispatcher) RecentRefusals() []refusallog.Row {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refusals.Rows(d.o.Clock.Now())
}
