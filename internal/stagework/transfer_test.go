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

// twoStages returns a planner with one target of each of two stage services,
// with memory for ten results each, and one engine.
func twoStages(gaveUp func(handles []string)) *Planner {
	p := NewPlanner(func(_ string, handles []string) { gaveUp(handles) })
	pieces := route.Pieces{Slots: 1, Batch: 8, CallTime: 100 * ms, ResultMemory: 1000, ResultLifetime: 4 * time.Second}
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
		ID: id, Key: "k", Service: "lm", OnTimeUntil: now.Add(10 * time.Second), Deadline: now.Add(20 * time.Second), Prompt: &relay.Prompt{},
		Stages: []route.Stage{{Service: "cut", ResultBytes: 100}, {Service: "join", ResultBytes: 100, After: []int{0}}},
		Pieces: []int{pieces, 1},
	}
}

// answered is the response of a target that runs the first pieces of a call and
// has no memory for the others.
func answered(c *call, made int) []relay.PieceResult {
	results := make([]relay.PieceResult, len(c.pieces))
	for i, q := range c.pieces {
		results[i] = relay.PieceResult{Handle: fmt.Sprintf("%s%d%d", q.unit.job.ID, q.unit.stage, q.number)}
		if i >= made {
			results[i] = relay.PieceResult{Status: relay.PieceNoMemory}
		}
	}
	return results
}

// TestTheNextDispatcherGoesOnWithWhatWasMade guards against lost results when a
// dispatcher crashes. Its stage targets still hold the results of its requests;
// if the next dispatcher does not know them, they take up memory until they
// expire after four seconds, and all pieces are executed again.
func TestTheNextDispatcherGoesOnWithWhatWasMade(t *testing.T) {
	now := time.Unix(0, 0)
	first := twoStages(func(handles []string) {
		t.Errorf("the first dispatcher released %v, which it should transfer", handles)
	})
	var reported []ResultRef
	j, refusal := first.submit(stagedJob("r", 3, now), nil, now)
	if refusal != nil {
		t.Fatal(refusal.Reason)
	}
	j.onResults = func(made []ResultRef) { reported = append(reported, made...) }
	calls := first.plan(now)
	now = now.Add(100 * ms)
	first.callFinished(calls[0], answered(calls[0], 3), false, now)
	if len(reported) != 3 {
		t.Fatalf("%v were reported to the owner", reported)
	}
	first.transfer(j, now)
	if room := first.services["cut"].targets["c1"].usedBytes; room != 0 {
		t.Errorf("%d bytes are still counted by the first dispatcher", room)
	}

	var gaveUp []string
	second := twoStages(func(handles []string) { gaveUp = append(gaveUp, handles...) })
	moved := stagedJob("r", 3, now)
	moved.Results = append(reported, ResultRef{Stage: 0, Number: 7, Target: "c1", Handle: "no such piece"}, ResultRef{Stage: 5, Target: "gone"})
	var placed Placement
	j, refusal = second.submit(moved, func(p Placement, _ *Refusal) { placed = p }, now)
	if refusal != nil {
		t.Fatal(refusal.Reason)
	}
	if room := second.services["cut"].targets["c1"].usedBytes; room != 300 {
		t.Errorf("%d bytes are counted for the target, which holds 300", room)
	}
	calls = second.plan(now)
	if len(calls) != 1 || calls[0].target.info.ID != "j1" || len(relayPieces(calls[0], now)[0].Inputs) != 3 {
		t.Fatalf("calls %+v instead of one of the second stage", calls)
	}
	second.callFinished(calls[0], answered(calls[0], 1), false, now)
	second.plan(now)
	if !slices.Equal(placed.Inputs, []string{"r10"}) {
		t.Errorf("placed with %v", placed.Inputs)
	}
	second.answerStarted(j, now)
	slices.Sort(gaveUp)
	if !slices.Equal(gaveUp, []string{"r00", "r01", "r02", "r10"}) {
		t.Errorf("the second dispatcher released %v", gaveUp)
	}
}

// TestBegunJobsAreGivenBackWithTheirResults guards against two dispatchers for
// seconds after an instance has returned: the instance that stood in has to
// return the jobs that it has started as well.
func TestBegunJobsAreGivenBackWithTheirResults(t *testing.T) {
	now := time.Unix(0, 0)
	p := twoStages(func(handles []string) { t.Errorf("released %v", handles) })
	var back []ResultRef
	given := 0
	j, _ := p.submit(stagedJob("r", 2, now), nil, now)
	j.onReturn = func(results []ResultRef) { back, given = results, given+1 }
	calls := p.plan(now)
	p.startReturn(false)
	if p.plan(now); given != 0 {
		t.Fatal("returned while its pieces were running")
	}
	now = now.Add(100 * ms)
	p.callFinished(calls[0], answered(calls[0], 2), false, now)
	if calls = p.plan(now); len(calls) != 0 || given != 1 || len(back) != 2 || len(p.jobs) != 0 {
		t.Errorf("%d calls, returned %d times with %v, %d jobs left", len(calls), given, back, len(p.jobs))
	}
}

// TestATargetWithoutRoomIsNotAskedAgainAtOnce guards against a target that
// holds results unknown to this dispatcher and gets call after call within
// milliseconds, each of which it rejects for lack of memory.
func TestATargetWithoutRoomIsNotAskedAgainAtOnce(t *testing.T) {
	now := time.Unix(0, 0)
	p := twoStages(func([]string) {})
	for i := range 3 {
		if _, refusal := p.submit(stagedJob(fmt.Sprint("r", i), 3, now), nil, now); refusal != nil {
			t.Fatal(refusal.Reason)
		}
	}
	calls := p.plan(now)
	p.callFinished(calls[0], answered(calls[0], 2), false, now)
	if again := p.plan(now.Add(ms)); len(again) != 0 {
		t.Errorf("%d pieces are sent again immediately", len(again[0].pieces))
	}
	if again := p.plan(now.Add(foreignBytesExpiry)); len(again) != 1 {
		t.Error("nothing is sent after foreignBytesExpiry")
	}
}
