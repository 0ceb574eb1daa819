package stages

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// column is a figure of a result.
type column struct {
	name   string
	digits int
	value  func(Result) float64
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// columns of the tables. Shares are of the requests, in percent.
var columns = []column{
	{"on time %", 1, func(r Result) float64 { return r.share(r.OnTime) }},
	{"late %", 1, func(r Result) float64 { return r.share(r.Late) }},
	{"refused %", 1, func(r Result) float64 { return r.share(r.Refused) }},
	{"after ms", 0, func(r Result) float64 { return milliseconds(r.RefusedAfter) }},
	{"left %", 1, func(r Result) float64 { return r.share(r.Left) }},
	{"made", 0, func(r Result) float64 { return float64(r.Made) }},
	{"thrown", 0, func(r Result) float64 { return float64(r.ThrownAway) }},
	{"no room", 0, func(r Result) float64 { return float64(r.NoRoom) }},
	{"full", 0, func(r Result) float64 { return float64(r.Full) }},
	{"moved MB", 0, func(r Result) float64 { return float64(r.Moved) / mb }},
	{"again ktok", 0, func(r Result) float64 { return float64(r.ReadAgain) / 1000 }},
	{"first ms", 0, func(r Result) float64 { return milliseconds(r.FirstMean) }},
	{"p99 ms", 0, func(r Result) float64 { return milliseconds(r.FirstP99) }},
}

// Table prints a line for each policy: means over the seeds.
func Table(w io.Writer, all []Runs) error {
	return write(w, all, func(r Runs, c column) string {
		return fmt.Sprintf("%.*f", c.digits, mean(r.Results, c))
	})
}

// Compare prints for each policy its difference to the first: the lowest and
// the highest over the seeds, each seed compared with itself.
func Compare(w io.Writer, all []Runs) error {
	return write(w, all[1:], func(r Runs, c column) string {
		low, high := differences(all[0].Results, r.Results, c)
		if len(r.Results) == 1 {
			return fmt.Sprintf("%+.*f", c.digits, low)
		}
		return fmt.Sprintf("%+.*f..%+.*f", c.digits, low, c.digits, high)
	})
}

func write(w io.Writer, all []Runs, cell func(Runs, column) string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "policy\t")
	for _, c := range columns {
		fmt.Fprint(t, c.name, "\t")
	}
	fmt.Fprintln(t)
	for _, r := range all {
		fmt.Fprint(t, r.Name, "\t")
		for _, c := range columns {
			fmt.Fprint(t, cell(r, c), "\t")
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}

func mean(results []Result, c column) float64 {
	sum := 0.0
	for _, r := range results {
		sum += c.value(r)
	}
	return sum / float64(max(len(results), 1))
}

func differences(kept, other []Result, c column) (low, high float64) {
	for n := range other {
		d := c.value(other[n]) - c.value(kept[n])
		if n == 0 || d < low {
			low = d
		}
		if n == 0 || d > high {
			high = d
		}
	}
	return low, high
}
