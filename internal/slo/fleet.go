package slo

import (
	"expvar"
	"sort"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/gossip"
)

// Limits on the data kept about other instances, and sizes of digests. With
// 370 instances and 9 profiles there are 3,330 cells of 61 windows.
const (
	maxFleetCells = 8192
	// repeatedWindows is how many windows a digest repeats: the counts of the
	// newest window still grow, and without the repeat a lost heartbeat would
	// lose the window before it.
	repeatedWindows = 2
	// burnRowBytes is the estimated size of a row without its profile's name.
	burnRowBytes = 20
)

// FleetRow is the attainment of a profile over all instances, computed from
// the heartbeats received so far.
type FleetRow struct {
	Profile    string  `json:"profile"`
	Objective  float64 `json:"objective"`
	Total      uint64  `json:"total"`
	Missed     uint64  `json:"missed"`
	Attainment float64 `json:"attainment"`
	BurnShort  float64 `json:"burn_short"`
	BurnLong   float64 `json:"burn_long"`
	Instances  int     `json:"instances"` // that reported the profile, this one included
}

// fleet is the tracker's part of the heartbeats. Each instance sends its own
// absolute counts per window (a minute by default), so digests are idempotent
// and may arrive out of order. Instances do not relay the counts of others.
type fleet struct {
	tracker *Tracker
	dropped *expvar.Int

	mu       sync.Mutex // guards cells and lastSent
	cells    map[fleetKey]*ring[fleetCounts]
	lastSent map[string]int64 // start of the newest window sent (Unix seconds), by receiver
}

type fleetKey struct {
	instance string
	profile  string
}

type fleetCounts struct {
	total  uint64
	missed uint64
}

func newFleet(t *Tracker, dropped *expvar.Int) *fleet {
	return &fleet{
		tracker:  t,
		dropped:  dropped,
		cells:    make(map[fleetKey]*ring[fleetCounts]),
		lastSent: make(map[string]int64),
	}
}

// Gossip returns the tracker's part of the heartbeats.
func (t *Tracker) Gossip() gossip.Participant { return t.fleet }

// Fill implements gossip.Participant. It adds this instance's counts of the windows
// that have not been sent to the receiver yet, newest first.
func (f *fleet) Fill(digest *gossip.Digest, to string, budget int) int {
	now := f.tracker.clock.Now()
	rows := f.tracker.ownBurn(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.lastSent) > maxFleetCells {
		clear(f.lastSent) // removes receivers that left; the others get one full digest each
	}
	since := f.lastSent[to] - int64(repeatedWindows*f.step()/time.Second)
	used := 0
	for _, row := range rows {
		size := burnRowBytes + len(row.Profile)
		if row.Window < since || used+size > budget {
			break
		}
		used += size
		digest.Burn = append(digest.Burn, row)
		f.lastSent[to] = max(f.lastSent[to], row.Window)
	}
	return used
}

// Absorb implements gossip.Participant.
func (f *fleet) Absorb(digest gossip.Digest) {
	if digest.From == "" || digest.From == f.tracker.instance {
		return
	}
	now := f.tracker.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, row := range digest.Burn {
		f.absorb(now, fleetKey{digest.From, row.Profile}, row)
	}
}

func (f *fleet) absorb(now time.Time, key fleetKey, row gossip.Burn) {
	at := time.Unix(row.Window, 0)
	if age := now.Sub(at); age > f.tracker.windows.Long+f.step() || age < -f.step() {
		return // expired, or from an instance whose clock is wrong
	}
	cell := f.cells[key]
	if cell == nil {
		if len(f.cells) >= maxFleetCells {
			f.deleteIdleCells(now)
		}
		if len(f.cells) >= maxFleetCells {
			f.dropped.Add(1)
			return
		}
		cell = newRing[fleetCounts](f.tracker.windows.Long, countSteps)
		f.cells[key] = cell
	}
	counts := cell.at(at)
	if row.Total >= counts.total { // a delayed digest must not lower the counts
		*counts = fleetCounts{total: row.Total, missed: row.Missed}
	}
}

// step returns the length of one window of a digest. It is derived from the
// long burn window, so it is the same on all instances.
func (f *fleet) step() time.Duration { return f.tracker.windows.Long / countSteps }

// deleteIdleCells deletes the cells without requests in the long window.
func (f *fleet) deleteIdleCells(now time.Time) {
	for key, cell := range f.cells {
		if sum := sumFleet(cell, now, f.tracker.windows.Long); sum.total == 0 {
			delete(f.cells, key)
		}
	}
}

func sumFleet(r *ring[fleetCounts], now time.Time, window time.Duration) fleetCounts {
	var sum fleetCounts
	r.each(now, window, func(_ time.Time, c *fleetCounts) {
		sum.total += c.total
		sum.missed += c.missed
	})
	return sum
}

// ownBurn returns this instance's counts by profile and window, newest first.
func (t *Tracker) ownBurn(now time.Time) []gossip.Burn {
	var rows []gossip.Burn
	for i := range t.profiles {
		s := &t.profiles[i]
		s.mu.Lock()
		for name, c := range s.byName {
			rows = append(rows, burnRows(name, c, now, t.windows.Long)...)
		}
		s.mu.Unlock()
	}
	sort.Slice(rows, func(i, j int) bool {
		if rows[i].Window != rows[j].Window {
			return rows[i].Window > rows[j].Window
		}
		return rows[i].Profile < rows[j].Profile
	})
	return rows
}

func burnRows(name string, c *profileCell, now time.Time, window time.Duration) []gossip.Burn {
	var rows []gossip.Burn
	c.counts.each(now, window, func(start time.Time, sum *counts) {
		if sum.total == 0 {
			return
		}
		rows = append(rows, gossip.Burn{Profile: name, Window: start.Unix(), Total: sum.total, Missed: sum.missed})
	})
	return rows
}

// Fleet returns the attainment of every profile over all instances whose
// heartbeats this one has received, sorted by profile. The figures may lag
// behind, and lack the counts of lost digests; Merge of the instances' reports
// is exact.
func (t *Tracker) Fleet() []FleetRow {
	now := t.clock.Now()
	rows := make(map[string]*fleetSums)
	for _, own := range t.ownBurn(now) {
		sumsOf(rows, own.Profile).add(t, now, own)
	}
	for name := range rows {
		rows[name].instances = 1
	}
	t.fleet.addTo(rows, now)
	all := make([]FleetRow, 0, len(rows))
	for name, sums := range rows {
		all = append(all, sums.row(name, t.objective(name)))
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Profile < all[j].Profile })
	return all
}

// fleetSums are the counts of a profile over the short and the long window.
type fleetSums struct {
	short     fleetCounts
	long      fleetCounts
	instances int
}

func sumsOf(rows map[string]*fleetSums, profile string) *fleetSums {
	if rows[profile] == nil {
		rows[profile] = &fleetSums{}
	}
	return rows[profile]
}

func (s *fleetSums) add(t *Tracker, now time.Time, row gossip.Burn) {
	s.long.total += row.Total
	s.long.missed += row.Missed
	if now.Sub(time.Unix(row.Window, 0)) <= t.windows.Short+t.fleet.step() {
		s.short.total += row.Total
		s.short.missed += row.Missed
	}
}

func (f *fleet) addTo(rows map[string]*fleetSums, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, cell := range f.cells {
		long := sumFleet(cell, now, f.tracker.windows.Long)
		if long.total == 0 {
			continue
		}
		short := sumFleet(cell, now, f.tracker.windows.Short)
		sums := sumsOf(rows, key.profile)
		sums.long.total += long.total
		sums.long.missed += long.missed
		sums.short.total += short.total
		sums.short.missed += short.missed
		sums.instances++
	}
}

func (s *fleetSums) row(profile string, objective float64) FleetRow {
	return FleetRow{
		Profile:    profile,
		Objective:  objective,
		Total:      s.long.total,
		Missed:     s.long.missed,
		Attainment: 1 - missRate(s.long),
		BurnShort:  missRate(s.short) / (1 - objective),
		BurnLong:   missRate(s.long) / (1 - objective),
		Instances:  s.instances,
	}
}

func missRate(c fleetCounts) float64 {
	if c.total == 0 {
		return 0
	}
	return float64(c.missed) / float64(c.total)
}

func (t *Tracker) fleetAttainment() map[string]float64 {
	attainment := make(map[string]float64)
	for _, row := range t.Fleet() {
		attainment[row.Profile] = row.Attainment
	}
	return attainment
}
