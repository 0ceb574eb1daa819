package routesync

import (
	"time"

	"lynxhill.example/lynxhill/internal/event"
)

// logEvery is the shortest time between two log entries about the loss of the store,
// so that a store that fails every other call does not flood the log.
const logEvery = 10 * time.Second

// minOutage is the time without an answer of the store from which on entries of targets
// that are alive may have lapsed: a target's entry expires after three heartbeats, one of
// which may lie before the outage.
const minOutage = 2 * time.Second

// health is the state of the store as derived from the results of calls to it, and from
// the ages of its answers that peers report. Times are on the boot clock. It is guarded by
// Manager.mu.
//
// A failed call does not make an outage: the connection, this instance or its way to the
// store may be at fault while the store answers others and targets reach it. Removals of
// targets are deferred only if nobody is known to have had an answer for longer than
// minOutage. If a single failure deferred them, an instance that is busy, or whose watch
// is cut, would send requests to targets that have left.
type health struct {
	grace       time.Duration            // Options.RecoveryGrace
	failing     map[string]time.Duration // by prefix: since when its calls fail
	lastFailure time.Duration            // newest failed call
	answered    time.Duration            // when the newest known answer, of this instance or a peer, was current; 0 = there was none
	outages     int                      // number of outages, and restores of the store, that ended
	outageEnd   time.Duration            // when this instance learned of the end of the last one

	lossLogged       bool          // the loss was logged, and the store has not recovered since
	nextLossLog      time.Duration // no loss is logged before this time
	unloggedFailures int           // failures since the last logged loss
}

// storeLossExpiry is the time after the last failed call from which the store no
// longer counts as lost. Without it, an instance that stops calling the store
// would report the loss forever, as no successful call could clear it.
const storeLossExpiry = 10 * time.Second

// storeLost reports whether calls are failing and the last failure has not expired.
func (h *health) storeLost(now time.Duration) bool {
	return len(h.failing) > 0 && now < h.lastFailure+storeLossExpiry
}

// recordFailure records a failed call and returns whether no calls were failing before.
func (h *health) recordFailure(prefix string, now time.Duration) (lost bool) {
	lost = len(h.failing) == 0
	if _, failing := h.failing[prefix]; !failing {
		h.failing[prefix] = now
	}
	h.lastFailure = now
	return lost
}

// recordAnswer records a successful call and returns whether it ends the last failure
// of all prefixes.
func (h *health) recordAnswer(prefix string) (regained bool) {
	_, failing := h.failing[prefix]
	delete(h.failing, prefix)
	return failing && len(h.failing) == 0
}

// recordContact records that this instance or a peer has an answer of the store that was
// current at the given time. longest is the longest time between two answers that are known
// here while no call fails.
func (h *health) recordContact(at, now, longest time.Duration) {
	at = max(at, 1)
	if at <= h.answered {
		return
	}
	if since := now - h.answered; h.answered > 0 && (since > longest || h.unanswered() && since > minOutage) {
		h.outages++
		h.outageEnd = now
	}
	h.answered = at
}

// unanswered reports whether a call has failed since the newest known answer of the store.
func (h *health) unanswered() bool { return h.lastFailure > h.answered }

// inOutage reports whether the store gives no answers for so long that entries may lapse.
func (h *health) inOutage(now time.Duration) bool {
	return h.unanswered() && now-h.answered > minOutage
}

// mayApply reports whether a deletion that is reported now may be applied at once.
func (h *health) mayApply(now time.Duration) bool {
	return !h.inOutage(now) && (h.outages == 0 || now >= h.outageEnd+h.grace)
}

// dueAt returns when a deferred deletion is applied. ok is false while the store has to
// answer first: the list after an outage decides.
func (h *health) dueAt(d pendingDeletion) (at time.Duration, ok bool) {
	switch {
	case !h.unanswered():
		return h.outageEnd + h.grace, true
	case d.fromPeer:
		return d.reported + h.grace, true
	default:
		return 0, false
	}
}

// StoreLost reports whether this instance's calls to the store, or its probes of it,
// are failing.
func (m *Manager) StoreLost() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.o.Boot.SinceBoot()
	return m.health.storeLost(now) || m.probeFailed(now)
}

// storeCallFailed records a failed call to the store. On the first failure, or while
// not everything is known, it requests extra gossip exchanges.
func (m *Manager) storeCallFailed(prefix string, err error) {
	now := m.o.Boot.SinceBoot()
	lost, known := false, false
	m.change(func() {
		lost = m.health.recordFailure(prefix, now)
		known = m.syncedLocked()
		m.reportLoss(prefix, err, now)
	})
	if lost || !known {
		m.o.RequestExchanges()
	}
}

// reportLoss logs the loss of the store once, and at most every logEvery. The caller
// holds mu.
func (m *Manager) reportLoss(prefix string, err error, now time.Duration) {
	h := &m.health
	if h.lossLogged || now < h.nextLossLog {
		h.unloggedFailures++
		return
	}
	m.log(event.RouteStoreLost, "prefix", prefix, "err", err, "unreported", h.unloggedFailures)
	h.lossLogged, h.nextLossLog, h.unloggedFailures = true, now+logEvery, 0
}

// storeAnswered records an answer of the store that was current at the given boot
// time.
func (m *Manager) storeAnswered(prefix string, at time.Duration) {
	now := m.o.Boot.SinceBoot()
	m.answeredAt.Store(int64(now))
	m.change(func() {
		m.confirmed.confirm(prefix, at, fromStore)
		m.recordContact(at)
		if m.health.recordAnswer(prefix) && m.health.lossLogged {
			m.health.lossLogged = false
			m.log(event.RouteStoreRegained, "prefix", prefix)
		}
	})
}

// recordContact records that this instance or a peer has an answer of the store that was
// current at the given boot time. The caller holds mu.
func (m *Manager) recordContact(at time.Duration) {
	m.health.recordContact(at, m.o.Boot.SinceBoot(), m.o.Times().EscalateAfter())
	if len(m.targets.pending) > 0 {
		m.wakeDeletions()
	}
}
