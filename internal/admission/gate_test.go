package admission

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/invariant"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/routing"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// rig is a gate with a board that has the targets of one service.
type rig struct {
	board     *board.Board
	gate      *ServiceGate
	collector *invariant.Collector
}

func newRig(targets int, limits GateLimits) *rig {
	r := &rig{board: board.New(), collector: &invariant.Collector{}}
	for i := range targets {
		r.addTarget(fmt.Sprintf("t%03d", i))
	}
	r.gate = NewGate(GateOptions{
		Board:  r.board,
		Clock:  quartz.NewReal(),
		Rand:   rand.New(rand.NewPCG(7, 11)),
		Zone:   "a",
		Region: "r",
		Limits: limits,
		Check:  invariant.New(r.collector),
	})
	return r
}

func (r *rig) addTarget(id string) {
	r.board.Targets.Put(id, board.Target{ID: id, Service: "pool", Kind: profile.KindGenerate, Zone: "a", Region: "r"})
}

// report puts a load report on the board, as the load view does.
func (r *rig) report(report targetapi.LoadReport) {
	now := r.gate.options.Clock.Now()
	r.board.Loads.Put(report.Target, board.Load{Report: report, Received: now, At: now})
}

func wantOf(organisation string, deadline time.Time) SlotRequest {
	stage := profile.Stage{
		Name:       "draft",
		Kind:       profile.KindGenerate,
		Idempotent: true,
		Providers:  []profile.Provider{{Name: "p", Service: "pool", Weight: 1}},
	}
	return SlotRequest{Query: routing.Query{Stage: stage, Organisation: organisation, Deadline: deadline}}
}

func acquire(t *testing.T, g *ServiceGate, w SlotRequest) Slot {
	t.Helper()
	s, err := g.Acquire(context.Background(), w)
	if err != nil {
		t.Fatalf("acquire: %v", err)
	}
	return s
}

func TestAcquireWaitsForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(1, GateLimits{StartLimit: 1, MaxLimit: 1})
		first := acquire(t, r.gate, wantOf("a", time.Time{}))
		refused := wantOf("a", time.Time{})
		refused.NoWait = true
		if _, err := r.gate.Acquire(context.Background(), refused); !errkind.Is(err, errkind.Overloaded) {
			t.Errorf("NoWait with no room: %v, want Overloaded", err)
		}
		got := make(chan Slot)
		go func() { got <- acquire(t, r.gate, wantOf("a", time.Time{})) }()
		synctest.Wait()
		if n := r.gate.Waiting(); n != 1 {
			t.Fatalf("%d waiters, want 1", n)
		}
		first.Done(Result{OK: true, Duration: time.Millisecond})
		first.Done(Result{OK: true, Duration: time.Millisecond}) // the second call must not free another slot
		second := <-got
		if n := r.gate.InFlight(); n != 1 {
			t.Errorf("%d in flight, want 1", n)
		}
		second.Done(Result{OK: true})
	})
}

func TestAcquireRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(0, GateLimits{})
		if _, err := r.gate.Acquire(context.Background(), wantOf("a", time.Time{})); !errkind.Is(err, errkind.NoTarget) || errkind.RetryAfter(err) == 0 {
			t.Errorf("no target: %v", err)
		}
		r.addTarget("t000")
		if _, err := r.gate.Acquire(context.Background(), wantOf("a", time.Now().Add(-time.Second))); !errkind.Is(err, errkind.DeadlineBeforeRun) {
			t.Errorf("past deadline: %v", err)
		}
		for range 40 {
			acquire(t, r.gate, wantOf("a", time.Time{})).Done(Result{OK: true, Duration: time.Second})
		}
		_, err := r.gate.Acquire(context.Background(), wantOf("a", time.Now().Add(500*time.Millisecond)))
		if !errkind.Is(err, errkind.DeadlineUnreachable) || errkind.RetryAfter(err) == 0 {
			t.Errorf("with half of the fastest time left until the deadline: %v, want DeadlineUnreachable", err)
		}
	})
}

// Guards against a leaked slot. It comes about when the context of a waiting
// attempt ends at the moment a slot is granted, and the attempt does not release
// the slot: the target is then short of one slot forever.
func TestSlotGrantedToAbandonedWaitIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(1, GateLimits{StartLimit: 1, MaxLimit: 1})
		for range 50 {
			first := acquire(t, r.gate, wantOf("a", time.Time{}))
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				if s, err := r.gate.Acquire(ctx, wantOf("a", time.Time{})); err == nil {
					s.Done(Result{OK: true})
				}
			}()
			synctest.Wait()
			cancel()
			first.Done(Result{OK: true, Duration: time.Millisecond})
			<-ended
		}
		synctest.Wait()
		if n := r.gate.InFlight(); n != 0 {
			t.Errorf("%d slots were not released", n)
		}
	})
}

// Guards against a target that is live again but not chosen, because of a refusal
// from before. It comes about when calls are refused because the target is
// leaving, the target becomes live again, and a late refusal of an earlier call
// arrives.
func TestRefusalAsLeavingMarksTheTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(1, GateLimits{})
		early, late := acquire(t, r.gate, wantOf("a", time.Time{})), acquire(t, r.gate, wantOf("a", time.Time{}))
		time.Sleep(time.Second)
		early.Done(Result{Refused: true, Leaving: true})
		target, _ := r.board.Targets.Get("t000")
		if !target.Leaving || !target.LeavingSince.Equal(time.Now()) || !target.LeavingSignTime().Equal(time.Now().Add(-time.Second)) {
			t.Errorf("after a refusal as leaving: %+v", target)
		}
		target.Leaving, target.LiveSince = false, time.Now()
		r.board.Targets.Put("t000", target)
		late.Done(Result{Refused: true, Leaving: true})
		if target, _ = r.board.Targets.Get("t000"); target.Leaving {
			t.Error("a refused call that was sent before the target was live again marked it as leaving")
		}
	})
}

// Guards against an answer whose second half is from another model. It comes
// about when a stream breaks, the provider's only target is excluded, and the
// resume goes to the next provider because Want.Provider is ignored.
func TestAcquireKeepsTheRequiredProvider(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(1, GateLimits{})
		r.board.Targets.Put("u000", board.Target{ID: "u000", Service: "other", Kind: profile.KindGenerate, Zone: "a", Region: "r"})
		w := wantOf("a", time.Time{})
		w.Query.Stage.Providers = []profile.Provider{{Name: "p", Service: "pool", Weight: 1}, {Name: "q", Service: "other", Weight: 1}}
		w.Query.Exclude = []string{"t000"}
		s := acquire(t, r.gate, w)
		if got := s.Choice().Provider.Name; got != "q" {
			t.Errorf("with the target of p excluded the choice is %s, want q", got)
		}
		s.Done(Result{OK: true})
		w.Provider = "p"
		if _, err := r.gate.Acquire(context.Background(), w); !errkind.Is(err, errkind.NoTarget) {
			t.Errorf("with p required and its target excluded: %v, want NoTarget", err)
		}
	})
}

// Guards against hedges of slow targets that multiply the load after faults, and
// against retries after faults that are refused because hedges used up the
// budget. Each kind has its own bound.
func TestFaultsHaveTheirOwnBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(12, GateLimits{RetryMin: 6, FaultRetryMin: 5, MaxLimit: 256})
		granted := func(fault, hedge bool) int {
			n := 0
			for range 20 {
				w := wantOf("a", time.Time{})
				w.Retry, w.AfterFault, w.NoWait = true, fault, hedge
				if s, err := r.gate.Acquire(t.Context(), w); err == nil {
					s.Done(Result{OK: true, Duration: time.Millisecond})
					n++
				}
			}
			return n
		}
		if got := granted(false, true); got != 3 {
			t.Errorf("%d hedges granted, want half of the budget, 3", got)
		}
		if got := granted(false, false); got != 3 {
			t.Errorf("%d retries granted after the hedges, want the other 3", got)
		}
		if got := granted(true, true); got != 5 {
			t.Errorf("%d retries after faults granted, want 5", got)
		}
	})
}
