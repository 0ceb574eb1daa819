package routesync

import "slices"

// maxGaps bounds the gaps that are kept apart.
const maxGaps = 16

// versionGap is a range of versions, both ends excluded, of which an instance has not seen
// each change: it read a list as of the upper end while it knew the state at the lower one.
// A target that was added and deleted in between is unknown to it and has no tombstone.
type versionGap struct{ known, listed uint64 }

// versionGaps are the gaps of an instance, the oldest first.
//
// Without them, a peer that knows such a target counts its deletion as received when it
// pulls everything up to a later version, and sends requests to the target for as long as
// it runs.
type versionGaps []versionGap

// add adds a gap. Beyond maxGaps it joins the two oldest ones.
func (g *versionGaps) add(gap versionGap) {
	if gap.known+1 >= gap.listed {
		return
	}
	*g = append(*g, gap)
	if len(*g) > maxGaps {
		(*g)[1].known = (*g)[0].known
		*g = slices.Delete(*g, 0, 1)
	}
}

// contain reports whether the version lies in a gap.
func (g versionGaps) contain(version uint64) bool {
	return slices.ContainsFunc(g, func(gap versionGap) bool { return gap.known < version && version < gap.listed })
}
