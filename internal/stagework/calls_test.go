package stagework

import (
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/route"
)

// begun returns how many calls each target of the service began.
func (w *world) begun(service string) map[string]int {
	w.farm.mu.Lock()
	defer w.farm.mu.Unlock()
	n := make(map[string]int)
	for _, t := range w.targets {
		if t.Service == service {
			n[t.ID] = len(w.farm.servers[t.ID].begun)
		}
	}
	return n
}

// Pattern: the results of one call are all made at one moment, so that the next
// stage of several requests is ready at once while all its targets are free.
// Symptom of sharing the pieces out: every target is busy with a call that is
// nearly all fixed time, and what comes next waits. Grounds: three requests of
// two pieces are 6 of a batch of 8, so one call takes them all.
func TestPiecesThatAreReadyTogetherFillOneCall(t *testing.T) {
	services := map[string]group{
		"cut":  {1, limits(8, 120*ms, 10*ms, 64*mb)},
		"look": {3, limits(8, 120*ms, 10*ms, 64*mb)},
	}
	stages := []route.Stage{{Service: "cut", ResultBytes: 1000}, {Service: "look", After: []int{0}, ResultBytes: 1000}}
	inWorld(t, services, func(w *world) {
		ends := w.serveAll(4, 5*ms, func(i int) Job { return newJob(i, 3*time.Second, 4*time.Second, stages, 2, 2) })
		requirePlaced(t, ends...)
		calls := 0
		for _, n := range w.begun("look") {
			calls += n
		}
		if calls != 2 { // of the first request, and of the three that waited for it
			t.Errorf("%d calls of the second stage, want 2", calls)
		}
	})
}
