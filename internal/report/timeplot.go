package report

import (
	"fmt"
	"html/template"
	"math"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// Layout of the plot of attainment over time.
const (
	timePoints   = 48   // maximum number of points drawn; longer series are coarsened
	timeTicks    = 4    // approximate maximum number of time labels
	attainMargin = 0.25 // margin below the lowest value, as a share of the range from it to 1
)

// attainmentPlot draws a profile's attainment over time against its objective.
func attainmentPlot(series lynxapi.BurnSeries, row lynxapi.BurnRow) (template.HTML, error) {
	points := coarsen(series)
	if len(points) == 0 {
		return "", nil
	}
	p := newPlot()
	low := lowestShown(points, row.Objective)
	p.Y.Min, p.Y.Max = low, 1+(1-low)*0.06
	p.Y.Tick.Marker = attainmentTicks{low: low, objective: row.Objective}
	step := points[1%len(points)].at.Sub(points[0].at)
	p.X.Min, p.X.Max = seconds(points[0].at), seconds(points[len(points)-1].at)
	if p.X.Max-p.X.Min < 1 {
		p.X.Min, p.X.Max = p.X.Min-1, p.X.Max+1
	}
	p.X.Tick.Marker = timeTicksOf{first: points[0].at, last: points[len(points)-1].at}
	p.Add(objectiveLine(p.X.Min, p.X.Max, row.Objective))
	for _, run := range runs(points, step) {
		if err := addRun(p, run, statusOf(row).colourRole()); err != nil {
			return "", err
		}
	}
	description := fmt.Sprintf("Attainment of %s over time against its objective of %s", row.Name, share(row.Objective))
	return svg(p, cardWidth, cardHeight, description)
}

// attained is one point of the plot.
type attained struct {
	at       time.Time
	total    uint64
	attained uint64
}

func (a attained) share() float64 { return float64(a.attained) / float64(a.total) }

// coarsen adds up adjacent points so that at most timePoints steps remain, and
// drops points without requests.
func coarsen(series lynxapi.BurnSeries) []attained {
	if len(series.Points) == 0 {
		return nil
	}
	step := max(time.Duration(series.StepS*float64(time.Second)), time.Second)
	first := series.Points[0].At
	span := series.Points[len(series.Points)-1].At.Sub(first)
	for span/step >= timePoints {
		step *= 2
	}
	var points []attained
	for _, p := range series.Points {
		at := p.At.Truncate(step)
		if p.Total == 0 {
			continue
		}
		if n := len(points); n == 0 || !points[n-1].at.Equal(at) {
			points = append(points, attained{at: at})
		}
		last := &points[len(points)-1]
		last.total += p.Total
		last.attained += p.Attained
	}
	return points
}

// runs splits the points at gaps of several steps without requests, so that no
// line is drawn across time that was not measured.
func runs(points []attained, step time.Duration) [][]attained {
	const gap = 4
	var all [][]attained
	start := 0
	for i := 1; i <= len(points); i++ {
		if i == len(points) || points[i].at.Sub(points[i-1].at) > gap*step {
			all = append(all, points[start:i])
			start = i
		}
	}
	return all
}

func addRun(p *plot.Plot, run []attained, colour colourRole) error {
	values := make(plotter.XYs, len(run))
	for i, a := range run {
		values[i] = plotter.XY{X: seconds(a.at), Y: a.share()}
	}
	if len(values) == 1 {
		dot, err := plotter.NewScatter(values)
		if err != nil {
			return err
		}
		dot.GlyphStyle = draw.GlyphStyle{Color: colour.color(), Radius: 2, Shape: draw.CircleGlyph{}}
		p.Add(dot)
		return nil
	}
	line, err := plotter.NewLine(values)
	if err != nil {
		return err
	}
	line.LineStyle = draw.LineStyle{Color: colour.color(), Width: lineWidth}
	p.Add(line)
	return nil
}

func objectiveLine(from, to, objective float64) *plotter.Line {
	return &plotter.Line{
		XYs:       plotter.XYs{{X: from, Y: objective}, {X: to, Y: objective}},
		LineStyle: draw.LineStyle{Color: roleText.color(), Width: thinLine * 1.5, Dashes: []vg.Length{4, 3}},
	}
}

// lowestShown returns the lower end of the axis. It is below all points and the
// objective, or 0.
func lowestShown(points []attained, objective float64) float64 {
	low := objective
	for _, a := range points {
		low = min(low, a.share())
	}
	return max(0, low-(1-low)*attainMargin)
}

// attainmentTicks labels the objective, and 100 % and the lower end of the axis
// if there is room.
type attainmentTicks struct {
	low       float64
	objective float64
}

// Ticks implements plot.Ticker.
func (t attainmentTicks) Ticks(_, _ float64) []plot.Tick {
	const room = 0.2 // share of the axis that a label needs
	ticks := []plot.Tick{{Value: t.objective, Label: share(t.objective)}}
	scale := 1 - t.low
	if 1-t.objective > room*scale {
		ticks = append(ticks, plot.Tick{Value: 1, Label: "100%"})
	}
	if t.objective-t.low > room*scale {
		ticks = append(ticks, plot.Tick{Value: t.low, Label: wholeShare(t.low)})
	}
	return ticks
}

func wholeShare(v float64) string {
	if v == 0 {
		return "0%"
	}
	return fmt.Sprintf("%.3g%%", v*100)
}

// timeTicksOf labels a few round times between first and last.
type timeTicksOf struct{ first, last time.Time }

// tickSteps are the possible distances between time labels.
var tickSteps = []time.Duration{
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 15 * time.Second, 30 * time.Second,
	time.Minute, 2 * time.Minute, 5 * time.Minute, 10 * time.Minute, 15 * time.Minute, 30 * time.Minute, time.Hour,
}

// Ticks implements plot.Ticker.
func (t timeTicksOf) Ticks(_, _ float64) []plot.Tick {
	span := t.last.Sub(t.first)
	step := tickSteps[len(tickSteps)-1]
	for _, candidate := range tickSteps {
		if span/candidate <= timeTicks {
			step = candidate
			break
		}
	}
	layout := "15:04"
	if step < time.Minute {
		layout = "15:04:05"
	}
	var ticks []plot.Tick
	for at := t.first.Truncate(step); !at.After(t.last); at = at.Add(step) {
		if !at.Before(t.first) {
			ticks = append(ticks, plot.Tick{Value: seconds(at), Label: at.UTC().Format(layout)})
		}
	}
	return ticks
}

func seconds(at time.Time) float64 { return math.Round(float64(at.UnixMilli())) / 1000 }
