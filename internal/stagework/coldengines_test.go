package stagework

import (
	"fmt"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/allowance"
	"lynxhill.example/lynxhill/internal/fleet"
)

// oneEach lets each instance send one request to each cold target in a span.
type oneEach struct{}

func (oneEach) Share(string, string, float64) int { return 1 }

// coldChooser has n engines of a service that bears rate requests a second while
// cold, of which the first few are cold for 3 s.
func coldChooser(t *testing.T, n, cold int, rate float64) *chooser {
	c := &chooser{NewPlanner(func(string, []string) {}), t, time.Unix(1e9, 0)}
	c.coldShares = oneEach{}
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
