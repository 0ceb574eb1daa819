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

// twoCells returns a table and targets in two places with a cell each.
func twoCells() (*route.Table, []fleet.Target) {
	pieces := limits(1, 100*ms, 0, mb)
	table := (&route.Table{Services: map[string]*route.Service{
		"cut": {Name: "cut", Pieces: &pieces},
		"lm":  {Name: "lm", Engine: &route.Engine{Slots: 8}},
	}}).Build()
	var targets []fleet.Target
	for _, place := range []string{"p0", "p1"} {
		for k := range cellMin {
			for _, service := range []string{"cut", "lm"} {
				id := fmt.Sprint(service, place, k)
				targets = append(targets, fleet.Target{ID: id, Service: service, Address: "at " + id, Place: place})
			}
		}
	}
	return table, targets
}

// evacuate has the targets of the place take no new work.
func evacuate(targets []fleet.Target, place string) []fleet.Target {
	after := slices.Clone(targets)
	for i := range after {
		after[i].Draining = after[i].Place == place
	}
	return after
}

// Symptom: requests are refused as late seconds after their zone was evacuated,
// though the other zones have targets.
// Events: jobs wait in the cell of a zone, and one of their pieces is being made;
// the zone is evacuated.
// Cause: the cell's dispatcher keeps jobs that it can't do.
func TestJobsLeaveACellWithoutTargets(t *testing.T) {
	c := quartz.NewMock(t)
	d := New(Options{Self: "a", Client: busyTargets{}, Clock: c, First: func(Cell) (string, bool) { return "a", true }})
	defer d.Close()
	table, targets := twoCells()
	d.SetTargets(table, fleet.NewView(1, targets))
	job := func(id string, place string) Job {
		return Job{
			ID: id, Key: "k", Service: "lm", Aim: c.Now().Add(time.Minute), Deadline: c.Now().Add(time.Minute),
			Stages: []route.Stage{{Service: "cut", ResultBytes: 1}}, Pieces: []int{1}, Cell: []string{place},
		}
	}
	tickets := make(map[string]*Ticket)
	for k := range cellMin + 2 { // as many as targets, and two that wait
		for _, place := range []string{"p0", "p1"} {
			id := fmt.Sprint(place, k)
			ticket, refusal := d.Submit(job(id, place))
			if refusal != nil {
				t.Fatalf("job %s is refused: %s", id, refusal.Reason)
			}
			tickets[id] = ticket
		}
	}
	d.SetTargets(table, fleet.NewView(2, evacuate(targets, "p0")))
	back := map[string]int{}
	for id, ticket := range tickets {
		select {
		case got := <-ticket.Decisions():
			if got.Next != "" {
				back[id[:2]]++
			}
		default:
		}
	}
	if back["p0"] != 2 || back["p1"] != 0 {
		t.Errorf("given back: %v, want the two of p0 that wait", back)
	}
	if _, refusal := d.Submit(job("new", "p0")); refusal == nil || refusal.Reason != ReasonNoTarget {
		t.Errorf("a new job for the evacuated cell: %v, want %q", refusal, ReasonNoTarget)
	}
	if _, refusal := d.Submit(job("other", "p1")); refusal != nil {
		t.Errorf("a new job for the other cell is refused: %s", refusal.Reason)
	}
	d.SetTargets(table, fleet.NewView(3, targets))
	if _, refusal := d.Submit(job("returned", "p0")); refusal != nil {
		t.Errorf("after the place was given back a job is refused: %s", refusal.Reason)
	}
}

// Symptom: jobs move from dispatcher to dispatcher whenever targets flap.
// Events: one target of a zone goes, so that cells are divided another way; the
// zone still has targets of each service.
// Cause: jobs leave every cell that is not one any more.
func TestJobsStayWhereTheyCanBeDone(t *testing.T) {
	c := quartz.NewMock(t)
	d := New(Options{Self: "a", Client: busyTargets{}, Clock: c})
	defer d.Close()
	table, targets := twoCells()
	d.SetTargets(table, fleet.NewView(1, targets))
	ticket, refusal := d.Submit(Job{
		ID: "1", Key: "k", Service: "lm", Aim: c.Now().Add(time.Minute), Deadline: c.Now().Add(time.Minute),
		Stages: []route.Stage{{Service: "cut", ResultBytes: 1}}, Pieces: []int{9}, Cell: []string{"p0"},
	})
	if refusal != nil {
		t.Fatal(refusal.Reason)
	}
	fewer := slices.DeleteFunc(slices.Clone(targets), func(t fleet.Target) bool { return t.ID == "cutp00" })
	d.SetTargets(table, fleet.NewView(2, fewer))
	select {
	case got := <-ticket.Decisions():
		t.Errorf("the job got %+v", got)
	default:
	}
}
