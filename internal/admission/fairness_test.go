package admission

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/board"
)

// fairnessTrial sends the requests of one large organisation and several small
// ones through admitter and gate in virtual time.
type fairnessTrial struct {
	largeFactor float64 // the large organisation's requests, as a multiple of its fair share
	sharedName  bool    // all requests under one organisation, as if there were no fairness
}

const (
	trialSmall    = 9 // small organisations; with the large one there are ten equal shares
	trialTargets  = 4
	trialSlots    = 5
	trialService  = 100 * time.Millisecond
	trialDeadline = 600 * time.Millisecond
	trialRun      = 20 * time.Second
	trialFill     = 0.8 // of the capacity, when each organisation sends its fair share
)

type attainment struct {
	mu   sync.Mutex // guards the counts
	sent map[string]int
	met  map[string]int
}

func (a *attainment) count(organisation string, met bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent[organisation]++
	if met {
		a.met[organisation]++
	}
}

// share returns the fraction of requests answered within their deadline, for all
// small organisations together, for the worst of them and for the large one.
func (a *attainment) share() (small, worst, large float64) {
	worst = 1
	var sent, met int
	for organisation, n := range a.sent {
		if organisation == "large" {
			continue
		}
		sent += n
		met += a.met[organisation]
		worst = min(worst, float64(a.met[organisation])/float64(n))
	}
	return float64(met) / float64(sent), worst, float64(a.met["large"]) / float64(a.sent["large"])
}

func (tr fairnessTrial) run(t *testing.T) (small, worst, large float64) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(trialTargets, GateLimits{StartLimit: trialSlots, MaxLimit: trialSlots, Overcommit: 1})
		admitter, _ := newTestAdmitter(4 * trialTargets * trialSlots)
		a := &attainment{sent: make(map[string]int), met: make(map[string]int)}
		capacity := trialTargets * trialSlots / trialService.Seconds()
		each := trialFill * capacity / (trialSmall + 1)
		var group sync.WaitGroup
		group.Go(func() { tr.send(&group, r, admitter, a, "large", each*tr.largeFactor, 100) })
		for i := range trialSmall {
			group.Go(func() { tr.send(&group, r, admitter, a, fmt.Sprintf("small-%d", i), each, uint64(i)) })
		}
		group.Wait()
		small, worst, large = a.share()
		if r.gate.InFlight() != 0 || r.gate.Waiting() != 0 || admitter.InFlight() != 0 {
			t.Errorf("not released at the end: %d slots, %d waiters, %d requests", r.gate.InFlight(), r.gate.Waiting(), admitter.InFlight())
		}
	})
	return small, worst, large
}

func (tr fairnessTrial) send(group *sync.WaitGroup, r *rig, admitter *InstanceAdmitter, a *attainment, organisation string, rate float64, seed uint64) {
	source := rand.New(rand.NewPCG(seed, 9))
	began := time.Now()
	for time.Since(began) < trialRun {
		time.Sleep(time.Duration(source.ExpFloat64() / rate * float64(time.Second)))
		service := time.Duration((0.5 + source.Float64()) * float64(trialService))
		group.Go(func() { a.count(organisation, tr.request(r, admitter, organisation, service)) })
	}
}

// request reports whether the request was answered within its deadline.
func (tr fairnessTrial) request(r *rig, admitter *InstanceAdmitter, organisation string, service time.Duration) bool {
	if tr.sharedName {
		organisation = "all"
	}
	deadline := time.Now().Add(trialDeadline)
	leave, err := admitter.Admit(context.Background(), AdmitRequest{Organisation: organisation, Priority: 5, Deadline: deadline})
	if err != nil {
		return false
	}
	defer leave()
	s, err := r.gate.Acquire(context.Background(), wantOf(organisation, deadline))
	if err != nil {
		return false
	}
	time.Sleep(service)
	s.Done(Result{OK: true, Duration: service, FirstByte: service / 4})
	return !time.Now().After(deadline)
}

// Guards against small organisations that miss their deadlines as soon as a large
// one sends ten times its share. It comes about when all requests wait in one
// queue, or the large organisation uses up the whole cap of the instance.
func TestLargeOrganisationDoesNotMoveSmallOnes(t *testing.T) {
	before, worstBefore, _ := fairnessTrial{largeFactor: 1}.run(t)
	beside, worstBeside, large := fairnessTrial{largeFactor: 10}.run(t)
	unfair, _, _ := fairnessTrial{largeFactor: 10, sharedName: true}.run(t)
	t.Logf("small organisations' attainment: %.4f (worst %.4f) with a large one at its share, %.4f (worst %.4f) at ten times, large %.4f; %.4f without fairness",
		before, worstBefore, beside, worstBeside, large, unfair)
	if before < 0.999 || beside < before-0.001 || worstBeside < 0.995 {
		t.Errorf("attainment of the small organisations fell from %.4f to %.4f (worst %.4f)", before, beside, worstBeside)
	}
	if unfair > beside-0.1 {
		t.Errorf("attainment without fairness is %.4f: the trial does not overload the service enough to show the effect of fairness", unfair)
	}
}

// Guards against a full queue that refuses the requests of every organisation. It
// comes about when the organisation that filled the queue keeps all of it.
func TestFullQueueMakesRoomForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(1, GateLimits{StartLimit: 1, MaxLimit: 1, Queue: 10})
		first := acquire(t, r.gate, wantOf("large", time.Time{}))
		var group sync.WaitGroup
		refused := make([]int, 2)
		ask := func(kind int, organisation string) {
			group.Go(func() {
				s, err := r.gate.Acquire(context.Background(), wantOf(organisation, time.Time{}))
				if err != nil {
					refused[kind]++
					return
				}
				time.Sleep(time.Millisecond)
				s.Done(Result{OK: true})
			})
			synctest.Wait()
		}
		for range 15 {
			ask(0, "large")
		}
		for range 4 {
			ask(1, "small")
		}
		first.Done(Result{OK: true, Duration: time.Millisecond})
		group.Wait()
		if refused[1] != 0 || refused[0] != 5+4 {
			t.Errorf("refused %d of the large and %d of the small organisation, want 9 and 0", refused[0], refused[1])
		}
	})
}

// Guards against calls to a target that has reported that it is leaving. The
// assertion reads the board itself, so that it also detects an outdated index.
func TestNoDispatchToLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(2, GateLimits{})
		s := acquire(t, r.gate, wantOf("a", time.Time{}))
		gone := s.Choice().Target.ID
		s.Done(Result{Refused: true, Leaving: true})
		time.Sleep(time.Minute)
		for range 100 {
			s = acquire(t, r.gate, wantOf("a", time.Time{}))
			if s.Choice().Target.ID == gone {
				t.Fatalf("%s got a call a minute after it began to leave", gone)
			}
			s.Done(Result{OK: true, Duration: time.Millisecond})
		}
		if v := r.collector.Violations(); len(v) != 0 {
			t.Errorf("violations: %v", v)
		}
		stale := s.Choice()
		r.board.Targets.Put(stale.Target.ID, board.Target{ID: stale.Target.ID, Leaving: true, LeavingSince: time.Now().Add(-time.Minute)})
		service := r.gate.service("pool")
		service.lock(r.gate.options.Clock)
		want := wantOf("a", time.Time{})
		service.grant(&want, stale)
		service.unlock()
		if v := r.collector.Violations(); len(v) != 1 {
			t.Errorf("a slot granted on a leaving target gave %d violations, want 1", len(v))
		}
	})
}
