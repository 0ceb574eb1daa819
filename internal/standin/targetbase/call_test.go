package targetbase

import (
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

func TestStragglerTakesLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFaults(1)
		f.set(func(f *faults) { f.slow = 3 })
		call := Call{Ctx: t.Context(), Plan: f.plan(&targetapi.RunRequest{})}
		began := time.Now()
		if !call.Sleep(time.Second) || time.Since(began) != 3*time.Second {
			t.Fatalf("took %v", time.Since(began))
		}
	})
}

// The same seed must give the same faults, or a failed experiment could not be
// run again.
func TestPlansRepeatWithTheSeed(t *testing.T) {
	plans := func(seed uint64) (all [50]Plan) {
		f := newFaults(seed)
		f.set(func(f *faults) { f.mix, f.lose, f.fail = 0.5, 0.3, 0.2 })
		for i := range all {
			all[i] = f.plan(&targetapi.RunRequest{})
		}
		return all
	}
	if plans(4) != plans(4) || plans(4) == plans(5) {
		t.Fatal("plans don't follow the seed")
	}
}
