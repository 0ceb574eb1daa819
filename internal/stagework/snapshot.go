package stagework

import (
	"cmp"
	"slices"
	"time"
)

// maxSnapshotEntries bounds the organisations and the routes of a service in a
// snapshot: those with the most work.
const maxSnapshotEntries = 16

// ServiceSnapshot is the recent work of a service, for operators. The work is
// target time, which decays with a time constant of 3 s.
type ServiceSnapshot struct {
	Cell, Service string
	Short         bool          // jobs were late recently for want of its targets
	Capacity      time.Duration // target time that there is
	Organisations []OrganisationSnapshot
	Routes        []RouteSnapshot
}

// OrganisationSnapshot is the work of an organisation's jobs of one priority.
type OrganisationSnapshot struct {
	Organisation string
	Priority     int
	OnTime, Late time.Duration
	Share        time.Duration // its max-min share
	Over         bool          // it is above its share
}

// RouteSnapshot is the jobs of a route, of all sizes and of its largest ones.
type RouteSnapshot struct {
	Route                            string
	Jobs, OnTime                     float64
	LargestOnTime, LargeOnTime       float64 // parts of the classes that are on time; 1 if there are none
	LargestProtected, LargeProtected bool
}

// Snapshot returns the recent work of all services with shares, by cell and
// service.
func (d *Dispatcher) Snapshot() []ServiceSnapshot {
	list := d.snapshots()
	for i := range list { // sorting thousands of organisations takes too long for the lock
		list[i].keepLargest()
	}
	slices.SortFunc(list, func(a, b ServiceSnapshot) int {
		return cmp.Or(cmp.Compare(a.Cell, b.Cell), cmp.Compare(a.Service, b.Service))
	})
	return list
}

// snapshots returns the recent work of all services in no order.
func (d *Dispatcher) snapshots() (list []ServiceSnapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.o.Clock.Now()
	for _, p := range d.planners {
		for _, v := range p.byName {
			if len(v.shares.priorities) > 0 {
				list = append(list, v.snapshot(p.cell.Name(), now))
			}
		}
	}
	return list
}

func (v *service) snapshot(cell string, now time.Time) ServiceSnapshot {
	s := ServiceSnapshot{Cell: cell, Service: v.name, Short: v.short(now), Capacity: seconds(v.shareCapacity(now))}
	for priority, k := range v.shares.priorities {
		level := k.maxMinLevel(now)
		for name, o := range k.organisations {
			o.at(now)
			s.Organisations = append(s.Organisations, OrganisationSnapshot{
				Organisation: name, Priority: priority, OnTime: seconds(o.onTime), Late: seconds(o.late),
				Share: seconds(level), Over: k.overuse(name, now) > 0,
			})
		}
	}
	for name, r := range v.shares.routes {
		all := r.all(now)
		s.Routes = append(s.Routes, RouteSnapshot{
			Route: name, Jobs: all.all(), OnTime: all.onTimeShare(),
			LargestOnTime: r.classes[sizeLargest].onTimeShare(), LargeOnTime: r.classes[sizeLarge].onTimeShare(),
			LargestProtected: r.protected(sizeLargest, now), LargeProtected: r.protected(sizeLarge, now),
		})
	}
	return s
}

// keepLargest orders the organisations and routes by their work and keeps the first ones.
func (s *ServiceSnapshot) keepLargest() {
	slices.SortFunc(s.Organisations, func(a, b OrganisationSnapshot) int {
		return cmp.Or(cmp.Compare(b.OnTime+b.Late, a.OnTime+a.Late), cmp.Compare(a.Organisation, b.Organisation), a.Priority-b.Priority)
	})
	slices.SortFunc(s.Routes, func(a, b RouteSnapshot) int {
		return cmp.Or(cmp.Compare(b.Jobs, a.Jobs), cmp.Compare(a.Route, b.Route))
	})
	s.Organisations = s.Organisations[:min(len(s.Organisations), maxSnapshotEntries)]
	s.Routes = s.Routes[:min(len(s.Routes), maxSnapshotEntries)]
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
