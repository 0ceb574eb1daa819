package stagework

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/route"
)

// cutOnly returns one stage.
func cutOnly(bytes int64) []route.Stage { return []route.Stage{{Service: "cut", ResultBytes: bytes}} }

// cuts returns a service with n targets and calls of 110 to 140 ms.
func cuts(n int) map[string]serviceSpec {
	return map[string]serviceSpec{"cut": {n, limits(4, 100*ms, 10*ms, 64*mb)}}
}

// withSlowStage runs the test with a chain of "cut" and "look" beside a stage
// of two seconds, so that results of the chain are kept while the slow stage
// runs. It runs once with pieces of both stages of the chain, in which case the
// results of "cut" are released early, and once with "look" alone.
func withSlowStage(t *testing.T, lifetime time.Duration, test func(w *testEnv, stages []route.Stage, cuts int)) {
	look := limits(4, 50*ms, 5*ms, 64*mb)
	look.ResultLifetime = lifetime
	services := map[string]serviceSpec{"cut": {2, limits(4, 50*ms, 5*ms, 64*mb)}, "look": {2, look}, "slow": {1, limits(4, 2*time.Second, ms, 64*mb)}}
	stages := []route.Stage{{Service: "cut", ResultBytes: 1024}, {Service: "look", After: []int{0}, ResultBytes: 1024}, {Service: "slow", ResultBytes: 1024}}
	for _, cuts := range []int{0, 3} {
		t.Run(fmt.Sprint(cuts, " pieces before"), func(t *testing.T) {
			withEnv(t, services, func(w *testEnv) { test(w, stages, cuts) })
		})
	}
}

// TestPiecesOfAHungServerAreMadeElsewhere guards against requests that wait
// until their callers have given up because a target accepted a call and never
// responds.
func TestPiecesOfAHungServerAreMadeElsewhere(t *testing.T) {
	withEnv(t, cuts(3), func(w *testEnv) {
		w.fake.targets["cut0"].hangs = true
		requirePlaced(t, w.serveAll(40, 40*ms, func(i int) Job { return newJob(i, time.Second, 1500*ms, cutOnly(1024), 2) })...)
		if calls, hung := len(w.fake.target("cut0").started), w.d.Counts().TimedOut; calls == 0 || hung != calls {
			t.Errorf("%d calls of the hanging target, %d counted", calls, hung)
		}
	})
}

// TestABusyTargetCostsNoAttempts guards against requests that are refused
// although other targets are free, while one target responds that it is busy.
// Rejected calls must not use up the attempts of their pieces or go back to the
// same target.
func TestABusyTargetCostsNoAttempts(t *testing.T) {
	for targets := 1; targets <= 2; targets++ {
		t.Run(fmt.Sprint(targets, " targets"), func(t *testing.T) {
			withEnv(t, cuts(targets), func(w *testEnv) {
				w.fake.targets["cut0"].busy = true
				if targets == 1 {
					time.AfterFunc(2*time.Second, func() { w.fake.update("cut0", func(s *fakeTarget) { s.busy = false }) })
				}
				requirePlaced(t, w.serveAll(20, 100*ms, func(i int) Job { return newJob(i, 3*time.Second, 4*time.Second, cutOnly(1024), 2) })...)
			})
		})
	}
}

// TestPiecesWithoutRoomAreMadeElsewhere guards against sending the same pieces
// to the same target until they have no attempts left. The target has less
// memory than declared, or holds results unknown to the dispatcher, and a
// rejection for lack of memory is not remembered.
func TestPiecesWithoutRoomAreMadeElsewhere(t *testing.T) {
	withEnv(t, cuts(2), func(w *testEnv) {
		w.fake.targets["cut0"].memory = 2 * mb
		requirePlaced(t, w.serveAll(20, 150*ms, func(i int) Job { return newJob(i, 2*time.Second, 3*time.Second, cutOnly(4*mb), 2) })...)
		for id, n := range w.fake.sent {
			if len(n) > 3 {
				t.Errorf("%+v was sent %d times", id, len(n))
			}
		}
		if w.fake.target("cut0").outOfMemory == 0 {
			t.Error("no piece was rejected: nothing was tested")
		}
	})
}

// TestResultsOfAVanishedServerAreMadeAgain guards against sending lost results
// to an engine. The target with results of a waiting request is removed when
// the inputs of these results were already released, so not only the results
// that the engine reads have to be produced again.
func TestResultsOfAVanishedServerAreMadeAgain(t *testing.T) {
	withSlowStage(t, 30*time.Second, func(w *testEnv, stages []route.Stage, cuts int) {
		time.AfterFunc(time.Second, func() { w.removeTarget(w.fake.loseResults("job 1", 1)) })
		requirePlaced(w.t, w.serve(newJob(1, 4*time.Second, 5*time.Second, stages, cuts, 3, 1)))
	})
}

// TestLostInputsAreMadeAgain guards against retrying a piece with the handles
// of lost inputs: a target loses results without notice, and the next stage
// reports that its inputs are gone.
func TestLostInputsAreMadeAgain(t *testing.T) {
	withSlowStage(t, 30*time.Second, func(w *testEnv, stages []route.Stage, cuts int) {
		// The fourth stage occupies its target while results of the second are
		// kept.
		stages = append(stages[:3:3], route.Stage{Service: "slow", After: []int{1}, ResultBytes: 1024})
		time.AfterFunc(time.Second, func() {
			if w.fake.loseResults("job 1", 1) == "" {
				w.t.Error("there was no result to lose")
			}
		})
		requirePlaced(w.t, w.serve(newJob(1, 10*time.Second, 20*time.Second, stages, cuts, 3, 1, 1)))
	})
}

// TestExpiredResultsAreMadeAgain guards against sending expired results to an
// engine: one stage takes longer than the lifetime of the results of another.
func TestExpiredResultsAreMadeAgain(t *testing.T) {
	withSlowStage(t, time.Second, func(w *testEnv, stages []route.Stage, cuts int) {
		requirePlaced(w.t, w.serve(newJob(1, 4*time.Second, 5*time.Second, stages, cuts, 3, 1)))
	})
}

// TestInputsGoneAtTheEngineAreMadeAgain guards against a request that every
// engine rejects because its inputs are lost. Results are lost after the engine
// was chosen, when their own inputs were already released, so these have to be
// produced again as well.
func TestInputsGoneAtTheEngineAreMadeAgain(t *testing.T) {
	withEnv(t, randomDayServices(), func(w *testEnv) {
		j := newJob(1, 4*time.Second, 5*time.Second, chain(64<<10), 3, 2, 2)
		assignment, _ := w.submit(j)
		first := <-assignment.Decisions()
		w.fake.loseResults(j.ID, 2)
		assignment.Rejected(true, false)
		second := <-assignment.Decisions()
		if first.Refusal != nil || second.Refusal != nil || !w.engineInputsPresent(j, second.Inputs) {
			t.Errorf("placed %+v, then %+v", first, second)
		}
		assignment.AnswerStarted(nil)
		assignment.End()
	})
}

// TestResultsOfACancelledCallAreFreed guards against a leak of result memory: a
// caller cancels while a call with its pieces is in progress, and the results
// arrive when the job no longer exists.
func TestResultsOfACancelledCallAreFreed(t *testing.T) {
	withEnv(t, cuts(1), func(w *testEnv) {
		assignment, _ := w.submit(newJob(1, time.Second, 2*time.Second, cutOnly(1024), 3))
		time.Sleep(60 * ms)
		before := w.fake.usedBytes("cut0")
		assignment.End()
		time.Sleep(time.Second)
		if after := w.fake.usedBytes("cut0"); before == 0 || after != 0 {
			t.Errorf("%d bytes while the call was in progress, %d later", before, after)
		}
	})
}

// TestASlowServerGetsOnlyWhatItEndsFirst guards against one slow target that
// makes a share of all requests late, and against a target that is never used
// again after it has recovered. One target takes five times as long as the
// others, then recovers.
func TestASlowServerGetsOnlyWhatItEndsFirst(t *testing.T) {
	withEnv(t, cuts(4), func(w *testEnv) {
		w.fake.targets["cut0"].slowdown = 5
		arrive := func(name string, n int, pause time.Duration) (calls int, endings []jobOutcome) {
			before := len(w.fake.target("cut0").started)
			endings = w.serveAll(n, pause, func(i int) Job { return newJob(fmt.Sprint(name, i), 900*ms, 20*time.Second, cutOnly(1024), 2) })
			return len(w.fake.target("cut0").started) - before, endings
		}
		if learned, _ := arrive("learn", 40, 50*ms); learned == 0 {
			t.Error("the slow target got no call: nothing was tested")
		}
		began := time.Now()
		// The load is half of the capacity of the other three targets, so a
		// call of this one would always end last. It gets a call now and then,
		// since its latency ratio decays.
		tries, endings := arrive("slow", 200, 25*ms)
		for i, e := range endings {
			if e.at.Sub(began) > time.Duration(i)*25*ms+900*ms {
				t.Errorf("job %d was late", i)
			}
		}
		if tries > 4 {
			t.Errorf("%d calls of the slow target in five seconds while others were free", tries)
		}
		w.fake.update("cut0", func(s *fakeTarget) { s.slowdown = 1 })
		// The load exceeds the capacity of the other three targets.
		if calls, _ := arrive("recovered", 600, 15*ms); calls < 10 {
			t.Errorf("%d calls in nine busy seconds after the target recovered", calls)
		}
	})
}

// TestWhatCannotBeDoneInTimeIsRefusedAtOnce guards against requests that take
// up targets' time although their deadline is too near for their stages.
func TestWhatCannotBeDoneInTimeIsRefusedAtOnce(t *testing.T) {
	withSlowStage(t, 30*time.Second, func(w *testEnv, stages []route.Stage, cuts int) {
		_, refusal := w.submit(newJob(1, time.Second, 1900*ms, stages, cuts, 1, 1))
		if refusal == nil || refusal.Reason != ReasonLate || refusal.RetryAfter <= 0 {
			w.t.Errorf("refusal %+v", refusal)
		}
		none := newJob(2, time.Second, 5*time.Second, stages, cuts, 1, 1)
		none.Service = "another"
		if _, refusal := w.submit(none); refusal == nil || refusal.Reason != ReasonNoTarget {
			w.t.Errorf("without an engine service: %+v", refusal)
		}
		time.Sleep(time.Second)
		if n := len(w.fake.sent); n > 0 {
			w.t.Errorf("%d pieces were sent for refused jobs", n)
		}
		requirePlaced(w.t, w.serve(newJob(3, 3*time.Second, 3*time.Second, stages, cuts, 1, 1)))
	})
}

// TestAHopelessJobIsRefusedAsSoonAsThatIsCertain guards against callers that
// wait until their deadline for a refusal while no target takes work. A job has
// to be refused when it can no longer meet its deadline, not at the deadline.
func TestAHopelessJobIsRefusedAsSoonAsThatIsCertain(t *testing.T) {
	withEnv(t, cuts(1), func(w *testEnv) {
		w.fake.targets["cut0"].busy = true
		began := time.Now()
		e := w.serve(newJob(1, time.Second, 3*time.Second, cutOnly(1024), 4))
		// 140 ms of work are the minimum, in addition to the engine's time.
		after := e.at.Sub(began)
		if e.refusal == nil || e.refusal.Reason != ReasonLate || after > 3*time.Second-140*ms+2*planInterval || after < 2*time.Second {
			t.Errorf("refused after %v: %+v", after, e.refusal)
		}
	})
}

// TestLateJobsDoNotHoldBackOthers guards against requests that are all late or
// refused for long after a short overload. The queue is full of requests that
// are already late; if the oldest went first, each would be late in turn, and a
// new job must not be refused because of late jobs that it precedes.
func TestLateJobsDoNotHoldBackOthers(t *testing.T) {
	for _, deadline := range []time.Duration{time.Minute, 5 * time.Second} {
		t.Run(fmt.Sprint("deadline ", deadline), func(t *testing.T) {
			withEnv(t, cuts(1), func(w *testEnv) {
				done := make(chan struct{})
				go func() {
					defer close(done)
					requirePlaced(t, w.serveAll(100, 0, func(i int) Job { return newJob(i, 10*ms, time.Minute, cutOnly(1024), 4) })...)
				}()
				time.Sleep(200 * ms)
				began := time.Now()
				onTime := w.serveAll(10, 300*ms, func(i int) Job { return newJob(fmt.Sprint("on time ", i), 700*ms, deadline, cutOnly(1024), 4) })
				requirePlaced(t, onTime...)
				for i, e := range onTime {
					if after := e.at.Sub(began) - time.Duration(i)*300*ms; e.engine != "" && after > 700*ms {
						t.Errorf("job %d: first event after %v", i, after)
					}
				}
				<-done
			})
		})
	}
}

// TestAnUrgentJobGoesFirst guards against urgent requests that are late while
// less urgent ones are on time. Many less urgent ones wait, with large results
// and a slow stage after, so that they fill the memory. Neither the order of
// arrival nor memory reserved for units that have not started may delay the
// urgent request.
func TestAnUrgentJobGoesFirst(t *testing.T) {
	services := cuts(1)
	services["look"] = serviceSpec{1, limits(1, time.Second, ms, 64*mb)}
	withLook := append(cutOnly(4*mb), route.Stage{Service: "look", After: []int{0}, ResultBytes: 1024})
	for name, stages := range map[string][]route.Stage{"small": cutOnly(1024), "large": cutOnly(4 * mb), "slow after": withLook} {
		t.Run(name, func(t *testing.T) {
			withEnv(t, services, func(w *testEnv) {
				done := make(chan struct{})
				go func() {
					defer close(done)
					requirePlaced(t, w.serveAll(40, 0, func(i int) Job {
						j := newJob(i, time.Minute, 4*time.Minute, stages, 3, 1)
						j.Priority = 2
						return j
					})...)
				}()
				time.Sleep(210 * ms) // a call is in progress
				began := time.Now()
				requirePlaced(t, w.serve(newJob("urgent", time.Minute, 2*time.Minute, stages, 3, 1)))
				<-done
				sent, started := w.fake.sent[pieceID{"job urgent", 0, 0}][0], w.fake.target("cut0").started
				if next := started[slices.IndexFunc(started, began.Before)]; next != sent {
					t.Errorf("the urgent job was sent %v after a call for others", sent.Sub(next))
				}
			})
		})
	}
}

// TestStagesInACircle guards against a stack overflow on a route whose stages
// depend on each other or on themselves, where the walk over the dependents of
// a unit would never end.
func TestStagesInACircle(t *testing.T) {
	now := time.Unix(0, 0)
	for _, after := range [][]int{{1}, {0}, {-1}, {7}, {1, 0, 1}} {
		p := twoStages(func([]string) {})
		in := stagedJob("r", 1, now)
		in.Stages[0].After = after
		if _, refusal := p.submit(in, nil, now); refusal != nil {
			t.Fatal(refusal.Reason)
		}
		if calls := p.plan(now); len(calls) != 1 {
			t.Errorf("after %v: %d calls, want one", after, len(calls))
		}
	}
}
