package limits

import (
	"sort"
	"time"

	"lynxhill.example/lynxhill/internal/gossip"
)

const (
	// maxRows bounds the organisations in one digest.
	maxRows = 64
	// rowBytes is the size of a row besides the organisation's name.
	rowBytes = 12
	// marker is the organisation of the row that says that the sender has
	// told all it had room for. Without it, silence could not be told from no
	// use.
	marker = ""
	// minTold is the demand that is told, as a share of an even share.
	minTold = 0.05
	// horizon is how long a peer's use is believed.
	horizon = 30 * time.Second
	// leastDemand is what counts as none; sums of floats seldom come to zero.
	leastDemand = 1e-6
)

// peerUse is what a peer told last. Organisations it left out have no use.
type peerUse struct {
	at   time.Time
	rows map[string]float64 // demand in requests a second
}

// Fill implements gossip.Part: the use here of organisations with a limit,
// those nearest to it first.
func (c *Controller) Fill(digest *gossip.Digest, _ string, budget int) int {
	if budget < rowBytes {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	digest.Usage = append(digest.Usage, gossip.Usage{Organisation: marker})
	used := rowBytes
	for _, row := range c.told {
		size := len(row.Organisation) + rowBytes
		if used+size > budget {
			break
		}
		used += size
		digest.Usage = append(digest.Usage, row)
	}
	return used
}

// Absorb implements gossip.Part.
func (c *Controller) Absorb(digest gossip.Digest) {
	if len(digest.Usage) == 0 || digest.From == c.options.Self {
		return
	}
	now := c.options.Clock.Now()
	use := &peerUse{at: now}
	complete := false
	for _, row := range digest.Usage {
		if row.Organisation == marker {
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

// tellRows picks the rows for the next digests. mu is held.
func (c *Controller) tellRows(usage map[string]gossip.Usage, crowd crowd) []gossip.Usage {
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
		if limit.RatePerSecond > 0 && tightness*float64(crowd.visible) < minTold {
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
	told := make([]gossip.Usage, 0, min(len(rows), maxRows))
	for _, r := range rows[:min(len(rows), maxRows)] {
		told = append(told, r.row)
	}
	return told
}

// replace puts a peer's use in place of what it told before. mu is held.
func (c *Controller) replace(id string, use *peerUse) {
	if old := c.peers[id]; old != nil {
		c.addHeard(old, -1)
	}
	if use == nil {
		delete(c.peers, id)
		return
	}
	c.peers[id] = use
	c.addHeard(use, 1)
}

// addHeard keeps the sums up to date row by row: adding up all peers' rows each
// tick would take milliseconds at 370 instances. mu is held.
func (c *Controller) addHeard(use *peerUse, sign float64) {
	for organisation, demand := range use.rows {
		sum := c.heard[organisation] + sign*demand
		if sum < leastDemand {
			delete(c.heard, organisation)
			continue
		}
		c.heard[organisation] = sum
	}
}

// forgetSilent drops what was told before the horizon. mu is held.
func (c *Controller) forgetSilent(now time.Time) {
	for id, use := range c.peers {
		if now.Sub(use.at) > horizon {
			c.replace(id, nil)
		}
	}
}
