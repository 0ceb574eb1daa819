package crashguard

import (
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/board"
)

// maxCrashes bounds the crashes of a row. The limits are smaller, so more would not
// change a decision.
const maxCrashes = 8

// counted returns the crashes of a row that count at the given time: those after it was
// last cleared, as long as the newest is recent enough, by the policy of the key.
func (g *Guard) counted(key string, row board.Refusal, now time.Time) []board.Crash {
	crashes := row.Crashes
	for len(crashes) > 0 && !crashes[0].At.After(row.Cleared) {
		crashes = crashes[1:]
	}
	p := g.policyOf(key)
	crashes = inSequence(crashes)
	if len(crashes) >= p.limit && countVariants(crashes) < p.variants {
		crashes = crashes[len(crashes)-p.limit+1:]
	}
	retention := g.opts.TTL
	if len(crashes) >= p.limit {
		retention = g.opts.Retention
	}
	if len(crashes) == 0 || !now.Before(crashes[len(crashes)-1].At.Add(retention)) {
		return nil
	}
	return crashes
}

// inSequence returns the most crashes of which each had its request sent after the one
// before, or at a time that is not known. Targets that crash together for another reason
// count once.
func inSequence(crashes []board.Crash) (chain []board.Crash) {
	for _, c := range crashes {
		if len(chain) == 0 || c.Sent.IsZero() || !c.Sent.Before(chain[len(chain)-1].At) {
			chain = append(chain, c)
		}
	}
	return chain
}

func countVariants(crashes []board.Crash) int {
	seen := make(map[uint32]bool, len(crashes))
	for _, c := range crashes {
		seen[c.Variant] = true
	}
	return len(seen)
}

// expired reports whether the row holds nothing that is needed: no crash counts, and
// other instances no longer have crashes that were cleared.
func (g *Guard) expired(key string, row board.Refusal, now time.Time) bool {
	return len(g.counted(key, row, now)) == 0 && !now.Before(row.Cleared.Add(g.opts.TTL))
}

// withCrash returns the row with one more crash, sorted by time. added is false if the
// row has that target already, or was cleared since. A row of requests has each variant
// once.
func withCrash(key string, row board.Refusal, c board.Crash) (_ board.Refusal, added bool) {
	known := func(have board.Crash) bool {
		return have.Target == c.Target || c.Variant != 0 && have.Variant == c.Variant && kindOf(key) == kindRequest
	}
	if slices.ContainsFunc(row.Crashes, known) || !c.At.After(row.Cleared) {
		return row, false
	}
	at, _ := slices.BinarySearchFunc(row.Crashes, c, func(a, b board.Crash) int { return a.At.Compare(b.At) })
	row.Crashes = slices.Insert(slices.Clone(row.Crashes), at, c)
	if extra := len(row.Crashes) - maxCrashes; extra > 0 {
		row.Crashes = row.Crashes[extra:]
	}
	return row, true
}

// withClearing returns the row without the crashes up to the time at which the request
// was answered. changed is false if it had none and was cleared at about that time.
func withClearing(row board.Refusal, at time.Time) (_ board.Refusal, changed bool) {
	if !at.After(row.Cleared) {
		return row, false
	}
	left := slices.DeleteFunc(slices.Clone(row.Crashes), func(c board.Crash) bool { return !c.At.After(at) })
	if len(left) == len(row.Crashes) && at.Sub(row.Cleared) < clockTolerance {
		return row, false
	}
	row.Cleared, row.Crashes = at, left
	return row, true
}
