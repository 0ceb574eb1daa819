package report

import (
	"fmt"
	"image/color"
	"strings"
)

// colourRole is the role of a colour in a plot. Plots are drawn in placeholder
// colours, one per role. In the finished SVG these are replaced by the page's
// CSS variables, so that one picture fits both the light and the dark theme.
type colourRole int

const (
	roleText colourRole = iota
	roleMuted
	roleGrid
	roleMet
	roleAtRisk
	roleMissed
	roleShort
	roleLong
	roleWaste
	roleSeries1
	roleSeries2
	roleSeries3
	roleSeries4
	roleSeries5
	roleCount
)

// cssVariables are the page's CSS variables, by role.
var cssVariables = [roleCount]string{
	"--text", "--muted", "--grid", "--met", "--risk", "--missed", "--short", "--long", "--waste",
	"--s1", "--s2", "--s3", "--s4", "--s5",
}

const seriesRoles = int(roleCount - roleSeries1)

// placeholderRed is the red part of placeholder colours. They are #0A00NN, which
// the plotting library does not use by itself.
const placeholderRed = 0x0A

// color returns the placeholder colour of the role.
func (i colourRole) color() color.Color {
	return color.RGBA{R: placeholderRed, B: uint8(i) + 1, A: 0xFF}
}

// placeholderReplacer replaces placeholder colours by CSS variables.
var placeholderReplacer = newPlaceholderReplacer()

func newPlaceholderReplacer() *strings.Replacer {
	pairs := make([]string, 0, 2*roleCount)
	for i, variable := range cssVariables {
		pairs = append(pairs, fmt.Sprintf("#%02X00%02X", placeholderRed, i+1), "var("+variable+")")
	}
	return strings.NewReplacer(pairs...)
}

func (s status) colourRole() colourRole {
	switch s {
	case statusMet:
		return roleMet
	case statusAtRisk:
		return roleAtRisk
	case statusMissed:
		return roleMissed
	}
	return roleMuted
}
