package crashguard

import (
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/board"
)

// maxCrashes bounds the crashes of a row. The limits are smaller, so more would not
// change a decision.
const maxCrashes = 8

// counted returns the crashes of the row that count at the given time: those after it was
// last cleared, as long as the newest is recent enough.
func (g *Guard) counted(row board.Refusal, now time.Time) []board.Crash {
	crashes := row.Crashes
	for len(crashes) > 0 && !crashes[0].At.After(row.Cleared) {
		crashes = crashes[1:]
	}
	if len(crashes) == 0 || !now.Before(crashes[len(crashes)-1].At.Add(g.retention(len(crashes)))) {
		return nil
	}
	return crashes
}

// retention returns how long crashes count after the newest of them.
func (g *Guard) retention(crashes int) time.Duration {
	if crashes >= g.opts.Limit {
		return g.opts.Retention
	}
	return g.opts.TTL
}

// expired reports whether the row holds nothing that is needed: no crash counts, and
// other instances no longer have crashes that were cleared.
func (g *Guard) expired(row board.Refusal, now time.Time) bool {
	return len(g.counted(row, now)) == 0 && !now.Before(row.Cleared.Add(g.opts.TTL))
}

// withCrash returns the row with one more crash, sorted by time. added is false if the
// row has that target or that variant already, or was cleared since.
func withCrash(row board.Refusal, c board.Crash) (_ board.Refusal, added bool) {
	known := func(have board.Crash) bool {
		return have.Target == c.Target || c.Variant != 0 && have.Variant == c.Variant
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
// was answered.
func withClearing(row board.Refusal, at time.Time) (_ board.Refusal, changed bool) {
	if !at.After(row.Cleared) {
		return row, false
	}
	row.Cleared = at
	row.Crashes = slices.DeleteFunc(slices.Clone(row.Crashes), func(c board.Crash) bool { return !c.At.After(at) })
	return row, true
}
