package profilesync_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/control/profilesync"
	"lynxhill.example/lynxhill/internal/store/memstore"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// TestRandomFaults runs fleets of 3 to 50 instances through combined pauses,
// crashes, partitions, one-way losses, store outages and lost replies, while
// operators change profiles. It checks that
//   - the version of a profile never decreases on an instance (asserted in the
//     code under test),
//   - no instance that accepts work holds less than an accepted version,
//   - after the faults all hold the store's version and all serve.
func TestRandomFaults(t *testing.T) {
	sizes := []int{3, 3, 4, 5, 5, 7, 8, 8, 8, 12, 16, 50}
	for seed, n := range sizes {
		t.Run(fmt.Sprintf("%d instances, seed %d", n, seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { randomRun(t, n, uint64(seed)) })
		})
	}
}

// run is one randomised run.
type run struct {
	*fleet
	rng    *rand.Rand
	paused map[int]bool
	ops    sync.WaitGroup

	mu       sync.Mutex        // guards accepted and changes
	accepted map[string]uint64 // highest accepted version by profile
	changes  map[string]int    // by state
}

const (
	randomSteps  = 60
	randomStep   = 3 * time.Second
	checkEvery   = 100 * time.Millisecond
	profileNames = 3
)

func randomRun(t *testing.T, n int, seed uint64) {
	r := &run{
		fleet:    newFleet(t, n, profilesync.Options{}),
		rng:      rand.New(rand.NewPCG(99, seed)),
		paused:   make(map[int]bool),
		accepted: make(map[string]uint64),
		changes:  make(map[string]int),
	}
	defer func() {
		r.heal()
		r.ops.Wait()
		r.stop()
	}()
	r.settle()
	steps := randomSteps
	if n > 16 {
		steps /= 4
	}
	for step := range steps {
		r.fault()
		r.change(step)
		for range randomStep / checkEvery {
			time.Sleep(checkEvery)
			r.check()
		}
		if t.Failed() {
			t.Fatalf("in step %d", step)
		}
	}
	r.heal()
	r.ops.Wait()
	r.until(2*time.Minute, "all agree and serve", func() bool { r.check(); return r.agreed() })
	t.Logf("changes by state: %v", r.changes)
}

func (r *run) pick() int { return r.rng.IntN(len(r.nodes)) }

// fault adds one more fault or removes some.
func (r *run) fault() {
	i := r.pick()
	n := r.nodes[i]
	kind := r.rng.IntN(12)
	r.t.Logf("%v: fault %d at %s", r.clock.Since(r.started), kind, n.id)
	switch kind {
	case 0, 1:
		if n.up {
			r.net.Pause(n.addr)
			r.paused[i] = true
		}
	case 2:
		r.wakeAll()
	case 3:
		if n.up && !r.paused[i] {
			r.crash(i)
		}
	case 4:
		r.startAll()
	case 5:
		r.split()
	case 6:
		r.net.Block(n.addr, r.nodes[r.pick()].addr)
	case 7:
		r.net.Heal()
	case 8:
		r.store.SetFaults(memstore.Faults{Outage: true})
	case 9:
		r.store.SetFaults(memstore.Faults{LoseReply: 0.5, Delay: 5 * time.Millisecond, Jitter: 300 * time.Millisecond})
	case 10:
		n.link.setCut(true)
	case 11:
		r.store.SetFaults(memstore.Faults{Delay: 2 * time.Millisecond})
		for _, n := range r.nodes {
			n.link.setCut(false)
		}
	}
}

// split cuts off a random part of the instances, sometimes from the store too.
func (r *run) split() {
	var part []int
	for i := range r.nodes {
		if r.rng.IntN(2) == 0 {
			part = append(part, i)
		}
	}
	stores := r.rng.IntN(2) == 0
	var a, b []string
	in := make(map[int]bool)
	for _, i := range part {
		in[i] = true
		a = append(a, r.nodes[i].addr)
		if stores {
			r.nodes[i].link.setCut(true)
		}
	}
	for i, n := range r.nodes {
		if !in[i] {
			b = append(b, n.addr)
		}
	}
	r.t.Logf("split %v, from the store too: %v", part, stores)
	r.net.Split(a, b)
}

func (r *run) wakeAll() {
	for i := range r.paused {
		r.net.Resume(r.nodes[i].addr)
		delete(r.paused, i)
	}
}

func (r *run) startAll() {
	for i, n := range r.nodes {
		if !n.up {
			r.start(i)
		}
	}
}

func (r *run) heal() {
	r.net.Heal()
	r.wakeAll()
	r.startAll()
	for _, n := range r.nodes {
		n.link.setCut(false)
	}
	r.store.SetFaults(memstore.Faults{Delay: 2 * time.Millisecond})
}

// change has an operator change a profile at a random instance.
func (r *run) change(step int) {
	i := r.pick()
	n := r.nodes[i]
	if !n.up || r.paused[i] {
		return
	}
	name := fmt.Sprintf("p%d", r.rng.IntN(profileNames))
	c := profilesync.Change{
		Name: name, Profile: draft(name, float64(step+1)), IfVersion: n.version(name),
		ChangeID: fmt.Sprintf("c%d", step), Operator: "op", Wait: 30 * time.Second,
	}
	r.ops.Go(func() {
		reply, err := n.sync.Set(context.Background(), c)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.changes[reply.State]++
		r.t.Logf("%v: %s at %s: %s version %d, in force %d of %d, fenced %v",
			r.clock.Since(r.started), name, n.id, reply.State, reply.Version, reply.Force.InForce, reply.Force.Total, reply.Force.Fenced)
		if err == nil && reply.State == lynxapi.ChangeAccepted {
			r.accepted[name] = max(r.accepted[name], reply.Version)
		}
	})
}

// check looks for an instance that accepts work below an accepted version.
func (r *run) check() {
	r.mu.Lock()
	accepted := make(map[string]uint64)
	for name, v := range r.accepted {
		accepted[name] = v
	}
	r.mu.Unlock()
	for i, n := range r.nodes {
		if !n.up || r.paused[i] || !n.serves() {
			continue
		}
		for name, v := range accepted {
			if held := n.version(name); held < v {
				r.t.Errorf("%v: %s serves %s at version %d, accepted is %d", r.clock.Since(r.started), n.id, name, held, v)
			}
		}
	}
}

func (r *run) agreed() bool {
	objects, _, err := r.store.List(context.Background(), "profiles/")
	if err != nil || r.serving() != len(r.nodes) {
		return false
	}
	for _, obj := range objects {
		if r.inForce(obj.Key[len("profiles/"):], obj.Version) != len(r.nodes) {
			return false
		}
	}
	return true
}
