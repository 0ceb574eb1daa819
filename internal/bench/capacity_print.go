package bench

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
)

// Print writes the results as tables.
func (r CapacityResults) Print(out io.Writer) {
	r.printPoints(out, "Without requests, today's targets", r.Quiet)
	r.printPoints(out, "With requests, today's targets", r.Loaded)
	r.printPoints(out, "Without requests, over the number of targets", r.Targets)
	r.printPoints(out, "Without requests, the targets of the size", r.Many)
	r.printCalls(out)
	r.printDigests(out)
	printSlopes(out, "Slopes over instances, without requests, today's targets", r.QuietSlopes)
	printSlopes(out, "Slopes over instances, with requests, today's targets", r.LoadedSlopes)
	printSlopes(out, "Slopes over instances, without requests, the targets of the size", r.ManySlopes)
	r.printTargetSlopes(out)
	fmt.Fprintf(out, "\ncores of the stand-ins alone, taken off: ")
	for _, t := range slices.Sorted(maps.Keys(r.Idle)) {
		fmt.Fprintf(out, "%d targets %.3f; ", t, r.Idle[t])
	}
	fmt.Fprintf(out, "\nstill in the processor time: the stand-ins' answers to polls, watches and calls; with requests also the callers and the targets' runs\n")
	fmt.Fprintf(out, "broken invariants: %d\n", r.Violations)
}

func newTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
}

func (r CapacityResults) printPoints(out io.Writer, title string, points []CapacityPoint) {
	if len(points) == 0 {
		return
	}
	fmt.Fprintf(out, "\n%s, for each instance\n", title)
	table := newTable(out)
	fmt.Fprintln(table, "instances\ttargets\trequests (failed)\tpeers B/s\tplatform B/s\ttargets B/s\tcontrol B/s\tbusiest B/s\tdigests B/s\texchanges/s\tother calls/s\tpolls/s\tclaims/s\treads/s\twrites/s\t% of a core\tMB\tgoroutines\tconnections\tconfirmed s\tisolated\tloads s\t")
	for _, p := range points {
		fmt.Fprintf(table, "%d\t%d\t%d (%d)\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.3f\t%.2f\t%.2f\t%.0f\t%.0f\t%.1f\t%d\t%.1f\t\n",
			p.Instances, p.Targets, p.Requests, p.Failed, p.PeerBytes, p.PlatformBytes, p.TargetBytes, p.ControlBytes(), p.Busiest,
			p.DigestBytes, p.Exchanges, p.OtherCalls, p.Polls, p.Claims, p.Reads, p.Writes, 100*p.Cores, p.MemoryMB, p.Goroutines, p.Connections, p.ConfirmAge, p.Isolated, p.ViewAge)
	}
	_ = table.Flush()
}

// printCalls writes the platform's calls by kind, of all instances together.
func (r CapacityResults) printCalls(out io.Writer) {
	fmt.Fprintf(out, "\nPlatform calls a second by kind, of all instances together (throttled in the window)\n")
	table := newTable(out)
	for _, points := range [][]CapacityPoint{r.Quiet, r.Loaded, r.Many} {
		for _, p := range points {
			fmt.Fprintf(table, "%d instances\t%d targets\t%.1f requests/s each\t%s\t(%d)\t\n", p.Instances, p.Targets, p.Rate, byName(p.Calls, "%.1f"), p.Throttled)
		}
	}
	_ = table.Flush()
}

// printDigests writes what the digests consist of.
func (r CapacityResults) printDigests(out io.Writer) {
	fmt.Fprintf(out, "\nMean digest in bytes, by what is in it\n")
	table := newTable(out)
	for _, points := range [][]CapacityPoint{r.Quiet, r.Many} {
		for _, p := range points {
			fmt.Fprintf(table, "%d instances\t%d targets\t%s\t\n", p.Instances, p.Targets, byName(p.Digest, "%.0f"))
		}
	}
	_ = table.Flush()
}

func byName(values map[string]float64, format string) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if values[name] > 0 {
			parts = append(parts, fmt.Sprintf("%s "+format, name, values[name]))
		}
	}
	return strings.Join(parts, ", ")
}

func printSlopes(out io.Writer, title string, slopes []Slope) {
	if len(slopes) == 0 {
		return
	}
	fmt.Fprintf(out, "\n%s\n", title)
	fmt.Fprintf(out, "one instance of n: shared/n + each + growth*n; extrapolated to %d\n", sizeInstances)
	table := newTable(out)
	fmt.Fprintf(table, "measure\tunit\tlast\tshared\teach\tgrowth\toff by\tat %d\tbound\tmargin\t\n", sizeInstances)
	for _, s := range slopes {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%.0f%%\t%s\t%s\t%s\t\n", s.Measure, s.Unit, figure(s.Last),
			figure(s.Shared), figure(s.Each), figure(s.Growth), 100*s.Off, figure(s.AtSize), bound(s.Bound), margin(s))
	}
	_ = table.Flush()
}

func bound(b float64) string {
	if b == 0 {
		return ""
	}
	return figure(b)
}

func margin(s Slope) string {
	m := s.Margin()
	if math.IsNaN(m) {
		return ""
	}
	return fmt.Sprintf("%.0f%%", 100*m)
}

func (r CapacityResults) printTargetSlopes(out io.Writer) {
	if len(r.TargetSlopes) == 0 {
		return
	}
	fmt.Fprintf(out, "\nSlopes over targets at %d instances, without requests, for each instance\n", targetsAt)
	table := newTable(out)
	fmt.Fprintln(table, "measure\tunit\tfixed\ta target\tR2\tat 600 targets\t")
	for _, s := range r.TargetSlopes {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.3f\t%s\t\n", s.Measure, s.Unit, figure(s.Fit.Intercept), figure(s.Fit.Slope), s.Fit.R2, figure(s.Fit.at(sizeTargets)))
	}
	_ = table.Flush()
}

// figure keeps three digits.
func figure(x float64) string {
	switch a := math.Abs(x); {
	case a >= 100:
		return fmt.Sprintf("%.0f", x)
	case a >= 1:
		return fmt.Sprintf("%.2f", x)
	default:
		return fmt.Sprintf("%.5f", x)
	}
}
