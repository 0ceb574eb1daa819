package fleet

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

// Guards against a view that differs, after a series of changes, from one made of the same
// targets at once.
func TestViewAfterChanges(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		known := make(map[string]Target)
		view := NewView(0, nil)
		for revision := range uint64(60) {
			var put []Target
			var removed []string
			for range random.IntN(6) {
				id := fmt.Sprint("t", random.IntN(40))
				if random.IntN(3) == 0 {
					removed = append(removed, id)
					delete(known, id)
				}
			}
			for range random.IntN(6) {
				target := Target{
					ID: fmt.Sprint("t", random.IntN(40)), Service: fmt.Sprint("s", random.IntN(3)), Build: fmt.Sprint(random.IntN(2)),
					Address: fmt.Sprint("a", random.IntN(60)), Zone: fmt.Sprint("z", random.IntN(3)), Draining: random.IntN(4) == 0,
				}
				put = append(put, target)
				known[target.ID] = target
			}
			before := view
			view = view.With(revision, put, removed)
			var all []Target
			for _, target := range known {
				all = append(all, target)
			}
			checkSame(t, seed, view, NewView(revision, all))
			checkChanges(t, seed, before, view)
		}
	}
}

func checkSame(t *testing.T, seed uint64, got, want *View) {
	t.Helper()
	if got.Len() != want.Len() || !reflect.DeepEqual(byID(got), byID(want)) {
		t.Fatalf("seed %d: targets %v, want %v", seed, byID(got), byID(want))
	}
	names := got.Services()
	slices.Sort(names)
	expected := want.Services()
	slices.Sort(expected)
	if !slices.Equal(names, expected) {
		t.Fatalf("seed %d: services %v, want %v", seed, names, expected)
	}
	for _, name := range names {
		if !slices.Equal(got.Ready(name), want.Ready(name)) || !reflect.DeepEqual(got.ReadyByZone(name), want.ReadyByZone(name)) ||
			!reflect.DeepEqual(got.Builds(name), want.Builds(name)) {
			t.Fatalf("seed %d, service %s: %v, want %v", seed, name, got.services[name], want.services[name])
		}
	}
	for _, target := range got.All() {
		id, ok := got.AtAddress(target.Address)
		if at, listed := got.Get(id); !ok || !listed || at.Address != target.Address {
			t.Fatalf("seed %d: %s at %s: %q", seed, target.ID, target.Address, id)
		}
	}
}

func byID(v *View) map[string]Target {
	all := make(map[string]Target)
	for _, target := range v.All() {
		all[target.ID] = target
	}
	return all
}

func checkChanges(t *testing.T, seed uint64, before, after *View) {
	t.Helper()
	targets := byID(before)
	for _, c := range after.ChangesSince(before) {
		if c.Before != nil {
			if targets[c.Before.ID] != *c.Before {
				t.Fatalf("seed %d: change from %+v, which was %+v", seed, *c.Before, targets[c.Before.ID])
			}
			delete(targets, c.Before.ID)
		}
		if c.After != nil {
			targets[c.After.ID] = *c.After
		}
	}
	if !reflect.DeepEqual(targets, byID(after)) {
		t.Fatalf("seed %d: the changes lead to %v, want %v", seed, targets, byID(after))
	}
}

// Guards against a limited view that misses targets which enter or leave its limits.
func TestWithinFollowsChanges(t *testing.T) {
	inside := func(target Target) bool { return target.Zone == "z0" }
	view := NewView(1, []Target{{ID: "a", Service: "s", Zone: "z0"}, {ID: "b", Service: "s", Zone: "z1"}})
	limited := view.Within(inside, nil, nil)
	next := view.With(2, []Target{{ID: "a", Service: "s", Zone: "z1"}, {ID: "b", Service: "s", Zone: "z0"}, {ID: "c", Service: "s", Zone: "z0"}}, nil)
	limited = next.Within(inside, view, limited)
	checkSame(t, 0, limited, NewView(2, []Target{{ID: "b", Service: "s", Zone: "z0"}, {ID: "c", Service: "s", Zone: "z0"}}))
	last := next.With(3, nil, []string{"b"})
	checkSame(t, 0, last.Within(inside, next, limited), NewView(3, []Target{{ID: "c", Service: "s", Zone: "z0"}}))
}

// Guards against an address that is unknown although its new target is listed: the earlier
// target at the address is removed later.
func TestAddressAssignedAgain(t *testing.T) {
	view := NewView(1, []Target{{ID: "old", Service: "s", Address: "x"}}).With(2, []Target{{ID: "new", Service: "t", Address: "x"}}, nil)
	if id, _ := view.AtAddress("x"); id != "new" {
		t.Errorf("at the address is %q", id)
	}
	view = view.With(3, nil, []string{"old"})
	if id, _ := view.AtAddress("x"); id != "new" {
		t.Errorf("after the removal of the earlier target, %q is at the address", id)
	}
}

var benchSizes = []int{300, 3000, 10000, 20000}

func benchTargets(n int) []Target {
	targets := make([]Target, n)
	for i := range targets {
		targets[i] = Target{
			ID: fmt.Sprintf("i-%08x", uint32(i)*2654435761), Service: fmt.Sprint("service-", i%9/5), Build: "1", Zone: fmt.Sprint("zone-", i%6),
			Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255), Slots: 16,
		}
	}
	return targets
}

// BenchmarkNewView makes a view of all targets.
func BenchmarkNewView(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			targets := benchTargets(n)
			b.ReportAllocs()
			for b.Loop() {
				NewView(1, targets)
			}
		})
	}
}

// BenchmarkOneChange makes the view that follows when one target changes.
func BenchmarkOneChange(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			targets := benchTargets(n)
			view := NewView(1, targets)
			b.ReportAllocs()
			for b.Loop() {
				target := targets[n/2]
				target.Draining = !target.Draining
				targets[n/2] = target
				view = view.With(view.Revision+1, []Target{target}, nil)
			}
		})
	}
}
