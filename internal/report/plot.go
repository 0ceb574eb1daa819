package report

import (
	"bytes"
	"fmt"
	"html/template"
	"regexp"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Sizes of plots in points; the page scales them to its width.
const (
	textSize   = vg.Length(10)
	lineWidth  = vg.Length(1.6)
	thinLine   = vg.Length(0.6)
	wideWidth  = vg.Length(760)
	cardWidth  = vg.Length(270)
	cardHeight = vg.Length(96)
	barRow     = vg.Length(20) // height of one bar with its gap
	barPadding = vg.Length(36) // axis and its title
)

// newPlot returns an empty plot in the page's colours.
func newPlot() *plot.Plot {
	p := plot.New()
	p.BackgroundColor = nil
	p.Title.TextStyle.Color = roleText.color()
	styleAxis(&p.X)
	styleAxis(&p.Y)
	return p
}

func sans(size vg.Length) font.Font {
	return font.Font{Typeface: "Liberation", Variant: "Sans", Size: size}
}

func styleAxis(axis *plot.Axis) {
	axis.LineStyle.Color = roleGrid.color()
	axis.LineStyle.Width = thinLine
	axis.Tick.LineStyle.Color = roleGrid.color()
	axis.Tick.LineStyle.Width = thinLine
	axis.Tick.Length = 3
	axis.Tick.Label.Color = roleMuted.color()
	axis.Tick.Label.Font = sans(textSize)
	axis.Label.TextStyle.Color = roleMuted.color()
	axis.Label.TextStyle.Font = sans(textSize)
}

// grid returns thin lines at the ticks: vertical lines, or horizontal ones if
// vertical is false.
func grid(vertical bool) *plotter.Grid {
	g := plotter.NewGrid()
	style := draw.LineStyle{Color: roleGrid.color(), Width: thinLine}
	g.Horizontal, g.Vertical = style, draw.LineStyle{}
	if vertical {
		g.Horizontal, g.Vertical = draw.LineStyle{}, style
	}
	return g
}

// sizeAttributes matches the fixed size of a picture. It is removed, as the page
// scales pictures.
var sizeAttributes = regexp.MustCompile(`<svg width="[^"]*" height="[^"]*"`)

// svg renders the plot as an inline SVG with a description for screen readers.
func svg(p *plot.Plot, width, height vg.Length, description string) (template.HTML, error) {
	canvas := vgsvg.New(width, height)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", fmt.Errorf("draw %s: %w", description, err)
	}
	text := out.String()
	start := strings.Index(text, "<svg")
	if start < 0 {
		return "", fmt.Errorf("draw %s: the library wrote no SVG", description)
	}
	text = placeholderReplacer.Replace(text[start:])
	label := fmt.Sprintf(`<svg role="img" aria-label="%s"`, template.HTMLEscapeString(description))
	text = sizeAttributes.ReplaceAllLiteralString(text, label)
	return template.HTML(text), nil // the library escapes the text it draws
}
