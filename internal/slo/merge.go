package slo

import (
	"slices"
	"sort"
	"time"

	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// Merge combines the reports of several instances. Counts add up exactly, and
// quantiles come from the merged sketches, so the result equals the report of
// one instance that had counted all requests. Merged reports can be merged
// again. The limits on the lists apply to the result too: the lowest-ranking
// organisations beyond the limit are combined into the row "other".
func Merge(reports []lynxapi.BurnReport) lynxapi.BurnReport {
	var all lynxapi.BurnReport
	for _, r := range reports {
		if all.Instance == "" {
			all.Instance = r.Instance
		}
		if r.At.After(all.At) {
			all.At = r.At
		}
		all.Instances += r.Instances
		all.Missing = append(all.Missing, r.Missing...)
		all.WindowS = max(all.WindowS, r.WindowS)
		all.ShortS = max(all.ShortS, r.ShortS)
		all.LongS = max(all.LongS, r.LongS)
		all.Rows = append(all.Rows, r.Rows...)
		all.Causes = append(all.Causes, r.Causes...)
		all.Costs = append(all.Costs, r.Costs...)
		all.Series = append(all.Series, r.Series...)
	}
	slices.Sort(all.Missing)
	all.Missing = slices.Compact(all.Missing)
	return finish(all)
}

type rowKey struct {
	scope string
	name  string
}

// mergeBy adds up rows with the same key. The result is in the order in which
// the keys first occur.
func mergeBy[K comparable, R any](rows []R, keyOf func(R) K, add func(sum *R, row R)) []R {
	at := make(map[K]int, len(rows))
	var merged []R
	for _, row := range rows {
		key := keyOf(row)
		i, known := at[key]
		if !known {
			at[key] = len(merged)
			merged = append(merged, row)
			continue
		}
		add(&merged[i], row)
	}
	return merged
}

func mergeRows(rows []lynxapi.BurnRow) []lynxapi.BurnRow {
	return mergeBy(rows, func(row lynxapi.BurnRow) rowKey { return rowKey{row.Scope, row.Name} }, addRow)
}

// addRow adds the counts and sketches of row to sum; finish computes the
// derived figures.
func addRow(sum *lynxapi.BurnRow, row lynxapi.BurnRow) {
	sum.Total += row.Total
	sum.Attained += row.Attained
	sum.Excluded += row.Excluded
	sum.Allowed += row.Allowed
	sum.Short = addWindows(sum.Short, row.Short)
	sum.Long = addWindows(sum.Long, row.Long)
	sum.LatencySketch = addSketches(sum.LatencySketch, row.LatencySketch)
	sum.FirstSketch = addSketches(sum.FirstSketch, row.FirstSketch)
}

func addWindows(a, b lynxapi.BurnWindow) lynxapi.BurnWindow {
	return lynxapi.BurnWindow{Total: a.Total + b.Total, Missed: a.Missed + b.Missed, Allowed: a.Allowed + b.Allowed}
}

func addSketches(a, b []byte) []byte {
	if len(b) == 0 {
		return a
	}
	sum := decodeSketch(a)
	mergeInto(&sum, decodeSketch(b))
	return encodeSketch(sum)
}

// boundOrganisations keeps the organisations that sort first by misses and
// then by requests, and combines the rest into the row "other".
func boundOrganisations(rows []lynxapi.BurnRow) []lynxapi.BurnRow {
	var organisations, kept []lynxapi.BurnRow
	other := lynxapi.BurnRow{Scope: ScopeOrganisation, Name: NameOther}
	for _, row := range rows {
		switch {
		case row.Scope != ScopeOrganisation:
			kept = append(kept, row)
		case row.Name == NameOther:
			addRow(&other, row)
		default:
			organisations = append(organisations, row)
		}
	}
	sortRows(organisations)
	for i, row := range organisations {
		if i < maxReportOrganisations {
			kept = append(kept, row)
			continue
		}
		addRow(&other, row)
	}
	if other.Total+other.Excluded+other.Long.Total > 0 {
		kept = append(kept, other)
	}
	return kept
}

// scopeOrder is the sort order of the scopes in a report.
var scopeOrder = map[string]int{ScopeProfile: 0, ScopeZone: 1, ScopeOrganisation: 2}

// sortRows sorts profiles and zones by name, and organisations by misses and
// then by requests, both descending, with "other" last.
func sortRows(rows []lynxapi.BurnRow) {
	sort.Slice(rows, func(i, j int) bool { return rowBefore(rows[i], rows[j]) })
}

func rowBefore(a, b lynxapi.BurnRow) bool {
	if a.Scope != b.Scope {
		return scopeOrder[a.Scope] < scopeOrder[b.Scope]
	}
	if a.Scope != ScopeOrganisation {
		return a.Name < b.Name
	}
	if aOther, bOther := a.Name == NameOther, b.Name == NameOther; aOther != bOther {
		return bOther
	}
	if aMissed, bMissed := a.Total-a.Attained, b.Total-b.Attained; aMissed != bMissed {
		return aMissed > bMissed
	}
	if a.Total != b.Total {
		return a.Total > b.Total
	}
	return a.Name < b.Name
}

func mergeCauses(causes []lynxapi.BurnCause) []lynxapi.BurnCause {
	sums := make(map[lynxapi.BurnCause]uint64, len(causes))
	for _, c := range causes {
		key := c
		key.Count = 0
		sums[key] += c.Count
	}
	merged := make([]lynxapi.BurnCause, 0, len(sums))
	for key, count := range sums {
		key.Count = count
		merged = append(merged, key)
	}
	return merged
}

func causeBefore(a, b lynxapi.BurnCause) bool {
	switch {
	case a.Count != b.Count:
		return a.Count > b.Count
	case a.Profile != b.Profile:
		return a.Profile < b.Profile
	case a.Stage != b.Stage:
		return a.Stage < b.Stage
	case a.Target != b.Target:
		return a.Target < b.Target
	}
	return a.ErrorKind < b.ErrorKind
}

type profileCostKey struct {
	profile string
	costKey
}

func mergeCosts(costs []lynxapi.CostRow) []lynxapi.CostRow {
	return mergeBy(costs, func(c lynxapi.CostRow) profileCostKey {
		return profileCostKey{c.Profile, costKey{c.Stage, c.Provider}}
	}, addCost)
}

func addCost(sum *lynxapi.CostRow, c lynxapi.CostRow) {
	total := sum.MeanMS*float64(sum.Calls) + c.MeanMS*float64(c.Calls)
	sum.Calls += c.Calls
	sum.Cost += c.Cost
	sum.Wasted += c.Wasted
	sum.Tokens += c.Tokens
	if sum.Calls > 0 {
		sum.MeanMS = total / float64(sum.Calls)
	}
}

func costBefore(a, b lynxapi.CostRow) bool {
	if a.Profile != b.Profile {
		return a.Profile < b.Profile
	}
	if a.Stage != b.Stage {
		return a.Stage < b.Stage
	}
	return a.Provider < b.Provider
}

// mergeSeries adds up the points of each profile. A recently started instance
// sends one-second steps and others one-minute steps; the sum has the longer
// step.
func mergeSeries(series []lynxapi.BurnSeries) []lynxapi.BurnSeries {
	steps := make(map[string]float64)
	for _, s := range series {
		steps[s.Profile] = max(steps[s.Profile], s.StepS)
	}
	points := make(map[string]map[int64]lynxapi.BurnPoint)
	for _, s := range series {
		if points[s.Profile] == nil {
			points[s.Profile] = make(map[int64]lynxapi.BurnPoint)
		}
		addPoints(points[s.Profile], s.Points, steps[s.Profile])
	}
	merged := make([]lynxapi.BurnSeries, 0, len(points))
	for profile, sums := range points {
		merged = append(merged, lynxapi.BurnSeries{Profile: profile, StepS: steps[profile], Points: inOrder(sums)})
	}
	return merged
}

func addPoints(sums map[int64]lynxapi.BurnPoint, points []lynxapi.BurnPoint, stepS float64) {
	step := max(int64(stepS*float64(time.Second)), 1)
	for _, p := range points {
		start := p.At.UnixNano() / step * step
		sum := sums[start]
		sum.At = time.Unix(0, start).UTC()
		sum.Total += p.Total
		sum.Attained += p.Attained
		sum.Cost += p.Cost
		sums[start] = sum
	}
}

func inOrder(sums map[int64]lynxapi.BurnPoint) []lynxapi.BurnPoint {
	points := make([]lynxapi.BurnPoint, 0, len(sums))
	for _, p := range sums {
		points = append(points, p)
	}
	sort.Slice(points, func(i, j int) bool { return points[i].At.Before(points[j].At) })
	return points
}
