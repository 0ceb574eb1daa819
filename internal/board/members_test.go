package board

import (
	"fmt"
	"slices"
	"testing"
)

// Guards against work in proportion to the fleet at each call, many times a second on each
// instance, and against a list that lacks a change.
func TestLiveMembersFollowChangesOnly(t *testing.T) {
	b := New()
	for i := range 300 {
		id := fmt.Sprintf("i-%03d", i)
		b.Members.Put(id, Member{ID: id, State: MemberAlive})
	}
	first := b.LiveMembers("i-000")
	if n := testing.AllocsPerRun(10, func() { b.LiveMembers("i-000") }); n > 0 {
		t.Errorf("%v allocations while no member changes", n)
	}
	b.Members.Put("i-007", Member{ID: "i-007", State: MemberDead})
	if after := b.LiveMembers("i-000"); len(after) != len(first)-1 || slices.Contains(after, "i-007") {
		t.Errorf("after a death: %d of %d members", len(after), len(first))
	}
	if len(b.LiveMembers("other")) != 300 {
		t.Error("the list of another instance lacks that instance")
	}
}
