package stagework

import (
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
)

// listBuilds lists one engine for each build, named e0, e1 and so on.
func (c *engineChooser) listBuilds(builds ...string) {
	table, targets := engines(len(builds))
	for i := range targets {
		targets[i].Zone, targets[i].Build = "p0", builds[i]
	}
	c.SetTargets(table, fleet.NewView(2, targets))
}

// submitBound submits a job that is bound to a build, and returns the build of its engine.
func (c *engineChooser) submitBound(build string, excluded ...string) (placed string, refusal *Refusal) {
	in := Job{
		ID: "bound", OnTimeUntil: c.now.Add(time.Second), Deadline: c.now.Add(time.Minute), Service: "lm", Zone: "p0",
		Binding: &Binding{Build: build}, ExcludedEngines: excluded,
	}
	var engine string
	_, refusal = c.submit(in, func(p Placement, r *Refusal) { engine, refusal = p.Target, r }, c.now)
	if refusal == nil {
		c.plan(c.now)
	}
	if e := c.pools["lm"].engines[engine]; e != nil {
		placed = e.info.Build
	}
	return placed, refusal
}

// Guards against jobs that are placed on an engine of another software version as a last
// resort: because those of their own are excluded, paused or leaving.
func TestBoundJobIsPlacedOnItsBuildOnly(t *testing.T) {
	c := newChooser(t, 4, 0)
	c.listBuilds("v1", "v2", "v2", "v2")
	first := c.pools["lm"].byID[0].info.ID
	for range 20 {
		if placed, refusal := c.submitBound("v1", first); placed != "v1" || refusal != nil {
			t.Fatalf("excluded: placed at %q, %v", placed, refusal)
		}
	}
	c.pools["lm"].engines[first].recordFailure(c.now)
	if placed, refusal := c.submitBound("v1"); placed != "v1" || refusal != nil {
		t.Errorf("paused: placed at %q, %v", placed, refusal)
	}
	c.pools["lm"].engines[first].info.Draining = true
	if placed, refusal := c.submitBound("v1"); placed != "" || refusal == nil || refusal.Reason != ReasonNoBuild {
		t.Errorf("leaving: placed at %q, %v", placed, refusal)
	}
}

// Guards against a version that is not stated being taken for any version.
func TestBoundJobWithoutAStatedBuild(t *testing.T) {
	c := newChooser(t, 2, 0)
	c.listBuilds("", "v1")
	if placed, refusal := c.submitBound(""); placed != "" || refusal != nil {
		t.Errorf("placed at %q, %v", placed, refusal)
	}
	c.listBuilds("v1", "v1")
	if _, refusal := c.submitBound(""); refusal == nil || refusal.Reason != ReasonNoBuild {
		t.Errorf("no target without a version: %v", refusal)
	}
}

// Guards against jobs that wait until their deadline after the last engine of their
// software version has left while their stages run.
func TestWaitingJobIsRefusedWhenItsBuildLeaves(t *testing.T) {
	c := newChooser(t, 2, 0)
	c.listBuilds("v1", "v2")
	var refusal *Refusal
	j, refused := c.submit(Job{
		ID: "bound", OnTimeUntil: c.now.Add(time.Second), Deadline: c.now.Add(time.Minute), Service: "lm", Zone: "p0",
		Binding: &Binding{Build: "v1"},
	}, func(_ Placement, r *Refusal) { refusal = r }, c.now)
	if refused != nil || j == nil {
		t.Fatal(refused)
	}
	c.listBuilds("v2", "v2")
	c.plan(c.now)
	if refusal == nil || refusal.Reason != ReasonNoBuild {
		t.Errorf("%v", refusal)
	}
}

// Guards against a bound job that is sent to the dispatcher of a cell without engines of
// its software version, while another cell has some.
func TestBoundJobGoesToACellOfItsBuild(t *testing.T) {
	cells := []Cell{{Zones: []string{"a"}, Weight: 0.5}, {Zones: []string{"b", "c"}, Weight: 0.5}}
	for _, c := range []struct {
		binding *Binding
		want    int
	}{
		{nil, 2}, {&Binding{Zones: []string{"c"}}, 1}, {&Binding{Zones: []string{"a", "c"}}, 2}, {&Binding{Zones: []string{"d"}}, 0}, {&Binding{}, 0},
	} {
		if got := c.binding.cells(cells); len(got) != c.want {
			t.Errorf("%+v: %v", c.binding, got)
		}
	}
	if all := (&Binding{Zones: []string{"a"}}).cells([]Cell{{Weight: 1}}); len(all) != 1 {
		t.Errorf("one cell of all zones: %v", all)
	}
}
