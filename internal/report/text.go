package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"lynxhill.example/lynxhill/internal/slo"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// Layout of the text, in characters.
const (
	columnGap = 2
	barWidth  = 10
)

// Text writes the report for a terminal.
func Text(w io.Writer, r lynxapi.BurnReport) error {
	t := &textReport{out: w, report: r}
	t.linef("%s", headline(r))
	t.linef("%s", coverage(r))
	t.rows("PROFILE", byUrgency(rowsOf(r, slo.ScopeProfile)), 0)
	t.rows("PLACE", rowsOf(r, slo.ScopeZone), 0)
	t.rows("ORGANISATION", rowsOf(r, slo.ScopeOrganisation), shownOrganisations)
	t.causes()
	t.costs()
	return t.err
}

// textReport writes a report as text. It keeps the first error of its writer and
// writes nothing after it.
type textReport struct {
	out    io.Writer
	report lynxapi.BurnReport
	err    error
}

func (t *textReport) linef(format string, args ...any) {
	if t.err == nil {
		_, t.err = fmt.Fprintf(t.out, format+"\n", args...)
	}
}

// table writes aligned lines of tab-separated cells.
func (t *textReport) table(lines []string) {
	if t.err != nil {
		return
	}
	tab := tabwriter.NewWriter(t.out, 0, 0, columnGap, ' ', 0)
	if _, t.err = fmt.Fprintln(tab, strings.Join(lines, "\n")); t.err != nil {
		return
	}
	t.err = tab.Flush()
}

func cells(values ...string) string { return strings.Join(values, "\t") }

func (t *textReport) rows(title string, rows []lynxapi.BurnRow, limit int) {
	if len(rows) == 0 {
		return
	}
	t.linef("")
	burn := fmt.Sprintf("BURN %s/%s", window(t.report.ShortS), window(t.report.LongS))
	lines := []string{cells(title, "ATTAINED", "OBJECTIVE", "REQUESTS", "MISSED", "BUDGET LEFT", burn, "P50", "P95", "P99", "FIRST P95")}
	for i, row := range rows {
		if limit > 0 && i >= limit {
			break
		}
		lines = append(lines, rowCells(row))
	}
	t.table(lines)
	if hidden := len(rows) - limit; limit > 0 && hidden > 0 {
		t.linef("and %d more", hidden)
	}
}

func rowCells(row lynxapi.BurnRow) string {
	if row.Total == 0 {
		return cells(row.Name, "-", "-", "0", "0", "-", "-", "-", "-", "-", "-")
	}
	return cells(row.Name, share(row.Attainment), share(row.Objective), count(row.Total), count(missedOf(row)),
		bar(row.BudgetLeft)+" "+budget(row.BudgetLeft), formatBurn(row.BurnShort)+" / "+formatBurn(row.BurnLong),
		formatMilliseconds(row.P50MS), formatMilliseconds(row.P95MS), formatMilliseconds(row.P99MS), formatMilliseconds(row.FirstP95MS))
}

// bar draws the remaining share of a budget as a bar.
func bar(left float64) string {
	filled := int(max(0, min(left, 1))*barWidth + 0.5)
	return strings.Repeat("#", filled) + strings.Repeat(".", barWidth-filled)
}

// budget formats the remaining share of a budget, or how many times over it is
// spent.
func budget(left float64) string {
	if left < 0 {
		return fmt.Sprintf("spent %sx", formatBurn(1-left))
	}
	return rounded(left)
}

func (t *textReport) causes() {
	if len(t.report.Causes) == 0 {
		return
	}
	var total uint64
	for _, c := range t.report.Causes {
		total += c.Count
	}
	t.linef("")
	lines := []string{cells("WHAT BURNT IT", "MISSES", "SHARE", "STAGE", "TARGET", "ERROR KIND")}
	for i, c := range t.report.Causes {
		if i >= shownCauses {
			break
		}
		lines = append(lines, cells(c.Profile, count(c.Count), rounded(float64(c.Count)/float64(total)), stageName(c), targetName(c), c.ErrorKind))
	}
	t.table(lines)
	if hidden := len(t.report.Causes) - shownCauses; hidden > 0 {
		t.linef("and %d more", hidden)
	}
}

func (t *textReport) costs() {
	if len(t.report.Costs) == 0 {
		return
	}
	t.linef("")
	lines := []string{cells("COST BY STAGE", "STAGE", "PROVIDER", "CALLS", "COST", "A CALL", "WASTED", "TOKENS", "MEAN")}
	total := 0.0
	for _, c := range t.report.Costs {
		total += c.Cost
		lines = append(lines, cells(c.Profile, c.Stage, c.Provider, count(c.Calls), amount(c.Cost), amount(perCall(c)),
			rounded(wastedShare(c)), count(c.Tokens), formatMilliseconds(c.MeanMS)))
	}
	t.table(append(lines, cells("all", "", "", "", amount(total))))
}
