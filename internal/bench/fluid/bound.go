package fluid

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// Bound is what can be on time in a span.
type Bound struct {
	Span *Span
	// Asked is the rate of each kind, a second.
	Asked []float64
	// Load is what each service is asked for, as a part of what its targets make
	// in full calls.
	Load []float64
	// Even is the share of every kind if all of those that need a service that is
	// short have the same, and no kind could have more without another having
	// less than it.
	Even []float64
	// Worthy is the share of each kind if as much worth as possible is on time.
	Worthy []float64
}

// Bounds computes the bound of each span of the sheet.
func Bounds(s *Sheet) ([]Bound, error) {
	bounds := make([]Bound, len(s.Spans))
	for i := range s.Spans {
		b, err := s.bound(&s.Spans[i])
		if err != nil {
			return nil, fmt.Errorf("span %s: %w", s.Spans[i].Name, err)
		}
		bounds[i] = b
	}
	return bounds, nil
}

func (s *Sheet) bound(p *Span) (Bound, error) {
	b := Bound{Span: p, Asked: make([]float64, len(s.Kinds)), Load: make([]float64, len(s.Services))}
	use := s.use(p, b.Asked)
	for v := range use {
		for k := range use[v] {
			b.Load[v] += use[v][k]
		}
	}
	b.Even = even(use)
	worthy, err := s.worthy(use, b.Asked)
	b.Worthy = worthy
	return b, err
}

// use returns, for each service and kind, the part of the service's targets that
// the whole kind takes. A service without targets counts as the tiny part of one.
func (s *Sheet) use(p *Span, asked []float64) [][]float64 {
	use := make([][]float64, len(s.Services))
	for v := range use {
		use[v] = make([]float64, len(s.Kinds))
	}
	for k, kind := range s.Kinds {
		asked[k] = kind.Rate
		if factor, said := p.Rates[kind.Name]; said {
			asked[k] *= factor
		}
		for _, n := range kind.Needs {
			v := s.service(n.Service)
			targets := s.Services[v].Targets
			if there, said := p.Targets[n.Service]; said {
				targets = there
			}
			use[v][k] += asked[k] * n.Pieces * s.Services[v].cost(n.Work) / max(float64(targets), tiny)
		}
	}
	return use
}

// even raises all shares alike until a service is full, leaves those that need it
// as they are, and goes on with the others (progressive filling).
func even(use [][]float64) []float64 {
	kinds := len(use[0])
	shares, done := make([]float64, kinds), make([]bool, kinds)
	for range kinds + 1 { // each round settles a kind at least
		rise := math.Inf(1)
		for k := range kinds {
			if !done[k] {
				rise = min(rise, 1-shares[k])
			}
		}
		if math.IsInf(rise, 1) {
			return shares
		}
		for _, row := range use {
			rise = min(rise, room(row, shares, done))
		}
		for k := range kinds {
			if !done[k] {
				shares[k] += rise
			}
		}
		settle(use, shares, done)
	}
	return shares
}

// room is how far the shares that are not done may rise until the service is
// full.
func room(row, shares []float64, done []bool) float64 {
	left, pull := 1.0, 0.0
	for k, u := range row {
		if u == 0 {
			continue
		}
		left -= u * shares[k]
		if !done[k] {
			pull += u
		}
	}
	if pull == 0 {
		return math.Inf(1)
	}
	return max(left, 0) / pull
}

// settle marks the kinds that can rise no more.
func settle(use [][]float64, shares []float64, done []bool) {
	const close = 1e-7
	for k := range done {
		done[k] = done[k] || shares[k] >= 1-close
	}
	for _, row := range use {
		if room(row, shares, done) > close {
			continue
		}
		for k, u := range row {
			done[k] = done[k] || u > 0
		}
	}
}

// worthy maximises the worth that is on time: a linear program in the shares,
// with a slack for each service and for each share's end at 1.
func (s *Sheet) worthy(use [][]float64, asked []float64) ([]float64, error) {
	kinds, services := len(asked), len(use)
	rows, columns := services+kinds, 2*kinds+services
	a, limits, cost := mat.NewDense(rows, columns, nil), make([]float64, rows), make([]float64, columns)
	for v, row := range use {
		limits[v] = 1
		a.Set(v, kinds+v, 1)
		for k, u := range row {
			a.Set(v, k, u)
		}
	}
	for k := range kinds {
		a.Set(services+k, k, 1)
		a.Set(services+k, kinds+services+k, 1)
		limits[services+k] = 1
		cost[k] = -asked[k] * s.Kinds[k].Worth
	}
	_, x, err := lp.Simplex(cost, a, limits, tolerance, nil)
	if err != nil {
		return nil, err
	}
	return x[:kinds], nil
}

const (
	tolerance = 1e-10
	// tiny is what a service without targets is taken to have.
	tiny = 1e-6
)

// Day is the mean of shares over the day, weighed by what is asked.
func Day(bounds []Bound, of func(Bound) []float64, kind int) float64 {
	asked, served := 0.0, 0.0
	for _, b := range bounds {
		n := b.Asked[kind] * b.Span.Seconds
		asked += n
		served += n * of(b)[kind]
	}
	if asked == 0 {
		return 1
	}
	return served / asked
}
