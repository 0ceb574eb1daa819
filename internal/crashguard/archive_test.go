package crashguard

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/store/memstore"
)

// archived runs an Archive of a guard until the test ends.
func archived(t *testing.T, g *Guard, s ArchiveStore) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		NewArchive(g, s, 0).Run(ctx)
	}()
	t.Cleanup(func() { stop(); <-ended })
}

func refusalsIn(t *testing.T, s ArchiveStore) int {
	t.Helper()
	objects, _, err := s.List(t.Context(), StorePrefix)
	if err != nil {
		t.Fatal(err)
	}
	return len(objects)
}

// Guards against refusals that are lost with all instances: the store is away or loses
// answers when they begin, or two instances write them at once.
func TestRefusalsOutlastTheGuards(t *testing.T) {
	for name, faults := range map[string]memstore.Faults{
		"calm": {}, "outage": {Outage: true}, "answers lost": {LoseReply: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := memstore.New(memstore.Options{WatchWait: time.Hour})
				guards := members(t, Options{Limit: 3}, "a", "b")
				for _, g := range guards {
					archived(t, g, s)
				}
				synctest.Wait()
				s.SetFaults(faults)
				for n := range 4 {
					guards[n%2].RecordCrash("fp", Crash{Target: fmt.Sprint("t", n)})
					guards[n%2].RecordCrash("suspect", Crash{Target: fmt.Sprint("t", n%2)})
				}
				exchangeAll(guards)
				time.Sleep(5 * time.Second)
				s.SetFaults(memstore.Faults{})
				time.Sleep(5 * time.Second)
				next := New(Options{Limit: 3})
				archived(t, next, s)
				synctest.Wait()
				if !next.Refused("fp") || next.Suspected("suspect") || !next.Complete() || refusalsIn(t, s) != 1 {
					t.Errorf("refused %v, suspect kept %v, complete %v, %d rows in the store", next.Refused("fp"), next.Suspected("suspect"), next.Complete(), refusalsIn(t, s))
				}
				time.Sleep(DefaultTrialInterval)
				if !next.Admit("fp").Trial {
					t.Fatal("no trial")
				}
				next.RecordSuccess("fp", true)
				synctest.Wait()
				if n := refusalsIn(t, s); n != 0 {
					t.Errorf("%d rows in the store after the refusal was lifted", n)
				}
			})
		})
	}
}

// Guards against rows in the store that nobody removes.
func TestExpiredRefusalsAreRemovedFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{WatchWait: time.Hour})
		g := New(Options{Limit: 3})
		archived(t, g, s)
		for n := range 3 {
			g.RecordCrash("fp", Crash{Target: fmt.Sprint("t", n)})
		}
		if _, err := s.Put(t.Context(), StorePrefix+"unreadable", []byte(`"x"`), 0); err != nil {
			t.Fatal(err)
		}
		time.Sleep(DefaultRetention + time.Minute)
		next := New(Options{Limit: 3})
		archived(t, next, s)
		synctest.Wait()
		if n := refusalsIn(t, s); n != 0 || next.Suspected("fp") {
			t.Errorf("%d rows in the store, suspected %v", n, next.Suspected("fp"))
		}
	})
}

// Guards against a crash that never reaches the store because it is counted while the row
// is written.
func TestACrashDuringAWriteIsWrittenToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{WatchWait: time.Hour})
		g := New(Options{Limit: 3})
		archived(t, g, s)
		synctest.Wait()
		s.SetFaults(memstore.Faults{WriteDelay: time.Second})
		for n := range 4 {
			if n == 3 {
				time.Sleep(500 * time.Millisecond)
			}
			g.RecordCrash("fp", Crash{Target: fmt.Sprint("t", n)})
		}
		time.Sleep(10 * time.Second)
		next := New(Options{Limit: 3})
		archived(t, next, s)
		synctest.Wait()
		if got := len(next.crashes("fp")); got != 4 {
			t.Errorf("%d of 4 crashes are in the store", got)
		}
	})
}
