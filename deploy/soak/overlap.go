package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

// nameOverlap is the promise that a request goes on at another server only if the one
// before works on it no more.
const nameOverlap = "overlap"

// overlapTime is how long the server before may go on.
const overlapTime = 400 * time.Millisecond

// overlaps returns the requests that two servers worked on for longer than overlapTime.
func overlaps(runs []emulator.Run) (found []emulator.Violation) {
	latest := make(map[string]emulator.Run) // by attempt
	for _, run := range runs {              // in the order in which they began
		before, again := latest[run.Attempt]
		if again && givenUpAtOnce(before, run) {
			continue
		}
		if again && before.Server != run.Server {
			if both := before.Ended.Sub(run.Began); before.Ended.IsZero() || both > overlapTime {
				found = append(found, emulator.Violation{
					Name: nameOverlap, Attempt: run.Attempt,
					Detail: fmt.Sprintf("run %s went on for %v after run %s began", before.ID, both.Round(time.Millisecond), run.ID),
				})
			}
		}
		latest[run.Attempt] = run
	}
	return found
}

// givenUpAtOnce reports whether the run that began later is of an earlier attempt, which had
// been given up as it began: its server was told to stop soon after the other run began.
func givenUpAtOnce(before, run emulator.Run) bool {
	return run.Outcome == emulator.Dropped && !run.Ended.IsZero() && run.Ended.Sub(before.Began) <= overlapTime
}

// addHistory adds what servers saw of an attempt.
func (r *result) addHistory(journal *emulator.Journal, a emulator.Attempt, zero time.Time) {
	parts := []string{fmt.Sprintf("history: %s %s sent %.4f..%.4f answered %d", a.ID, a.Ask.Path, a.Sent.Sub(zero).Seconds(), a.Ended.Sub(zero).Seconds(), a.Status)}
	for _, arrival := range journal.History(a.ID) {
		parts = append(parts, journal.Describe(arrival, zero))
	}
	if line := strings.Join(parts, " "); !slices.Contains(r.histories, line) {
		r.histories = append(r.histories, line)
	}
}
