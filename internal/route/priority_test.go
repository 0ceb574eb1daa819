package route

import (
	"slices"
	"testing"
)

// Guards against a route's priority that outweighs that of an organisation, or that is lost
// where organisations have one.
func TestCombinedPriority(t *testing.T) {
	order := []int{
		CombinedPriority(0, 0), CombinedPriority(0, 2), CombinedPriority(0, 12), CombinedPriority(1, -3), CombinedPriority(1, 1), CombinedPriority(2, 0),
	}
	if !slices.IsSorted(order) || order[0] == order[1] || order[2] >= order[3] {
		t.Fatalf("%v", order)
	}
}
