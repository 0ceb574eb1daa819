package routesync

import (
	"context"
	"strings"
	"time"
)

// pendingDeletion is a deletion whose application is deferred.
//
// Entries expire while the store is unavailable although their targets are alive, and
// are written again within about two seconds of the store's recovery. An instance that
// applied the first list after the recovery at once would abort all its requests and
// have no target for new ones; the log would show targets_changed with all targets
// removed and added again shortly after route_store_regained. The grace period
// distinguishes targets whose entries come back from those that are gone.
type pendingDeletion struct {
	version  uint64        // store version of the deletion
	reported time.Duration // boot time of the report
	fromPeer bool          // the report was a peer's
}

// cancelDeletion cancels the pending deletion of the key if the answer is a list of the
// same or a later version, which contains the key.
func (t *targets) cancelDeletion(key string, a answer) {
	if d, pending := t.pending[key]; pending && a.complete && a.version >= d.version {
		delete(t.pending, key)
	}
}

// removeMissing removes the entries that are missing in a list. It returns whether any
// entry was missing.
func (m *Manager) removeMissing(listed map[string]bool, a answer, now time.Duration) bool {
	missing := false
	for key, e := range m.targets.entries {
		if !listed[key] && !e.object.Deleted && e.object.Version <= a.version {
			m.remove(key, a.version, a, now)
			missing = true
		}
	}
	return missing
}

// remove applies a deletion, or defers it during and shortly after an outage of the store.
func (m *Manager) remove(key string, version uint64, a answer, now time.Duration) {
	t := m.targets
	if old, found := t.entries[key]; !found || old.object.Deleted {
		t.setTombstone(key, version, now)
		return
	}
	d := pendingDeletion{version: version, reported: now, fromPeer: a.peer != ""}
	if m.health.mayApply(now) {
		t.setTombstone(key, version, now)
		return
	}
	if old, pending := t.pending[key]; pending {
		d = old.merge(d)
	} else {
		t.newlyDeferred = append(t.newlyDeferred, strings.TrimPrefix(key, TargetsPrefix))
	}
	t.pending[key] = d
}

// merge combines two reports of the same deletion. Repeated reports by peers do not
// defer it any further. A report by the store takes precedence over those by peers.
func (d pendingDeletion) merge(next pendingDeletion) pendingDeletion {
	next.version = max(d.version, next.version)
	if d.fromPeer && next.fromPeer {
		next.reported = d.reported
	}
	return next
}

// wakeDeletions wakes runPendingDeletions.
func (m *Manager) wakeDeletions() {
	select {
	case m.deletionsChanged <- struct{}{}:
	default:
	}
}

// runPendingDeletions applies pending deletions when they are due, until ctx ends.
func (m *Manager) runPendingDeletions(ctx context.Context) {
	for ctx.Err() == nil {
		timer := m.o.Clock.NewTimer(m.applyPendingDeletions())
		select {
		case <-ctx.Done():
		case <-m.deletionsChanged:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// maxDeletionWait is the longest time between two checks for pending deletions.
const maxDeletionWait = time.Minute

// applyPendingDeletions applies the pending deletions and ends the lost orders that are
// due, and returns the time until the next ones are.
//
// A deletion that the store reported stays pending while the store is unavailable
// again: the list after its recovery decides.
func (m *Manager) applyPendingDeletions() time.Duration {
	now := m.o.Boot.SinceBoot()
	wait := maxDeletionWait
	m.change(func() {
		if left := m.expireLostOrders(now); left > 0 {
			wait = left
		}
		removed := false
		for key, d := range m.targets.pending {
			at, ok := m.health.dueAt(d)
			switch {
			case !ok:
			case at <= now:
				m.targets.setTombstone(key, d.version, now)
				removed = true
			default:
				wait = min(wait, at-now)
			}
		}
		if removed {
			m.publishTargets("grace")
		}
	})
	return max(wait, time.Millisecond)
}
