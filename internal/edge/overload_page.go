package edge

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/config"
	"lynxhill.example/lynxhill/internal/slotqueue"
	"lynxhill.example/lynxhill/internal/stagework"
	"lynxhill.example/lynxhill/internal/wire/overloadapi"
)

// serveOverload serves the page of the overload control. It is encoded before the first byte is
// sent, from copies, so that a slow reader holds nothing up.
func (i *Instance) serveOverload(w http.ResponseWriter, _ *http.Request) {
	var text bytes.Buffer
	if err := json.NewEncoder(&text).Encode(i.overloadPage()); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text.Bytes())
}

func (i *Instance) overloadPage() overloadapi.Page {
	now := i.o.Clock.Now()
	b := pageBuilder{now: now}
	b.page.Instance, b.page.Parts = i.id(), i.overloadParts()
	b.addSlots(i.slots.coordinator.Snapshot())
	b.addQueues(i.dispatcher.Queued())
	for _, r := range i.dispatcher.RecentRefusals() {
		b.page.Refusals = append(b.page.Refusals, overloadapi.Refusal{
			Decider: overloadapi.Dispatcher, Service: r.Service, Organisation: r.Organisation, Route: r.Route, Rule: r.Rule,
			Count: r.Count, LastMS: b.since(r.Last), UntilMS: b.until(r.Until),
		})
	}
	b.addReservations(i.dispatcher.Reservations())
	b.addShares(i.dispatcher.Snapshot())
	counts := i.dispatcher.ShareCounts()
	b.page.LateByRule, b.page.RefusedByRule = counts.Late, counts.Refused
	b.page.ReservationCounts, b.page.Results = reservationValues(i.dispatcher.ReservationCounts()), i.dispatcher.ResultCounts().Number
	b.bound()
	return b.page
}

// overloadParts tells which parts of the overload control are in force, and why.
func (i *Instance) overloadParts() []overloadapi.Part {
	settings, o := i.inForce.Load().Overload, i.overload.inForce()
	scarce, paced := i.adapter.ScarceCapacity, i.overload.paced.Load()
	parts := []overloadapi.Part{
		{Name: overloadapi.PartReservations, InForce: o.Reservations, Setting: string(modeOf(settings.Reservations)), Why: why(settings.Reservations, scarce, paced)},
		{Name: overloadapi.PartShares, InForce: o.Shares, Setting: string(modeOf(settings.Shares)), Why: why(settings.Shares, scarce, paced)},
	}
	for _, service := range i.slots.services() {
		setting, paced, enabled := i.slots.inForce(service)
		parts = append(parts, overloadapi.Part{
			Name: overloadapi.PartSlotQueue, Service: service, InForce: enabled, Setting: string(modeOf(setting)), Why: why(setting, false, paced),
		})
	}
	return parts[:min(len(parts), overloadapi.MaxRows)]
}

func why(m config.Mode, scarce, paced bool) overloadapi.Why {
	switch {
	case modeOf(m) != config.Auto:
		return overloadapi.WhySetting
	case scarce && paced:
		return overloadapi.WhyBoth
	case scarce:
		return overloadapi.WhyScarce
	case paced:
		return overloadapi.WhyPaced
	}
	return overloadapi.WhyNeither
}

// services returns the plain services that this instance has sent requests to or coordinates.
func (s *slots) services() []string {
	known := make(map[string]bool)
	for _, shard := range s.coordinator.Snapshot().Services {
		known[shard.Service] = true
	}
	for service := range s.values() {
		known[service] = true
	}
	return slices.Sorted(maps.Keys(known))
}

// pageBuilder builds a page from snapshots.
type pageBuilder struct {
	now  time.Time
	page overloadapi.Page
}

func (b *pageBuilder) since(t time.Time) int64 { return b.now.Sub(t).Milliseconds() }
func (b *pageBuilder) until(t time.Time) int64 { return t.Sub(b.now).Milliseconds() }

func (b *pageBuilder) addSlots(snapshot slotqueue.Snapshot) {
	for _, s := range snapshot.Services {
		states := make(map[string]int)
		for _, t := range s.Targets {
			states[t.State]++
		}
		b.page.Slots = append(b.page.Slots, overloadapi.Slots{
			Service: s.Service, Shard: s.Shard, Sessions: len(snapshot.Sessions), Slots: s.Slots, Used: s.Used,
			MeanPace: s.MeanPace, Demand: s.Demand, Capacity: s.Capacity, Targets: states,
		})
		b.addSlotQueue(s)
		for _, r := range s.Refusals {
			b.page.Refusals = append(b.page.Refusals, overloadapi.Refusal{
				Decider: overloadapi.Coordinator, Service: s.Service, Organisation: r.Organisation, Route: r.Route, Rule: r.Rule,
				Count: r.Count, LastMS: b.since(r.Last), UntilMS: b.until(r.Until),
			})
		}
	}
}

func (b *pageBuilder) addSlotQueue(s slotqueue.ServiceSnapshot) {
	type key struct{ organisation, route string }
	rows := make(map[key]*overloadapi.Queue)
	row := func(organisation, route string) *overloadapi.Queue {
		k := key{organisation, route}
		if rows[k] == nil {
			rows[k] = &overloadapi.Queue{Decider: overloadapi.Coordinator, Service: s.Service, Organisation: organisation, Route: route}
		}
		return rows[k]
	}
	for _, w := range s.Waiting {
		r := row(w.Organisation, w.Route)
		r.Waiting, r.Late, r.OldestMS = r.Waiting+w.Count, r.Late+w.Late, max(r.OldestMS, w.OldestMS)
	}
	for _, h := range s.Held {
		row(h.Organisation, h.Route).Held += h.Slots
	}
	for _, r := range rows {
		b.page.Queues = append(b.page.Queues, *r)
	}
}

func (b *pageBuilder) addQueues(list []stagework.QueuedJobs) {
	for _, q := range list {
		b.page.Queues = append(b.page.Queues, overloadapi.Queue{
			Decider: overloadapi.Dispatcher, Service: q.Service, Organisation: q.Organisation, Route: q.Route,
			Waiting: q.Waiting, Late: q.Late, OldestMS: q.Oldest.Milliseconds(), Held: q.Placed,
		})
	}
}

func (b *pageBuilder) addReservations(list []stagework.ReservedCallers) {
	for _, c := range list {
		b.page.Reservations = append(b.page.Reservations, overloadapi.Reservations{
			Organisation: c.Organisation, Route: c.Route, Callers: c.Callers, NextMS: b.until(c.Next),
		})
	}
}

func (b *pageBuilder) addShares(list []stagework.ServiceSnapshot) {
	for _, s := range list {
		for _, o := range s.Organisations {
			b.page.Shares = append(b.page.Shares, overloadapi.Share{
				Cell: s.Cell, Service: s.Service, Short: s.Short, Organisation: o.Organisation, Priority: o.Priority,
				OnTimeMS: o.OnTime.Milliseconds(), LateMS: o.Late.Milliseconds(), ShareMS: o.Share.Milliseconds(), Over: o.Over,
			})
		}
		for _, r := range s.Routes {
			b.page.Routes = append(b.page.Routes, overloadapi.RouteShare{
				Cell: s.Cell, Service: s.Service, Route: r.Route, Jobs: r.Jobs,
				OnTime: r.OnTime, LargestOnTime: r.LargestOnTime, LargeOnTime: r.LargeOnTime,
			})
		}
	}
}

// bound keeps the rows of each list that matter most. Of shares and routes, the dispatcher has
// chosen those with the most work of each service.
func (b *pageBuilder) bound() {
	p := &b.page
	p.OmittedRows += keep(&p.Queues, func(a, b overloadapi.Queue) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(b.Held, a.Held), overloadapi.CompareQueues(a, b))
	})
	p.OmittedRows += keep(&p.Refusals, func(a, b overloadapi.Refusal) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), overloadapi.CompareRefusals(a, b))
	})
	p.OmittedRows += keep(&p.Reservations, func(a, b overloadapi.Reservations) int {
		return cmp.Or(cmp.Compare(b.Callers, a.Callers), overloadapi.CompareReservations(a, b))
	})
	p.OmittedRows += keep(&p.Slots, nil) + keep(&p.Shares, nil) + keep(&p.Routes, nil)
}

// keep sorts the list and keeps its first rows. It returns the number of the others.
func keep[R any](list *[]R, compare func(a, b R) int) (omitted int) {
	if compare != nil {
		slices.SortFunc(*list, compare)
	}
	kept := min(len(*list), overloadapi.MaxRows)
	omitted = len(*list) - kept
	*list = (*list)[:kept]
	return omitted
}
