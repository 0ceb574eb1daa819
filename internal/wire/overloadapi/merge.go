package overloadapi

import (
	"cmp"
	"slices"
)

// Origin is an instance of which a Report has the page.
type Origin struct {
	Address  string `json:"address"`
	Instance string `json:"instance"`
	Parts    []Part `json:"parts"`
}

// Report is the pages of several instances, merged.
type Report struct {
	Instances []Origin `json:"instances"`
	Decisions
}

// Add merges the page that the instance at the address served. Rows of the same service,
// organisation and route become one.
func (r *Report) Add(address string, p Page) {
	r.Instances = append(r.Instances, Origin{Address: address, Instance: p.Instance, Parts: p.Parts})
	r.Slots = append(r.Slots, p.Slots...)
	r.Queues = merge(append(r.Queues, p.Queues...), CompareQueues, addQueue)
	r.Refusals = merge(append(r.Refusals, p.Refusals...), CompareRefusals, addRefusal)
	r.Reservations = merge(append(r.Reservations, p.Reservations...), CompareReservations, addReservations)
	r.Shares = merge(append(r.Shares, p.Shares...), compareShares, addShare)
	r.Routes = merge(append(r.Routes, p.Routes...), compareRoutes, addRoute)
	r.ReservationCounts = sum(r.ReservationCounts, p.ReservationCounts)
	r.LateByRule, r.RefusedByRule = sum(r.LateByRule, p.LateByRule), sum(r.RefusedByRule, p.RefusedByRule)
	r.Results = sum(r.Results, p.Results)
	r.OmittedRows += p.OmittedRows
}

// Keep keeps the rows of the organisation and the route. "" keeps all. Rows that have no
// organisation, or no route, stay only if none is asked for.
func (r *Report) Keep(organisation, route string) {
	keep := func(o, t string) bool {
		return (organisation == "" || o == organisation) && (route == "" || t == route)
	}
	r.Queues = slices.DeleteFunc(r.Queues, func(q Queue) bool { return !keep(q.Organisation, q.Route) })
	r.Refusals = slices.DeleteFunc(r.Refusals, func(f Refusal) bool { return !keep(f.Organisation, f.Route) })
	r.Reservations = slices.DeleteFunc(r.Reservations, func(v Reservations) bool { return !keep(v.Organisation, v.Route) })
	r.Shares = slices.DeleteFunc(r.Shares, func(s Share) bool { return organisation != "" && s.Organisation != organisation })
	r.Routes = slices.DeleteFunc(r.Routes, func(s RouteShare) bool { return route != "" && s.Route != route })
}

// CompareQueues orders by what a Queue is of.
func CompareQueues(a, b Queue) int {
	return cmp.Or(cmp.Compare(a.Decider, b.Decider), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Route, b.Route))
}

// CompareRefusals orders by what a Refusal is of.
func CompareRefusals(a, b Refusal) int {
	return cmp.Or(cmp.Compare(a.Decider, b.Decider), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Organisation, b.Organisation),
		cmp.Compare(a.Route, b.Route), cmp.Compare(a.Rule, b.Rule))
}

// CompareReservations orders by what Reservations are of.
func CompareReservations(a, b Reservations) int {
	return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Route, b.Route))
}

func compareShares(a, b Share) int {
	return cmp.Or(cmp.Compare(a.Cell, b.Cell), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Organisation, b.Organisation))
}

func compareRoutes(a, b RouteShare) int {
	return cmp.Or(cmp.Compare(a.Cell, b.Cell), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Route, b.Route))
}

func addQueue(a *Queue, b Queue) {
	a.Waiting, a.Late, a.Held = a.Waiting+b.Waiting, a.Late+b.Late, a.Held+b.Held
	a.OldestMS = max(a.OldestMS, b.OldestMS)
}

func addRefusal(a *Refusal, b Refusal) {
	a.Count += b.Count
	a.LastMS, a.UntilMS = min(a.LastMS, b.LastMS), max(a.UntilMS, b.UntilMS)
}

func addReservations(a *Reservations, b Reservations) {
	a.Callers += b.Callers
	a.NextMS = min(a.NextMS, b.NextMS)
}

// addShare adds the work that two instances have scheduled for one cell, as after a change of
// dispatcher.
func addShare(a *Share, b Share) {
	a.OnTimeMS, a.LateMS, a.ShareMS = a.OnTimeMS+b.OnTimeMS, a.LateMS+b.LateMS, a.ShareMS+b.ShareMS
	a.Short, a.Over = a.Short || b.Short, a.Over || b.Over
}

// addRoute weights the parts that are on time by the jobs.
func addRoute(a *RouteShare, b RouteShare) {
	all := a.Jobs + b.Jobs
	if all == 0 {
		return
	}
	mean := func(x, y float64) float64 { return (x*a.Jobs + y*b.Jobs) / all }
	a.OnTime, a.LargestOnTime, a.LargeOnTime = mean(a.OnTime, b.OnTime), mean(a.LargestOnTime, b.LargestOnTime), mean(a.LargeOnTime, b.LargeOnTime)
	a.Jobs = all
}

// merge sorts the list and adds rows that compare as equal.
func merge[R any](list []R, compare func(a, b R) int, add func(a *R, b R)) []R {
	slices.SortStableFunc(list, compare)
	var merged []R
	for _, row := range list {
		if n := len(merged); n > 0 && compare(merged[n-1], row) == 0 {
			add(&merged[n-1], row)
			continue
		}
		merged = append(merged, row)
	}
	return merged
}

func sum[N int | int64](a, b map[string]N) map[string]N {
	all := make(map[string]N, len(a)+len(b))
	for _, m := range []map[string]N{a, b} {
		for k, n := range m {
			all[k] += n
		}
	}
	return all
}
