package slotqueue

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Snapshot is what a coordinator knows at one moment, for operators.
type Snapshot struct {
	Sessions []string          `json:"sessions"` // instances
	Services []ServiceSnapshot `json:"services"`
}

// ServiceSnapshot is the state of one shard of a service.
type ServiceSnapshot struct {
	Service  string            `json:"service"`
	Shard    int               `json:"shard"`
	Slots    int               `json:"slots"`
	Used     int               `json:"used"`
	MeanPace float64           `json:"mean_pace"`
	WorkMS   float64           `json:"work_ms"`  // typical, at the usual pace
	Demand   float64           `json:"demand"`   // slots' worth of work that arrives, also what is refused
	Capacity float64           `json:"capacity"` // slots' worth of work that can be done
	Targets  []TargetSnapshot  `json:"targets"`
	Waiting  []WaitingSnapshot `json:"waiting"`
	Held     []HeldSnapshot    `json:"held"`
	Refusals []RefusalSnapshot `json:"refusals"`
}

// TargetSnapshot is the state of a target.
type TargetSnapshot struct {
	ID        string    `json:"id"`
	State     string    `json:"state"` // "ready", "draining", "cold", "backoff", "probing" or "gone"
	Until     time.Time `json:"until,omitzero"`
	Slots     int       `json:"slots"`
	Used      int       `json:"used"`
	Foreign   int       `json:"foreign"` // slots that others use
	BodyBytes int64     `json:"body_bytes"`
	Pace      float64   `json:"pace"` // last stated
	PaceAgeMS int64     `json:"pace_age_ms"`
}

// WaitingSnapshot counts the waiting requests of one organisation and route.
type WaitingSnapshot struct {
	Organisation string `json:"organisation"`
	Route        string `json:"route"`
	Priority     int    `json:"priority"`
	Count        int    `json:"count"`
	Late         int    `json:"late"` // of them, not expected to be on time
	OldestMS     int64  `json:"oldest_ms"`
}

// HeldSnapshot counts the slots that the requests of one organisation and route use. Of slots
// that were adopted, neither is known.
type HeldSnapshot struct {
	Organisation string `json:"organisation"`
	Route        string `json:"route"`
	Slots        int    `json:"slots"`
}

// RefusalSnapshot counts the refusals of one organisation and route by one rule in the last
// refusallog.Window.
type RefusalSnapshot struct {
	Organisation string    `json:"organisation"`
	Route        string    `json:"route"`
	Rule         string    `json:"rule"`
	Count        int       `json:"count"`
	Last         time.Time `json:"last"`
	Until        time.Time `json:"until"` // latest time at which one of them was told to come back
}

func (q *queue) snapshot(now time.Time) ServiceSnapshot {
	s := ServiceSnapshot{
		Service: q.service, Shard: q.shard, MeanPace: q.paces.meanPace(),
		WorkMS: float64(q.work.typical("").Microseconds()) / 1000, Capacity: q.capacity(now), Demand: q.demand(now),
	}
	for _, t := range q.order {
		s.Targets = append(s.Targets, t.snapshot(now))
		s.Slots += t.slots
		s.Used += t.used
	}
	s.Waiting = q.waitingSnapshot(now)
	s.Held = q.heldSnapshot()
	for _, r := range q.refusals.Rows(now) {
		s.Refusals = append(s.Refusals, RefusalSnapshot{r.Organisation, r.Route, r.Rule, r.Count, r.Last, r.Until})
	}
	return s
}

func (t *target) snapshot(now time.Time) TargetSnapshot {
	s := TargetSnapshot{ID: t.ID, State: "ready", Slots: t.slots, Used: t.used, Foreign: t.foreign.slots(now), BodyBytes: t.bytes, Pace: t.pace.last.pace}
	if t.pace.last.pace > 0 {
		s.PaceAgeMS = now.Sub(t.pace.last.at).Milliseconds()
	}
	switch {
	case !t.listed:
		s.State = "gone"
	case t.Draining:
		s.State = "draining"
	case now.Before(t.until):
		s.State, s.Until = "backoff", t.until
	case t.probing:
		s.State = "probing"
	case t.Cold(now):
		s.State, s.Until = "cold", t.ColdUntil
	}
	return s
}

func (q *queue) waitingSnapshot(now time.Time) []WaitingSnapshot {
	type key struct {
		organisation, route string
		priority            int
	}
	rows := make(map[key]*WaitingSnapshot)
	for _, w := range q.waiting {
		k := key{w.Organisation, w.Route, w.Priority}
		row := rows[k]
		if row == nil {
			row = &WaitingSnapshot{Organisation: w.Organisation, Route: w.Route, Priority: w.Priority}
			rows[k] = row
		}
		row.Count++
		if w.latestStart.Before(now) {
			row.Late++
		}
		row.OldestMS = max(row.OldestMS, now.Sub(w.arrived).Milliseconds())
	}
	list := make([]WaitingSnapshot, 0, len(rows))
	for _, row := range rows {
		list = append(list, *row)
	}
	slices.SortFunc(list, func(a, b WaitingSnapshot) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), strings.Compare(a.Organisation, b.Organisation), strings.Compare(a.Route, b.Route))
	})
	return list
}

func (q *queue) heldSnapshot() []HeldSnapshot {
	rows := make(map[HeldSnapshot]int)
	for _, g := range q.grants {
		rows[HeldSnapshot{Organisation: g.organisation, Route: g.route}]++
	}
	list := make([]HeldSnapshot, 0, len(rows))
	for row, n := range rows {
		row.Slots = n
		list = append(list, row)
	}
	slices.SortFunc(list, func(a, b HeldSnapshot) int {
		return cmp.Or(strings.Compare(a.Organisation, b.Organisation), strings.Compare(a.Route, b.Route))
	})
	return list
}
