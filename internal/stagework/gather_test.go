package stagework

import (
	"testing"
	"time"
)

// Pattern: requests come one by one, as fast as the targets can just make them.
// Symptom: all targets are busy with calls of one or two pieces, and a burst finds
// none free. Grounds: 50 requests a second with 2 pieces each bring 4 more pieces
// in a third of a call's fixed time of 120 ms, so that most calls have two
// requests or three. The rate is believed once it was seen for half a second or
// so. 200 requests begun at once are 200 calls.
func TestFirstStagesGather(t *testing.T) {
	inWorld(t, cuts(6), func(w *world) {
		requirePlaced(t, w.serveAll(200, 20*ms, func(i int) Job { return newJob(i, 2*time.Second, 4*time.Second, cutOnly(1024), 2) })...)
		calls := 0
		for _, n := range w.begun("cut") {
			calls += n
		}
		if calls > 120 {
			t.Errorf("%d calls for 200 requests, want 120 at most", calls)
		}
	})
}

// Pattern: a request comes alone. Symptom: it waits for others that do not come.
// Grounds: a call of 2 pieces takes 140 ms and the engine 50.
func TestARequestThatComesAloneDoesNotWait(t *testing.T) {
	inWorld(t, cuts(2), func(w *world) {
		for i := range 5 {
			began := time.Now()
			e := w.serve(newJob(i, 2*time.Second, 4*time.Second, cutOnly(1024), 2))
			requirePlaced(t, e)
			if took := e.at.Sub(began); took > 140*ms+firstEvent+ms {
				t.Errorf("request %d took %v", i, took)
			}
			time.Sleep(time.Second)
		}
	})
}
