package routing

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// prefixRanks is the number of targets, in rendezvous order, that are
// considered for a prefix before the call falls back to two choices.
const prefixRanks = 3

// PrefixHash returns the hash that identifies a prefix in cache events:
// xxHash64 as 16 hexadecimal digits, with leading zeros.
func PrefixHash(prefix string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(prefix))
}

// prefixTarget returns the first target in the prefix's rendezvous order that is
// usable and not loaded far above the mean. Targets that have the prefix cached
// according to their cache events are preferred; the events are only a hint and
// may be out of date.
func (c *Chooser) prefixTarget(p *ChooseParams, s *Service) (candidate, bool) {
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
		if !ok || c.loadedAboveMean(p, cand) {
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

// topRanks returns the targets with the highest rendezvous hashes for the
// prefix, highest first.
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

// cached reports whether the target's cache events list the prefix, by its hash
// or by its text.
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

// loadedAboveMean reports whether a target's load exceeds the bound for prefix
// affinity. Without the bound, a popular prefix would overload one target while
// others are idle.
func (c *Chooser) loadedAboveMean(p *ChooseParams, cand candidate) bool {
	slots := cand.load.Report.Slots
	if slots <= 0 {
		slots = c.Tuning.DefaultSlots
	}
	load := float64(cand.local.InFlight)
	if cand.reported {
		load, _ = c.Tuning.outstanding(cand.load, p.Now.Sub(cand.load.At), slots, c.serviceTime(p, cand), p.Mean, cand.local)
	}
	bound := c.Tuning.PrefixOverload*p.Mean.PerSlot*float64(slots) + 1
	return load >= max(bound, 0.5*float64(slots))
}
