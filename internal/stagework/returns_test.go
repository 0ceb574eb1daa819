package stagework

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/route"
)

// returnsTally counts callers by what became of them. Objectives are measured from the
// first attempt.
type returnsTally struct {
	callers, onTime, late int
	refusedOnce           int // refused, and not back: the Retry-After was too long
	refusedTwice          int
	reserved, kept        int           // refusals with a reservation, and those whose callers were served after it
	least                 time.Duration // shortest Retry-After without a reservation; 0 = there was none
}

func (c *returnsTally) add(o returnsTally) {
	c.callers += o.callers
	c.onTime += o.onTime
	c.late += o.late
	c.refusedOnce += o.refusedOnce
	c.refusedTwice += o.refusedTwice
	c.reserved += o.reserved
	c.kept += o.kept
	if o.least > 0 && (c.least == 0 || o.least < c.least) {
		c.least = o.least
	}
}

func (c returnsTally) of(n int) float64 { return float64(n) / float64(max(c.callers, 1)) }

func (c returnsTally) String() string {
	return fmt.Sprintf("%d callers: on time %.3f, late %.3f, refused once and not back %.3f, refused twice %.3f; reserved %.3f, of these served %.3f", c.callers,
		c.of(c.onTime), c.of(c.late), c.of(c.refusedOnce), c.of(c.refusedTwice), c.of(c.reserved), float64(c.kept)/float64(max(c.reserved, 1)))
}

// returningLoad is a burst of one kind of request whose callers come back once, on a new
// connection with a new request ID, if the Retry-After is at most a third of the time that
// they have left.
type returningLoad struct {
	factor   float64 // of the rate of the kinds that burst
	from, to time.Duration
	length   time.Duration
	absent   float64 // share of the callers that do not come back
	submit   func(job Job) jobOutcome
}

// burstFactor makes the demand twice the capacity of the billing targets.
const burstFactor = 4.3

func burstOfReturns(w *testEnv) returningLoad {
	return returningLoad{factor: burstFactor, from: 2 * time.Second, to: 8 * time.Second, length: 11 * time.Second,
		submit: w.serve}
}

// attempt serves a caller that comes back at most once.
func (l returningLoad) attempt(job Job, aim time.Duration, returns bool) (c returnsTally) {
	c.callers = 1
	first, id := time.Now(), job.ID
	job.CallerKey = id
	for second := range 2 {
		job.ID = fmt.Sprint(id, " try ", second)
		job.OnTimeUntil = time.Now().Add(aim) // its owner does not know of the first attempt
		e := l.submit(job)
		switch {
		case e.engine != "" && e.at.After(first.Add(aim)):
			c.late, c.kept = 1, c.reserved
			return c
		case e.engine != "":
			c.onTime, c.kept = 1, c.reserved
			return c
		case second == 1:
			c.refusedTwice = 1
			return c
		}
		if e.refusal.Reserved {
			c.reserved = 1
		} else {
			c.least = e.refusal.RetryAfter
		}
		if e.refusal.RetryAfter > time.Until(job.Deadline)/3 || !returns {
			break
		}
		time.Sleep(e.refusal.RetryAfter)
	}
	c.refusedOnce = 1
	return c
}

// run returns the tallies of the callers that came first during the burst, and of those that
// came afterwards, by kind.
func (l returningLoad) run(seed uint64) (burst, after map[string]*returnsTally) {
	burst, after = make(map[string]*returnsTally), make(map[string]*returnsTally)
	var mu sync.Mutex // guards the tallies
	var wg, arrivals sync.WaitGroup
	began := time.Now()
	for k, kind := range zoneRequestKinds() {
		burst[kind.name], after[kind.name] = &returnsTally{}, &returnsTally{}
		arrivals.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(k)))
			for n := 0; time.Since(began) < l.length; n++ {
				rate, at := kind.rate, time.Since(began)
				if kind.bursts && at >= l.from && at < l.to {
					rate *= l.factor
				}
				time.Sleep(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
				job := newJob(fmt.Sprint(kind.name, n), kind.aim, kind.deadline, kind.stages, kind.pieces(r)...)
				job.Priority, job.Route = 1, kind.name
				returns, at := r.Float64() >= l.absent, time.Since(began)
				wg.Go(func() {
					c := l.attempt(job, kind.aim, returns)
					mu.Lock()
					defer mu.Unlock()
					switch {
					case at >= l.from && at < l.to:
						burst[kind.name].add(c)
					case at >= l.to:
						after[kind.name].add(c)
					}
				})
			}
		})
	}
	arrivals.Wait()
	wg.Wait()
	return burst, after
}

func sum(of map[string]*returnsTally) (all returnsTally) {
	for _, c := range of {
		all.add(*c)
	}
	return all
}

var measureReturns = flag.Bool("measure-returns", false, "print what becomes of callers that come back, with and without reservations")

// TestReturnsCurve logs what becomes of callers in bursts of several sizes.
func TestReturnsCurve(t *testing.T) {
	if !*measureReturns {
		t.Skip("-measure-returns")
	}
	for _, factor := range []float64{3, burstFactor} {
		for _, on := range []bool{false, true} {
			burst, after, counts := make(map[string]*returnsTally), returnsTally{}, ReservationCounts{}
			for seed := range uint64(loadSeeds) {
				withEnv(t, zoneServices(), func(w *testEnv) {
					w.d.SetOverload(Overload{Reservations: on})
					l := burstOfReturns(w)
					l.factor = factor
					b, a := l.run(seed)
					for name, c := range b {
						if burst[name] == nil {
							burst[name] = &returnsTally{}
						}
						burst[name].add(*c)
					}
					after.add(sum(a))
					counts = counts.plus(w.d.ReservationCounts())
				})
			}
			for _, kind := range zoneRequestKinds() {
				t.Logf("factor %.1f reservations %v %s: %v", factor, on, kind.name, *burst[kind.name])
			}
			t.Logf("factor %.1f reservations %v all in the burst: %v", factor, on, sum(burst))
			t.Logf("factor %.1f reservations %v all in 3 s after it: %v  %+v", factor, on, after, counts)
		}
	}
}

// TestReturnsCountTheFairnessOfTheirPriority guards against reservations that ignore, with
// shares, that the route is served better than others: its jobs are refused, and the time at
// which its callers would be on time is forecast too early.
func TestReturnsCountTheFairnessOfTheirPriority(t *testing.T) {
	now := time.Unix(1e9, 0)
	p := zonePlanner(true)
	billing := []route.Stage{{Service: "billing", ResultBytes: 6000}}
	for n := range 120 {
		submitted(t, p, now, fmt.Sprint("queued ", n), billing, 6)
	}
	j := submitted(t, p, now, "job", billing, 6)
	f, needs := p.acceptedForecast(j, now), p.remaining(j, now)
	equal := p.servedAfter(j, f, 0, needs)
	routes := p.services["billing"].fairnessFor(j)
	routes.stats("other", now).requests, routes.stats("other", now).late = 100, 100
	if better := p.servedAfter(j, f, 0, needs); better <= equal {
		t.Errorf("served after %v although its route is served better, %v if it is not", better, equal)
	}
}
