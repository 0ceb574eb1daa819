package stagework

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/control/rendezvous"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
)

// engineChooser is a planner with engines and no stages, at a time that the
// test controls.
type engineChooser struct {
	*Planner
	t   *testing.T
	now time.Time
}

// newChooser returns an engineChooser with n engines, listed in an order
// rotated by shift.
func newChooser(t *testing.T, n, shift int) *engineChooser {
	c := &engineChooser{NewPlanner(func(string, []string) {}), t, time.Unix(1e9, 0)}
	table, targets := engines(n)
	for i := range targets {
		targets[i].Zone = "p0"
	}
	c.SetTargets(table, fleet.NewView(1, slices.Concat(targets[shift:], targets[:shift])))
	return c
}

// place submits a job of a session whose prompt grows with each turn. It
// returns the job and the ID of its engine.
func (c *engineChooser) place(session string, turn, tokens int, avoid ...string) (j *job, id string) {
	parts := []relay.PromptPart{{ID: "all", Tokens: 200}, {ID: session, Tokens: tokens}}
	for i := range turn {
		parts = append(parts, relay.PromptPart{ID: fmt.Sprint(session, "/", i), Tokens: 100})
	}
	in := Job{
		ID: fmt.Sprint(session, turn), OnTimeUntil: c.now.Add(time.Second), Deadline: c.now.Add(time.Minute), Service: "lm", Zone: "p0",
		Prompt: &relay.Prompt{TokensIn: 200 + tokens + 100*turn, TokensOut: 100, Parts: parts}, ExcludedEngines: avoid,
	}
	j, refusal := c.submit(in, func(p Placement, _ *Refusal) { id = p.Target }, c.now)
	if refusal != nil {
		c.t.Fatal(refusal)
	}
	c.plan(c.now)
	return j, id
}

// serve runs one turn of a session and returns its engine, which processes 40
// prompt tokens per millisecond.
func (c *engineChooser) serve(session string, turn, tokens int, avoid ...string) string {
	j, id := c.place(session, turn, tokens, avoid...)
	c.now = c.now.Add(firstEvent + time.Duration(j.uncachedTokens)*ms/40)
	c.answerStarted(j, c.now)
	c.cancel(j, c.now)
	return id
}

func TestSessionsStayWithTheirEngine(t *testing.T) {
	c := newChooser(t, 5, 0)
	at := make(map[string]string)
	for turn := 1; turn <= 5; turn++ {
		for s := range 40 {
			session := fmt.Sprint("s", s)
			id := c.serve(session, turn, 2000)
			if at[session] != "" && at[session] != id {
				t.Errorf("turn %d of %s moved from %s to %s", turn, session, at[session], id)
			}
			at[session] = id
		}
	}
	if used := slices.Compact(slices.Sorted(maps.Values(at))); len(used) < 4 {
		t.Errorf("40 sessions use only %v", used)
	}
}

func TestTwoDispatchersAgreeOnTheHomeOfASession(t *testing.T) {
	for s := range 40 {
		session := fmt.Sprint("s", s)
		a, b := newChooser(t, 5, 0).serve(session, 1, 2000), newChooser(t, 5, 3).serve(session, 1, 2000)
		if a != b || a == "" {
			t.Errorf("%s: %s and %s", session, a, b)
		}
	}
}

func TestAvoidedAndDrainingEnginesAreNotChosen(t *testing.T) {
	c := newChooser(t, 3, 0)
	home := c.serve("s", 1, 2000)
	second := c.serve("s", 2, 2000, home)
	if second == home || second == "" {
		t.Errorf("excluded %s and got %s", home, second)
	}
	table, targets := engines(3)
	for i := range targets {
		targets[i].Draining = targets[i].ID != second
	}
	c.SetTargets(table, fleet.NewView(2, targets))
	for s := range 20 {
		if got := c.serve(fmt.Sprint("s", s), 1, 2000); got != second {
			t.Errorf("%s was chosen while draining", got)
		}
	}
	if got := c.serve("s", 3, 2000, second); got != second {
		t.Errorf("the only engine, which is excluded, was passed over for %q", got)
	}
}

// TestAFailingEngineIsPausedAndComesBack guards against repeated failures of a
// session whose engine fails all requests: because of its cached parts, the
// engine would be chosen again at once. It also guards against an engine that
// is never chosen again after it has recovered.
func TestAFailingEngineIsPausedAndComesBack(t *testing.T) {
	c := newChooser(t, 3, 0)
	home := c.serve("s", 1, 2000)
	j, _ := c.place("s", 2, 2000)
	c.engineRejected(j, false, true, c.now)
	c.plan(c.now)
	if j.engine == nil || j.engine.info.ID == home {
		t.Errorf("after a failure the job has engine %+v", j.engine)
	}
	c.cancel(j, c.now)
	if got := c.serve("s", 2, 2000); got == home {
		t.Error("the next request went to the engine that failed")
	}
	c.now = c.now.Add(2 * failureBackoffMax)
	back := false
	for s := range 30 {
		back = back || c.serve(fmt.Sprint("new", s), 1, 2000) == home
	}
	if !back {
		t.Error("the engine got no job after its backoff")
	}
}

func TestALoadedEngineLosesWhenTheFirstEventWouldBeLate(t *testing.T) {
	c := newChooser(t, 3, 0)
	home := c.serve("s", 1, 2000)
	e := c.pools["lm"].engines[home]
	for _, reading := range []int{0, 1000, 80_000} { // 80,000 tokens take two seconds
		e.prefillTokens = reading
		j, id := c.place("s", 2, 2000)
		c.cancel(j, c.now)
		if late := reading > 40_000; (id == home) == late {
			t.Errorf("with %d prompt tokens queued on %s the job went to %s", reading, home, id)
		}
	}
	e.prefillTokens = 0
}

// fakeRemote is a Remote whose instances respond or do not.
type fakeRemote struct {
	silent    []string
	starting  atomic.Bool       // connections to all instances are refused
	noTargets []string          // instances that respond that there is no target
	redirects map[string]string // by instance: the one that it names if the owner does not insist
	asked     map[string]int
}

func (r *fakeRemote) Submit(_ context.Context, instance string, j Job) (Assignment, *Refusal, error) {
	r.asked[instance]++
	if r.starting.Load() {
		return nil, nil, fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
	}
	if slices.Contains(r.silent, instance) {
		return nil, nil, errors.New("silent")
	}
	if slices.Contains(r.noTargets, instance) {
		return nil, &Refusal{Reason: ReasonNoTarget}, nil
	}
	if first, ok := r.redirects[instance]; ok && j.RankOverride != OverrideUnreachable {
		return nil, &Refusal{Reason: ReasonNotFirst, FirstRanked: first}, nil
	}
	return nil, &Refusal{Reason: instance}, nil // identifies the instance that responded
}

// withFinder runs the test with three instances by rank; the finder's own
// instance is the last.
func withFinder(t *testing.T, test func(f *Finder, r *fakeRemote, ranked []string)) {
	synctest.Test(t, func(t *testing.T) {
		members := []string{"a", "b", "c"}
		ranked := rendezvous.Top(dispatcherKey, members, 3)
		local := New(Options{Client: &fakeTargets{}, Clock: quartz.NewReal()})
		defer local.Close()
		table, targets := engines(1)
		local.SetTargets(table, fleet.NewView(1, targets))
		r := &fakeRemote{asked: make(map[string]int)}
		test(NewFinder(FinderOptions{Self: ranked[2], Local: local, Remote: r, Members: func() []string { return members }, Clock: quartz.NewReal()}), r, ranked)
	})
}

// answeredBy returns who accepted the job: another instance, as the reason of
// its refusal, or "self" for the finder's own.
func answeredBy(t *testing.T, f *Finder) string {
	// The test's own context was created outside the synctest bubble.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a, refusal, err := f.Submit(ctx, newJob(1, time.Second, 2*time.Second, nil))
	if err != nil {
		t.Fatal(err)
	}
	if refusal != nil {
		return refusal.Reason
	}
	defer a.End()
	if d := <-a.Decisions(); d.Target != "lm0" {
		t.Errorf("decision %+v", d)
	}
	return "self"
}

func TestFinderFallsBackToNextRankedThenItself(t *testing.T) {
	withFinder(t, func(f *Finder, r *fakeRemote, ranked []string) {
		for silent, want := range []string{ranked[0], ranked[1], "self"} {
			r.silent = ranked[:silent]
			if got := answeredBy(t, f); got != want {
				t.Errorf("with %d unresponsive instances %s accepted the job instead of %s", silent, got, want)
			}
		}
	})
}

// TestFinderDoesNotTakeTheWordOfOneThatKnowsNothing guards against requests of
// all instances that are refused for lack of targets because the dispatcher
// knows none. It was killed and restarted while it cannot reach the store, and
// the other instances, which know the targets, submit their jobs to it.
func TestFinderDoesNotTakeTheWordOfOneThatKnowsNothing(t *testing.T) {
	withFinder(t, func(f *Finder, r *fakeRemote, ranked []string) {
		for unknowing, want := range []string{ranked[0], ranked[1], "self"} {
			r.noTargets = ranked[:unknowing]
			if got := answeredBy(t, f); got != want {
				t.Errorf("with %d instances without targets %s accepted the job instead of %s", unknowing, got, want)
			}
		}
	})
}

func TestFinderExcludesALostDispatcherTemporarily(t *testing.T) {
	withFinder(t, func(f *Finder, r *fakeRemote, ranked []string) {
		r.silent = ranked[:1]
		for range 5 {
			answeredBy(t, f)
		}
		if r.asked[ranked[0]] != 1 || r.asked[ranked[1]] != 5 {
			t.Errorf("calls %v, %s does not respond", r.asked, ranked[0])
		}
		r.silent = nil
		time.Sleep(excludeFor + ms)
		if got := answeredBy(t, f); got != ranked[0] {
			t.Errorf("after the exclusion ended, %s accepted the job", got)
		}
		f.Exclude(ranked[0], errors.New("lost with a job"))
		if got := answeredBy(t, f); got != ranked[1] {
			t.Errorf("after a loss, %s accepted the job", got)
		}
	})
}

// TestUsedPartsAreLookedThroughOnlyWhenTheyHaveDoubled guards against slow
// placements after a dispatcher has started: its engines reported 50,000 cached
// prompt parts, all of which count as used now, and each placement would scan
// all of them for unused ones.
func TestUsedPartsAreLookedThroughOnlyWhenTheyHaveDoubled(t *testing.T) {
	o, now := newChooser(t, 1, 0).pools["lm"], time.Now()
	use := func(k int, at time.Time) {
		o.recordUse(&relay.Prompt{Parts: []relay.PromptPart{{ID: fmt.Sprint("p", k), Tokens: 1}}}, at)
	}
	for k := range 4 * pruneMinParts {
		use(k, now)
	}
	if got := o.pruneAt; got != 8*pruneMinParts {
		t.Errorf("the next pruning is at %d parts, want %d", got, 8*pruneMinParts)
	}
	later := now.Add(o.reuseWindow)
	for k := range 4*pruneMinParts + 1 {
		use(4*pruneMinParts+k, later)
	}
	if got := len(o.partUses); got > 4*pruneMinParts+1 {
		t.Errorf("%d parts are kept, including unused ones", got)
	}
}
