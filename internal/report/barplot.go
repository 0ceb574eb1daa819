package report

import (
	"fmt"
	"html/template"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// Layout of bar plots.
const (
	barWidthOne   = vg.Length(11)
	barWidthTwo   = vg.Length(7)
	headroom      = 1.12 // factor on the longest bar's length: leaves room for the value after the bar
	maxBarLabel   = 66   // characters
	twoBarRow     = vg.Length(26)
	valueLabelGap = vg.Length(4)
)

// bars is a horizontal bar plot. Its lists are ordered from top to bottom; the
// plotting library orders them from bottom to top.
type bars struct {
	plot   *plot.Plot
	labels []string
	ends   []float64 // end of the longest bar of each row, where the value is written
	values []string
}

func newBars(labels []string) *bars {
	b := &bars{plot: newPlot(), labels: labels, ends: make([]float64, len(labels)), values: make([]string, len(labels))}
	b.plot.Add(grid(true))
	b.plot.X.Tick.Marker = zeroTicks{}
	return b
}

// zeroTicks is a plot.Ticker without negative and minor ticks.
type zeroTicks struct{}

// Ticks implements plot.Ticker.
func (zeroTicks) Ticks(low, high float64) []plot.Tick {
	var kept []plot.Tick
	for _, t := range (plot.DefaultTicks{}).Ticks(low, high) {
		if t.Value >= 0 && t.Label != "" {
			t.Label = strconv.FormatFloat(t.Value, 'g', -1, 64)
			kept = append(kept, t)
		}
	}
	return kept
}

// add adds one bar per row. The bars are stacked on those of on, unless on is nil.
func (b *bars) add(values []float64, colour colourRole, width, offset vg.Length, on *plotter.BarChart) (*plotter.BarChart, error) {
	reversed := slices.Clone(values)
	slices.Reverse(reversed)
	chart, err := plotter.NewBarChart(plotter.Values(reversed), width)
	if err != nil {
		return nil, err
	}
	chart.Horizontal = true
	chart.Color = colour.color()
	chart.LineStyle.Width = 0
	chart.Offset = offset
	if on != nil {
		chart.StackOn(on)
	}
	b.plot.Add(chart)
	return chart, nil
}

// draw adds the labels and values and returns the plot as an SVG.
func (b *bars) draw(rowHeight vg.Length, description string) (template.HTML, error) {
	names := make([]string, len(b.labels))
	for i, label := range b.labels {
		names[len(names)-1-i] = shorten(label)
	}
	b.plot.NominalY(names...)
	b.plot.Y.Tick.Label.Color = roleText.color()
	b.plot.Y.Tick.Label.Font = sans(textSize)
	b.plot.Y.LineStyle.Width = thinLine
	b.plot.Y.Tick.Length = 0
	labels, err := b.valueLabels()
	if err != nil {
		return "", err
	}
	b.plot.Add(labels)
	b.plot.X.Min = 0
	b.plot.X.Max = max(slices.Max(b.ends), b.plot.X.Max/headroom) * headroom
	if b.plot.X.Max <= 0 {
		b.plot.X.Max = 1
	}
	height := rowHeight*vg.Length(len(b.labels)) + barPadding
	return svg(b.plot, wideWidth, height, description)
}

func (b *bars) valueLabels() (*plotter.Labels, error) {
	points := make(plotter.XYs, len(b.ends))
	values := make([]string, len(b.ends))
	for i := range b.ends {
		row := len(b.ends) - 1 - i
		points[i] = plotter.XY{X: b.ends[i], Y: float64(row)}
		values[i] = b.values[i]
	}
	labels, err := plotter.NewLabels(plotter.XYLabels{XYs: points, Labels: values})
	if err != nil {
		return nil, err
	}
	for i := range labels.TextStyle {
		labels.TextStyle[i].Color = roleMuted.color()
		labels.TextStyle[i].Font = sans(textSize)
		labels.TextStyle[i].YAlign = text.YCenter
	}
	labels.Offset = vg.Point{X: valueLabelGap}
	return labels, nil
}

func shorten(label string) string {
	letters := []rune(label)
	if len(letters) <= maxBarLabel {
		return label
	}
	return string(letters[:maxBarLabel-1]) + "…"
}

// burnPlot draws the burn rate of each profile over both windows.
func burnPlot(rows []lynxapi.BurnRow) (template.HTML, error) {
	if len(rows) == 0 {
		return "", nil
	}
	labels := make([]string, len(rows))
	short := make([]float64, len(rows))
	long := make([]float64, len(rows))
	for i, row := range rows {
		labels[i], short[i], long[i] = row.Name, row.BurnShort, row.BurnLong
	}
	b := newBars(labels)
	if _, err := b.add(short, roleShort, barWidthTwo, barWidthTwo/2+0.5, nil); err != nil {
		return "", err
	}
	if _, err := b.add(long, roleLong, barWidthTwo, -barWidthTwo/2-0.5, nil); err != nil {
		return "", err
	}
	for i := range rows {
		b.ends[i] = max(short[i], long[i], 1) // to the right of the line at 1
		b.values[i] = formatBurn(short[i]) + " / " + formatBurn(long[i])
	}
	b.plot.Add(limitLine(len(rows)))
	b.plot.X.Label.Text = "burn: misses as a multiple of what the objective allows; above 1 the budget will not last"
	return b.draw(twoBarRow, "Burn by profile over the short and the long window")
}

// limitLine returns a line at a burn rate of 1.
func limitLine(rows int) *plotter.Line {
	return &plotter.Line{
		XYs:       plotter.XYs{{X: 1, Y: -0.5}, {X: 1, Y: float64(rows) - 0.5}},
		LineStyle: draw.LineStyle{Color: roleText.color(), Width: 1, Dashes: []vg.Length{4, 3}},
	}
}

// causePlot draws the number of missed requests by cause.
func causePlot(causes []lynxapi.BurnCause) (template.HTML, error) {
	if len(causes) == 0 {
		return "", nil
	}
	shown := causes[:min(len(causes), shownCauses)]
	var total uint64
	for _, c := range causes {
		total += c.Count
	}
	labels := make([]string, len(shown))
	values := make([]float64, len(shown))
	for i, c := range shown {
		labels[i] = causeLabel(c)
		values[i] = float64(c.Count)
	}
	b := newBars(labels)
	if _, err := b.add(values, roleMissed, barWidthOne, 0, nil); err != nil {
		return "", err
	}
	for i, c := range shown {
		b.ends[i] = values[i]
		b.values[i] = fmt.Sprintf("%s (%s)", count(c.Count), rounded(float64(c.Count)/float64(total)))
	}
	b.plot.X.Label.Text = "missed requests"
	return b.draw(barRow, "What caused the misses, most first")
}

func causeLabel(c lynxapi.BurnCause) string {
	parts := []string{c.Profile}
	if c.Stage != "" {
		parts = append(parts, c.Stage)
	}
	if c.Target != "" {
		parts = append(parts, c.Target)
	}
	return c.ErrorKind + ": " + strings.Join(parts, " / ")
}
