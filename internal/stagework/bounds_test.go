package stagework

import (
	"fmt"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/allowance"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/route"
)

// oneEach lets each instance send one request to each cold target in a span.
type oneEach struct{}

func (oneEach) Share(string, string, float64) int { return 1 }
func (oneEach) Span() time.Duration               { return allowance.ColdSpan }

// coldChooser has n engines of a service that bears rate requests a second while
// cold, of which the first few are cold for 3 s.
func coldChooser(t *testing.T, n, cold int, rate float64) *chooser {
	c := &chooser{NewPlanner(func(string, []string) {}), t, time.Unix(1e9, 0)}
	c.bounds.Cold = oneEach{}
	table, targets := engines(n)
	table.Services["lm"].ColdRate = rate
	for i := range targets {
		targets[i].Place = "p0"
		if i < cold {
			targets[i].ColdUntil = c.now.Add(3 * time.Second)
		}
	}
	c.SetTargets(table, fleet.NewView(1, targets))
	return c
}

// Symptom: engines that have just started crash again.
// Events: one of four engines is cold, and a session whose parts it keeps sends
// twenty requests at once, all by one instance.
// Cause: sessions stay at their engine whatever that bears.
func TestAnOwnersShareOfAColdEngine(t *testing.T) {
	c := coldChooser(t, 4, 1, 15)
	atCold := 0
	for k := range 20 {
		if _, id := c.place("s", k, 4000); id == "lm0" {
			atCold++
		}
	}
	if atCold > 1 {
		t.Errorf("%d jobs of one owner at the cold engine, its share is 1", atCold)
	}
	c.now = c.now.Add(allowance.ColdSpan)
	all := 0
	for k := range 20 {
		in := Job{ID: fmt.Sprint("o", k), Owner: fmt.Sprint("i-", k), Service: "lm", Aim: c.now.Add(time.Second), Deadline: c.now.Add(time.Minute)}
		if _, refusal := c.submit(in, func(p Placement, _ *Refusal) {
			if p.Target == "lm0" {
				all++
			}
		}, c.now); refusal != nil {
			t.Fatal(refusal.Reason)
		}
		c.plan(c.now)
	}
	if all == 0 {
		t.Error("none of twenty owners used its share")
	}
}

// Symptom: no request of a zone is served for seconds after its engines have
// come back.
// Events: all engines are cold; a request comes whose owner has no share left.
// Cause: it waits for what it does not get. It has to be told at once.
func TestWithoutAShareTheJobIsToldAtOnce(t *testing.T) {
	c := coldChooser(t, 1, 1, 15)
	if _, id := c.place("s", 0, 100); id != "lm0" {
		t.Fatalf("the first job is at %q", id)
	}
	var told *Refusal
	in := Job{ID: "second", Service: "lm", Aim: c.now.Add(time.Second), Deadline: c.now.Add(time.Minute)}
	_, refusal := c.submit(in, func(_ Placement, r *Refusal) { told = r }, c.now)
	c.plan(c.now)
	if refusal == nil && (told == nil || told.Reason != ReasonNoTarget) {
		t.Errorf("the second job is told %v, %v", refusal, told)
	}
}

// Symptom: streams that may be resumed end after eleven of fifteen events.
// Events: all engines get more than they would bear cold; one of them fails what
// it gets.
// Cause: crowded engines were held for suspects, so that the one that fails was as
// good as the others, and requests used up their attempts there.
func TestCrowdedEnginesGoBeforeThoseThatFail(t *testing.T) {
	const rate = 3
	c := coldChooser(t, 3, 0, rate)
	for k := range 3 * rate {
		c.place("s", k, 100)
	}
	c.pools["lm"].engines["lm1"].failed(c.now)
	for k := range 6 {
		if _, id := c.place("t", k, 100); id == "lm1" {
			t.Error("a request was placed at the engine that fails")
		}
	}
}

// Symptom: an engine crashes though no target was told to be cold.
// Events: engines become cold in the middle of their work, and tell it 2 s
// later; much of the traffic shares one prompt part.
// Cause: all of it goes to the engine that keeps the part.
func TestAnEngineGetsNoMoreThanItWouldBearCold(t *testing.T) {
	const rate = 15
	c := coldChooser(t, 4, 0, rate)
	most := make(map[string]int)
	for k := range 3 * rate {
		_, id := c.place("hot", k%3, 8000)
		most[id]++
	}
	for id, n := range most {
		if n > rate {
			t.Errorf("%s got %d requests within a second, it would bear %d", id, n, rate)
		}
	}
}

// named is what targets ask: limits by id.
type named map[string]float64

func (n named) Limit(target string) (float64, bool) {
	rate, ok := n[target]
	return rate, ok
}

func (n named) Pause(string) time.Time { return time.Time{} }

// two lets each instance send two requests in a span to a target that names a
// limit.
type two struct{}

func (two) Share(string, string, float64) int { return 2 }
func (two) Span() time.Duration               { return 4 * time.Second }

// Symptom: an engine that names how many requests a second it takes gets as many
// as before.
// Events: one of two engines names a limit, and a session whose parts it keeps
// sends ten requests, all by one instance. The limit ends.
// Cause: engines were chosen by what they keep alone.
func TestAnOwnersShareOfANamedLimit(t *testing.T) {
	c := coldChooser(t, 2, 0, 0)
	asks := named{}
	for _, o := range c.pools {
		o.bounds = Bounds{Limited: two{}, Asks: asks}
		for _, e := range o.engines {
			e.limited = o.bounds.window()
		}
	}
	_, home := c.place("s", 0, 8000)
	at := func(limited bool) (n int) {
		delete(asks, home)
		if limited {
			asks[home] = 1
		}
		for k := range 10 {
			if _, id := c.place("s", k, 8000); id == home {
				n++
			}
		}
		return n
	}
	if n := at(true); n != 2 {
		t.Errorf("%d jobs of one owner at the engine that names a limit, its share is 2", n)
	}
	c.now = c.now.Add(two{}.Span())
	if n := at(true); n != 2 {
		t.Errorf("%d jobs a span later, its share is 2", n)
	}
	if n := at(false); n <= 2 {
		t.Errorf("%d of 10 jobs once the limit has ended, no more than the share before", n)
	}
}

// Symptom: a stage target that names a limit gets as many calls as before.
// Events: one of two stage targets names a limit; twenty requests come, one after
// the other. Cause: calls were formed by what is free alone.
func TestAStageTargetsNamedLimit(t *testing.T) {
	services := map[string]group{"cut": {2, limits(8, 20*ms, 1*ms, 64*mb)}}
	stages := []route.Stage{{Service: "cut", ResultBytes: 1000}}
	inWorld(t, services, func(w *world) {
		var limited string
		for _, target := range w.targets {
			if target.Service == "cut" {
				limited = target.ID
			}
		}
		w.d.mu.Lock()
		w.d.o.Bounds = Bounds{Self: "self", Limited: two{}, Asks: named{limited: 1}}
		for _, p := range w.d.planners {
			t.Fatal("a planner has begun", p.cell)
		}
		w.d.mu.Unlock()
		ends := w.serveAll(20, 50*ms, func(i int) Job { return newJob(i, 3*time.Second, 4*time.Second, stages, 2) })
		requirePlaced(t, ends...)
		if n := w.begun("cut")[limited]; n > 2 {
			t.Errorf("%d calls of the target that names a limit, the share is 2", n)
		}
		if n := w.farm.frees[limited]; n > 1 {
			t.Errorf("%d calls to give up results of a second at the target that names a limit", n)
		}
	})
}
