package stagework

import (
	"fmt"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/allowance"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/route"
)

// oneRequestShares allows each instance one request per span to each cold
// target.
type oneRequestShares struct{}

func (oneRequestShares) Share(string, string, float64) int { return 1 }
func (oneRequestShares) Span() time.Duration               { return allowance.ColdSpan }

// coldChooser returns an engineChooser with n engines of a service that handles
// rate requests per second while cold; the first few engines are cold for 3 s.
func coldChooser(t *testing.T, n, cold int, rate float64) *engineChooser {
	c := &engineChooser{NewPlanner(func(string, []string) {}), t, time.Unix(1e9, 0)}
	c.bounds.Cold = oneRequestShares{}
	table, targets := engines(n)
	table.Services["lm"].ColdRate = rate
	for i := range targets {
		targets[i].Zone = "p0"
		if i < cold {
			targets[i].ColdUntil = c.now.Add(3 * time.Second)
		}
	}
	c.SetTargets(table, fleet.NewView(1, targets))
	return c
}

// TestAnOwnersShareOfAColdEngine guards against overloading engines that have
// just started. One of four engines is cold, and a session whose prompt parts
// it has cached sends twenty requests at once through one instance; without the
// share, all of them stay on that engine.
func TestAnOwnersShareOfAColdEngine(t *testing.T) {
	c := coldChooser(t, 4, 1, 15)
	atCold := 0
	for k := range 20 {
		if _, id := c.place("s", k, 4000); id == "lm0" {
			atCold++
		}
	}
	if atCold > 1 {
		t.Errorf("%d jobs of one owner on the cold engine, its share is 1", atCold)
	}
	c.now = c.now.Add(allowance.ColdSpan)
	all := 0
	for k := range 20 {
		in := Job{ID: fmt.Sprint("o", k), Owner: fmt.Sprint("i-", k), Service: "lm", OnTimeUntil: c.now.Add(time.Second), Deadline: c.now.Add(time.Minute)}
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
		t.Error("none of twenty owners got its share")
	}
}

// TestJobWithoutAShareIsRefusedAtOnce guards against jobs that wait for a share
// which their owner does not get, when all engines of a zone are cold: the
// owner has to be informed at once.
func TestJobWithoutAShareIsRefusedAtOnce(t *testing.T) {
	c := coldChooser(t, 1, 1, 15)
	if _, id := c.place("s", 0, 100); id != "lm0" {
		t.Fatalf("the first job was placed on %q", id)
	}
	var later *Refusal
	in := Job{ID: "second", Service: "lm", OnTimeUntil: c.now.Add(time.Second), Deadline: c.now.Add(time.Minute)}
	_, refusal := c.submit(in, func(_ Placement, r *Refusal) { later = r }, c.now)
	c.plan(c.now)
	if refusal == nil && (later == nil || later.Reason != ReasonNoTarget) {
		t.Errorf("the second job was refused with %v, later with %v; want one refusal", refusal, later)
	}
}

// TestCrowdedEnginesGoBeforeThoseThatFail guards against placing jobs on a
// failing engine because all others have reached their cold rate. If engines at
// their cold rate were treated like those in backoff, requests would use up
// their attempts on the failing engine.
func TestCrowdedEnginesGoBeforeThoseThatFail(t *testing.T) {
	const rate = 3
	c := coldChooser(t, 3, 0, rate)
	for k := range 3 * rate {
		c.place("s", k, 100)
	}
	c.pools["lm"].engines["lm1"].recordFailure(c.now)
	for k := range 6 {
		if _, id := c.place("t", k, 100); id == "lm1" {
			t.Error("a request was placed on the failing engine")
		}
	}
}

// TestAnEngineGetsNoMoreThanItWouldBearCold guards against overloading an
// engine that becomes cold while it is serving, which the dispatcher learns
// only 2 s later. With much of the traffic sharing one prompt part, all of it
// would go to the engine that has the part cached.
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
			t.Errorf("%s got %d requests within a second, its cold rate is %d", id, n, rate)
		}
	}
}

// fixedLimits implements TargetNotices with rate limits by target ID.
type fixedLimits map[string]float64

func (n fixedLimits) Limit(target string) (float64, bool) {
	rate, ok := n[target]
	return rate, ok
}

func (n fixedLimits) Pause(string) time.Time { return time.Time{} }

// twoRequestShares allows each instance two requests per span to a target that
// announces a limit.
type twoRequestShares struct{}

func (twoRequestShares) Share(string, string, float64) int { return 2 }
func (twoRequestShares) Span() time.Duration               { return 4 * time.Second }

// TestAnOwnersShareOfATargetsLimit guards against ignoring the rate limit that
// an engine announces. One of two engines announces a limit, and a session
// whose parts it has cached sends ten requests through one instance; afterwards
// the limit is lifted.
func TestAnOwnersShareOfATargetsLimit(t *testing.T) {
	c := coldChooser(t, 2, 0, 0)
	asks := fixedLimits{}
	for _, o := range c.pools {
		o.bounds = RateLimits{Limited: twoRequestShares{}, Notices: asks}
		for _, e := range o.engines {
			e.limitWindow = o.bounds.window()
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
		t.Errorf("%d jobs of one owner on the rate-limited engine, its share is 2", n)
	}
	c.now = c.now.Add(twoRequestShares{}.Span())
	if n := at(true); n != 2 {
		t.Errorf("%d jobs of the owner one span later, its share is 2", n)
	}
	if n := at(false); n <= 2 {
		t.Errorf("%d of 10 jobs after the limit was lifted, not more than the previous share", n)
	}
}

// TestAStageTargetsLimitIsKept guards against ignoring the rate limit that a
// stage target announces: one of two targets does so, and twenty requests
// arrive one by one.
func TestAStageTargetsLimitIsKept(t *testing.T) {
	services := map[string]serviceSpec{"cut": {2, limits(8, 20*ms, 1*ms, 64*mb)}}
	stages := []route.Stage{{Service: "cut", ResultBytes: 1000}}
	withEnv(t, services, func(w *testEnv) {
		var limited string
		for _, target := range w.targets {
			if target.Service == "cut" {
				limited = target.ID
			}
		}
		w.d.mu.Lock()
		w.d.o.RateLimits = RateLimits{Self: "self", Limited: twoRequestShares{}, Notices: fixedLimits{limited: 1}}
		for _, p := range w.d.planners {
			t.Fatal("a planner already exists", p.cell)
		}
		w.d.mu.Unlock()
		ends := w.serveAll(20, 50*ms, func(i int) Job { return newJob(i, 3*time.Second, 4*time.Second, stages, 2) })
		requirePlaced(t, ends...)
		if n := w.callsStarted("cut")[limited]; n > 2 {
			t.Errorf("%d calls of the rate-limited target, the share is 2", n)
		}
		if n := w.fake.releaseCalls[limited]; n > 1 {
			t.Errorf("%d release calls within a second to the rate-limited target", n)
		}
	})
}
