package stagework

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/route"
)

// chain is three stages, each after the one before.
func chain(bytes int64) []route.Stage {
	return []route.Stage{
		{Service: "cut", ResultBytes: bytes},
		{Service: "look", After: []int{0}, ResultBytes: bytes / 4},
		{Service: "note", After: []int{1}, ResultBytes: bytes / 16},
	}
}

// dayServices have five servers of the first service and room for about a dozen
// jobs' results.
func dayServices() map[string]group {
	look := limits(6, 60*ms, 5*ms, 32*mb)
	look.Slots = 2
	return map[string]group{
		"cut":  {5, limits(8, 120*ms, 10*ms, 64*mb)},
		"look": {3, look},
		"note": {2, limits(12, 40*ms, 2*ms, 16*mb)},
	}
}

// dayJob draws a job: most have all three stages, some no pieces of the first
// or of any, some no stages at all.
func dayJob(r *rand.Rand, i int) Job {
	counts := []int{1 + r.IntN(6), 1 + r.IntN(4), 1 + r.IntN(2)}
	switch r.IntN(10) {
	case 0:
		counts[0] = 0
	case 1:
		counts = nil
	}
	aim := 800*ms + time.Duration(r.IntN(1500))*ms
	j := newJob(i, aim, aim+time.Duration(r.IntN(3000))*ms, chain(4*mb), counts...)
	j.Priority = r.IntN(3)
	if r.IntN(20) == 0 {
		j.Stages, j.Pieces = nil, nil
	}
	return j
}

// day runs jobs with random arrivals; those of which quits is true are
// cancelled at a random moment.
func day(w *world, seed uint64, jobs int, quits func(r *rand.Rand) bool) (placed, refused, gone int) {
	r := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex // guards the counts
	var wg sync.WaitGroup
	for i := range jobs {
		time.Sleep(time.Duration(r.ExpFloat64() * float64(60*ms)))
		j, quit, after := dayJob(r, i), quits(r), time.Duration(r.IntN(900))*ms
		wg.Go(func() {
			if quit {
				if ticket, refusal := w.submit(j); refusal == nil {
					time.Sleep(after)
					ticket.End()
				}
				return
			}
			e := w.serve(j)
			mu.Lock()
			defer mu.Unlock()
			gone += e.gone
			if e.refusal != nil {
				refused++
			} else if e.engine != "" {
				placed++
			}
		})
	}
	wg.Wait()
	w.t.Logf("%d placed, %d refused, %d inputs gone, %+v", placed, refused, gone, w.d.Counts())
	return placed, refused, gone
}

// TestDay checks over a calm day that every job is placed or refused, that each
// piece is sent once and gets exactly the handles before it (farm.intact), that
// calls keep to Batch and Slots (farm.Run), that no server lacks room, and that
// nothing is kept at the end, here (world.settled) or at the servers.
func TestDay(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			inWorld(t, dayServices(), func(w *world) {
				placed, refused, gone := day(w, seed, 300, func(*rand.Rand) bool { return false })
				if placed+refused != 300 || placed < 150 || gone > 0 {
					t.Errorf("%d placed and %d refused of 300, %d inputs gone", placed, refused, gone)
				}
				time.Sleep(time.Second)
				w.farm.mu.Lock()
				defer w.farm.mu.Unlock()
				for id, n := range w.farm.sent {
					if len(n) != 1 {
						t.Errorf("%+v was sent %d times", id, len(n))
					}
				}
				for id, s := range w.farm.servers {
					if used := w.farm.used(id); used != 0 || s.noRoom != 0 {
						t.Errorf("%s holds %d bytes at the end and had no room for %d pieces", id, used, s.noRoom)
					}
				}
			})
		})
	}
}

// TestDayOfFaults has callers that leave and servers that hang, are full, slow
// or vanish; what was true of the calm day is true but for pieces made again.
func TestDayOfFaults(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			inWorld(t, dayServices(), func(w *world) {
				var wg sync.WaitGroup
				wg.Go(func() {
					r := rand.New(rand.NewPCG(seed, 2))
					for range 12 {
						time.Sleep(time.Second)
						w.farm.change(fmt.Sprint("cut", r.IntN(4)), func(s *stageServer) {
							s.hung, s.full, s.factor = r.IntN(3) == 0, r.IntN(3) == 0, 1+4*float64(r.IntN(2))
						})
					}
					w.vanish("cut4")
					w.vanish("look0")
				})
				placed, _, _ := day(w, seed, 300, func(r *rand.Rand) bool { return r.IntN(8) == 0 })
				wg.Wait()
				if placed < 100 {
					t.Errorf("only %d placed", placed)
				}
			})
		})
	}
}

// Symptom: servers are full of results and no call is in progress. Events: many
// jobs, each with a part of its results made. Cause: none gets room for its
// last piece.
func TestRoomIsFilledExactly(t *testing.T) {
	share := roomShare
	stages := []route.Stage{{Service: "cut", ResultBytes: int64(share * mb)}}
	for _, pieces := range []int{1, 3, 6, 12} {
		t.Run(fmt.Sprint(pieces, " pieces"), func(t *testing.T) {
			// 3 servers, each with room for 4 results.
			inWorld(t, map[string]group{"cut": {3, limits(4, 50*ms, 5*ms, 4*mb)}}, func(w *world) {
				requirePlaced(t, w.serveAll(60, ms, func(i int) Job { return newJob(i, 30*time.Second, 120*time.Second, stages, pieces) })...)
			})
		})
	}
}

// Symptom: as above, until all are refused. Events: two stages of a request, the
// second after the first, are of one service. Cause: room is set aside for each
// stage by itself; results of the first are freed once the second is made.
func TestRoomOfAChainInOneService(t *testing.T) {
	stages := []route.Stage{{Service: "cut", ResultBytes: mb / 2}, {Service: "cut", After: []int{0}, ResultBytes: mb / 2}}
	inWorld(t, map[string]group{"cut": {2, limits(4, 50*ms, 5*ms, 4*mb)}}, func(w *world) {
		requirePlaced(t, w.serveAll(40, ms, func(i int) Job { return newJob(i, 10*time.Second, 40*time.Second, stages, 3, 2) })...)
	})
}

// Symptom: servers say that they have no room though the dispatcher counted
// some. Events: a job's results are given up, and their place is taken by the
// next call before the server has heard of it. Cause: room counts as free when
// the giving up is decided, not when it is done.
func TestRoomIsFreeOnceItsServerHasGivenItUp(t *testing.T) {
	stages := []route.Stage{{Service: "cut", ResultBytes: 15 * mb / 8}}
	inWorld(t, map[string]group{"cut": {1, limits(2, 50*ms, 5*ms, 4*mb)}}, func(w *world) {
		requirePlaced(t, w.serveAll(20, 0, func(i int) Job { return newJob(i, 30*time.Second, 60*time.Second, stages, 2) })...)
		if n := w.farm.server("cut0").noRoom; n > 0 {
			t.Errorf("%d pieces were sent to a server without room", n)
		}
	})
}
