package stagework

import (
	"testing"
	"time"
)

// TestFirstStagesGather guards against targets that are all busy with calls of
// one or two pieces, so that a burst finds none free. Requests arrive one by
// one, at a rate that the targets can just handle. 50 requests per second with
// 2 pieces each bring 4 more pieces in a third of a call's fixed time of 120
// ms, so most calls should have two or three requests. The measured rate takes
// about half a second to settle. Without batching, 200 requests are 200 calls.
func TestFirstStagesGather(t *testing.T) {
	withEnv(t, cuts(6), func(w *testEnv) {
		requirePlaced(t, w.serveAll(200, 20*ms, func(i int) Job { return newJob(i, 2*time.Second, 4*time.Second, cutOnly(1024), 2) })...)
		calls := 0
		for _, n := range w.callsStarted("cut") {
			calls += n
		}
		if calls > 120 {
			t.Errorf("%d calls for 200 requests, want 120 at most", calls)
		}
	})
}

// TestARequestThatComesAloneDoesNotWait guards against a lone request that
// waits for others. A call of 2 pieces takes 140 ms and the engine 50 ms.
func TestARequestThatComesAloneDoesNotWait(t *testing.T) {
	withEnv(t, cuts(2), func(w *testEnv) {
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
