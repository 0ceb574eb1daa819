package report

import (
	"fmt"
	"image/color"
	"strings"
)

// ink is a colour of a plot by its meaning. Plots are drawn in stand-in
// colours, one for each ink, and the finished SVG names the page's CSS
// variables instead, so that one picture suits light and dark.
type ink int

const (
	inkText ink = iota
	inkMuted
	inkGrid
	inkMet
	inkAtRisk
	inkMissed
	inkShort
	inkLong
	inkWaste
	inkSeries1
	inkSeries2
	inkSeries3
	inkSeries4
	inkSeries5
	inkCount
)

// inkVariables are the CSS variables of the page.
var inkVariables = [inkCount]string{
	"--text", "--muted", "--grid", "--met", "--risk", "--missed", "--short", "--long", "--waste",
	"--s1", "--s2", "--s3", "--s4", "--s5",
}

const seriesInks = int(inkCount - inkSeries1)

// Stand-in colours are #0A00NN: no colour of the plotting library.
const standInRed = 0x0A

// color returns the ink's stand-in.
func (i ink) color() color.Color { return color.RGBA{R: standInRed, B: uint8(i) + 1, A: 0xFF} }

// inkReplacer turns stand-ins into CSS variables.
var inkReplacer = newInkReplacer()

func newInkReplacer() *strings.Replacer {
	pairs := make([]string, 0, 2*inkCount)
	for i, variable := range inkVariables {
		pairs = append(pairs, fmt.Sprintf("#%02X00%02X", standInRed, i+1), "var("+variable+")")
	}
	return strings.NewReplacer(pairs...)
}

func (s status) ink() ink {
	switch s {
	case statusMet:
		return inkMet
	case statusAtRisk:
		return inkAtRisk
	case statusMissed:
		return inkMissed
	}
	return inkMuted
}
