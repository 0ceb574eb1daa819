package routesync

import (
	"fmt"
	"time"
)

// Times are the intervals and timeouts that determine how soon an instance learns of a
// change and when it regards its state as stale. They are derived from the time within
// which a change has to be in force; Check verifies that they add up to no more.
type Times struct {
	// Change is the time within which a change has to be in force. Routes whose
	// newest confirmation by the store is younger contain every change that has to
	// be in force.
	Change time.Duration
	// WatchWait is the time for which a watch waits for a change. WatchLimit is the
	// further time without an answer after which its connection counts as silent.
	WatchWait, WatchLimit time.Duration
	// ProbeEvery is the time between two probes of the store, ProbeTimeout the
	// timeout of a probe.
	ProbeEvery, ProbeTimeout time.Duration
	// Propagation is the time allowed for the propagation of a change, by digests, from
	// the instances that watch the store to all others.
	Propagation time.Duration
}

// Shares of Times.Change.
const (
	waitShare         = 0.75
	limitShare        = 0.15
	probeShare        = 0.3
	probeTimeoutShare = 0.2
	propagationShare  = 0.25
)

const (
	// outOfContactShare bounds the wait of a watch, as a share of the time after which
	// an instance counts as out of contact. A store that discards its history may not
	// send pending watches the changes made in the meantime; only a new watch, begun
	// after the wait of the old one has ended, returns them.
	outOfContactShare = 0.8
	maxProbeEvery     = time.Second
	maxProbeTimeout   = 800 * time.Millisecond
	// listTime is the assumed duration of a list on a new connection.
	listTime = 100 * time.Millisecond
	// probeJitter is the jitter of the time between probes, as a share.
	probeJitter = 0.1
)

// TimesOf returns the times of a fleet whose changes have to be in force within change,
// and whose instances count as out of contact after outOfContact.
func TimesOf(change, outOfContact time.Duration) Times {
	return Times{
		Change:       change,
		WatchWait:    min(share(waitShare, change), share(outOfContactShare, outOfContact)),
		WatchLimit:   share(limitShare, change),
		ProbeEvery:   min(share(probeShare, change), maxProbeEvery),
		ProbeTimeout: min(share(probeTimeoutShare, change), maxProbeTimeout),
		Propagation:  share(propagationShare, change),
	}
}

func share(part float64, of time.Duration) time.Duration { return time.Duration(part * float64(of)) }

// Overdue returns the age from which an answer of the store is overdue: a watch without
// a change should have been answered, within its limit, at a lower age.
func (t Times) Overdue() time.Duration { return t.WatchWait + t.WatchLimit }

// EscalateAfter returns the age from which more instances call the store. By then the
// instances that watch have had the time to find their watch silent and to list again.
func (t Times) EscalateAfter() time.Duration { return t.Overdue() + callTimeout }

// Check returns an error if a change may take longer than Change to be in force when
// open connections go silent while the store and the peers answer on new ones.
func (t Times) Check() error {
	sums := []struct {
		what string
		sum  time.Duration
	}{
		{"a watch on a silent connection, and the list after it", t.Overdue() + listTime},
		{"a probe on a silent connection, the list after it, and its way to the others",
			share(1+probeJitter, t.ProbeEvery) + t.ProbeTimeout + listTime + t.Propagation},
		{"a quiet watch, and its word's way to the others", t.WatchWait + t.Propagation},
	}
	for _, s := range sums {
		if s.sum > t.Change {
			return fmt.Errorf("%s take %v, but a change has to be in force within %v", s.what, s.sum, t.Change)
		}
	}
	return nil
}
