package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"slices"

	"lynxhill.example/lynxhill/internal/slo"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"share": share, "rounded": rounded, "times": formatMilliseconds, "factor": formatBurn, "count": count, "amount": amount, "window": window,
	"missed": missedOf, "stage": stageName, "target": targetName, "perCall": perCall, "wasted": wastedShare,
}).Parse(pageText))

// view is the data of the page template.
type view struct {
	Headline      string
	Class         string // status of the worst profile
	Coverage      string
	Missing       []string
	Totals        totals
	Cards         []card
	Report        lynxapi.BurnReport
	Burn          template.HTML
	BurnLegend    []legendEntry
	Causes        template.HTML
	Costs         template.HTML
	CostLegend    []legendEntry
	HiddenCauses  int
	Comparisons   []comparison
	Zones         []lynxapi.BurnRow
	Organisations []lynxapi.BurnRow
	HiddenRows    int
}

// legendEntry is one entry of a plot's legend.
type legendEntry struct {
	Name   string
	Colour template.CSS
}

func legendOf(name string, colour colourRole) legendEntry {
	return legendEntry{Name: name, Colour: template.CSS("var(" + cssVariables[colour] + ")")}
}

// totals are the figures over all profiles.
type totals struct {
	Attainment float64
	Requests   uint64
	Missed     uint64
	Cost       float64
	Wasted     float64
}

// card is the data of one profile's card.
type card struct {
	Row       lynxapi.BurnRow
	Status    string
	Class     string
	Budget    string
	BudgetBar float64 // width of the bar, in percent
	Plot      template.HTML
}

// comparison is a row of the comparison of a stage's providers, for stages that
// several providers answered, as during a migration.
type comparison struct {
	Cost      lynxapi.CostRow
	First     bool    // first row of its stage
	Rows      int     // rows of the stage
	CallShare float64 // of the stage's calls
	Against   string  // cost per call relative to the most expensive provider's
}

// HTML writes the report as one self-contained page, without scripts or external
// files, with a light and a dark theme.
func HTML(w io.Writer, r lynxapi.BurnReport) error {
	v, err := viewOf(r)
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return page.Execute(w, v)
}

func viewOf(r lynxapi.BurnReport) (view, error) {
	profiles := byUrgency(rowsOf(r, slo.ScopeProfile))
	v := view{
		Headline:    headline(r),
		Class:       statusMet.class(),
		Coverage:    coverage(r),
		Missing:     r.Missing,
		Totals:      totalsOf(r, profiles),
		Report:      r,
		Comparisons: comparisonsOf(r.Costs),
		Zones:       rowsOf(r, slo.ScopeZone),
	}
	if len(profiles) > 0 {
		v.Class = statusOf(profiles[0]).class()
	}
	organisations := rowsOf(r, slo.ScopeOrganisation)
	v.Organisations = organisations[:min(len(organisations), shownOrganisations)]
	v.HiddenRows = len(organisations) - len(v.Organisations)
	v.BurnLegend = []legendEntry{
		legendOf("last "+window(r.ShortS), roleShort),
		legendOf("last "+window(r.LongS), roleLong),
	}
	for i, provider := range providersOf(r.Costs) {
		v.CostLegend = append(v.CostLegend, legendOf(provider, providerRole(i)))
	}
	v.HiddenCauses = max(len(r.Causes)-shownCauses, 0)
	return v, v.draw(profiles)
}

// draw renders the plots and stores them in the view.
func (v *view) draw(profiles []lynxapi.BurnRow) (err error) {
	if v.Cards, err = cardsOf(v.Report, profiles); err != nil {
		return err
	}
	if v.Burn, err = burnPlot(profilesToPlot(profiles)); err != nil {
		return err
	}
	if v.Causes, err = causePlot(v.Report.Causes); err != nil {
		return err
	}
	v.Costs, err = costPlot(v.Report.Costs)
	return err
}

// profilesToPlot returns the profiles with requests, or nil if none of them has
// burnt any error budget.
func profilesToPlot(profiles []lynxapi.BurnRow) []lynxapi.BurnRow {
	used := slices.DeleteFunc(slices.Clone(profiles), func(row lynxapi.BurnRow) bool { return row.Total == 0 })
	if !slices.ContainsFunc(used, func(row lynxapi.BurnRow) bool { return row.BurnShort > 0 || row.BurnLong > 0 }) {
		return nil
	}
	return used
}

// byUrgency returns the profiles sorted by status, the worst first, and then by
// the remaining error budget.
func byUrgency(rows []lynxapi.BurnRow) []lynxapi.BurnRow {
	rows = slices.Clone(rows)
	urgency := map[status]int{statusMissed: 0, statusAtRisk: 1, statusMet: 2, statusIdle: 3}
	slices.SortStableFunc(rows, func(a, b lynxapi.BurnRow) int {
		if d := urgency[statusOf(a)] - urgency[statusOf(b)]; d != 0 {
			return d
		}
		switch {
		case a.BudgetLeft < b.BudgetLeft:
			return -1
		case a.BudgetLeft > b.BudgetLeft:
			return 1
		}
		return 0
	})
	return rows
}

func totalsOf(r lynxapi.BurnReport, profiles []lynxapi.BurnRow) totals {
	t := totals{Attainment: 1}
	for _, row := range profiles {
		t.Requests += row.Total
		t.Missed += missedOf(row)
	}
	if t.Requests > 0 {
		t.Attainment = float64(t.Requests-t.Missed) / float64(t.Requests)
	}
	wasted := 0.0
	for _, c := range r.Costs {
		t.Cost += c.Cost
		wasted += c.Wasted
	}
	if t.Cost > 0 {
		t.Wasted = wasted / t.Cost
	}
	return t
}

func cardsOf(r lynxapi.BurnReport, profiles []lynxapi.BurnRow) ([]card, error) {
	series := make(map[string]lynxapi.BurnSeries, len(r.Series))
	for _, s := range r.Series {
		series[s.Profile] = s
	}
	cards := make([]card, 0, len(profiles))
	for _, row := range profiles {
		picture, err := attainmentPlot(series[row.Name], row)
		if err != nil {
			return nil, err
		}
		cards = append(cards, card{
			Row:       row,
			Status:    statusOf(row).String(),
			Class:     statusOf(row).class(),
			Budget:    budgetText(row),
			BudgetBar: 100 * max(0, min(row.BudgetLeft, 1)),
			Plot:      picture,
		})
	}
	return cards, nil
}

func budgetText(row lynxapi.BurnRow) string {
	switch {
	case row.Total == 0:
		return "no requests counted"
	case row.BudgetLeft < 0:
		return "error budget spent " + formatBurn(1-row.BudgetLeft) + " times over"
	}
	return rounded(row.BudgetLeft) + " of the error budget left"
}

// class is the CSS class of the status.
func (s status) class() string {
	switch s {
	case statusAtRisk:
		return "risk"
	case statusMissed:
		return "missed"
	case statusIdle:
		return "idle"
	}
	return "met"
}

// comparisonsOf returns the comparisons of the stages that several providers
// answered.
func comparisonsOf(rows []lynxapi.CostRow) []comparison {
	var all []comparison
	for _, stage := range stageCosts(rows) {
		if len(stage.rows) < 2 {
			continue
		}
		var calls uint64
		mostExpensive := stage.rows[0]
		for _, c := range stage.rows {
			calls += c.Calls
			if perCall(c) > perCall(mostExpensive) {
				mostExpensive = c
			}
		}
		for i, c := range stage.rows {
			all = append(all, comparison{
				Cost:      c,
				First:     i == 0,
				Rows:      len(stage.rows),
				CallShare: float64(c.Calls) / float64(max(calls, 1)),
				Against:   against(c, mostExpensive),
			})
		}
	}
	return all
}

// against returns the difference in cost per call from c to reference, in
// percent of reference, or "–" where there is nothing to compare.
func against(c, reference lynxapi.CostRow) string {
	base := perCall(reference)
	if c == reference || base <= 0 || c.Calls == 0 {
		return "–"
	}
	return fmt.Sprintf("%+.0f%%", 100*(perCall(c)/base-1))
}
