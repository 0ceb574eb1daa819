package stagework

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/control/rendezvous"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
)

// chooser is a planner with engines, without stages, at a moment that the test
// moves.
type chooser struct {
	*Planner
	t   *testing.T
	now time.Time
}

// newChooser has n engines, listed in the order given by a shift.
func newChooser(t *testing.T, n, shift int) *chooser {
	c := &chooser{NewPlanner(func(string, []string) {}), t, time.Unix(1e9, 0)}
	table, targets := engines(n)
	for i := range targets {
		targets[i].Place = "p0"
	}
	c.SetTargets(table, fleet.NewView(1, slices.Concat(targets[shift:], targets[:shift])))
	return c
}

// place submits a job of a session, whose prompt grows with each turn. It
// returns the job with its engine's id.
func (c *chooser) place(session string, turn, tokens int, avoid ...string) (j *job, id string) {
	parts := []relay.PromptPart{{ID: "all", Tokens: 200}, {ID: session, Tokens: tokens}}
	for i := range turn {
		parts = append(parts, relay.PromptPart{ID: fmt.Sprint(session, "/", i), Tokens: 100})
	}
	in := Job{
		ID: fmt.Sprint(session, turn), Aim: c.now.Add(time.Second), Deadline: c.now.Add(time.Minute), Service: "lm", Place: "p0",
		Prompt: &relay.Prompt{TokensIn: 200 + tokens + 100*turn, TokensOut: 100, Parts: parts}, Avoid: avoid,
	}
	j, refusal := c.submit(in, func(p Placement, _ *Refusal) { id = p.Target }, c.now)
	if refusal != nil {
		c.t.Fatal(refusal)
	}
	c.plan(c.now)
	return j, id
}

// serve serves one turn of a session and returns its engine, which takes a
// millisecond for 40 tokens that it has to read.
func (c *chooser) serve(session string, turn, tokens int, avoid ...string) string {
	j, id := c.place(session, turn, tokens, avoid...)
	c.now = c.now.Add(firstEvent + time.Duration(j.missing)*ms/40)
	c.begun(j, c.now)
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
				t.Errorf("turn %d of %s went from %s to %s", turn, session, at[session], id)
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
		t.Errorf("avoided %s and got %s", home, second)
	}
	table, targets := engines(3)
	for i := range targets {
		targets[i].Draining = targets[i].ID != second
	}
	c.SetTargets(table, fleet.NewView(2, targets))
	for s := range 20 {
		if got := c.serve(fmt.Sprint("s", s), 1, 2000); got != second {
			t.Errorf("%s was chosen while it drains", got)
		}
	}
	if got := c.serve("s", 3, 2000, second); got != second {
		t.Errorf("the only engine, which is avoided, was passed over for %q", got)
	}
}

// Symptom: each request of a session fails once. Events: its engine fails all.
// Cause: what it holds made it the best again at once; or, after it recovered,
// never again.
func TestAFailingEngineIsPausedAndComesBack(t *testing.T) {
	c := newChooser(t, 3, 0)
	home := c.serve("s", 1, 2000)
	j, _ := c.place("s", 2, 2000)
	c.rejected(j, false, true, c.now)
	c.plan(c.now)
	if j.engine == nil || j.engine.target.ID == home {
		t.Errorf("after a failure the job has engine %+v", j.engine)
	}
	c.cancel(j, c.now)
	if got := c.serve("s", 2, 2000); got == home {
		t.Error("the next request went to the engine that failed")
	}
	c.now = c.now.Add(2 * suspectMax)
	back := false
	for s := range 30 {
		back = back || c.serve(fmt.Sprint("new", s), 1, 2000) == home
	}
	if !back {
		t.Error("it got nothing after its pause")
	}
}

func TestALoadedEngineLosesWhenTheFirstEventWouldBeLate(t *testing.T) {
	c := newChooser(t, 3, 0)
	home := c.serve("s", 1, 2000)
	e := c.pools["lm"].engines[home]
	for _, reading := range []int{0, 1000, 80_000} { // the last is two seconds
		e.reading = reading
		j, id := c.place("s", 2, 2000)
		c.cancel(j, c.now)
		if late := reading > 40_000; (id == home) == late {
			t.Errorf("with %d tokens to be read before it at %s the job went to %s", reading, home, id)
		}
	}
	e.reading = 0
}

// remote is a Remote whose instances answer or don't.
type remote struct {
	silent    []string
	starting  bool              // connections to all are refused
	unknowing []string          // they answer that there is no target
	names     map[string]string // whom an instance names that is asked without insistence
	asked     map[string]int
}

func (r *remote) Work(_ context.Context, instance string, j Job) (Assignment, *Refusal, error) {
	r.asked[instance]++
	if r.starting {
		return nil, nil, fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
	}
	if slices.Contains(r.silent, instance) {
		return nil, nil, errors.New("silent")
	}
	if slices.Contains(r.unknowing, instance) {
		return nil, &Refusal{Reason: ReasonNoTarget}, nil
	}
	if first, ok := r.names[instance]; ok && j.Insist != InsistTried {
		return nil, &Refusal{Reason: ReasonNotFirst, Elsewhere: first}, nil
	}
	return nil, &Refusal{Reason: instance}, nil // tells who answered
}

// inFinder runs the test with the instances by rank; the finder's own is last.
func inFinder(t *testing.T, test func(f *Finder, r *remote, ranked []string)) {
	synctest.Test(t, func(t *testing.T) {
		members := []string{"a", "b", "c"}
		ranked := rendezvous.Top(dispatcherKey, members, 3)
		local := New(Options{Client: &farm{}, Clock: quartz.NewReal()})
		defer local.Close()
		table, targets := engines(1)
		local.SetTargets(table, fleet.NewView(1, targets))
		r := &remote{asked: make(map[string]int)}
		test(NewFinder(FinderOptions{Self: ranked[2], Local: local, Remote: r, Members: func() []string { return members }, Clock: quartz.NewReal()}), r, ranked)
	})
}

// answers returns who took the job: the reason of the refusal of another
// instance, "self" for the finder's own.
func answers(t *testing.T, f *Finder) string {
	// The test's own context was made outside the bubble of virtual time.
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

func TestFinderAsksTheNextAndItselfAtLast(t *testing.T) {
	inFinder(t, func(f *Finder, r *remote, ranked []string) {
		for silent, want := range []string{ranked[0], ranked[1], "self"} {
			r.silent = ranked[:silent]
			if got := answers(t, f); got != want {
				t.Errorf("with %d silent %s answered instead of %s", silent, got, want)
			}
		}
	})
}

// Symptom: requests of all instances are refused for want of targets, though
// all but one know them.
// Events: the instance that schedules is killed and started again while the
// store does not answer it; the others hand their jobs to it.
// Cause: the refusal of one that knows nothing was taken for final.
func TestFinderDoesNotTakeTheWordOfOneThatKnowsNothing(t *testing.T) {
	inFinder(t, func(f *Finder, r *remote, ranked []string) {
		for unknowing, want := range []string{ranked[0], ranked[1], "self"} {
			r.unknowing = ranked[:unknowing]
			if got := answers(t, f); got != want {
				t.Errorf("with %d that know nothing %s answered instead of %s", unknowing, got, want)
			}
		}
	})
}

func TestFinderAvoidsALostDispatcherForAWhile(t *testing.T) {
	inFinder(t, func(f *Finder, r *remote, ranked []string) {
		r.silent = ranked[:1]
		for range 5 {
			answers(t, f)
		}
		if r.asked[ranked[0]] != 1 || r.asked[ranked[1]] != 5 {
			t.Errorf("asked %v, %s is silent", r.asked, ranked[0])
		}
		r.silent = nil
		time.Sleep(avoidFor + ms)
		if got := answers(t, f); got != ranked[0] {
			t.Errorf("after a while %s answered", got)
		}
		f.Avoid(ranked[0], errors.New("lost with a job"))
		if got := answers(t, f); got != ranked[1] {
			t.Errorf("after a loss %s answered", got)
		}
	})
}

// Symptom: a dispatcher on a small instance is late with every placement for
// seconds after it began.
// Events: its engines told of 50,000 prompt parts that they keep, all of which
// count as used now.
// Cause: each placement looked through all of them for old ones.
func TestUsedPartsAreLookedThroughOnlyWhenTheyHaveDoubled(t *testing.T) {
	o, now := newChooser(t, 1, 0).pools["lm"], time.Now()
	use := func(k int, at time.Time) {
		o.use(&relay.Prompt{Parts: []relay.PromptPart{{ID: fmt.Sprint("p", k), Tokens: 1}}}, at)
	}
	for k := range 4 * maxUsed {
		use(k, now)
	}
	if got := o.forgetAt; got != 8*maxUsed {
		t.Errorf("looked through again at %d parts, want %d", got, 8*maxUsed)
	}
	later := now.Add(o.reuse)
	for k := range 4*maxUsed + 1 {
		use(4*maxUsed+k, later)
	}
	if got := len(o.used); got > 4*maxUsed+1 {
		t.Errorf("%d parts are kept, the old ones among them", got)
	}
}
