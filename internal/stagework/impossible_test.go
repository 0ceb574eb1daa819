package stagework

import (
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/route"
)

// Guards against a request that makes an instance allocate for more pieces than its targets
// could ever work on, or keep the results of, until the instance is killed.
func TestJobsBeyondAllTargetsAreRefusedAtOnce(t *testing.T) {
	const batch, memory, resultBytes = 8, 64 * mb, 1000
	services := map[string]serviceSpec{"cut": {2, limits(batch, 120*ms, 10*ms, memory)}}
	large := []route.Stage{{Service: "cut", ResultBytes: mb}}
	small := []route.Stage{{Service: "cut", ResultBytes: resultBytes}}
	for _, c := range []struct {
		name   string
		stages []route.Stage
		pieces int
		reason string // of the refusal; "" = none
	}{
		{"fits", small, 40, ""},
		{"more than can be worked on in time", small, 5_000, ReasonTooManyPieces},
		{"results need more memory than there is", large, 2*64 + 1, ReasonTooManyPieces},
		{"two billion", small, 2_000_000_000, ReasonTooManyPieces},
	} {
		t.Run(c.name, func(t *testing.T) {
			withEnv(t, services, func(w *testEnv) {
				ends := w.serveAll(1, 0, func(i int) Job { return newJob(i, 3*time.Second, 4*time.Second, c.stages, c.pieces) })
				if r := ends[0].refusal; r == nil && c.reason != "" || r != nil && r.Reason != c.reason {
					t.Errorf("refusal %+v, want %q", r, c.reason)
				}
				if n := w.callsStarted("cut"); c.reason != "" && n["cut0"]+n["cut1"] > 0 {
					t.Errorf("calls of a refused job: %v", n)
				}
			})
		})
	}
}

// Guards against jobs that fit one by one and together take more memory than the instance
// has for them, and against a limit that counts jobs that have ended.
func TestPiecesOfAllJobsAreLimited(t *testing.T) {
	services := map[string]serviceSpec{"cut": {2, limits(8, 20*ms, 2*ms, 64*mb)}}
	stages := []route.Stage{{Service: "cut", ResultBytes: 1000}}
	withEnv(t, services, func(w *testEnv) {
		w.d.SetLimits(Limits{Pieces: 10})
		submit := func(n int) []jobOutcome {
			return w.serveAll(n, 0, func(i int) Job { return newJob(i, 3*time.Second, 4*time.Second, stages, 6) })
		}
		refused := 0
		for _, end := range submit(2) {
			if end.refusal != nil && end.refusal.Reason == ReasonPiecesFull {
				refused++
			}
		}
		if refused != 1 {
			t.Errorf("%d of two jobs of 6 pieces were refused, with a limit of 10", refused)
		}
		for range 3 {
			requirePlaced(t, submit(1)...)
		}
	})
}
