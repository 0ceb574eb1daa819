package report

import (
	"fmt"
	"html/template"
	"slices"

	"gonum.org/v1/plot/plotter"

	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// stageCost holds the costs of one stage, by provider.
type stageCost struct {
	profile    string
	stage      string
	total      float64
	byProvider map[string]float64
	rows       []lynxapi.CostRow
}

// stageCosts groups the rows by stage, sorted by descending cost.
func stageCosts(rows []lynxapi.CostRow) []stageCost {
	type key struct{ profile, stage string }
	at := make(map[key]int)
	var stages []stageCost
	for _, row := range rows {
		k := key{row.Profile, row.Stage}
		i, known := at[k]
		if !known {
			i = len(stages)
			at[k] = i
			stages = append(stages, stageCost{profile: row.Profile, stage: row.Stage, byProvider: make(map[string]float64)})
		}
		stages[i].total += row.Cost
		stages[i].byProvider[row.Provider] += row.Cost
		stages[i].rows = append(stages[i].rows, row)
	}
	slices.SortStableFunc(stages, func(a, b stageCost) int {
		switch {
		case a.total > b.total:
			return -1
		case a.total < b.total:
			return 1
		}
		return 0
	})
	return stages
}

// providersOf returns the distinct providers, sorted by name.
func providersOf(rows []lynxapi.CostRow) []string {
	var names []string
	for _, row := range rows {
		if !slices.Contains(names, row.Provider) {
			names = append(names, row.Provider)
		}
	}
	slices.Sort(names)
	return names
}

// providerRole returns the colour role of a provider by its index. Providers
// beyond the available colours share the last one.
func providerRole(index int) colourRole { return roleSeries1 + colourRole(min(index, seriesRoles-1)) }

// costPlot draws the cost of each stage, stacked by provider.
func costPlot(rows []lynxapi.CostRow) (template.HTML, error) {
	stages := stageCosts(rows)
	if len(stages) == 0 {
		return "", nil
	}
	all := 0.0
	for _, s := range stages {
		all += s.total
	}
	stages = stages[:min(len(stages), shownCosts)]
	labels := make([]string, len(stages))
	for i, s := range stages {
		labels[i] = s.profile + " / " + s.stage
	}
	b := newBars(labels)
	var below *plotter.BarChart
	for i, provider := range providersOf(rows) {
		values := make([]float64, len(stages))
		for j, s := range stages {
			values[j] = s.byProvider[provider]
		}
		chart, err := b.add(values, providerRole(i), barWidthOne, 0, below)
		if err != nil {
			return "", err
		}
		below = chart
	}
	for i, s := range stages {
		b.ends[i] = s.total
		b.values[i] = amount(s.total)
		if all > 0 {
			b.values[i] = fmt.Sprintf("%s (%s)", amount(s.total), rounded(s.total/all))
		}
	}
	b.plot.X.Label.Text = "cost, in the targets' units"
	return b.draw(barRow, "Cost by stage, stacked by provider")
}
