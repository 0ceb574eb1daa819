package crashguard

import (
	"cmp"
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/gossip"
)

const (
	// eagerSends is the number of digests in which a changed row is sent, enough for all
	// instances of a large fleet to get it in a few exchanges.
	eagerSends = 12
	// rotationInterval is the time between two digests that carry an unchanged row, for
	// instances that missed the change.
	rotationInterval = 5 * time.Second
)

// Fill implements gossip.Participant. It sends the changed rows, and the others to an
// instance that wants all, or one of them now and then.
func (g *Guard) Fill(digest *gossip.Digest, to string, budget int) int {
	complete := g.Complete()
	digest.RefusalsWanted = !complete
	rows := g.opts.Board.Refused.Snapshot()
	if len(rows) == 0 {
		digest.RefusalsComplete = complete
		return 0
	}
	now := g.opts.Clock.Now()
	for key, row := range rows {
		if g.expired(key, row, now) {
			g.expire(key, row)
			delete(rows, key)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	used := 0
	add := func(key string) bool {
		refusal := g.outgoing(key, rows[key], now)
		size := sizeOf(refusal)
		if used+size > budget {
			return false
		}
		used += size
		digest.Refusals = append(digest.Refusals, refusal)
		return true
	}
	for _, key := range g.changedLocked(rows) {
		if !add(key) {
			return used
		}
		if g.unsent[key]--; g.unsent[key] <= 0 {
			delete(g.unsent, key)
		}
	}
	for _, key := range g.unchangedLocked(rows, to, now) {
		if !add(key) {
			break
		}
		g.cursor = key
	}
	digest.RefusalsComplete = complete && len(digest.Refusals) == len(rows)
	return used
}

// changedLocked returns the keys of the rows with changes to send: those with most
// crashes first, and the least sent of these. The caller holds mu.
func (g *Guard) changedLocked(rows map[string]board.Refusal) []string {
	changed := make([]string, 0, len(g.unsent))
	for key := range g.unsent {
		if _, ok := rows[key]; ok {
			changed = append(changed, key)
		}
	}
	slices.SortFunc(changed, func(a, b string) int {
		return cmp.Or(cmp.Compare(len(rows[b].Crashes), len(rows[a].Crashes)), cmp.Compare(g.unsent[b], g.unsent[a]), cmp.Compare(a, b))
	})
	return changed
}

// unchangedLocked returns the unchanged rows to send: all to an instance that wants them,
// otherwise the next one after the cursor if it is time for it. The caller holds mu.
func (g *Guard) unchangedLocked(rows map[string]board.Refusal, to string, now time.Time) []string {
	wanted := g.wanted[to]
	delete(g.wanted, to)
	if !wanted && now.Sub(g.rotated) < rotationInterval {
		return nil
	}
	ids := make([]string, 0, len(rows))
	for id := range rows {
		if g.unsent[id] == 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	start, found := slices.BinarySearch(ids, g.cursor)
	if found {
		start++
	}
	ids = slices.Concat(ids[start:], ids[:start])
	if wanted {
		return ids
	}
	g.rotated = now
	return ids[:min(len(ids), 1)]
}

// outgoing returns a row as it is sent.
func (g *Guard) outgoing(key string, row board.Refusal, now time.Time) gossip.Refusal {
	out := gossip.Refusal{Fingerprint: key, Targets: targetsOf(row.Crashes), TTL: g.opts.TTL}
	for _, c := range row.Crashes {
		out.Ages = append(out.Ages, max(now.Sub(c.At), 0))
		if c.Variant != 0 {
			out.Variants = append(out.Variants, c.Variant)
		}
		if !c.Sent.IsZero() {
			out.Took = append(out.Took, max(c.At.Sub(c.Sent), 0))
		}
	}
	if !row.Cleared.IsZero() {
		out.Cleared, out.ClearedAge = true, max(now.Sub(row.Cleared), 0)
	}
	return out
}

// Absorb implements gossip.Participant.
func (g *Guard) Absorb(digest gossip.Digest) {
	now := g.opts.Clock.Now()
	for _, refusal := range digest.Refusals {
		if refusal.Fingerprint != "" {
			g.merge(refusal, now)
		}
	}
	if digest.RefusalsComplete {
		g.markComplete()
	}
	if digest.RefusalsWanted && digest.From != "" {
		g.mu.Lock()
		g.wanted[digest.From] = true
		g.mu.Unlock()
	}
}

// merge adds what another instance knows of a key. Instances of older versions
// do not send the ages of crashes; these count from now on.
func (g *Guard) merge(in gossip.Refusal, now time.Time) {
	received := board.Refusal{}
	if in.Cleared {
		received.Cleared = now.Add(-in.ClearedAge)
	}
	for i, target := range in.Targets {
		age := time.Duration(0)
		if len(in.Ages) == len(in.Targets) {
			age = in.Ages[i]
		}
		c := board.Crash{Target: target, At: now.Add(-age)}
		if len(in.Variants) == len(in.Targets) {
			c.Variant = in.Variants[i]
		}
		if len(in.Took) == len(in.Targets) {
			c.Sent = c.At.Add(-in.Took[i])
		}
		received.Crashes = append(received.Crashes, c)
	}
	if g.expired(in.Fingerprint, received, now) {
		return
	}
	g.update(in.Fingerprint, func(row board.Refusal) (board.Refusal, bool) { return joined(in.Fingerprint, row, received) })
}

// joined returns the row with what another one holds.
func joined(key string, row, other board.Refusal) (_ board.Refusal, changed bool) {
	if !other.Cleared.IsZero() {
		row, changed = withClearing(row, other.Cleared)
	}
	for _, c := range other.Crashes {
		var added bool
		row, added = withCrash(key, row, c)
		changed = changed || added
	}
	return row, changed
}

// clockTolerance is the difference below which two times of an event are taken for the
// same: an age that is sent grows by the time in transit.
const clockTolerance = time.Second

// sizeOf estimates the encoded size of the row in bytes.
func sizeOf(refusal gossip.Refusal) int {
	const overhead, age = 12, 13
	size := len(refusal.Fingerprint) + overhead
	for _, id := range refusal.Targets {
		size += len(id) + 2 + age
	}
	return size
}
