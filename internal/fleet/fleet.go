// Package fleet holds the targets of plain HTTP requests as the platform lists them, in
// an immutable View. It performs no I/O and reads no clock.
package fleet

import (
	"strconv"
	"strings"
	"time"
)

// Target is one running server of a service.
type Target struct {
	ID       string // of this run, unless it states its start: then a restarted server may have the same
	Service  string
	Build    string // version of its software, not of its weights; "" = not stated, which counts as a version of its own
	Address  string // IP:port
	Zone     string
	Slots    int
	Draining bool // accepts no new work: it is leaving, or its availability zone is evacuated
	// Sequence counts the updates that the target itself wrote to the store; 0 = it does
	// not report it.
	Sequence uint64
	// ColdFor is the remaining cold period that the target reported; 0 = it is not cold,
	// or ColdUntil is set.
	ColdFor time.Duration
	// ColdUntil is the end of the cold period, in which the target should get less load;
	// zero = it was not cold.
	ColdUntil time.Time
	// Started is when the target started, by the platform's clock in Unix milliseconds;
	// 0 = not stated.
	Started int64
}

// Succeeds reports whether the target is a later start of a target with the same ID. If
// one of them states no start, starts are told apart by ID alone.
func (t Target) Succeeds(earlier Target) bool {
	return t.ID == earlier.ID && earlier.Started != 0 && t.Started > earlier.Started
}

// Precedes reports whether the target is an earlier start of a target with the same ID.
func (t Target) Precedes(later Target) bool { return t.Started != 0 && later.Succeeds(t) }

// Run returns the name of this start of the target: its ID and, if it states it, its
// start.
func (t Target) Run() string { return RunOf(t.ID, t.Started) }

// RunOf returns Target.Run of a target with the ID and start.
func RunOf(id string, started int64) string {
	if started == 0 {
		return id
	}
	return id + runSeparator + strconv.FormatInt(started, 10)
}

// runSeparator stands between the ID and the start in Target.Run.
const runSeparator = "@"

// IDOfRun returns the ID of the target of which run is Target.Run. An ID that ends like the
// name of a start, of a target that states none, can only be told by a view (View.Run).
func IDOfRun(run string) string {
	at := strings.LastIndex(run, runSeparator)
	if at < 0 {
		return run
	}
	if _, err := strconv.ParseInt(run[at+1:], 10, 64); err != nil {
		return run
	}
	return run[:at]
}

// Cold reports whether the target is in its cold period at the given time.
func (t Target) Cold(now time.Time) bool { return now.Before(t.ColdUntil) }

// Notice is what a target announces in a response to those who send it requests.
type Notice struct {
	Leaving bool // it is leaving and accepts no new work
	// Limit is the request rate, per second, that the target accepts from all instances
	// together; nil = it names no limit.
	Limit *float64
	// Pause is how long a target that rejected the request accepts nothing more from
	// this instance; 0 = it does not say.
	Pause time.Duration
	// From is the id of the responding target, if it names one. Another id than that of
	// the intended target shows that its address has been reassigned. "" = not named.
	From string
	// Unreadable is the part of the notice that could not be parsed; "" = none.
	Unreadable string
}
