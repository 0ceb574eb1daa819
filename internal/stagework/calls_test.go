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

// Pattern: requests of several places wait for a stage whose pieces each read all
// results of the one before. Symptom: a call is filled with what comes next, and
// the results of all places cross to one of them. Grounds: with a free target in
// each place nothing has to cross.
func TestACallTakesWhatLiesInItsPlace(t *testing.T) {
	services := map[string]group{
		"cut":  {2, limits(8, 120*ms, 10*ms, 64*mb)},
		"look": {2, limits(16, 300*ms, 10*ms, 64*mb)},
	}
	stages := []route.Stage{{Service: "cut", ResultBytes: mb}, {Service: "look", After: []int{0}, ResultBytes: 1000}}
	inWorld(t, services, func(w *world) {
		ends := w.serveAll(12, 40*ms, func(i int) Job { return newJob(i, 4*time.Second, 5*time.Second, stages, 4, 2) })
		requirePlaced(t, ends...)
		if crossed := w.crossed(); crossed > 0 {
			t.Errorf("%d results were read in another place than they were made", crossed)
		}
	})
}

// Pattern: a request's pieces are more than what is left of a call. Symptom: it
// waits for the end of two calls. Grounds: of two requests with 5 pieces each and
// a batch of 8, the second fits whole in a call of its own at the free target.
func TestARequestsPiecesAreNotDivided(t *testing.T) {
	services := map[string]group{
		"cut":  {1, limits(8, 120*ms, 10*ms, 64*mb)},
		"look": {2, limits(8, 120*ms, 10*ms, 64*mb)},
	}
	stages := []route.Stage{{Service: "cut", ResultBytes: 10}, {Service: "look", After: []int{0}, ResultBytes: 10}}
	inWorld(t, services, func(w *world) {
		requirePlaced(t, w.serveAll(3, 5*ms, func(i int) Job { return newJob(i, 3*time.Second, 4*time.Second, stages, 2, 5) })...)
		makers := make(map[string]map[string]bool)
		w.farm.mu.Lock()
		defer w.farm.mu.Unlock()
		for _, m := range w.farm.made {
			if m.stage == 1 {
				if makers[m.job] == nil {
					makers[m.job] = make(map[string]bool)
				}
				makers[m.job][m.server] = true
			}
		}
		for id, servers := range makers {
			if len(servers) != 1 {
				t.Errorf("the pieces of %s were made by %d targets", id, len(servers))
			}
		}
	})
}

// crossed is how many results pieces have read that lay in another place.
func (w *world) crossed() int {
	w.farm.mu.Lock()
	defer w.farm.mu.Unlock()
	return w.farm.crossed
}

// Pattern: a burst of requests whose results lie at their makers until the next
// stage has read them, and fill the room. Symptom: targets are always busy with
// calls of a few pieces, as many as results were given up. Grounds: with room for
// roomFull of what waits a call begins at once; with less it waits for half of a
// call's fixed time of 100 ms after the one before, in which the next stage
// usually ends, and not for ever.
func TestACallWaitsForRoomOfTheResultsBefore(t *testing.T) {
	for name, c := range map[string]struct {
		room int64 // that is free, in results
		idle time.Duration
		want int // pieces of the call
	}{
		"room for a third":             {room: 3, want: 0},
		"room for a third, after 45ms": {room: 3, idle: 45 * ms, want: 0},
		"room for a third, after 50ms": {room: 3, idle: 50 * ms, want: 2},
		"room for half":                {room: 4, want: 0},
		"room for three fifths":        {room: 5, want: 0},
		"room for three quarters":      {room: 6, want: 6},
		"room for all":                 {room: 8, want: 8},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			p := twoStages(func([]string) {})
			target := p.services["cut"].servers["c1"]
			target.busyTill = now.Add(-c.idle)
			target.room = target.freeRoom(now) - c.room*100
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
