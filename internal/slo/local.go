package slo

import (
	"sort"
	"time"

	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// Scopes of a report row.
const (
	ScopeProfile      = "profile"
	ScopeZone         = "place"
	ScopeOrganisation = "organisation"
)

// Limits on the length of a report's lists.
const (
	maxReportOrganisations = 100
	maxReportCauses        = 100
)

// Local returns the report of this instance over the window that ends now. A
// window of 0 or less, or longer than Windows.Long, means Windows.Long. The
// quantiles of a row cover the window rounded up to the step of its sketches.
func (t *Tracker) Local(window time.Duration) lynxapi.BurnReport {
	if window <= 0 || window > t.windows.Long {
		window = t.windows.Long
	}
	now := t.clock.Now()
	report := lynxapi.BurnReport{
		Instance: t.instance, Instances: 1, At: now.UTC(), WindowS: window.Seconds(),
		ShortS: t.windows.Short.Seconds(), LongS: t.windows.Long.Seconds(),
	}
	for i := range t.profiles {
		t.addProfiles(&report, &t.profiles[i], now, window)
	}
	for i := range t.zones {
		t.addZones(&report, &t.zones[i], now, window)
	}
	for i := range t.organisations {
		t.addOrganisations(&report, &t.organisations[i], now, window)
	}
	return finish(report)
}

func (t *Tracker) addProfiles(report *lynxapi.BurnReport, s *profileShard, now time.Time, window time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, c := range s.byName {
		row := t.rowOf(ScopeProfile, name, &c.cell, now, window)
		row.Profile = name
		report.Rows = append(report.Rows, row)
		report.Series = append(report.Series, t.seriesOf(name, c, now, window))
		report.Causes = append(report.Causes, c.causeRows(name, now, window)...)
		report.Costs = append(report.Costs, c.costRows(name, now, window)...)
	}
}

func (t *Tracker) addZones(report *lynxapi.BurnReport, s *cellShard, now time.Time, window time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, c := range s.byName {
		report.Rows = append(report.Rows, t.rowOf(ScopeZone, name, c, now, window))
	}
}

func (t *Tracker) addOrganisations(report *lynxapi.BurnReport, s *organisationShard, now time.Time, window time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, c := range s.byName {
		report.Rows = append(report.Rows, t.rowOf(ScopeOrganisation, name, c, now, window))
	}
	other := t.rowOf(ScopeOrganisation, NameOther, s.other, now, window)
	if other.Long.Total > 0 {
		report.Rows = append(report.Rows, other)
	}
}

func (t *Tracker) rowOf(scope, name string, c *cell, now time.Time, window time.Duration) lynxapi.BurnRow {
	sum := sumOf(c.counts, now, window)
	times := c.timesOf(now, window)
	return lynxapi.BurnRow{
		Scope:         scope,
		Name:          name,
		Total:         sum.total,
		Attained:      sum.total - sum.missed,
		Excluded:      sum.excluded,
		Allowed:       sum.allowedMisses,
		Short:         windowOf(sumOf(c.counts, now, t.windows.Short)),
		Long:          windowOf(sumOf(c.counts, now, t.windows.Long)),
		LatencySketch: encodeSketch(times.total),
		FirstSketch:   encodeSketch(times.first),
	}
}

func windowOf(c counts) lynxapi.BurnWindow {
	return lynxapi.BurnWindow{Total: c.total, Missed: c.missed, Allowed: c.allowedMisses}
}

// seriesOf returns one point per step of the count ring (a minute by default),
// or one per second if the window or the instance's uptime is at most
// fineStep * fineSteps, where longer steps would give too few points.
func (t *Tracker) seriesOf(name string, c *profileCell, now time.Time, window time.Duration) lynxapi.BurnSeries {
	r := c.counts
	if fineWindow := fineStep * fineSteps; window <= fineWindow || now.Sub(t.started) <= fineWindow {
		r = c.fine
	}
	series := lynxapi.BurnSeries{Profile: name, StepS: r.step.Seconds()}
	r.each(now, window, func(start time.Time, sum *counts) {
		series.Points = append(series.Points, lynxapi.BurnPoint{
			At:       start.UTC(),
			Total:    sum.total,
			Attained: sum.total - sum.missed,
			Cost:     sum.cost,
		})
	})
	return series
}

func (c *profileCell) causeRows(profile string, now time.Time, window time.Duration) []lynxapi.BurnCause {
	var rows []lynxapi.BurnCause
	for key, r := range c.causes {
		if count := sumUint(r, now, window); count > 0 {
			rows = append(rows, lynxapi.BurnCause{
				Profile: profile, Stage: key.stage, Target: key.target, ErrorKind: key.kind, Count: count,
			})
		}
	}
	return rows
}

func (c *profileCell) costRows(profile string, now time.Time, window time.Duration) []lynxapi.CostRow {
	var rows []lynxapi.CostRow
	for key, cost := range c.costs {
		var sum costSums
		cost.sums.each(now, window, func(_ time.Time, s *costSums) { sum.add(*s) })
		if sum.calls == 0 {
			continue
		}
		rows = append(rows, lynxapi.CostRow{
			Profile: profile, Stage: key.stage, Provider: key.provider,
			Calls: sum.calls, Cost: sum.cost, Wasted: sum.wasted, Tokens: sum.tokens,
			MeanMS: milliseconds(sum.duration) / float64(sum.calls),
		})
	}
	return rows
}

func (s *costSums) add(other costSums) {
	s.calls += other.calls
	s.cost += other.cost
	s.wasted += other.wasted
	s.tokens += other.tokens
	s.duration += other.duration
}

// finish merges entries with the same key, computes the derived figures, and
// sorts and truncates the lists.
func finish(report lynxapi.BurnReport) lynxapi.BurnReport {
	report.Rows = boundOrganisations(mergeRows(report.Rows))
	report.Causes = mergeCauses(report.Causes)
	report.Costs = mergeCosts(report.Costs)
	report.Series = mergeSeries(report.Series)
	for i := range report.Rows {
		derive(&report.Rows[i])
	}
	sortRows(report.Rows)
	sort.Slice(report.Causes, func(i, j int) bool { return causeBefore(report.Causes[i], report.Causes[j]) })
	if len(report.Causes) > maxReportCauses {
		report.Causes = report.Causes[:maxReportCauses]
	}
	sort.Slice(report.Costs, func(i, j int) bool { return costBefore(report.Costs[i], report.Costs[j]) })
	sort.Slice(report.Series, func(i, j int) bool { return report.Series[i].Profile < report.Series[j].Profile })
	return report
}

// derive computes the figures that follow from a row's counts and sketches.
func derive(row *lynxapi.BurnRow) {
	row.Objective, row.Attainment, row.BudgetLeft = 0, 1, 1
	if row.Total > 0 {
		missed := float64(row.Total - row.Attained)
		row.Objective = 1 - row.Allowed/float64(row.Total)
		row.Attainment = float64(row.Attained) / float64(row.Total)
		row.BudgetLeft = 1 - missed/row.Allowed
	}
	row.BurnShort = burnOf(row.Short)
	row.BurnLong = burnOf(row.Long)
	total := decodeSketch(row.LatencySketch)
	row.P50MS, row.P95MS, row.P99MS = quantile(total, 0.50), quantile(total, 0.95), quantile(total, 0.99)
	row.FirstP95MS = quantile(decodeSketch(row.FirstSketch), 0.95)
}

// burnOf returns the burn rate: the error rate as a multiple of the rate that
// the objective allows. At 1 the error budget lasts exactly for its window.
func burnOf(w lynxapi.BurnWindow) float64 {
	if w.Allowed <= 0 {
		return 0
	}
	return float64(w.Missed) / w.Allowed
}
