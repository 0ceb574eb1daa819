package slotqueue

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
)

func testCoordinator(targets func(string) []fleet.Target) *Coordinator {
	return New(Options{Clock: quartz.NewReal(), Rand: rand.New(rand.NewPCG(1, 2)), Targets: targets})
}

func ask(id uint64) Request {
	return Request{ID: id, Service: fakeService, Route: "d", Organisation: "o", OnTimeUntil: time.Now().Add(time.Second), Deadline: time.Now().Add(5 * time.Second)}
}

// Guards against a deadlock when an answer leads to the next call at once, against answers
// that overtake each other, and against slots lost between many sessions (run with -race).
func TestSessionsAtTheSameTime(t *testing.T) {
	const sessions, requests = 8, 200
	c := testCoordinator(func(string) []fleet.Target { return []fleet.Target{listed("x", 4), listed("y", 4)} })
	var done sync.WaitGroup
	for i := range sessions {
		done.Add(requests)
		var s Session
		var mu sync.Mutex
		granted := make(map[uint64]bool)
		ready := make(chan struct{})
		s = c.Open(fmt.Sprint("i", i), func(a Answer) {
			<-ready
			mu.Lock()
			first := !granted[a.ID]
			granted[a.ID] = granted[a.ID] || a.Target != ""
			mu.Unlock()
			switch {
			case !first:
				t.Errorf("answer %+v after the grant", a)
			case a.Refusal != nil:
				t.Errorf("refused: %+v", *a.Refusal)
				done.Done()
			case a.Target != "":
				s.Release(Release{ID: a.ID, Outcome: Answered, Took: time.Millisecond, Load: &relay.Load{Slots: 4, Pace: 1}})
				done.Done()
			}
		})
		close(ready)
		go func() {
			for id := range uint64(requests) {
				s.Submit(ask(id + 1))
				if id%50 == 0 {
					c.Snapshot()
					c.TargetsChanged()
				}
			}
		}()
	}
	done.Wait()
	if used := c.Snapshot().Services[0].Used; used != 0 {
		t.Errorf("%d slots are used at the end", used)
	}
}

// Guards against requests that wait until something else happens: a slot of a dead owner
// becomes free by time alone.
func TestSessionThatClosesWithSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := testCoordinator(func(string) []fleet.Target { return []fleet.Target{listed("x", 1)} })
		dead := c.Open("dead", func(Answer) {})
		dead.Submit(ask(1))
		var answers []Answer
		alive := c.Open("alive", func(a Answer) { answers = append(answers, a) })
		alive.Submit(ask(1))
		dead.Close()
		dead.Submit(ask(2)) // after its end
		time.Sleep(time.Second)
		synctest.Wait()
		if len(answers) != 2 || answers[1].Target != "x" {
			t.Fatalf("%+v, want to wait, then the slot", answers)
		}
		alive.Release(Release{ID: 1, Outcome: Answered, Took: time.Millisecond})
		alive.Close()
		s := c.Snapshot()
		if len(s.Sessions) != 0 || s.Services[0].Used != 0 || c.count.expired.Value() != 1 {
			t.Fatalf("%+v, %v expired", s, c.count.expired)
		}
	})
}

// Guards against requests for a shard that only the asking instance's list has, and
// against a wait for targets of a service that has none.
func TestShardsThatAreNotKnown(t *testing.T) {
	c := testCoordinator(func(service string) []fleet.Target {
		if service == fakeService {
			return []fleet.Target{listed("x", 5)}
		}
		return nil
	})
	var answers []Answer
	s := c.Open("a", func(a Answer) { answers = append(answers, a) })
	r := ask(1)
	r.Shard = 7
	s.Submit(r)
	r = ask(2)
	r.Service = "unknown"
	s.Submit(r)
	if len(answers) != 2 || answers[0].Target != "x" || answers[1].Refusal == nil || answers[1].Refusal.Reason != ReasonNoTarget {
		t.Fatalf("%+v, want a slot and a refusal", answers)
	}
	s.Adopt([]HeldSlot{{ID: 3, Service: fakeService, Target: "x"}, {ID: 4, Service: fakeService, Target: "gone"}})
	if used := c.Snapshot().Services[0].Used; used != 2 {
		t.Fatalf("%d slots used, want the granted and the adopted one", used)
	}
}

// Guards against a target that is drained, or added, without effect on those that wait.
func TestTargetsThatChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := []fleet.Target{listed("x", 1)}
		c := testCoordinator(func(string) []fleet.Target { return slices.Clone(list) })
		var answers []Answer
		s := c.Open("a", func(a Answer) { answers = append(answers, a) })
		s.Submit(ask(1))
		s.Submit(ask(2))
		list[0].Draining = true
		list = append(list, listed("y", 1))
		c.TargetsChanged()
		if len(answers) != 3 || answers[2].Target != "y" {
			t.Fatalf("%+v, want the new target for the waiting request", answers)
		}
		s.Release(Release{ID: 1, Outcome: Answered, Took: time.Millisecond})
		s.Submit(ask(3))
		if len(answers) != 4 || answers[3].Target != "" {
			t.Fatalf("%+v, want no slot of the draining target", answers)
		}
	})
}

// Guards against an operator who can't see who waits and who was refused by which rule.
func TestSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := testCoordinator(func(string) []fleet.Target { return []fleet.Target{listed("x", 1)} })
		s := c.Open("a", func(Answer) {})
		s.Submit(ask(1))
		s.Submit(ask(2))
		hopeless := ask(3)
		hopeless.Deadline = time.Now().Add(time.Millisecond)
		s.Submit(hopeless)
		got := c.Snapshot().Services[0]
		if got.Slots != 1 || got.Used != 1 || len(got.Targets) != 1 || got.Targets[0].State != "ready" {
			t.Errorf("targets: %+v", got)
		}
		if len(got.Waiting) != 1 || got.Waiting[0].Organisation != "o" || got.Waiting[0].Route != "d" || got.Waiting[0].Count != 1 {
			t.Errorf("waiting: %+v", got.Waiting)
		}
		if len(got.Refusals) != 1 || got.Refusals[0].Rule != ReasonLate || !got.Refusals[0].Until.After(time.Now()) {
			t.Errorf("refusals: %+v", got.Refusals)
		}
		if n := c.count.refused.Get(ReasonLate); n == nil || n.String() != "1" {
			t.Errorf("refusals counted: %v", c.count.refused)
		}
	})
}

// Guards against timers that multiply: one that has fired while it was being set again is
// late, and must not start another beside the one that is pending.
func TestLateTickStartsNoSecondTimer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := testCoordinator(func(string) []fleet.Target { return []fleet.Target{listed("x", 1)} })
		s := c.Open("a", func(Answer) {})
		defer s.Close()
		s.Submit(ask(1))
		s.Submit(ask(2)) // waits
		sh := c.shards[shardKey{fakeService, 0}]
		timer := func() *quartz.Timer {
			sh.mu.Lock()
			defer sh.mu.Unlock()
			return sh.timer
		}
		pending := timer()
		sh.tick()
		if timer() != pending {
			t.Error("a late tick replaced the pending timer, which still runs")
		}
		time.Sleep(2 * waitingInterval)
		synctest.Wait()
		if next := timer(); next == nil || next == pending {
			t.Error("no further tick is due although a request waits")
		}
		s.Cancel(2)
		s.Release(Release{ID: 1})
	})
}
