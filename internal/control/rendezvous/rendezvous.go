// Package rendezvous ranks members for a key by rendezvous (highest random weight)
// hashing: all instances that see the same members choose the same ones for a key,
// and a member that joins or leaves moves only the keys assigned to it.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the weight of the member for the key. The member with the highest
// weight ranks first.
func Score(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// Top returns the n members with the highest scores, highest first.
func Top(key string, members []string, n int) []string {
	type scored struct {
		member string
		score  uint64
	}
	all := make([]scored, len(members))
	for i, m := range members {
		all[i] = scored{m, Score(key, m)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member, b.member))
	})
	ranked := make([]string, min(n, len(all)))
	for i := range ranked {
		ranked[i] = all[i].member
	}
	return ranked
}

// Position returns how many of the members other than self rank before self: 0 if
// self ranks first.
func Position(key, self string, members []string) int {
	own := Score(key, self)
	before := 0
	for _, m := range members {
		if m == self {
			continue
		}
		if s := Score(key, m); s > own || (s == own && m < self) {
			before++
		}
	}
	return before
}
