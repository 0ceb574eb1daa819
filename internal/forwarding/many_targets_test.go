package forwarding

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/fleet"
)

// Guards against a service with more targets than state is kept of: the state of all was
// dropped while one was chosen, with the counts of requests in flight and the failures.
func TestStateOfManyTargetsIsKept(t *testing.T) {
	const all, busy = 3 * maxTargets, 20
	l := NewLoads(quartz.NewReal(), "z", rand.New(rand.NewPCG(1, 1)))
	targets := make([]fleet.Target, all)
	for i := range targets {
		targets[i] = fleet.Target{ID: fmt.Sprintf("t%05d", i), Service: "s", Zone: "z", Slots: 1}
	}
	for range busy { // requests that stay in flight at the first targets
		if _, ok := l.Choose(targets[:busy], nil); !ok {
			t.Fatal("no target")
		}
	}
	used := make(map[string]bool)
	for i := range all {
		from := targets // the busy ones are always among them
		if i%1000 > 0 {
			from = append(targets[:busy:busy], targets[i:min(i+20, all)]...)
		}
		target, _ := l.Choose(from, nil)
		used[target.ID] = true
		l.Done(target, Answered, 10*time.Millisecond, nil)
	}
	for _, target := range targets[:busy] {
		if used[target.ID] || l.known(target).inFlight != 1 {
			t.Fatalf("%s has %d requests in flight, want 1; used again %v", target.ID, l.known(target).inFlight, used[target.ID])
		}
	}
	if n := len(l.targets); n > maxTargets {
		t.Errorf("state of %d targets is kept, want %d at most", n, maxTargets)
	}
}
