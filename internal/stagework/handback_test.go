package stagework

import (
	"context"
	"testing"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
)

// busyTargets is a relay.StageClient whose calls do not end until they are
// cancelled.
type busyTargets struct{}

func (busyTargets) Run(ctx context.Context, _ fleet.Target, _ []relay.Piece) ([]relay.PieceResult, bool, error) {
	<-ctx.Done()
	return nil, false, ctx.Err()
}

func (busyTargets) Free(context.Context, string, []string) error { return nil }

func (busyTargets) CachedParts(context.Context, fleet.Target) ([]relay.PromptPart, error) {
	return nil, nil
}

func (busyTargets) Report(context.Context, fleet.Target) (relay.StageReport, error) {
	return relay.StageReport{}, context.DeadlineExceeded
}

// TestAStoppingDispatcherGivesBackWhatHasNotBegun guards against two
// dispatchers for the same targets around each graceful stop of an instance.
// The dispatcher's instance is stopped while jobs wait, and the other instances
// already use the next dispatcher; if the waiting jobs stayed, pieces would be
// rejected for lack of memory for seconds.
func TestAStoppingDispatcherGivesBackWhatHasNotBegun(t *testing.T) {
	c := quartz.NewMock(t)
	d := New(Options{Self: "a", Client: busyTargets{}, Clock: c, First: func(Cell) (string, bool) { return "b", true }})
	defer d.Close()
	table := (&route.Table{Services: map[string]*route.Service{
		"cut": {Name: "cut", Pieces: &route.Pieces{Slots: 1, Batch: 1, CallTime: 100 * time.Millisecond, ResultMemory: 1 << 20, ResultLifetime: time.Minute}},
		"lm":  {Name: "lm", Engine: &route.Engine{Slots: 8}},
	}}).Build()
	d.SetTargets(table, fleet.NewView(1, []fleet.Target{{ID: "s", Service: "cut", Address: "at s"}, {ID: "e", Service: "lm", Address: "at e"}}))
	submit := func(id string) *LocalAssignment {
		assignment, refusal := d.Submit(Job{
			ID: id, Key: "k", Service: "lm", OnTimeUntil: c.Now().Add(time.Minute), Deadline: c.Now().Add(time.Minute),
			Stages: []route.Stage{{Service: "cut", ResultBytes: 1}}, Pieces: []int{1}, Prompt: &relay.Prompt{TokensIn: 1},
		})
		if refusal != nil {
			t.Fatalf("job %s is refused: %s", id, refusal.Reason)
		}
		return assignment
	}
	// The first job's piece is running; the second job waits for the target.
	d.mu.Lock()
	d.planner(Cell{}).services["cut"].limits.ResultMemory = 2 // memory for one result, since a part is not used
	d.mu.Unlock()
	running, waiting := submit("1"), submit("2")
	d.ReturnJobs()
	select {
	case got := <-waiting.Decisions():
		if got.NextDispatcher != "b" {
			t.Errorf("the waiting job got %+v", got)
		}
	default:
		t.Error("the waiting job was not returned")
	}
	select {
	case got := <-running.Decisions():
		if got.NextDispatcher != "" {
			t.Error("the job whose piece is running was returned")
		}
	default:
	}
	if n := d.Jobs(); n > 1 {
		t.Errorf("%d jobs are left, want at most the one with a running piece", n)
	}
}
