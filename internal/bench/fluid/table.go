package fluid

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Table prints the bounds: a row a span and one for the day.
func Table(w io.Writer, s *Sheet, bounds []Bound) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	head := []string{"span", "seconds"}
	for _, v := range s.Services {
		head = append(head, "load "+v.Name)
	}
	for _, k := range s.Kinds {
		head = append(head, k.Name+" even", "most worth")
	}
	fmt.Fprintln(t, strings.Join(head, "\t"))
	for _, b := range bounds {
		row := []string{b.Span.Name, fmt.Sprintf("%g", b.Span.Seconds)}
		for _, load := range b.Load {
			row = append(row, fmt.Sprintf("%.2f", load))
		}
		for k := range s.Kinds {
			row = append(row, fmt.Sprintf("%.2f", b.Even[k]), fmt.Sprintf("%.2f", b.Worthy[k]))
		}
		fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	row := []string{"day", ""}
	for range s.Services {
		row = append(row, "")
	}
	for k := range s.Kinds {
		row = append(row,
			fmt.Sprintf("%.3f", Day(bounds, func(b Bound) []float64 { return b.Even }, k)),
			fmt.Sprintf("%.3f", Day(bounds, func(b Bound) []float64 { return b.Worthy }, k)))
	}
	fmt.Fprintln(t, strings.Join(row, "\t"))
	return t.Flush()
}
