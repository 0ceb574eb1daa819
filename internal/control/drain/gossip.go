package drain

import (
	"sort"

	"lynxhill.example/lynxhill/internal/gossip"
)

// rowBytes is an estimate of a drain's size in a digest, without the subject.
const rowBytes = 12

// Fill implements gossip.Part. Rows go in turn, so that a small budget reaches
// all of them.
func (c *Controller) Fill(digest *gossip.Digest, _ string, budget int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	subjects := make([]string, 0, len(c.entries))
	for subject := range c.entries {
		subjects = append(subjects, subject)
	}
	sort.Strings(subjects)
	used := 0
	for range subjects {
		c.nextFill = (c.nextFill + 1) % len(subjects)
		subject := subjects[c.nextFill]
		size := rowBytes + len(subject)
		if used+size > budget {
			break
		}
		used += size
		e := c.entries[subject]
		digest.Drains = append(digest.Drains, gossip.Drain{Subject: subject, Version: e.version, Active: e.active})
	}
	return used
}

// Absorb implements gossip.Part.
func (c *Controller) Absorb(digest gossip.Digest) {
	changed := false
	for _, row := range digest.Drains {
		if c.tell(row) {
			changed = true
		}
	}
	if changed {
		c.wake.Notify()
	}
}

// tell takes over a peer's word. A drain that the latest list lacked, older
// than that list, was removed: the peer has not read it yet.
func (c *Controller) tell(row gossip.Drain) bool {
	c.mu.Lock()
	_, known := c.entries[row.Subject]
	removed := !known && row.Version <= c.listed
	c.mu.Unlock()
	if removed {
		return false
	}
	return c.take(row.Subject, entry{version: row.Version, active: row.Active})
}
