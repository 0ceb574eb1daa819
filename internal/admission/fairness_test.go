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

// crowdTrial drives admitter and gate with one large organisation and several
// small ones in virtual time.
type crowdTrial struct {
	largeTimes float64 // the large one's requests, as a multiple of its share
	oneQueue   bool    // all requests under one name: what it is without fairness
}

const (
	crowdSmall    = 9 // small organisations; with the large one ten equal shares
	crowdTargets  = 4
	crowdSlots    = 5
	crowdService  = 100 * time.Millisecond
	crowdDeadline = 600 * time.Millisecond
	crowdRun      = 20 * time.Second
	crowdFill     = 0.8 // of the capacity, when everybody takes its share
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

// share returns the attainment of the small organisations, the worst of them
// and the large one's.
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

func (tr crowdTrial) run(t *testing.T) (small, worst, large float64) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(crowdTargets, GateLimits{StartLimit: crowdSlots, MaxLimit: crowdSlots, Overcommit: 1})
		admitter, _ := newTestAdmitter(4 * crowdTargets * crowdSlots)
		a := &attainment{sent: make(map[string]int), met: make(map[string]int)}
		capacity := crowdTargets * crowdSlots / crowdService.Seconds()
		each := crowdFill * capacity / (crowdSmall + 1)
		var group sync.WaitGroup
		group.Go(func() { tr.send(&group, r, admitter, a, "large", each*tr.largeTimes, 100) })
		for i := range crowdSmall {
			group.Go(func() { tr.send(&group, r, admitter, a, fmt.Sprintf("small-%d", i), each, uint64(i)) })
		}
		group.Wait()
		small, worst, large = a.share()
		if r.gate.InFlight() != 0 || r.gate.Waiting() != 0 || admitter.InFlight() != 0 {
			t.Errorf("left over: %d slots, %d waiters, %d requests", r.gate.InFlight(), r.gate.Waiting(), admitter.InFlight())
		}
	})
	return small, worst, large
}

func (tr crowdTrial) send(group *sync.WaitGroup, r *rig, admitter *InstanceAdmitter, a *attainment, organisation string, rate float64, seed uint64) {
	source := rand.New(rand.NewPCG(seed, 9))
	began := time.Now()
	for time.Since(began) < crowdRun {
		time.Sleep(time.Duration(source.ExpFloat64() / rate * float64(time.Second)))
		service := time.Duration((0.5 + source.Float64()) * float64(crowdService))
		group.Go(func() { a.count(organisation, tr.request(r, admitter, organisation, service)) })
	}
}

// request returns whether the request was answered within its deadline.
func (tr crowdTrial) request(r *rig, admitter *InstanceAdmitter, organisation string, service time.Duration) bool {
	if tr.oneQueue {
		organisation = "all"
	}
	deadline := time.Now().Add(crowdDeadline)
	leave, err := admitter.Admit(context.Background(), Entry{Organisation: organisation, Priority: 5, Deadline: deadline})
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

// Symptom: the small organisations miss their deadlines as soon as a large one
// sends ten times its share. Cause: all wait in one queue, or the large one
// holds all places of the instance.
func TestLargeOrganisationDoesNotMoveSmallOnes(t *testing.T) {
	before, worstBefore, _ := crowdTrial{largeTimes: 1}.run(t)
	beside, worstBeside, large := crowdTrial{largeTimes: 10}.run(t)
	unfair, _, _ := crowdTrial{largeTimes: 10, oneQueue: true}.run(t)
	t.Logf("small organisations' attainment: %.4f (worst %.4f) with a large one at its share, %.4f (worst %.4f) at ten times, large %.4f; %.4f without fairness",
		before, worstBefore, beside, worstBeside, large, unfair)
	if before < 0.999 || beside < before-0.001 || worstBeside < 0.995 {
		t.Errorf("attainment of the small organisations fell from %.4f to %.4f (worst %.4f)", before, beside, worstBeside)
	}
	if unfair > beside-0.1 {
		t.Errorf("without fairness %.4f: the trial does not load the service enough to show anything", unfair)
	}
}

// Symptom: with a full queue, everybody is refused, also those who wait for
// nothing else. Cause: the organisation that filled it holds all its places.
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

// Symptom: calls go to a target after it said that it leaves. The assertion
// reads the board itself, so that it also sees an index that is out of date.
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
			t.Errorf("a grant of a leaving target made %d violations, want 1", len(v))
		}
	})
}
