package stagework

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/route"
)

// chain returns three stages, each of which depends on the previous one.
func chain(bytes int64) []route.Stage {
	return []route.Stage{
		{Service: "cut", ResultBytes: bytes},
		{Service: "look", After: []int{0}, ResultBytes: bytes / 4},
		{Service: "note", After: []int{1}, ResultBytes: bytes / 16},
	}
}

// randomDayServices returns services with five targets of the first one and
// memory for the results of about a dozen jobs.
func randomDayServices() map[string]serviceSpec {
	look := limits(6, 60*ms, 5*ms, 32*mb)
	look.Slots = 2
	return map[string]serviceSpec{
		"cut":  {5, limits(8, 120*ms, 10*ms, 64*mb)},
		"look": {3, look},
		"note": {2, limits(12, 40*ms, 2*ms, 16*mb)},
	}
}

// randomJob returns a random job: most have pieces of all three stages, some
// have none of the first stage or of any stage, and some have no stages.
func randomJob(r *rand.Rand, i int) Job {
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

// runRandomDay runs jobs with random arrivals; those selected by cancels are
// cancelled at a random time.
func runRandomDay(w *testEnv, seed uint64, jobs int, cancels func(r *rand.Rand) bool) (placed, refused, lostInputs int) {
	r := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex // guards the results
	var wg sync.WaitGroup
	for i := range jobs {
		time.Sleep(time.Duration(r.ExpFloat64() * float64(60*ms)))
		j, quit, after := randomJob(r, i), cancels(r), time.Duration(r.IntN(900))*ms
		wg.Go(func() {
			if quit {
				if assignment, refusal := w.submit(j); refusal == nil {
					time.Sleep(after)
					assignment.End()
				}
				return
			}
			e := w.serve(j)
			mu.Lock()
			defer mu.Unlock()
			lostInputs += e.lostInputs
			if e.refusal != nil {
				refused++
			} else if e.engine != "" {
				placed++
			}
		})
	}
	wg.Wait()
	w.t.Logf("%d placed, %d refused, %d inputs lost, %+v", placed, refused, lostInputs, w.d.Counts())
	return placed, refused, lostInputs
}

// TestDay checks, under moderate load without faults, that every job is placed
// or refused, that each piece is sent once with exactly the handles of its
// inputs (fakeTargets.inputsPresent), that calls respect Batch and Slots
// (fakeTargets.Run), that no target runs out of memory, and that nothing is
// kept at the end, by the dispatcher (testEnv.checkReleased) or by the targets.
func TestDay(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			withEnv(t, randomDayServices(), func(w *testEnv) {
				placed, refused, lostInputs := runRandomDay(w, seed, 300, func(*rand.Rand) bool { return false })
				if placed+refused != 300 || placed < 150 || lostInputs > 0 {
					t.Errorf("%d placed and %d refused of 300, %d inputs lost", placed, refused, lostInputs)
				}
				time.Sleep(time.Second)
				w.fake.mu.Lock()
				defer w.fake.mu.Unlock()
				for id, n := range w.fake.sent {
					if len(n) != 1 {
						t.Errorf("%+v was sent %d times", id, len(n))
					}
				}
				for id, s := range w.fake.targets {
					if used := w.fake.usedLocked(id); used != 0 || s.outOfMemory != 0 {
						t.Errorf("%s holds %d bytes at the end and had no memory for %d pieces", id, used, s.outOfMemory)
					}
				}
			})
		})
	}
}

// TestDayOfFaults adds callers that cancel and targets that hang, are busy or
// slow, or are removed. The invariants of TestDay hold, except that pieces may
// be executed again.
func TestDayOfFaults(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			withEnv(t, randomDayServices(), func(w *testEnv) {
				var wg sync.WaitGroup
				wg.Go(func() {
					r := rand.New(rand.NewPCG(seed, 2))
					for range 12 {
						time.Sleep(time.Second)
						w.fake.update(fmt.Sprint("cut", r.IntN(4)), func(s *fakeTarget) {
							s.hangs, s.busy, s.slowdown = r.IntN(3) == 0, r.IntN(3) == 0, 1+4*float64(r.IntN(2))
						})
					}
					w.removeTarget("cut4")
					w.removeTarget("look0")
				})
				placed, _, _ := runRandomDay(w, seed, 300, func(r *rand.Rand) bool { return r.IntN(8) == 0 })
				wg.Wait()
				if placed < 100 {
					t.Errorf("only %d placed", placed)
				}
			})
		})
	}
}

// TestRoomIsFilledExactly guards against a deadlock on result memory: with many
// jobs in progress, each with some of its results, none gets memory for its
// last piece, while no call is in progress.
func TestRoomIsFilledExactly(t *testing.T) {
	share := usableMemoryShare
	stages := []route.Stage{{Service: "cut", ResultBytes: int64(share * mb)}}
	for _, pieces := range []int{1, 3, 6, 12} {
		t.Run(fmt.Sprint(pieces, " pieces"), func(t *testing.T) {
			// 3 targets, each with memory for 4 results.
			withEnv(t, map[string]serviceSpec{"cut": {3, limits(4, 50*ms, 5*ms, 4*mb)}}, func(w *testEnv) {
				requirePlaced(t, w.serveAll(60, ms, func(i int) Job { return newJob(i, 30*time.Second, 120*time.Second, stages, pieces) })...)
			})
		})
	}
}

// TestRoomOfAChainInOneService guards against the same deadlock for requests
// with two consecutive stages in one service. It occurs if memory is reserved
// for each stage separately, since the results of the first stage are only
// released once the second is finished.
func TestRoomOfAChainInOneService(t *testing.T) {
	stages := []route.Stage{{Service: "cut", ResultBytes: mb / 2}, {Service: "cut", After: []int{0}, ResultBytes: mb / 2}}
	withEnv(t, map[string]serviceSpec{"cut": {2, limits(4, 50*ms, 5*ms, 4*mb)}}, func(w *testEnv) {
		requirePlaced(t, w.serveAll(40, ms, func(i int) Job { return newJob(i, 10*time.Second, 40*time.Second, stages, 3, 2) })...)
	})
}

// TestRoomIsFreeOnceItsServerHasGivenItUp guards against pieces that are sent
// to a target before it has released the results whose memory they need. This
// happens if memory counts as free when the release is decided, not when the
// target has been notified.
func TestRoomIsFreeOnceItsServerHasGivenItUp(t *testing.T) {
	stages := []route.Stage{{Service: "cut", ResultBytes: 15 * mb / 8}}
	withEnv(t, map[string]serviceSpec{"cut": {1, limits(2, 50*ms, 5*ms, 4*mb)}}, func(w *testEnv) {
		requirePlaced(t, w.serveAll(20, 0, func(i int) Job { return newJob(i, 30*time.Second, 60*time.Second, stages, 2) })...)
		if n := w.fake.target("cut0").outOfMemory; n > 0 {
			t.Errorf("%d pieces were sent to a target without free memory", n)
		}
	})
}
