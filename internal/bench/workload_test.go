package bench

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"lynxhill.example/lynxhill/examples/profiles"
	"lynxhill.example/lynxhill/internal/client"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/standin/fleet"
)

// paperSystem is a System that is never called.
type paperSystem struct{ deployment string }

func (s paperSystem) Deployment() string                 { return s.deployment }
func (paperSystem) Zones() []string                      { return []string{"a", "b"} }
func (paperSystem) Caller(string, string) *client.Caller { return nil }

func drawItems(t *testing.T, deployment string, seed uint64, n int) []item {
	t.Helper()
	list, err := profiles.Load(deployment)
	if err != nil {
		t.Fatal(err)
	}
	w, err := newWorkload(paperSystem{deployment}, list, LoadOptions{Run: "test"}, rand.New(rand.NewPCG(seed, 7)))
	if err != nil {
		t.Fatal(err)
	}
	items := make([]item, n)
	for i := range items {
		items[i] = w.next()
	}
	return items
}

// The symptom would be a comparison of variants that got different requests.
func TestWorkloadFollowsItsSeed(t *testing.T) {
	for _, name := range fleet.Names() {
		first := drawItems(t, name, 1, 200)
		if !reflect.DeepEqual(first, drawItems(t, name, 1, 200)) {
			t.Errorf("%s: the same seed gave other requests", name)
		}
		if reflect.DeepEqual(first, drawItems(t, name, 2, 200)) {
			t.Errorf("%s: another seed gave the same requests", name)
		}
	}
}

// Answers are checked by a digest of their input: two requests with one input
// could be swapped without a sign. Every profile of the mix has to come up.
func TestWorkloadMakesEveryInputUnique(t *testing.T) {
	for _, name := range fleet.Names() {
		seen := make(map[string]bool)
		count := make(map[string]int)
		for _, it := range drawItems(t, name, 1, 2000) {
			if seen[string(it.input)] {
				t.Fatalf("%s: two requests have one input", name)
			}
			seen[string(it.input)] = true
			count[it.profile.Name]++
		}
		for _, m := range defaultMix[name] {
			want := 2000 * m.Weight / sumOf(mixWeights(defaultMix[name]))
			if got := float64(count[m.Profile]); got < 0.7*want || got > 1.3*want {
				t.Errorf("%s: %g of %s, want about %.0f", name, got, m.Profile, want)
			}
		}
	}
}

func sumOf(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

func TestWorkloadRefusesAProfileThatIsNotThere(t *testing.T) {
	opts := LoadOptions{Mix: []Mix{{Profile: "nowhere", Weight: 1}}}
	_, err := newWorkload(paperSystem{fleet.MediaPlace}, []profile.Profile{{Name: "booking"}}, opts, rand.New(rand.NewPCG(1, 7)))
	if err == nil {
		t.Error("a mix with an unknown profile is taken")
	}
}

// Poisoned requests stand in the place of others and must not shift when the
// rest is sent, or a run with poison could not be held against one without.
func TestPoisonDoesNotChangeWhenRequestsAreSent(t *testing.T) {
	list, err := profiles.Load(fleet.MediaPlace)
	if err != nil {
		t.Fatal(err)
	}
	opts := LoadOptions{Rate: 50, Duration: 4 * time.Second, Seed: 3}
	plain, err := newLoad(paperSystem{fleet.MediaPlace}, list, opts)
	if err != nil {
		t.Fatal(err)
	}
	opts.PoisonEvery = time.Second
	poisoned, err := newLoad(paperSystem{fleet.MediaPlace}, list, opts)
	if err != nil {
		t.Fatal(err)
	}
	poison := 0
	for i := range poisoned.items {
		if poisoned.items[i].at != plain.items[i].at {
			t.Fatalf("request %d is sent at %s instead of %s", i, poisoned.items[i].at, plain.items[i].at)
		}
		if poisoned.items[i].marker {
			poison++
		}
	}
	if poison != 3 {
		t.Errorf("%d poisoned requests in four seconds, want 3", poison)
	}
	opts.MaxRequests = 10
	if _, err := newLoad(paperSystem{fleet.MediaPlace}, list, opts); err == nil {
		t.Error("a load above its bound is taken")
	}
}
