package bench

import (
	"math"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat"
)

// The size that docs/CAPACITY.md is written for.
const (
	sizeInstances = 370
	sizeTargets   = 600
)

// Bounds of what an instance may spend on control, and of the platform.
const (
	boundCores  = 0.027
	boundMemory = 256.0    // MB
	boundBytes  = 16 << 10 // a second
	boundReads  = 2000.0   // a second, of all instances
	boundWrites = 400.0    // "several hundred" a second, of all instances
)

// spending is a value of a point, for fits and tables.
type spending struct {
	name  string
	unit  string
	value func(CapacityPoint) float64 // of one instance
	bound float64                     // of one instance at the size; 0 = none
	quiet bool                        // the bound is for control, so it holds without requests
}

const (
	allBytes = "all control bytes"
	// controlParts is the number of spendings, the first ones, that make up
	// all control bytes.
	controlParts = 3
)

var spendings = []spending{
	{"bytes with peers", "B/s", func(p CapacityPoint) float64 { return p.PeerBytes }, 0, false},
	{"bytes with the platform", "B/s", func(p CapacityPoint) float64 { return p.PlatformBytes }, 0, false},
	{"bytes with targets", "B/s", func(p CapacityPoint) float64 { return p.TargetBytes }, 0, false},
	{allBytes, "B/s", CapacityPoint.ControlBytes, boundBytes, true},
	{"control bytes of the busiest", "B/s", func(p CapacityPoint) float64 { return p.Busiest }, boundBytes, true},
	{"digest bytes, encoded", "B/s", func(p CapacityPoint) float64 { return p.DigestBytes }, 0, false},
	{"exchanges started", "/s", func(p CapacityPoint) float64 { return p.Exchanges }, 0, false},
	{"platform reads", "/s", func(p CapacityPoint) float64 { return p.Reads }, boundReads / sizeInstances, false},
	{"platform writes", "/s", func(p CapacityPoint) float64 { return p.Writes }, boundWrites / sizeInstances, false},
	{"processor", "cores", func(p CapacityPoint) float64 { return p.Cores }, boundCores, true},
	{"memory", "MB", func(p CapacityPoint) float64 { return p.MemoryMB }, boundMemory, false},
	{"goroutines", "", func(p CapacityPoint) float64 { return p.Goroutines }, 0, false},
	{"connections", "", func(p CapacityPoint) float64 { return p.Connections }, 0, false},
	{"age of the confirmation at worst", "s", func(p CapacityPoint) float64 { return p.ConfirmAge }, 0, false},
}

// Slope is a measure of one instance over the number n of instances:
//
//	shared/n + each + growth*n
//
// shared is spent by all together, whatever their number (each target is polled
// by two instances), each by every instance by itself, and growth for every
// other instance (a connection to it, a row about it).
type Slope struct {
	Measure string  `json:"measure"`
	Unit    string  `json:"unit"`
	Last    float64 `json:"last"` // measured at the largest number of instances
	Shared  float64 `json:"shared"`
	Each    float64 `json:"each"`
	Growth  float64 `json:"growth"`
	// Off is the largest relative difference between fit and measurement; of a
	// sum, that of its parts.
	Off float64 `json:"off"`
	// AtSize is extrapolated.
	AtSize float64 `json:"at_size"`
	Bound  float64 `json:"bound,omitempty"`
}

func (s Slope) at(n float64) float64 { return s.Shared/n + s.Each + s.Growth*n }

// Margin is the part of the bound that is left at the size; below 0 the bound
// is broken. It is NaN without a bound.
func (s Slope) Margin() float64 {
	if s.Bound == 0 {
		return math.NaN()
	}
	return 1 - s.AtSize/s.Bound
}

// overInstances fits all spendings over the number of instances. All control
// bytes are the sum of the fits of their parts: fitted as one, a part that
// shrinks hides one that grows.
func overInstances(points []CapacityPoint) []Slope {
	if len(points) < terms {
		return nil // fewer would tell nothing of one of the terms
	}
	var slopes []Slope
	for _, m := range spendings {
		var n, values []float64
		for _, p := range points {
			n = append(n, float64(p.Instances))
			values = append(values, m.value(p))
		}
		s := fitSlope(n, values)
		s.Measure, s.Unit, s.Last = m.name, m.unit, values[len(values)-1]
		if !m.quiet || points[0].Rate == 0 {
			s.Bound = m.bound
		}
		if m.name == allBytes {
			s.add(slopes[:controlParts])
		}
		s.AtSize = s.at(sizeInstances)
		slopes = append(slopes, s)
	}
	return slopes
}

// add makes s the sum of its parts.
func (s *Slope) add(parts []Slope) {
	s.Shared, s.Each, s.Growth, s.Off = 0, 0, 0, 0
	for _, p := range parts {
		s.Shared, s.Each, s.Growth = s.Shared+p.Shared, s.Each+p.Each, s.Growth+p.Growth
		s.Off = max(s.Off, p.Off)
	}
}

// terms of a Slope.
const terms = 3

// smallest is the part of the largest value below which relative errors count
// as those of that part.
const smallest = 0.01

// fitSlope fits by least squares of the relative errors. No term can be
// negative, since nobody gives anything back: of the fits with any of the
// terms left out, the closest without a negative one is taken.
func fitSlope(n, values []float64) Slope {
	least := smallest * floats.Max(values)
	best, bestError := Slope{}, math.Inf(1)
	for set := 1; set < 1<<terms; set++ {
		s, ok := fitTerms(n, values, set, least)
		if !ok || min(s.Shared, s.Each, s.Growth) < 0 {
			continue
		}
		sumSquares := 0.0
		s.Off = 0
		for i := range n {
			off := math.Abs(s.at(n[i])-values[i]) / max(values[i], least)
			sumSquares += off * off
			s.Off = max(s.Off, off)
		}
		if sumSquares < bestError {
			best, bestError = s, sumSquares
		}
	}
	return best
}

// fitTerms fits the terms in the set alone.
func fitTerms(n, values []float64, set int, least float64) (Slope, bool) {
	var kept []int
	for term := range terms {
		if set&(1<<term) != 0 {
			kept = append(kept, term)
		}
	}
	if len(kept) > len(n) || least <= 0 {
		return Slope{}, least <= 0
	}
	a, b := mat.NewDense(len(n), len(kept), nil), mat.NewVecDense(len(n), nil)
	for i := range n {
		weight := 1 / max(values[i], least)
		b.SetVec(i, values[i]*weight)
		for j, term := range kept {
			a.Set(i, j, [terms]float64{1 / n[i], 1, n[i]}[term]*weight)
		}
	}
	var x mat.VecDense
	if err := x.SolveVec(a, b); err != nil {
		return Slope{}, false
	}
	var found [terms]float64
	for j, term := range kept {
		found[term] = x.AtVec(j)
	}
	return Slope{Shared: found[0], Each: found[1], Growth: found[2]}, true
}

// Fit is a line through points by least squares.
type Fit struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	R2        float64 `json:"r2"`
}

func fit(x, y []float64) Fit {
	alpha, beta := stat.LinearRegression(x, y, nil, false)
	return Fit{Intercept: alpha, Slope: beta, R2: stat.RSquared(x, y, nil, alpha, beta)}
}

func (f Fit) at(x float64) float64 { return f.Intercept + f.Slope*x }

// TargetSlope is a measure of one instance over the number of targets.
type TargetSlope struct {
	Measure string `json:"measure"`
	Unit    string `json:"unit"`
	Fit     Fit    `json:"fit"`
}

// overTargets fits all spendings over the number of targets.
func overTargets(points []CapacityPoint) []TargetSlope {
	var slopes []TargetSlope
	for _, m := range spendings {
		var t, each []float64
		for _, p := range points {
			t = append(t, float64(p.Targets))
			each = append(each, m.value(p))
		}
		slopes = append(slopes, TargetSlope{Measure: m.name, Unit: m.unit, Fit: fit(t, each)})
	}
	return slopes
}
