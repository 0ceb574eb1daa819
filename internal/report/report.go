// Package report renders a service-level report for operators: as text for a
// terminal, and as one self-contained HTML page with plots.
package report

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"lynxhill.example/lynxhill/internal/slo"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// Numbers of list entries that are shown. The JSON form of the report has the
// full lists.
const (
	shownOrganisations = 15
	shownCauses        = 12
	shownCosts         = 24
)

// rowsOf returns the rows of a scope that have requests, excluded ones included.
func rowsOf(r lynxapi.BurnReport, scope string) []lynxapi.BurnRow {
	var rows []lynxapi.BurnRow
	for _, row := range r.Rows {
		if row.Scope == scope && row.Total+row.Excluded > 0 {
			rows = append(rows, row)
		}
	}
	return rows
}

// status is the state of a profile relative to its objective.
type status int

const (
	statusMet    status = iota // the objective is met
	statusAtRisk               // the objective is met, but the error budget burns too fast
	statusMissed               // the error budget of the window is overspent
	statusIdle                 // no requests counted
)

func statusOf(row lynxapi.BurnRow) status {
	switch {
	case row.Total == 0:
		return statusIdle
	case row.BudgetLeft < 0:
		return statusMissed
	case row.BurnShort > 1:
		return statusAtRisk
	}
	return statusMet
}

// String returns the status as it is shown to operators.
func (s status) String() string {
	switch s {
	case statusMet:
		return "met"
	case statusAtRisk:
		return "at risk"
	case statusMissed:
		return "missed"
	}
	return "idle"
}

// headline summarises the report in one sentence.
func headline(r lynxapi.BurnReport) string {
	counts := make(map[status]int)
	profiles := rowsOf(r, slo.ScopeProfile)
	for _, row := range profiles {
		counts[statusOf(row)]++
	}
	used := len(profiles) - counts[statusIdle]
	switch {
	case used == 0:
		return "No requests in this window."
	case counts[statusMissed] > 0:
		return fmt.Sprintf("%d of %s missed the objective.", counts[statusMissed], plural(used, "profile"))
	case counts[statusAtRisk] > 0:
		return fmt.Sprintf("All objectives are met, but %s burning the error budget too fast.", isAre(counts[statusAtRisk], "profile"))
	case used == 1:
		return "The one profile in use meets its objective."
	}
	return fmt.Sprintf("All %d profiles in use meet their objectives.", used)
}

// coverage returns the time, window and instances that the report covers.
func coverage(r lynxapi.BurnReport) string {
	text := fmt.Sprintf("%s, last %s, %s", r.At.UTC().Format("2006-01-02 15:04:05 UTC"),
		window(r.WindowS), plural(r.Instances, "instance"))
	if len(r.Missing) > 0 {
		text += fmt.Sprintf("; no answer from %d: %s", len(r.Missing), strings.Join(r.Missing, ", "))
	}
	return text
}

func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

// isAre returns n and the noun, followed by "is" or "are".
func isAre(n int, noun string) string {
	if n == 1 {
		return "1 " + noun + " is"
	}
	return fmt.Sprintf("%d %ss are", n, noun)
}

// window formats a number of seconds as "5m", "1h" or "1h30m".
func window(seconds float64) string {
	d := time.Duration(seconds * float64(time.Second)).Round(time.Second)
	var out strings.Builder
	for _, unit := range []struct {
		length time.Duration
		name   string
	}{{time.Hour, "h"}, {time.Minute, "m"}, {time.Second, "s"}} {
		if n := d / unit.length; n > 0 {
			fmt.Fprintf(&out, "%d%s", n, unit.name)
			d %= unit.length
		}
	}
	if out.Len() == 0 {
		return "0s"
	}
	return out.String()
}

// share formats a share as a percentage with up to two decimals. It never rounds
// up to 100 %: with one miss in a million, attainment is below 100 %.
func share(v float64) string {
	percent := v * 100
	text := strconv.FormatFloat(percent, 'f', 2, 64)
	if text == "100.00" && v < 1 {
		return "99.99%"
	}
	return trimZeros(text) + "%"
}

// rounded formats a share as a percentage with about two digits.
func rounded(v float64) string {
	percent := v * 100
	switch {
	case percent == 0:
		return "0%"
	case math.Abs(percent) < 0.1:
		return "<0.1%"
	case math.Abs(percent) < 10:
		return trimZeros(strconv.FormatFloat(percent, 'f', 1, 64)) + "%"
	}
	return strconv.FormatFloat(percent, 'f', 0, 64) + "%"
}

func trimZeros(text string) string {
	if !strings.Contains(text, ".") {
		return text
	}
	return strings.TrimRight(strings.TrimRight(text, "0"), ".")
}

// formatMilliseconds formats a duration given in milliseconds, "-" if it is 0
// or less.
func formatMilliseconds(ms float64) string {
	switch {
	case ms <= 0:
		return "-"
	case ms < 10:
		return strconv.FormatFloat(ms, 'f', 1, 64) + " ms"
	case ms < 1000:
		return strconv.FormatFloat(ms, 'f', 0, 64) + " ms"
	}
	return strconv.FormatFloat(ms/1000, 'f', 2, 64) + " s"
}

// formatBurn formats a burn rate.
func formatBurn(v float64) string {
	switch {
	case v == 0:
		return "0"
	case v >= 100:
		return strconv.FormatFloat(v, 'f', 0, 64)
	case v >= 10:
		return strconv.FormatFloat(v, 'f', 1, 64)
	}
	return strconv.FormatFloat(v, 'f', 2, 64)
}

// count formats a number with commas between groups of three digits.
func count(n uint64) string {
	digits := strconv.FormatUint(n, 10)
	var out strings.Builder
	for i, d := range digits {
		if i > 0 && (len(digits)-i)%3 == 0 {
			out.WriteByte(',')
		}
		out.WriteRune(d)
	}
	return out.String()
}

// amount formats a cost with about three digits.
func amount(v float64) string {
	switch {
	case v == 0:
		return "0"
	case math.Abs(v) >= 1000:
		return count(uint64(math.Round(math.Abs(v))))
	case math.Abs(v) >= 100:
		return strconv.FormatFloat(v, 'f', 0, 64)
	case math.Abs(v) >= 10:
		return strconv.FormatFloat(v, 'f', 1, 64)
	case math.Abs(v) >= 0.1:
		return strconv.FormatFloat(v, 'f', 2, 64)
	}
	return strconv.FormatFloat(v, 'g', 2, 64)
}

// stageName returns the stage of a cause as it is shown to operators.
func stageName(c lynxapi.BurnCause) string {
	if c.Stage == "" {
		return "(before any stage)"
	}
	return c.Stage
}

func targetName(c lynxapi.BurnCause) string {
	if c.Target == "" {
		return "-"
	}
	return c.Target
}

// missedOf returns the number of missed requests of a row.
func missedOf(row lynxapi.BurnRow) uint64 { return row.Total - row.Attained }

func perCall(c lynxapi.CostRow) float64 {
	if c.Calls == 0 {
		return 0
	}
	return c.Cost / float64(c.Calls)
}

func wastedShare(c lynxapi.CostRow) float64 {
	if c.Cost <= 0 {
		return 0
	}
	return c.Wasted / c.Cost
}
