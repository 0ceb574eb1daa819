package stagework

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/route"
)

// Loads of a zone's cell in which all requests have the same priority, since
// their organisations' goes first, and short and long chains share a service. In
// full calls its billing targets make 560 pieces a second; calm load asks for
// 0.55 of that.

// zoneServices have 5, 4 and 5 targets.
func zoneServices() map[string]group {
	of := func(batch int, item time.Duration, room int64) route.Pieces {
		l := limits(batch, 200*ms, item, room)
		l.ResultLifetime = 4 * time.Second
		return l
	}
	return map[string]group{
		"booking":   {5, of(20, 8600*time.Microsecond, 47*mb)},
		"billing":   {4, of(52, 3300*time.Microsecond, 7*mb)},
		"reporting": {5, of(74, 2300*time.Microsecond, 970_000)},
	}
}

// demand is one kind of request.
type demand struct {
	name          string
	rate          float64 // a second, in calm times
	bursts        bool    // its rate is multiplied in the burst
	aim, deadline time.Duration
	stages        []route.Stage
	pieces        func(r *rand.Rand) []int
}

// some is a number of pieces around a mean, one at least.
func some(r *rand.Rand, mean, spread float64, most int) int {
	n := int(math.Round(mean * math.Exp(spread*r.NormFloat64()-spread*spread/2)))
	return min(max(n, 1), most)
}

// zoneDemands are the kinds of requests of a zone.
func zoneDemands() []demand {
	return []demand{
		{"review", 36, false, 910 * ms, 5 * time.Second, largeResult, func(r *rand.Rand) []int {
			if r.Float64() < 0.3 {
				return []int{0}
			}
			return []int{some(r, 2.5, 0.6, 10)}
		}},
		{"check", 41, true, 1800 * ms, 6 * time.Second, urgentChain, func(r *rand.Rand) []int {
			return []int{1, 6, some(r, 10, 0.4, 25)}
		}},
		{"draft", 10, false, 1700 * ms, 15 * time.Second, []route.Stage{
			{Service: "booking", ResultBytes: 1_500_000},
			{Service: "booking", ResultBytes: 8000},
			{Service: "billing", After: []int{1}, ResultBytes: 60_000},
			{Service: "reporting", After: []int{2}, ResultBytes: 6000},
		}, func(r *rand.Rand) []int {
			first := 0
			if r.Float64() < 0.4 {
				first = some(r, 1.5, 0.6, 6)
			}
			return []int{first, 1, 6, some(r, 10, 0.4, 25)}
		}},
	}
}

// Spans of an overload.
const (
	overloadFrom   = 3 * time.Second
	overloadTo     = 10 * time.Second
	overloadLength = 16 * time.Second
)

// surge is what became of a load with a burst, by kind and second.
type surge struct {
	kinds map[string][]tally
	// billing is what the targets of the scarcest service made in the burst.
	calls, pieces int
}

// overload plays the demands, those that burst with the factor.
func surgeOf(w *world, seed uint64, factor float64) *surge {
	s := &surge{kinds: make(map[string][]tally)}
	var mu sync.Mutex // guards s
	var wg, arrivals sync.WaitGroup
	began := time.Now()
	for k, kind := range zoneDemands() {
		s.kinds[kind.name] = make([]tally, int(overloadLength/time.Second)+1)
		arrivals.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(k)))
			for n := 0; time.Since(began) < overloadLength; n++ {
				rate, at := kind.rate, time.Since(began)
				if kind.bursts && at >= overloadFrom && at < overloadTo {
					rate *= factor
				}
				time.Sleep(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
				job := newJob(fmt.Sprint(kind.name, n), kind.aim, kind.deadline, kind.stages, kind.pieces(r)...)
				job.Priority = 1
				second := int(time.Since(began) / time.Second)
				wg.Go(func() {
					e, _, _ := w.insist(job, 2, false)
					mu.Lock()
					defer mu.Unlock()
					s.kinds[kind.name][min(second, len(s.kinds[kind.name])-1)].add(outcome(e, job))
				})
			}
		})
	}
	arrivals.Wait()
	wg.Wait()
	w.farm.mu.Lock()
	defer w.farm.mu.Unlock()
	for id, t := range w.farm.sent {
		if id.stage == 1 && t[0].Sub(began) > overloadFrom && t[0].Sub(began) < overloadTo {
			s.pieces++
		}
	}
	for n := range zoneServices()["billing"].servers {
		for _, at := range w.farm.servers[fmt.Sprint("billing", n)].begun {
			if d := at.Sub(began); d > overloadFrom && d < overloadTo {
				s.calls++
			}
		}
	}
	return s
}

var measureOverload = flag.Bool("measure-overload", false, "print the curve of what is served in a burst")

// TestOverloadCurve prints what is served in a burst.
func TestOverloadCurve(t *testing.T) {
	if !*measureOverload {
		t.Skip("-measure-overload")
	}
	for _, factor := range []float64{1, 1.5, 2, 2.5, 3, 4} {
		for seed := range uint64(2) {
			inWorld(t, zoneServices(), func(w *world) {
				s := surgeOf(w, seed, factor)
				line := fmt.Sprintf("factor %.1f seed %d:", factor, seed)
				for _, kind := range zoneDemands() {
					c := between(s.kinds[kind.name], 3, 10)
					line += fmt.Sprintf("  %s %.2f (late %.2f refused %.2f)", kind.name, c.share(),
						float64(c.late)/float64(c.asked), float64(c.refused)/float64(c.asked))
				}
				t.Logf("%s  billing: %.1f pieces a call, %.0f pieces/s, busy %.2f", line, float64(s.pieces)/float64(s.calls),
					float64(s.pieces)/7, (float64(s.calls)*0.2+float64(s.pieces)*0.0033)/7/4)
			})
		}
	}
}
