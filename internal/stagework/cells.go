package stagework

import (
	"math"
	"slices"
	"strings"

	"lynxhill.example/lynxhill/internal/control/rendezvous"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/route"
)

// cellMin is the number of targets of each stage service that a cell has at
// least: with fewer, full calls and long waits come by turns.
const cellMin = 3

// Cell is a part of the stage targets and engines, by places, that one
// dispatcher schedules. At size no instance can schedule for all: the work of a
// dispatcher grows with what it schedules. Results also stay within the cell's
// places.
type Cell struct {
	Places []string // in order; nil = all
	// Weight is the cell's share of the scarcest stage service.
	Weight float64
}

// Name identifies the cell among instances.
func (c Cell) Name() string { return strings.Join(c.Places, ",") }

// among reports whether the cell is one of the cells.
func (c Cell) among(cells []Cell) bool {
	return slices.ContainsFunc(cells, func(o Cell) bool { return o.Name() == c.Name() })
}

// Cells divides the places, in order, into cells that have at least cellMin
// targets of each stage service and engine service. All instances with the same
// view come to the same cells; while views differ, two dispatchers may schedule
// for a target, which costs efficiency only.
func Cells(table *route.Table, view *fleet.View) []Cell {
	if table == nil {
		return []Cell{{Weight: 1}}
	}
	counts := countByPlace(table, view)
	places := make([]string, 0, len(counts))
	for place := range counts {
		places = append(places, place)
	}
	slices.Sort(places)
	services := scheduled(table, view)
	var cells []Cell
	var open []string
	for _, place := range places {
		open = append(open, place)
		if enough(counts, open, services) {
			cells = append(cells, Cell{Places: open})
			open = nil
		}
	}
	if len(cells) < 2 {
		return []Cell{{Weight: 1}}
	}
	last := &cells[len(cells)-1]
	last.Places = append(last.Places, open...)
	for i := range cells {
		cells[i].Weight = share(counts, cells[i].Places, services)
	}
	return cells
}

// countByPlace counts ready targets by place and service.
func countByPlace(table *route.Table, view *fleet.View) map[string]map[string]int {
	counts := make(map[string]map[string]int)
	for name, s := range table.Services {
		if s.Pieces == nil && s.Engine == nil {
			continue
		}
		for _, t := range view.Ready(name) {
			if counts[t.Place] == nil {
				counts[t.Place] = make(map[string]int)
			}
			counts[t.Place][name]++
		}
	}
	return counts
}

// scheduled returns the services that have targets and are scheduled.
func scheduled(table *route.Table, view *fleet.View) []string {
	var names []string
	for name, s := range table.Services {
		if (s.Pieces != nil || s.Engine != nil) && len(view.Ready(name)) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func total(counts map[string]map[string]int, places []string, service string) int {
	n := 0
	for _, place := range places {
		n += counts[place][service]
	}
	return n
}

func enough(counts map[string]map[string]int, places, services []string) bool {
	for _, s := range services {
		if total(counts, places, s) < cellMin {
			return false
		}
	}
	return true
}

// share is the places' part of the service of which they have least.
func share(counts map[string]map[string]int, places, services []string) float64 {
	least := 1.0
	for _, s := range services {
		all := 0
		for place := range counts {
			all += counts[place][s]
		}
		least = min(least, float64(total(counts, places, s))/float64(max(all, 1)))
	}
	return least
}

// rankCells orders the cells for a key by weighted rendezvous hashing: each gets
// keys in proportion to its weight, and a key stays with its cell.
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

// within returns the targets of the view in the cell's places.
func (c Cell) within(view *fleet.View) *fleet.View {
	if c.Places == nil {
		return view
	}
	var inside []fleet.Target
	for _, t := range view.All() {
		if slices.Contains(c.Places, t.Place) {
			inside = append(inside, t)
		}
	}
	return fleet.NewView(view.Revision, inside)
}
