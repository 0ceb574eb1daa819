package routing

import (
	"fmt"
	"math"
	"testing"

	"lynxhill.example/lynxhill/internal/profile"
)

func split(old, new float64) []profile.Provider {
	return []profile.Provider{{Name: "old", Weight: old}, {Name: "new", Weight: new}}
}

func TestProviderOrderMovesOnlyWhatMust(t *testing.T) {
	const organisations = 19000
	for _, step := range []struct{ from, to float64 }{{0, 5}, {5, 10}, {10, 50}, {50, 100}} {
		moved, back, share := 0, 0, 0
		for i := range organisations {
			name := fmt.Sprintf("org-%d", i)
			before := ProviderOrder(split(100-step.from, step.from), name, "")[0].Name
			after := ProviderOrder(split(100-step.to, step.to), name, "")[0].Name
			if after == "new" {
				share++
			}
			if before != after {
				moved++
			}
			if before == "new" && after == "old" {
				back++
			}
		}
		want := (step.to - step.from) / 100
		got := float64(moved) / organisations
		if math.Abs(got-want) > 0.01 || back != 0 {
			t.Errorf("%g to %g: %.3f of the organisations moved, want %.3f; %d moved back", step.from, step.to, got, want, back)
		}
		if got := float64(share) / organisations; math.Abs(got-step.to/100) > 0.01 {
			t.Errorf("weight %g: share %.3f", step.to, got)
		}
	}
}

func TestProviderOrderLeavesOutWeightless(t *testing.T) {
	if got := ProviderOrder(split(1, 0), "o", ""); len(got) != 1 || got[0].Name != "old" {
		t.Errorf("order %v, want old only", got)
	}
	if got := ProviderOrder(split(0, 0), "o", ""); len(got) != 2 {
		t.Errorf("with all weights zero the order is %v, want both", got)
	}
}
