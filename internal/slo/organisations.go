package slo

import (
	"expvar"
	"sort"
	"sync"
	"time"
)

// organisationShard holds the organisations whose names hash to it, at most
// twice limit of them. With 19,000 organisations, one row for each would take
// 19,000 rings in each instance, for organisations that send one request an
// hour. When the table is full, half of the rows are folded into one row,
// "other"; the organisations with the most misses and those with the most
// requests keep their rows. A folded organisation that sends requests again
// gets a new row, which then counts too little; the sum over all rows stays
// exact.
type organisationShard struct {
	limit   int
	windows Windows
	folded  *expvar.Int

	mu     sync.Mutex // guards byName, other and the cells
	byName map[string]*cell
	other  *cell
}

func newOrganisationShard(limit int, w Windows, folded *expvar.Int) organisationShard {
	return organisationShard{
		limit:   limit,
		windows: w,
		folded:  folded,
		byName:  make(map[string]*cell),
		other:   newCell(w, organisationSteps),
	}
}

func (s *organisationShard) observe(now time.Time, name string, o observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.byName[name]
	if c == nil {
		if len(s.byName) >= 2*s.limit {
			s.trim(now)
		}
		c = newCell(s.windows, organisationSteps)
		s.byName[name] = c
	}
	c.observe(now, o)
}

// ranked is an organisation with the counts by which it is ranked.
type ranked struct {
	name string
	sum  counts
}

// trim keeps at most limit organisations and folds the others into other.
func (s *organisationShard) trim(now time.Time) {
	all := make([]ranked, 0, len(s.byName))
	for name, c := range s.byName {
		all = append(all, ranked{name: name, sum: sumOf(c.counts, now, s.windows.Long)})
	}
	keep := make(map[string]bool, s.limit)
	sort.Slice(all, func(i, j int) bool { return moreMisses(all[i], all[j]) })
	for _, r := range all[:min(len(all), (s.limit+1)/2)] {
		keep[r.name] = true
	}
	sort.Slice(all, func(i, j int) bool { return moreRequests(all[i], all[j]) })
	for _, r := range all {
		if len(keep) >= s.limit {
			break
		}
		keep[r.name] = true
	}
	for _, r := range all {
		if !keep[r.name] {
			s.fold(r.name, now)
		}
	}
}

func (s *organisationShard) fold(name string, now time.Time) {
	c := s.byName[name]
	delete(s.byName, name)
	fold(s.other.counts, c.counts, now)
	c.times.each(now, s.windows.Long, func(start time.Time, times *sketches) {
		s.other.times.at(start).merge(*times)
	})
	s.folded.Add(1)
}

// moreMisses and moreRequests break ties by name, so that the order does not
// depend on the iteration order of the map.
func moreMisses(a, b ranked) bool {
	if a.sum.missed != b.sum.missed {
		return a.sum.missed > b.sum.missed
	}
	return moreRequests(a, b)
}

func moreRequests(a, b ranked) bool {
	if a.sum.total != b.sum.total {
		return a.sum.total > b.sum.total
	}
	return a.name < b.name
}
