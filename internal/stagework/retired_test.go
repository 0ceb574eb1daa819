package stagework

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/route"
)

// twoCells returns a table and targets in two zones with a cell each.
func twoCells() (*route.Table, []fleet.Target) {
	pieces := limits(1, 100*ms, 0, mb)
	table := (&route.Table{Services: map[string]*route.Service{
		"cut": {Name: "cut", Pieces: &pieces},
		"lm":  {Name: "lm", Engine: &route.Engine{Slots: 8}},
	}}).Build()
	var targets []fleet.Target
	for _, zone := range []string{"p0", "p1"} {
		for k := range minTargetsPerCell {
			for _, service := range []string{"cut", "lm"} {
				id := fmt.Sprint(service, zone, k)
				targets = append(targets, fleet.Target{ID: id, Service: service, Address: "at " + id, Zone: zone})
			}
		}
	}
	return table, targets
}

// evacuate returns the targets with those of the zone draining.
func evacuate(targets []fleet.Target, zone string) []fleet.Target {
	after := slices.Clone(targets)
	for i := range after {
		after[i].Draining = after[i].Zone == zone
	}
	return after
}

// TestJobsLeaveACellWithoutTargets guards against jobs that are refused at
// their deadline after their zone was evacuated, although other zones have
// targets. Jobs wait in the zone's cell, one of their pieces is running, and
// the cell's dispatcher would keep the jobs without being able to run them.
func TestJobsLeaveACellWithoutTargets(t *testing.T) {
	c := quartz.NewMock(t)
	d := New(Options{Self: "a", Client: busyTargets{}, Clock: c, First: func(Cell) (string, bool) { return "a", true }})
	defer d.Close()
	table, targets := twoCells()
	d.SetTargets(table, fleet.NewView(1, targets))
	job := func(id string, zone string) Job {
		return Job{
			ID: id, Key: "k", Service: "lm", OnTimeUntil: c.Now().Add(time.Minute), Deadline: c.Now().Add(time.Minute),
			Stages: []route.Stage{{Service: "cut", ResultBytes: 1}}, Pieces: []int{1}, Cell: []string{zone},
		}
	}
	assignments := make(map[string]*LocalAssignment)
	for k := range minTargetsPerCell + 2 { // as many jobs as targets, and two that wait
		for _, zone := range []string{"p0", "p1"} {
			id := fmt.Sprint(zone, k)
			assignment, refusal := d.Submit(job(id, zone))
			if refusal != nil {
				t.Fatalf("job %s is refused: %s", id, refusal.Reason)
			}
			assignments[id] = assignment
		}
	}
	d.SetTargets(table, fleet.NewView(2, evacuate(targets, "p0")))
	back := map[string]int{}
	for id, assignment := range assignments {
		select {
		case got := <-assignment.Decisions():
			if got.NextDispatcher != "" {
				back[id[:2]]++
			}
		default:
		}
	}
	if back["p0"] != 2 || back["p1"] != 0 {
		t.Errorf("returned: %v, want the two waiting jobs of p0", back)
	}
	if _, refusal := d.Submit(job("new", "p0")); refusal == nil || refusal.Reason != ReasonNoTarget {
		t.Errorf("a new job for the evacuated cell: %v, want %q", refusal, ReasonNoTarget)
	}
	if _, refusal := d.Submit(job("other", "p1")); refusal != nil {
		t.Errorf("a new job for the other cell is refused: %s", refusal.Reason)
	}
	d.SetTargets(table, fleet.NewView(3, targets))
	if _, refusal := d.Submit(job("returned", "p0")); refusal != nil {
		t.Errorf("after the evacuation ended a job is refused: %s", refusal.Reason)
	}
}

// TestJobsStayWhereTheyCanBeDone guards against jobs that move between
// dispatchers whenever targets flap. One target of a zone is removed, so that
// the zones are grouped differently, but the zone still has targets of each
// service; its cell's jobs have to stay.
func TestJobsStayWhereTheyCanBeDone(t *testing.T) {
	c := quartz.NewMock(t)
	d := New(Options{Self: "a", Client: busyTargets{}, Clock: c})
	defer d.Close()
	table, targets := twoCells()
	d.SetTargets(table, fleet.NewView(1, targets))
	assignment, refusal := d.Submit(Job{
		ID: "1", Key: "k", Service: "lm", OnTimeUntil: c.Now().Add(time.Minute), Deadline: c.Now().Add(time.Minute),
		Stages: []route.Stage{{Service: "cut", ResultBytes: 1}}, Pieces: []int{9}, Cell: []string{"p0"},
	})
	if refusal != nil {
		t.Fatal(refusal.Reason)
	}
	fewer := slices.DeleteFunc(slices.Clone(targets), func(t fleet.Target) bool { return t.ID == "cutp00" })
	d.SetTargets(table, fleet.NewView(2, fewer))
	select {
	case got := <-assignment.Decisions():
		t.Errorf("the job got %+v", got)
	default:
	}
}
