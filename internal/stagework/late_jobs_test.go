package stagework

import (
	"fmt"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/route"
)

// zonePlanner returns a planner with the zone's services.
func zonePlanner(shares bool) *Planner {
	table, targets := engines(2)
	for name, g := range zoneServices() {
		table.Services[name] = &route.Service{Name: name, Pieces: &g.limits}
		for n := range g.targets {
			id := fmt.Sprint(name, n)
			targets = append(targets, fleet.Target{ID: id, Service: name, Address: "at " + id, Zone: "p0"})
		}
	}
	p := NewPlanner(func(string, []string) {})
	p.overload.Shares = shares
	p.SetTargets(table, fleet.NewView(1, targets))
	return p
}

// submitted submits a job that has much time.
func submitted(t *testing.T, p *Planner, now time.Time, id string, stages []route.Stage, pieces ...int) *job {
	t.Helper()
	j, refusal := p.submit(Job{
		ID: id, OnTimeUntil: now.Add(20 * time.Second), Deadline: now.Add(60 * time.Second), Stages: stages, Pieces: pieces, Service: "lm", Zone: "p0",
	}, func(Placement, *Refusal) {}, now)
	if refusal != nil {
		t.Fatalf("%s: %s", id, refusal.Reason)
	}
	return j
}

// TestStagesAreNotBegunTooEarlyInAnOverload guards against results that wait on
// their targets in an overload: large ones that only the engine reads, and those
// of late jobs. The service of another stage has queued work of more than a
// second.
func TestStagesAreNotBegunTooEarlyInAnOverload(t *testing.T) {
	now := time.Unix(1e9, 0)
	billing := []route.Stage{{Service: "billing", ResultBytes: 6000}}
	parallel := []route.Stage{{Service: "booking", ResultBytes: 1_500_000}, {Service: "billing", ResultBytes: 6000}}
	chain := []route.Stage{{Service: "booking", ResultBytes: 8000}, {Service: "billing", After: []int{0}, ResultBytes: 6000}}
	for _, c := range []struct {
		what          string
		shares, short bool
		stages        []route.Stage
		pieces        []int
		late, want    bool
	}{
		{"large results, without shares", false, true, parallel, []int{20, 6}, false, false},
		{"large results, no overload", true, false, parallel, []int{20, 6}, false, false},
		{"large results", true, true, parallel, []int{20, 6}, false, true},
		{"on-time job", true, true, chain, []int{1, 6}, false, false},
		{"late job, without shares", false, true, chain, []int{1, 6}, true, false},
		{"late job, no overload", true, false, chain, []int{1, 6}, true, false},
		{"late job", true, true, chain, []int{1, 6}, true, true},
	} {
		p := zonePlanner(c.shares)
		for n := range 120 {
			submitted(t, p, now, fmt.Sprint("queued ", n), billing, 6)
		}
		j := submitted(t, p, now, "job", c.stages, c.pieces...)
		j.late = c.late
		v := p.services["billing"]
		if c.short {
			v.shares.late.at(now).late = v.shareCapacity(now)
		}
		v.shares.shortAt = time.Time{}
		if got := p.deferred(j.units[0], now); got != c.want {
			t.Errorf("%s: deferred %v, want %v", c.what, got, c.want)
		}
	}
}

// TestStartedJobThatCannotEndInTimeIsGivenUp guards against further stages of a
// late job whose answer would come after its deadline.
func TestStartedJobThatCannotEndInTimeIsGivenUp(t *testing.T) {
	now := time.Unix(1e9, 0)
	billing := []route.Stage{{Service: "billing", ResultBytes: 6000}}
	for _, c := range []struct {
		deadline time.Duration
		want     bool
	}{{time.Second, true}, {10 * time.Second, false}} {
		p := zonePlanner(true)
		for n := range 120 {
			submitted(t, p, now, fmt.Sprint("queued ", n), billing, 6)
		}
		j := submitted(t, p, now, "job", billing, 6)
		j.late, j.units[0].reserved, j.Deadline = true, true, now.Add(c.deadline)
		if got := p.hopeless(j, now); got != c.want {
			t.Errorf("with %v until the deadline: given up %v, want %v", c.deadline, got, c.want)
		}
	}
}

// TestMissedJobIsNotCountedAgainstItself guards against the refusal of a job that has missed
// its objective, and a late time to come back, because its own work counts as ahead of it.
func TestMissedJobIsNotCountedAgainstItself(t *testing.T) {
	now := time.Unix(1e9, 0)
	p := zonePlanner(true)
	j := submitted(t, p, now, "job", []route.Stage{{Service: "billing", ResultBytes: 6000}}, 3000)
	end := p.newForecast(now).lateEnd(j)
	if left := p.leftForecast(j, now); left.queue(p.services["billing"]).work != 0 {
		t.Error("its own work counts as ahead of its return")
	}
	j.OnTimeUntil, j.Deadline = now, now.Add(2*(end+10*time.Millisecond))
	if p.hopeless(j, now) {
		t.Errorf("given up although no other job waits and it ends after %v of %v", end, j.Deadline.Sub(now))
	}
}
