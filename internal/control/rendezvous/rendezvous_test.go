package rendezvous

import (
	"fmt"
	"slices"
	"testing"
)

func members(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("i-%03d", i)
	}
	return ids
}

func TestPositionAgreesWithTop(t *testing.T) {
	all := members(20)
	for k := range 50 {
		key := fmt.Sprint("key-", k)
		for want, m := range Top(key, all, len(all)) {
			if got := Position(key, m, all); got != want {
				t.Fatalf("key %s member %s: position %d, index in Top %d", key, m, got, want)
			}
		}
	}
}

func TestRemovedMemberMovesOnlyItsOwnKeys(t *testing.T) {
	all := members(20)
	remaining := slices.Delete(slices.Clone(all), 7, 8)
	for k := range 500 {
		key := fmt.Sprint("key-", k)
		before, after := Top(key, all, 1)[0], Top(key, remaining, 1)[0]
		if before != all[7] && before != after {
			t.Fatalf("key %s moved from %s to %s although neither was removed", key, before, after)
		}
	}
}
