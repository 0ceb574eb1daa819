package stagework

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/route"
)

// cutOnly is one stage.
func cutOnly(bytes int64) []route.Stage { return []route.Stage{{Service: "cut", ResultBytes: bytes}} }

// cuts are n servers with calls of 110 to 140 ms.
func cuts(n int) map[string]group {
	return map[string]group{"cut": {n, limits(4, 100*ms, 10*ms, 64*mb)}}
}

// whileSlow runs the test with a chain of "cut" and "look" beside a stage of two
// seconds, so that results of the chain lie about; once with pieces of both
// parts of the chain, where the first part's results are given up early, and
// once with "look" alone.
func whileSlow(t *testing.T, lifetime time.Duration, test func(w *world, stages []route.Stage, cuts int)) {
	look := limits(4, 50*ms, 5*ms, 64*mb)
	look.ResultLifetime = lifetime
	services := map[string]group{"cut": {2, limits(4, 50*ms, 5*ms, 64*mb)}, "look": {2, look}, "slow": {1, limits(4, 2*time.Second, ms, 64*mb)}}
	stages := []route.Stage{{Service: "cut", ResultBytes: 1024}, {Service: "look", After: []int{0}, ResultBytes: 1024}, {Service: "slow", ResultBytes: 1024}}
	for _, cuts := range []int{0, 3} {
		t.Run(fmt.Sprint(cuts, " pieces before"), func(t *testing.T) {
			inWorld(t, services, func(w *world) { test(w, stages, cuts) })
		})
	}
}

// Symptom: requests wait until their callers have gone. Events: a server takes
// a call and never answers. Cause: its pieces were its own until it answered.
func TestPiecesOfAHungServerAreMadeElsewhere(t *testing.T) {
	inWorld(t, cuts(3), func(w *world) {
		w.farm.servers["cut0"].hung = true
		requirePlaced(t, w.serveAll(40, 40*ms, func(i int) Job { return newJob(i, time.Second, 1500*ms, cutOnly(1024), 2) })...)
		if calls, hung := len(w.farm.server("cut0").begun), w.d.Counts().Hung; calls == 0 || hung != calls {
			t.Errorf("%d calls of the hung server, %d counted", calls, hung)
		}
	})
}

// Symptom: requests are refused though other servers are free. Events: a server
// answers that it is full for as long as they live. Cause: refused calls used up
// the tries of their pieces, or went back to the same server.
func TestAFullServerCostsNoTries(t *testing.T) {
	for servers := 1; servers <= 2; servers++ {
		t.Run(fmt.Sprint(servers, " servers"), func(t *testing.T) {
			inWorld(t, cuts(servers), func(w *world) {
				w.farm.servers["cut0"].full = true
				if servers == 1 {
					time.AfterFunc(2*time.Second, func() { w.farm.change("cut0", func(s *stageServer) { s.full = false }) })
				}
				requirePlaced(t, w.serveAll(20, 100*ms, func(i int) Job { return newJob(i, 3*time.Second, 4*time.Second, cutOnly(1024), 2) })...)
			})
		})
	}
}

// Symptom: the same pieces are sent to the same server until they are given up.
// Events: a server has less room than it states, or results lie there that the
// dispatcher does not know of. Cause: a refusal for want of room was not
// remembered.
func TestPiecesWithoutRoomAreMadeElsewhere(t *testing.T) {
	inWorld(t, cuts(2), func(w *world) {
		w.farm.servers["cut0"].room = 2 * mb
		requirePlaced(t, w.serveAll(20, 150*ms, func(i int) Job { return newJob(i, 2*time.Second, 3*time.Second, cutOnly(4*mb), 2) })...)
		for id, n := range w.farm.sent {
			if len(n) > 3 {
				t.Errorf("%+v was sent %d times", id, len(n))
			}
		}
		if w.farm.server("cut0").noRoom == 0 {
			t.Error("no piece was refused: nothing was tested")
		}
	})
}

// Symptom: an engine is sent results that are gone. Events: the server with
// results of a waiting request vanishes, those before them were given up.
// Cause: only the results that an engine reads were made again, from nothing.
func TestResultsOfAVanishedServerAreMadeAgain(t *testing.T) {
	whileSlow(t, 30*time.Second, func(w *world, stages []route.Stage, cuts int) {
		time.AfterFunc(time.Second, func() { w.vanish(w.farm.lose("job 1", 1)) })
		requirePlaced(w.t, w.serve(newJob(1, 4*time.Second, 5*time.Second, stages, cuts, 3, 1)))
	})
}

// Symptom: requests fail with results lost. Events: a server loses results
// without notice, the next stage says that its inputs are gone. Cause: the
// piece was tried again with the same handles.
func TestLostInputsAreMadeAgain(t *testing.T) {
	whileSlow(t, 30*time.Second, func(w *world, stages []route.Stage, cuts int) {
		// The third stage occupies its server while results of the second lie.
		stages = append(stages[:3:3], route.Stage{Service: "slow", After: []int{1}, ResultBytes: 1024})
		time.AfterFunc(time.Second, func() {
			if w.farm.lose("job 1", 1) == "" {
				w.t.Error("no result was there to lose")
			}
		})
		requirePlaced(w.t, w.serve(newJob(1, 10*time.Second, 20*time.Second, stages, cuts, 3, 1, 1)))
	})
}

// Symptom: engines say that inputs are gone. Events: one stage takes longer
// than results of another one live. Cause: lapsed results counted as there.
func TestLapsedResultsAreMadeAgain(t *testing.T) {
	whileSlow(t, time.Second, func(w *world, stages []route.Stage, cuts int) {
		requirePlaced(w.t, w.serve(newJob(1, 4*time.Second, 5*time.Second, stages, cuts, 3, 1)))
	})
}

// Symptom: a request is refused by every engine. Events: results are lost after
// the engine was chosen, those before them were given up. Cause: what the lost
// ones are made from has to be made again as well.
func TestInputsGoneAtTheEngineAreMadeAgain(t *testing.T) {
	inWorld(t, dayServices(), func(w *world) {
		j := newJob(1, 4*time.Second, 5*time.Second, chain(64<<10), 3, 2, 2)
		ticket, _ := w.submit(j)
		first := <-ticket.Decisions()
		w.farm.lose(j.ID, 2)
		ticket.Rejected(true, false)
		second := <-ticket.Decisions()
		if first.Refusal != nil || second.Refusal != nil || !w.engineReads(j, second.Inputs) {
			t.Errorf("placed %+v, then %+v", first, second)
		}
		ticket.Begun()
		ticket.End()
	})
}

// Symptom: room shrinks with every caller that leaves. Events: a caller leaves
// while a call with its pieces is in progress. Cause: the results came when the
// job was forgotten, and nobody gave them up.
func TestResultsOfACancelledCallAreFreed(t *testing.T) {
	inWorld(t, cuts(1), func(w *world) {
		ticket, _ := w.submit(newJob(1, time.Second, 2*time.Second, cutOnly(1024), 3))
		time.Sleep(60 * ms)
		before := w.farm.holds("cut0")
		ticket.End()
		time.Sleep(time.Second)
		if after := w.farm.holds("cut0"); before == 0 || after != 0 {
			t.Errorf("%d bytes while the call was in progress, %d later", before, after)
		}
	})
}

// Symptom: one slow server makes a share of all requests late. Events: a server
// takes five times as long, then recovers. Cause: it got work like the others;
// or, once known as slow, never again.
func TestASlowServerGetsOnlyWhatItEndsFirst(t *testing.T) {
	inWorld(t, cuts(4), func(w *world) {
		w.farm.servers["cut0"].factor = 5
		arrive := func(name string, n int, pause time.Duration) (calls int, endings []ending) {
			before := len(w.farm.server("cut0").begun)
			endings = w.serveAll(n, pause, func(i int) Job { return newJob(fmt.Sprint(name, i), 900*ms, 20*time.Second, cutOnly(1024), 2) })
			return len(w.farm.server("cut0").begun) - before, endings
		}
		if learned, _ := arrive("learn", 40, 50*ms); learned == 0 {
			t.Error("it got no call: nothing was tested")
		}
		began := time.Now()
		// Half of what the other three can do: a call of it would end last. It is
		// tried now and then, since what is known of it grows old.
		tries, endings := arrive("slow", 200, 25*ms)
		for i, e := range endings {
			if e.at.Sub(began) > time.Duration(i)*25*ms+900*ms {
				t.Errorf("job %d was late", i)
			}
		}
		if tries > 4 {
			t.Errorf("%d calls in five seconds while it was slow and others were free", tries)
		}
		w.farm.change("cut0", func(s *stageServer) { s.factor = 1 })
		// More than the other three can do.
		if calls, _ := arrive("recovered", 600, 15*ms); calls < 10 {
			t.Errorf("%d calls in nine busy seconds after it recovered", calls)
		}
	})
}

// Symptom: a request takes servers' time and is late all the same. Events: its
// deadline is nearer than its stages are long. Cause: it was taken.
func TestWhatCannotBeDoneInTimeIsRefusedAtOnce(t *testing.T) {
	whileSlow(t, 30*time.Second, func(w *world, stages []route.Stage, cuts int) {
		_, refusal := w.submit(newJob(1, time.Second, 1900*ms, stages, cuts, 1, 1))
		if refusal == nil || refusal.Reason != ReasonLate || refusal.RetryAfter <= 0 {
			w.t.Errorf("refusal %+v", refusal)
		}
		none := newJob(2, time.Second, 5*time.Second, stages, cuts, 1, 1)
		none.Service = "another"
		if _, refusal := w.submit(none); refusal == nil || refusal.Reason != ReasonNoTarget {
			w.t.Errorf("without engines: %+v", refusal)
		}
		time.Sleep(time.Second)
		if n := len(w.farm.sent); n > 0 {
			w.t.Errorf("%d pieces were sent for refused jobs", n)
		}
		requirePlaced(w.t, w.serve(newJob(3, 3*time.Second, 3*time.Second, stages, cuts, 1, 1)))
	})
}

// Symptom: callers wait to the end for a refusal. Events: no server takes work.
// Cause: a job was given up at its deadline, not when its shortest way no
// longer ended before that.
func TestAHopelessJobIsRefusedAsSoonAsThatIsCertain(t *testing.T) {
	inWorld(t, cuts(1), func(w *world) {
		w.farm.servers["cut0"].full = true
		began := time.Now()
		e := w.serve(newJob(1, time.Second, 3*time.Second, cutOnly(1024), 4))
		// 140 ms of work are the shortest way, besides the engine.
		after := e.at.Sub(began)
		if e.refusal == nil || e.refusal.Reason != ReasonLate || after > 3*time.Second-140*ms+2*wakeEvery || after < 2*time.Second {
			t.Errorf("refused after %v: %+v", after, e.refusal)
		}
	})
}

// Symptom: after a short overload all requests are late, or refused, for long.
// Events: the queue is full of requests that are late already. Cause: the oldest
// goes first, so that each is late in turn; or a newcomer is refused since it
// would wait for those that it goes before.
func TestLateJobsDoNotHoldBackOthers(t *testing.T) {
	for _, deadline := range []time.Duration{time.Minute, 5 * time.Second} {
		t.Run(fmt.Sprint("deadline ", deadline), func(t *testing.T) {
			inWorld(t, cuts(1), func(w *world) {
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

// Symptom: urgent requests are late while others are on time. Events: many less
// urgent ones wait; with large results and a slow stage after, they fill the
// room. Cause: order of arrival; or room that is set aside for units of which
// no piece was begun.
func TestAnUrgentJobGoesFirst(t *testing.T) {
	services := cuts(1)
	services["look"] = group{1, limits(1, time.Second, ms, 64*mb)}
	withLook := append(cutOnly(4*mb), route.Stage{Service: "look", After: []int{0}, ResultBytes: 1024})
	for name, stages := range map[string][]route.Stage{"small": cutOnly(1024), "large": cutOnly(4 * mb), "slow after": withLook} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, services, func(w *world) {
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
				sent, begun := w.farm.sent[pieceID{"job urgent", 0, 0}][0], w.farm.server("cut0").begun
				if next := begun[slices.IndexFunc(begun, began.Before)]; next != sent {
					t.Errorf("it was sent %v after a call for others", sent.Sub(next))
				}
			})
		})
	}
}

// Symptom: an instance ends with a stack overflow.
// Events: a request comes on a route whose stages need each other, or themselves.
// Cause: what follows a unit was walked without end.
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
