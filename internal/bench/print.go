package bench

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
)

// Print writes the results as tables.
func (r Results) Print(out io.Writer) {
	fmt.Fprintf(out, "\n%s: %s\n\n", r.Experiment.Name, r.Experiment.About)
	if r.Interrupted {
		fmt.Fprintf(out, "interrupted: only what ended before the interrupt is counted\n\n")
	}
	r.printAttainment(out)
	r.printPromises(out)
	r.printCosts(out)
	r.printErrors(out)
}

func (r Results) printAttainment(out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "deployment\tvariant\trequests\tattained\tp50 ms\tp95 ms\tp99 ms\tfirst token p95\tbetween p95\tcost/whole\twasted\tretries\thedges\tresumes\tresends\t\n")
	for _, s := range r.Summaries {
		fmt.Fprintf(table, "%s\t%s\t%d\t%.2f%%\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.4f\t%.1f%%\t%d\t%d\t%d\t%d\t\n",
			s.Deployment, s.Variant, s.Requests, 100*s.Attainment, s.LatencyP50, s.LatencyP95, s.LatencyP99,
			s.FirstP95, s.BetweenP95, s.CostPerWhole, 100*ratio(s.Wasted, s.Cost), s.Retries, s.Hedges, s.Resumes, s.Resends)
	}
	_ = table.Flush()
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func (r Results) printPromises(out io.Writer) {
	fmt.Fprintf(out, "\nbroken promises (all must be 0)\n")
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "deployment\tvariant\tlost\tdoubled\tcrossed\ttruncated\trerun\tfalse not-run\treverted\tinvariants\t\n")
	for _, s := range r.Summaries {
		b := s.Breaches
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", s.Deployment, s.Variant,
			b.Lost, b.Doubled, b.Crossed, b.Truncated, b.Rerun, b.FalseNotRun, b.Reverted, b.Invariants)
	}
	_ = table.Flush()
	for _, s := range r.Summaries {
		for i, detail := range s.Breaches.Details {
			if i == maxDetails {
				fmt.Fprintf(out, "  ... and %d more\n", len(s.Breaches.Details)-i)
				break
			}
			fmt.Fprintf(out, "  %s %s: %s\n", s.Deployment, s.Variant, detail)
		}
	}
}

// maxDetails bounds what is printed of broken promises; the JSON has all.
const maxDetails = 10

// printCosts shows the cost by stage of the first variant.
func (r Results) printCosts(out io.Writer) {
	if len(r.Summaries) == 0 {
		return
	}
	first := r.Summaries[0].Variant
	fmt.Fprintf(out, "\ncost by stage, %s\n", first)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "profile\tstage\tprovider\tcalls\tcost\twasted\tmean ms\t\n")
	for _, s := range r.Summaries {
		if s.Variant != first || s.Repetition > 0 {
			continue
		}
		for _, row := range s.Stages {
			fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%.3f\t%.3f\t%.1f\t\n", row.Profile, row.Stage, row.Provider, row.Calls, row.Cost, row.Wasted, row.MeanMS)
		}
	}
	_ = table.Flush()
}

func (r Results) printErrors(out io.Writer) {
	for _, s := range r.Summaries {
		if len(s.Errors) == 0 {
			continue
		}
		var parts []string
		for kind, n := range s.Errors {
			parts = append(parts, fmt.Sprintf("%s %d", kind, n))
		}
		sort.Strings(parts)
		fmt.Fprintf(out, "\nrefusals, %s %s: %s\n", s.Deployment, s.Variant, strings.Join(parts, ", "))
	}
}
