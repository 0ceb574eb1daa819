package stagework

import (
	"math"
	"slices"
	"strings"

	"lynxhill.example/lynxhill/internal/control/rendezvous"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/route"
)

// minTargetsPerCell is the minimum number of targets of each service in a cell:
// with fewer, full calls alternate with long waits.
const minTargetsPerCell = 3

// Cell is a group of availability zones (short: zones) whose stage targets and
// engines one dispatcher schedules. A dispatcher's load grows with the number
// of requests and targets that it schedules, so a single instance cannot serve
// a large deployment. Results also stay within the cell's zones.
type Cell struct {
	Zones []string // zones, sorted; nil = all
	// Weight is the cell's share of the scarcest service.
	Weight float64
}

// Name identifies the cell among instances.
func (c Cell) Name() string { return strings.Join(c.Zones, ",") }

// among reports whether the cell is one of the cells.
func (c Cell) among(cells []Cell) bool {
	return slices.ContainsFunc(cells, func(o Cell) bool { return o.Name() == c.Name() })
}

// Cells groups the zones, in sorted order, into cells that have at least
// minTargetsPerCell targets of each stage service and engine service. All
// instances with the same view get the same cells. While views differ, two
// dispatchers may schedule for the same target, which only reduces efficiency.
func Cells(table *route.Table, view *fleet.View) []Cell {
	if table == nil {
		return []Cell{{Weight: 1}}
	}
	counts := countByZone(table, view)
	zones := make([]string, 0, len(counts))
	for zone := range counts {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	services := scheduledServices(table, view)
	var cells []Cell
	var zonesLeft []string
	for _, zone := range zones {
		zonesLeft = append(zonesLeft, zone)
		if hasMinTargets(counts, zonesLeft, services) {
			cells = append(cells, Cell{Zones: zonesLeft})
			zonesLeft = nil
		}
	}
	if len(cells) < 2 {
		return []Cell{{Weight: 1}}
	}
	last := &cells[len(cells)-1]
	last.Zones = append(last.Zones, zonesLeft...)
	for i := range cells {
		cells[i].Weight = capacityShare(counts, cells[i].Zones, services)
	}
	return cells
}

// countByZone counts ready targets by zone and service.
func countByZone(table *route.Table, view *fleet.View) map[string]map[string]int {
	counts := make(map[string]map[string]int)
	for name, s := range table.Services {
		if s.Pieces == nil && s.Engine == nil {
			continue
		}
		for zone, n := range view.ReadyByZone(name) {
			if counts[zone] == nil {
				counts[zone] = make(map[string]int)
			}
			counts[zone][name] = n
		}
	}
	return counts
}

// scheduledServices returns the services that are scheduled by cells and have
// ready targets, sorted.
func scheduledServices(table *route.Table, view *fleet.View) []string {
	var names []string
	for name, s := range table.Services {
		if (s.Pieces != nil || s.Engine != nil) && len(view.Ready(name)) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func total(counts map[string]map[string]int, zones []string, service string) int {
	n := 0
	for _, zone := range zones {
		n += counts[zone][service]
	}
	return n
}

func hasMinTargets(counts map[string]map[string]int, zones, services []string) bool {
	for _, s := range services {
		if total(counts, zones, s) < minTargetsPerCell {
			return false
		}
	}
	return true
}

// capacityShare is the zones' share of the service of which they have the
// smallest share.
func capacityShare(counts map[string]map[string]int, zones, services []string) float64 {
	least := 1.0
	for _, s := range services {
		all := 0
		for zone := range counts {
			all += counts[zone][s]
		}
		least = min(least, float64(total(counts, zones, s))/float64(max(all, 1)))
	}
	return least
}

// rankCells orders the cells for a key by weighted rendezvous hashing: each
// cell gets keys in proportion to its weight, and few keys move when cells
// change.
func rankCells(key string, cells []Cell) []Cell {
	score := func(c Cell) float64 {
		u := (float64(rendezvous.Score(key, c.Name())>>11) + 0.5) / (1 << 53)
		return -c.Weight / math.Log(u)
	}
	ranked := slices.Clone(cells)
	slices.SortFunc(ranked, func(a, b Cell) int {
		switch x, y := score(a), score(b); {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return strings.Compare(a.Name(), b.Name())
	})
	return ranked
}

// cellView is a view limited to the targets in the zones of a cell.
type cellView struct {
	all, limited *fleet.View // the view from which limited was derived
}

// update returns the view limited to the cell, and keeps it for the next call, which then
// examines the changes since only.
func (v *cellView) update(c Cell, all *fleet.View) *fleet.View {
	if c.Zones == nil {
		return all
	}
	v.limited = all.Within(func(t fleet.Target) bool { return slices.Contains(c.Zones, t.Zone) }, v.all, v.limited)
	v.all = all
	return v.limited
}
