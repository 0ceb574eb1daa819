package crashguard

import (
	"sort"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/gossip"
)

// maxTargetsSent bounds the targets of a row in a digest. The crash limit is
// small, so more targets would not change a decision.
const maxTargetsSent = 4

// Fill implements gossip.Participant. It sends the rows round-robin, starting after the
// last row sent, so that all rows of a large table are sent within a few
// exchanges.
func (g *Guard) Fill(digest *gossip.Digest, _ string, budget int) int {
	rows := g.opts.Board.Refused.Snapshot()
	if len(rows) == 0 {
		return 0
	}
	now := g.opts.Clock.Now()
	used := 0
	for _, fingerprint := range g.afterCursor(rows) {
		row := rows[fingerprint]
		if !row.Until.After(now) {
			g.expire(fingerprint, row)
			continue
		}
		refusal := gossip.Refusal{
			Fingerprint: fingerprint,
			Targets:     row.Targets[:min(len(row.Targets), maxTargetsSent)],
			TTL:         row.Until.Sub(now),
		}
		size := sizeOf(refusal)
		if used+size > budget {
			break
		}
		used += size
		digest.Refusals = append(digest.Refusals, refusal)
		g.setCursor(fingerprint)
	}
	return used
}

// Absorb implements gossip.Participant.
func (g *Guard) Absorb(digest gossip.Digest) {
	for _, refusal := range digest.Refusals {
		if refusal.TTL <= 0 || len(refusal.Targets) == 0 {
			continue
		}
		g.merge(refusal.Fingerprint, refusal.Targets, min(refusal.TTL, g.opts.TTL))
	}
}

// afterCursor returns the fingerprints in sorted order, rotated to start after
// the cursor.
func (g *Guard) afterCursor(rows map[string]board.Refusal) []string {
	ids := make([]string, 0, len(rows))
	for id := range rows {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	g.mu.Lock()
	cursor := g.cursor
	g.mu.Unlock()
	start := sort.SearchStrings(ids, cursor+"\x00")
	return append(ids[start:len(ids):len(ids)], ids[:start]...)
}

func (g *Guard) setCursor(fingerprint string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cursor = fingerprint
}

// sizeOf estimates the encoded size of the row in bytes.
func sizeOf(refusal gossip.Refusal) int {
	const overhead = 8
	size := len(refusal.Fingerprint) + overhead
	for _, id := range refusal.Targets {
		size += len(id) + 2
	}
	return size
}
