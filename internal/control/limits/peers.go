package limits

import (
	"sort"
	"time"

	"lynxhill.example/lynxhill/internal/gossip"
)

const (
	// maxRows is the maximum number of organisations in one digest.
	maxRows = 64
	// rowBytes is the size of a row without the organisation's name.
	rowBytes = 12
	// completeMarker is the organisation of the row which states that the digest
	// contains all the sender's rows that fitted. Without it, a digest without
	// usage rows could not be distinguished from a sender without usage.
	completeMarker = ""
	// minReported is the lowest demand that is reported, as a fraction of an even
	// share of the limit.
	minReported = 0.05
	// peerUseTTL is how long a peer's reported usage stays valid.
	peerUseTTL = 30 * time.Second
	// minDemand is the demand below which a sum counts as zero; sums of floats
	// seldom return to exactly zero.
	minDemand = 1e-6
)

// peerUse is the usage that a peer reported last. Organisations without a row
// have no usage there.
type peerUse struct {
	at   time.Time
	rows map[string]float64 // demand in requests per second
}

// Fill implements gossip.Participant. It adds this instance's usage by organisations with
// a limit, those nearest to their limit first.
func (c *Controller) Fill(digest *gossip.Digest, _ string, budget int) int {
	if budget < rowBytes {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	digest.Usage = append(digest.Usage, gossip.Usage{Organisation: completeMarker})
	used := rowBytes
	for _, row := range c.digestRows {
		size := len(row.Organisation) + rowBytes
		if used+size > budget {
			break
		}
		used += size
		digest.Usage = append(digest.Usage, row)
	}
	return used
}

// Absorb implements gossip.Participant.
func (c *Controller) Absorb(digest gossip.Digest) {
	if len(digest.Usage) == 0 || digest.From == c.options.Self {
		return
	}
	now := c.options.Clock.Now()
	use := &peerUse{at: now}
	complete := false
	for _, row := range digest.Usage {
		if row.Organisation == completeMarker {
			complete = true
			continue
		}
		if use.rows == nil {
			use.rows = make(map[string]float64, len(digest.Usage))
		}
		use.rows[row.Organisation] = row.RatePerSecond
	}
	if !complete {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replace(digest.From, use)
}

// selectRows returns the rows for the next digests. mu must be held.
func (c *Controller) selectRows(usage map[string]gossip.Usage, members population) []gossip.Usage {
	type ranked struct {
		row       gossip.Usage
		tightness float64
	}
	var rows []ranked
	for organisation, row := range usage {
		limit, limited := c.objects[organisation]
		if !limited {
			continue
		}
		tightness := row.RatePerSecond
		if limit.RatePerSecond > 0 {
			tightness = row.RatePerSecond / limit.RatePerSecond
		}
		if limit.RatePerSecond > 0 && tightness*float64(members.visible) < minReported {
			continue
		}
		rows = append(rows, ranked{row, tightness})
	}
	sort.Slice(rows, func(i, j int) bool {
		if rows[i].tightness != rows[j].tightness {
			return rows[i].tightness > rows[j].tightness
		}
		return rows[i].row.Organisation < rows[j].row.Organisation
	})
	selected := make([]gossip.Usage, 0, min(len(rows), maxRows))
	for _, r := range rows[:min(len(rows), maxRows)] {
		selected = append(selected, r.row)
	}
	return selected
}

// replace replaces the usage reported by a peer; nil removes it. mu must be held.
func (c *Controller) replace(id string, use *peerUse) {
	if old := c.peers[id]; old != nil {
		c.addPeerDemand(old, -1)
	}
	if use == nil {
		delete(c.peers, id)
		return
	}
	c.peers[id] = use
	c.addPeerDemand(use, 1)
}

// addPeerDemand adds a peer's rows to the sums of demand, or subtracts them if sign
// is -1. The sums are maintained incrementally because adding up all peers' rows
// in each tick would take milliseconds with 370 instances. mu must be held.
func (c *Controller) addPeerDemand(use *peerUse, sign float64) {
	for organisation, demand := range use.rows {
		sum := c.peerDemand[organisation] + sign*demand
		if sum < minDemand {
			delete(c.peerDemand, organisation)
			continue
		}
		c.peerDemand[organisation] = sum
	}
}

// expirePeers drops the usage that peers reported more than peerUseTTL ago. mu must
// be held.
func (c *Controller) expirePeers(now time.Time) {
	for id, use := range c.peers {
		if now.Sub(use.at) > peerUseTTL {
			c.replace(id, nil)
		}
	}
}
