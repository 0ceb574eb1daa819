package admission

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

const propertySeed = 20260301

func properties(runs int) *gopter.Properties {
	p := gopter.DefaultTestParametersWithSeed(propertySeed)
	p.MinSuccessfulTests = runs
	return gopter.NewProperties(p)
}

// soak is one random run: attempts by several organisations on a few targets
// with faults, through admitter and gate.
type soak struct {
	t              *testing.T
	r              *rig
	admitter       *InstanceAdmitter
	rand           *rand.Rand
	mu             sync.Mutex // guards all below
	running        map[string]int
	byOrganisation map[string]int
	problem        string
	granted        int
}

const (
	soakTargets    = 5
	soakMaxLimit   = 6
	soakInFlight   = 60
	soakConcurrent = 9 // limit of organisation o0
	soakAttempts   = 1500
)

func (k *soak) fail(format string, args ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.problem == "" {
		k.problem = fmt.Sprintf(format, args...)
	}
}

// note counts the calls in flight by target and organisation and checks the
// bounds.
func (k *soak) note(target, organisation string, by int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.running[target] += by
	k.byOrganisation[organisation] += by
	k.granted += max(by, 0)
	if k.running[target] > soakMaxLimit {
		k.problem = fmt.Sprintf("%d calls at %s, limit %d", k.running[target], target, soakMaxLimit)
	}
	if organisation == "o0" && k.byOrganisation["o0"] > soakConcurrent {
		k.problem = fmt.Sprintf("%d calls of o0, limit %d", k.byOrganisation["o0"], soakConcurrent)
	}
}

type soakPlan struct {
	organisation string
	priority     int
	deadline     time.Duration
	cancelAfter  time.Duration // 0: never
	service      time.Duration
	result       Result
	repeat       bool
	noWait       bool
}

func (k *soak) plan() soakPlan {
	p := soakPlan{
		organisation: fmt.Sprintf("o%d", k.rand.IntN(6)),
		priority:     k.rand.IntN(3),
		deadline:     time.Duration(50+k.rand.IntN(1000)) * time.Millisecond,
		service:      time.Duration(1+k.rand.IntN(150)) * time.Millisecond,
		repeat:       k.rand.IntN(10) == 0,
		noWait:       k.rand.IntN(20) == 0,
	}
	if k.rand.IntN(8) == 0 {
		p.cancelAfter = time.Duration(1+k.rand.IntN(80)) * time.Millisecond
	}
	switch k.rand.IntN(40) {
	case 0:
		p.result = Result{Refused: true}
	case 1:
		p.result = Result{Overload: true}
	case 2:
		p.result = Result{Cancelled: true}
	default:
		p.result = Result{OK: true}
	}
	return p
}

func (k *soak) attempt(p soakPlan) {
	deadline := time.Now().Add(p.deadline)
	leave, err := k.admitter.Admit(context.Background(), AdmitRequest{Organisation: p.organisation, Priority: p.priority, Deadline: deadline})
	if err != nil {
		return
	}
	defer leave()
	if n := k.admitter.InFlight(); n > soakInFlight {
		k.fail("%d requests in flight, cap %d", n, soakInFlight)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if p.cancelAfter > 0 {
		defer time.AfterFunc(p.cancelAfter, cancel).Stop()
	}
	want := wantOf(p.organisation, deadline)
	want.Priority, want.Retry, want.NoWait = p.priority, p.repeat, p.noWait
	asked := time.Now()
	s, err := k.r.gate.Acquire(ctx, want)
	if p.noWait && time.Since(asked) > 0 {
		k.fail("an attempt with NoWait waited %s", time.Since(asked))
	}
	if time.Now().After(deadline) {
		k.fail("Acquire returned %s after the deadline", time.Since(deadline))
	}
	if err != nil {
		if errkind.Is(err, errkind.Internal) {
			k.fail("error without a kind: %v", err)
		}
		return
	}
	id := s.Choice().Target.ID
	k.note(id, p.organisation, 1)
	time.Sleep(p.service)
	k.note(id, p.organisation, -1)
	p.result.Duration = p.service
	s.Done(p.result)
}

// disturb changes the targets during the run: load reports, drains, additions and
// removals.
func (k *soak) disturb(i int) {
	id := fmt.Sprintf("t%03d", k.rand.IntN(soakTargets))
	switch k.rand.IntN(12) {
	case 0:
		k.r.board.Drains.Put("target/"+id, board.Drain{})
	case 1, 2, 3:
		k.r.board.Drains.Delete("target/" + id)
	case 4:
		k.r.board.Targets.Delete(id)
	case 5, 6, 7:
		k.r.addTarget(id)
	default:
		k.r.report(targetapi.LoadReport{Target: id, Seq: uint64(i + 1), Running: k.rand.IntN(9), Slots: 1 + k.rand.IntN(soakMaxLimit), MeanMS: 75})
	}
}

func runSoak(t *testing.T, seed uint64) string {
	problem := ""
	synctest.Test(t, func(t *testing.T) {
		r := newRig(soakTargets, GateLimits{StartLimit: 3, MaxLimit: soakMaxLimit, Overcommit: 1, Queue: 20, EjectBase: 50 * time.Millisecond, EjectMax: time.Second})
		admitter, b := newTestAdmitter(soakInFlight)
		b.Limits.Put("o0", board.Limit{Concurrent: soakConcurrent})
		k := &soak{t: t, r: r, admitter: admitter, rand: rand.New(rand.NewPCG(seed, 1)), running: make(map[string]int), byOrganisation: make(map[string]int)}
		var group sync.WaitGroup
		for i := range soakAttempts {
			time.Sleep(time.Duration(k.rand.IntN(7)) * time.Millisecond)
			if i%40 == 39 {
				k.disturb(i)
			}
			p := k.plan()
			group.Go(func() { k.attempt(p) })
		}
		group.Wait()
		if r.gate.InFlight() != 0 || r.gate.Waiting() != 0 || admitter.InFlight() != 0 || admitter.active.Load() != 0 {
			k.fail("not released at the end: %d slots, %d waiters, %d requests, %d organisations", r.gate.InFlight(), r.gate.Waiting(), admitter.InFlight(), admitter.active.Load())
		}
		for id, target := range r.gate.service("pool").targets {
			if target.inFlight() != 0 {
				k.fail("%s still holds %d slots", id, target.inFlight())
			}
		}
		if v := r.collector.Violations(); len(v) != 0 {
			k.fail("violations: %v", v)
		}
		if k.granted < soakAttempts/4 {
			k.fail("only %d of %d attempts got a slot: too few to test the bounds", k.granted, soakAttempts)
		}
		problem = k.problem
	})
	return problem
}

// TestSoak runs 1,500 attempts through admitter and gate for each of 12 seeds. It
// checks that no slot leaks, no bound is exceeded, no attempt waits beyond its
// deadline, and every refusal has a kind.
func TestSoak(t *testing.T) {
	p := properties(12)
	p.Property("bounds hold and nothing leaks", prop.ForAll(func(seed uint64) string {
		return runSoak(t, seed)
	}, gen.UInt64().WithShrinker(gopter.NoShrinker)))
	p.TestingRun(t)
}

// queueModel is a simple reference model of the order of the queue: priority,
// then virtual time, then deadline.
func queueModel(q *queue, in map[*waiter]bool) *waiter {
	var best *waiter
	for w := range in {
		if best == nil || modelLess(q, w, best) {
			best = w
		}
	}
	return best
}

func modelLess(q *queue, a, b *waiter) bool {
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	oa, ob := a.want.Query.Organisation, b.want.Query.Organisation
	if sa, sb := q.tags.start(oa), q.tags.start(ob); sa != sb {
		return sa < sb
	}
	if !a.deadline.Equal(b.deadline) {
		return a.deadline.Before(b.deadline)
	}
	return oa < ob
}

func runQueue(seed uint64) string {
	source := rand.New(rand.NewPCG(seed, 2))
	q := newQueue()
	in := make(map[*waiter]bool)
	for i := range 400 {
		switch {
		case len(in) == 0 || source.IntN(5) < 3:
			want := wantOf(fmt.Sprintf("o%d", source.IntN(5)), time.Unix(0, int64(source.IntN(1000000))))
			w := &waiter{want: &want, provider: want.Query.Stage.Providers[0], priority: source.IntN(3), deadline: want.Query.Deadline}
			q.push(w)
			in[w] = true
		case source.IntN(4) == 0: // a waiter is removed before its turn
			for w := range in {
				q.remove(w)
				delete(in, w)
				break
			}
		default:
			got, want := q.next(uint64(i+1)), queueModel(q, in)
			if modelLess(q, want, got) {
				return fmt.Sprintf("step %d: next returned %+v, want %+v", i, got, want)
			}
			q.remove(got)
			delete(in, got)
			q.tags.charge(got.want.Query.Organisation, source.Float64())
		}
		if q.waiting != len(in) {
			return fmt.Sprintf("step %d: %d waiting, want %d", i, q.waiting, len(in))
		}
	}
	return ""
}

// TestQueueOrder compares the queue with its model over 400 steps for each of 200
// seeds.
func TestQueueOrder(t *testing.T) {
	p := properties(200)
	p.Property("priority, fair share, deadline", prop.ForAll(runQueue, gen.UInt64().WithShrinker(gopter.NoShrinker)))
	p.TestingRun(t)
}

// TestBackloggedOrganisationsShareEqually checks that no organisation starves:
// while several have waiters, their seconds of service differ by a small bound,
// whatever their slots cost.
func TestBackloggedOrganisationsShareEqually(t *testing.T) {
	p := properties(100)
	p.Property("equal seconds of service", prop.ForAll(func(seed uint64) string {
		source := rand.New(rand.NewPCG(seed, 3))
		q := newQueue()
		served := make(map[string]float64)
		push := func(name string) {
			want := wantOf(name, time.Time{})
			q.push(&waiter{want: &want, provider: want.Query.Stage.Providers[0]})
		}
		names := []string{"a", "b", "c"}
		for _, name := range names {
			push(name)
		}
		for i := range 2000 {
			w := q.next(uint64(i + 1))
			q.remove(w)
			name := w.want.Query.Organisation
			cost := source.Float64()
			q.tags.charge(name, 0.5)
			q.tags.correct(name, cost-0.5)
			served[name] += cost
			push(name)
			for _, other := range names {
				if d := served[name] - served[other]; d > 2 {
					return fmt.Sprintf("step %d: %s is %.2f s ahead of %s", i, name, d, other)
				}
			}
		}
		return ""
	}, gen.UInt64().WithShrinker(gopter.NoShrinker)))
	p.TestingRun(t)
}
