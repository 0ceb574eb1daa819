package stagework

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"
	"github.com/go-kit/log"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
)

// failingTargets is a relay.StageClient that runs only the first piece of a
// call.
type failingTargets struct{ busyTargets }

func (failingTargets) Run(_ context.Context, _ fleet.Target, pieces []relay.Piece) ([]relay.PieceResult, bool, error) {
	time.Sleep(100 * ms)
	results := make([]relay.PieceResult, len(pieces))
	for i := range results {
		results[i].Status = relay.PieceError
	}
	results[0] = relay.PieceResult{Handle: "h" + pieces[0].ID}
	return results, false, nil
}

// TestLinesNameTheRequestsWhosePiecesFail guards against requests that are
// given up without a trace in the log: pieces of a request fail at a target
// until its time is up. The log lines of calls have to name the requests, and
// the decision to give the request up needs a line of its own.
func TestLinesNameTheRequestsWhosePiecesFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		d := New(Options{Self: "a", Client: failingTargets{}, Clock: quartz.NewReal(), Logger: event.NewLogger(log.NewLogfmtLogger(&lines))})
		defer d.Close()
		table := (&route.Table{Services: map[string]*route.Service{
			"cut": {Name: "cut", Pieces: &route.Pieces{Slots: 1, Batch: 8, CallTime: 100 * ms, ResultMemory: 1 << 20, ResultLifetime: time.Minute}},
			"lm":  {Name: "lm", Engine: &route.Engine{Slots: 8}},
		}}).Build()
		d.SetTargets(table, fleet.NewView(1, []fleet.Target{{ID: "s", Service: "cut"}, {ID: "e", Service: "lm"}}))
		assignment, refusal := d.Submit(Job{
			ID: "r1", Key: "k", Service: "lm", OnTimeUntil: time.Now().Add(300 * ms), Deadline: time.Now().Add(500 * ms),
			Stages: []route.Stage{{Service: "cut", ResultBytes: 1}}, Pieces: []int{6}, Prompt: &relay.Prompt{TokensIn: 1},
		})
		if refusal != nil {
			t.Fatal(refusal.Reason)
		}
		if decision := <-assignment.Decisions(); decision.Refusal == nil {
			t.Fatalf("decision %+v", decision)
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		for _, want := range []string{"event=4201", "requests=r1", "event=4204", "request=r1", "waited_ms=", "pieces=6"} {
			if !strings.Contains(lines.String(), want) {
				t.Errorf("no %s in\n%s", want, lines.String())
			}
		}
	})
}
