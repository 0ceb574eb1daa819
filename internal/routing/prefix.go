package routing

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// prefixRanks is how many targets, in rendezvous order, share a prefix before
// it is given up and the call goes by two choices.
const prefixRanks = 3

// PrefixHash returns the hash under which a prefix stands in cache events:
// xxHash64 in 16 hexadecimal digits, with leading zeros.
func PrefixHash(prefix string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(prefix))
}

// preferred returns the first target in the prefix's rendezvous order that is
// usable and not loaded far above the mean. A target that is believed to have
// the prefix cached goes before one that isn't; the belief is only a hint.
func (c *Chooser) preferred(p *Pick, s *Service) (candidate, bool) {
	from := s.byRegion[c.Region]
	if len(from) == 0 {
		from = s.All
	}
	ranks := topRanks(from, xxhash.Sum64String(p.Query.Prefix))
	hash := PrefixHash(p.Query.Prefix)
	var first candidate
	found := false
	for _, e := range ranks {
		if e == nil {
			continue
		}
		cand, ok := c.usable(p, e)
		if !ok || c.overMean(p, cand) {
			continue
		}
		if c.cached(e, p.Query.Prefix, hash) {
			return cand, true
		}
		if !found {
			first, found = cand, true
		}
	}
	return first, found
}

// topRanks returns the targets with the highest hashes, highest first.
func topRanks(from []*Entry, prefix uint64) [prefixRanks]*Entry {
	var top [prefixRanks]*Entry
	var scores [prefixRanks]uint64
	for _, e := range from {
		score := mix(prefix, e.hash)
		for r := range top {
			if top[r] == nil || score > scores[r] {
				e, top[r] = top[r], e
				score, scores[r] = scores[r], score
			}
			if e == nil {
				break
			}
		}
	}
	return top
}

func (c *Chooser) cached(e *Entry, prefix, hash string) bool {
	set, ok := c.Board.Prefixes.Get(e.Target.ID)
	if !ok {
		return false
	}
	if _, ok = set.Hashes[hash]; ok {
		return true
	}
	_, ok = set.Hashes[prefix]
	return ok
}

// overMean is the bound on the load of a preferred target: a popular prefix
// would otherwise pile its calls on one target while others are idle.
func (c *Chooser) overMean(p *Pick, cand candidate) bool {
	slots := cand.load.Report.Slots
	if slots <= 0 {
		slots = c.Tuning.UnknownSlots
	}
	load := float64(cand.local.InFlight)
	if cand.reported {
		load, _ = c.Tuning.outstanding(cand.load, p.Now.Sub(cand.load.At), slots, c.serviceTime(p, cand), p.Mean, cand.local)
	}
	bound := c.Tuning.PrefixOverload*p.Mean.PerSlot*float64(slots) + 1
	return load >= max(bound, 0.5*float64(slots))
}
