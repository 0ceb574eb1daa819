package stagework

import (
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/route"
)

// callsStarted returns the number of calls that each target of the service started.
func (w *testEnv) callsStarted(service string) map[string]int {
	w.fake.mu.Lock()
	defer w.fake.mu.Unlock()
	n := make(map[string]int)
	for _, t := range w.targets {
		if t.Service == service {
			n[t.ID] = len(w.fake.targets[t.ID].started)
		}
	}
	return n
}

// TestPiecesThatAreReadyTogetherFillOneCall guards against distributing pieces
// that become ready at the same time over all free targets, each of which would
// be busy with a call that is mostly fixed time. The results of one call make
// the next stage of several requests ready at once. Three requests of two
// pieces are 6 of a batch of 8, so one call takes them all.
func TestPiecesThatAreReadyTogetherFillOneCall(t *testing.T) {
	services := map[string]serviceSpec{
		"cut":  {1, limits(8, 120*ms, 10*ms, 64*mb)},
		"look": {3, limits(8, 120*ms, 10*ms, 64*mb)},
	}
	stages := []route.Stage{{Service: "cut", ResultBytes: 1000}, {Service: "look", After: []int{0}, ResultBytes: 1000}}
	withEnv(t, services, func(w *testEnv) {
		ends := w.serveAll(4, 5*ms, func(i int) Job { return newJob(i, 3*time.Second, 4*time.Second, stages, 2, 2) })
		requirePlaced(t, ends...)
		calls := 0
		for _, n := range w.callsStarted("look") {
			calls += n
		}
		if calls != 2 { // of the first request, and of the three that waited for it
			t.Errorf("%d calls of the second stage, want 2", calls)
		}
	})
}

// TestACallTakesWhatLiesInItsPlace guards against calls that mix zones, so that
// results cross to one of them. Requests of several zones wait for a stage
// whose pieces each read all results of the previous stage. With a free target
// in each zone, no result has to cross.
func TestACallTakesWhatLiesInItsPlace(t *testing.T) {
	services := map[string]serviceSpec{
		"cut":  {2, limits(8, 120*ms, 10*ms, 64*mb)},
		"look": {2, limits(16, 300*ms, 10*ms, 64*mb)},
	}
	stages := []route.Stage{{Service: "cut", ResultBytes: mb}, {Service: "look", After: []int{0}, ResultBytes: 1000}}
	withEnv(t, services, func(w *testEnv) {
		ends := w.serveAll(12, 40*ms, func(i int) Job { return newJob(i, 4*time.Second, 5*time.Second, stages, 4, 2) })
		requirePlaced(t, ends...)
		if crossed := w.crossZoneReads(); crossed > 0 {
			t.Errorf("%d results were read in another zone than that of their target", crossed)
		}
	})
}

// TestARequestsPiecesAreNotDivided guards against a request that is split over
// two calls and waits for the end of both. Of two requests with 5 pieces each
// and a batch size of 8, the second fits whole into a call of its own at the
// free target.
func TestARequestsPiecesAreNotDivided(t *testing.T) {
	services := map[string]serviceSpec{
		"cut":  {1, limits(8, 120*ms, 10*ms, 64*mb)},
		"look": {2, limits(8, 120*ms, 10*ms, 64*mb)},
	}
	stages := []route.Stage{{Service: "cut", ResultBytes: 10}, {Service: "look", After: []int{0}, ResultBytes: 10}}
	withEnv(t, services, func(w *testEnv) {
		requirePlaced(t, w.serveAll(3, 5*ms, func(i int) Job { return newJob(i, 3*time.Second, 4*time.Second, stages, 2, 5) })...)
		targetsByJob := make(map[string]map[string]bool)
		w.fake.mu.Lock()
		defer w.fake.mu.Unlock()
		for _, m := range w.fake.results {
			if m.stage == 1 {
				if targetsByJob[m.job] == nil {
					targetsByJob[m.job] = make(map[string]bool)
				}
				targetsByJob[m.job][m.target] = true
			}
		}
		for id, targets := range targetsByJob {
			if len(targets) != 1 {
				t.Errorf("the pieces of %s ran on %d targets", id, len(targets))
			}
		}
	})
}

// crossZoneReads returns the number of results that were read in another zone
// than that of their target.
func (w *testEnv) crossZoneReads() int {
	w.fake.mu.Lock()
	defer w.fake.mu.Unlock()
	return w.fake.crossZoneReads
}

// TestACallWaitsForRoomOfTheResultsBefore guards against targets that are
// always busy with calls of a few pieces, as many as results were released. In
// a burst, results are held by their targets until the next stage has read
// them, and fill the memory. A call starts at once with memory for minCallFill
// of the waiting pieces; with less, it waits, but no longer than half of a
// call's fixed time of 100 ms after the previous call, in which the next stage
// usually ends.
func TestACallWaitsForRoomOfTheResultsBefore(t *testing.T) {
	for name, c := range map[string]struct {
		room int64 // free memory, in results
		idle time.Duration
		want int // pieces of the call
	}{
		"memory for a third":             {room: 3, want: 0},
		"memory for a third, after 45ms": {room: 3, idle: 45 * ms, want: 0},
		"memory for a third, after 50ms": {room: 3, idle: 50 * ms, want: 2},
		"memory for half":                {room: 4, want: 0},
		"memory for three fifths":        {room: 5, want: 0},
		"memory for three quarters":      {room: 6, want: 6},
		"memory for all":                 {room: 8, want: 8},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			p := twoStages(func([]string) {})
			target := p.services["cut"].targets["c1"]
			target.busyUntil = now.Add(-c.idle)
			target.usedBytes = target.freeBytes(now) - c.room*100
			for i := range 4 {
				if _, refusal := p.submit(stagedJob(string(rune('a'+i)), 2, now), nil, now); refusal != nil {
					t.Fatal(refusal.Reason)
				}
			}
			got := 0
			for _, call := range p.plan(now) {
				got += len(call.pieces)
			}
			if got != c.want {
				t.Errorf("a call of %d pieces, want %d", got, c.want)
			}
		})
	}
}
