package stagework

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
)

// twoStages is a planner before one target of each of two stage services, which
// have room for ten results each, and one engine.
func twoStages(gaveUp func(handles []string)) *Planner {
	p := NewPlanner(func(_ string, handles []string) { gaveUp(handles) })
	pieces := route.Pieces{Slots: 1, Batch: 8, CallTime: 100 * ms, ResultRoom: 1000, ResultLifetime: 4 * time.Second}
	table := (&route.Table{Services: map[string]*route.Service{
		"cut": {Name: "cut", Pieces: &pieces}, "join": {Name: "join", Pieces: &pieces},
		"lm": {Name: "lm", Engine: &route.Engine{Slots: 8, MemoryTokens: 1 << 20}},
	}}).Build()
	p.SetTargets(table, fleet.NewView(1, []fleet.Target{
		{ID: "c1", Service: "cut", Address: "at c1"}, {ID: "j1", Service: "join", Address: "at j1"}, {ID: "e1", Service: "lm", Address: "at e1"},
	}))
	return p
}

func stagedJob(id string, pieces int, now time.Time) Job {
	return Job{
		ID: id, Key: "k", Service: "lm", Aim: now.Add(10 * time.Second), Deadline: now.Add(20 * time.Second), Prompt: &relay.Prompt{},
		Stages: []route.Stage{{Service: "cut", ResultBytes: 100}, {Service: "join", ResultBytes: 100, After: []int{0}}},
		Pieces: []int{pieces, 1},
	}
}

// answered is the answer of a target that makes the first pieces of a call and
// has no room for the others.
func answered(c *call, made int) []relay.PieceResult {
	results := make([]relay.PieceResult, len(c.pieces))
	for i, q := range c.pieces {
		results[i] = relay.PieceResult{Handle: fmt.Sprintf("%s%d%d", q.unit.job.ID, q.unit.stage, q.number)}
		if i >= made {
			results[i] = relay.PieceResult{Fault: relay.PieceRoom}
		}
	}
	return results
}

// Symptom: for four seconds after the dispatcher was killed pieces are refused
// for want of room, and requests that were half done come late.
// Events: its stage targets keep the results of its requests; the next
// dispatcher has the same pieces made again.
// Cause: only the one that died knew the results.
func TestTheNextDispatcherGoesOnWithWhatWasMade(t *testing.T) {
	now := time.Unix(0, 0)
	first := twoStages(func(handles []string) { t.Errorf("the first gave up %v, which move", handles) })
	var told []Made
	j, refusal := first.submit(stagedJob("r", 3, now), nil, now)
	if refusal != nil {
		t.Fatal(refusal.Reason)
	}
	j.made = func(made []Made) { told = append(told, made...) }
	calls := first.plan(now)
	now = now.Add(100 * ms)
	first.finished(calls[0], answered(calls[0], 3), false, now)
	if len(told) != 3 {
		t.Fatalf("the owner was told of %v", told)
	}
	first.move(j, now)
	if room := first.services["cut"].servers["c1"].room; room != 0 {
		t.Errorf("%d bytes stay counted at the first", room)
	}

	var gaveUp []string
	second := twoStages(func(handles []string) { gaveUp = append(gaveUp, handles...) })
	moved := stagedJob("r", 3, now)
	moved.Made = append(told, Made{Stage: 0, Number: 7, Target: "c1", Handle: "no such piece"}, Made{Stage: 5, Target: "gone"})
	var placed Placement
	j, refusal = second.submit(moved, func(p Placement, _ *Refusal) { placed = p }, now)
	if refusal != nil {
		t.Fatal(refusal.Reason)
	}
	if room := second.services["cut"].servers["c1"].room; room != 300 {
		t.Errorf("%d bytes are counted at the target, 300 lie there", room)
	}
	calls = second.plan(now)
	if len(calls) != 1 || calls[0].server.target.ID != "j1" || len(entries(calls[0], now)[0].Inputs) != 3 {
		t.Fatalf("calls %+v instead of one of the second stage", calls)
	}
	second.finished(calls[0], answered(calls[0], 1), false, now)
	second.plan(now)
	if !slices.Equal(placed.Inputs, []string{"r10"}) {
		t.Errorf("placed with %v", placed.Inputs)
	}
	second.begun(j, now)
	slices.Sort(gaveUp)
	if !slices.Equal(gaveUp, []string{"r00", "r01", "r02", "r10"}) {
		t.Errorf("the second gave up %v", gaveUp)
	}
}

// Symptom: an instance returns, and for seconds two schedule.
// Events: the one that stood in has begun jobs, and goes on with them.
// Cause: only jobs of which nothing was begun were given back.
func TestBegunJobsAreGivenBackWithTheirResults(t *testing.T) {
	now := time.Unix(0, 0)
	p := twoStages(func(handles []string) { t.Errorf("gave up %v", handles) })
	var back []Made
	given := 0
	j, _ := p.submit(stagedJob("r", 2, now), nil, now)
	j.lost = func(results []Made) { back, given = results, given+1 }
	calls := p.plan(now)
	p.leave(false)
	if p.plan(now); given != 0 {
		t.Fatal("given back while its pieces were being made")
	}
	now = now.Add(100 * ms)
	p.finished(calls[0], answered(calls[0], 2), false, now)
	if calls = p.plan(now); len(calls) != 0 || given != 1 || len(back) != 2 || len(p.jobs) != 0 {
		t.Errorf("%d calls, given back %d times with %v, %d jobs left", len(calls), given, back, len(p.jobs))
	}
}

// Symptom: a target gets call after call within milliseconds, all of whose
// pieces it refuses for want of room.
// Events: results that this dispatcher does not know lie there.
// Cause: only pieces with large results were kept from it.
func TestATargetWithoutRoomIsNotAskedAgainAtOnce(t *testing.T) {
	now := time.Unix(0, 0)
	p := twoStages(func([]string) {})
	for i := range 3 {
		if _, refusal := p.submit(stagedJob(fmt.Sprint("r", i), 3, now), nil, now); refusal != nil {
			t.Fatal(refusal.Reason)
		}
	}
	calls := p.plan(now)
	p.finished(calls[0], answered(calls[0], 2), false, now)
	if again := p.plan(now.Add(ms)); len(again) != 0 {
		t.Errorf("%d pieces are sent again at once", len(again[0].pieces))
	}
	if again := p.plan(now.Add(roomLearnt)); len(again) != 1 {
		t.Error("nothing is sent after a while")
	}
}
