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
	// told all it had room for; its rate is the version of the last change
	// of a limit that the sender knows. Without it, silence could not be told from no use.
	marker = ""
	// minTold is the demand that is told, as a share of an even share.
	minTold = 0.05
	// horizon is how long a peer's use is believed.
	horizon = 30 * time.Second
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
	digest.Usage = append(digest.Usage, gossip.Usage{Organisation: marker, RatePerSecond: float64(c.highest)})
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
	var version uint64
	for _, row := range digest.Usage {
		if row.Organisation == marker {
			complete, version = true, uint64(max(row.RatePerSecond, 0))
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
	c.peers[digest.From] = use
	if version > c.version && c.pullBy.IsZero() {
		c.pullBy = now.Add(c.jitter(pullSpread))
	}
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

// heard adds up what peers told within the horizon and forgets the rest. mu is
// held.
func (c *Controller) heard(now time.Time) (sums map[string]float64, peers int) {
	sums = make(map[string]float64)
	for id, use := range c.peers {
		if now.Sub(use.at) > horizon {
			delete(c.peers, id)
			continue
		}
		peers++
		for organisation, demand := range use.rows {
			sums[organisation] += demand
		}
	}
	return sums, peers
}
