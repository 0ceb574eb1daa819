package routesync

import (
	"time"

	"lynxhill.example/lynxhill/internal/event"
)

// maxGraces bounds, in grace periods, how long repeated failures defer the removal of
// targets. Otherwise dead targets would be kept forever if the store answered lists
// and refused every watch.
const maxGraces = 5

// logEvery is the shortest time between two log entries about the loss of the store,
// so that a store that fails every other call does not flood the log.
const logEvery = 10 * time.Second

// health is the state of the store as derived from the results of calls to it. Times
// are on the boot clock. It is guarded by Manager.mu.
type health struct {
	grace           time.Duration            // Options.RecoveryGrace
	failing         map[string]time.Duration // by prefix: since when its calls fail
	everFailed      bool                     // a call has failed, or the store was restored, since this process started
	lastDisturbance time.Duration            // newest failed call, end of a failure, or restore
	deferralStart   time.Duration            // start of the current series of failures, or end of its last outage that lasted for grace

	lossLogged       bool          // the loss was logged, and the store has not recovered since
	nextLossLog      time.Duration // no loss is logged before this time
	unloggedFailures int           // failures since the last logged loss
}

// stable reports whether there was no disturbance yet, or no calls fail and the grace
// period after the last disturbance is over.
func (h *health) stable(now time.Duration) bool {
	return !h.everFailed || len(h.failing) == 0 && now >= h.lastDisturbance+h.grace
}

// storeLossExpiry is the time after the last failed call from which the store no
// longer counts as lost. Without it, an instance that stops calling the store
// would report the loss forever, as no successful call could clear it.
const storeLossExpiry = 10 * time.Second

// storeLost reports whether calls are failing and the last failure has not expired.
func (h *health) storeLost(now time.Duration) bool {
	return len(h.failing) > 0 && now < h.lastDisturbance+storeLossExpiry
}

// recordFailure records a failed call and returns whether no calls were failing before.
func (h *health) recordFailure(prefix string, now time.Duration) (lost bool) {
	if h.stable(now) {
		h.deferralStart = now
	}
	lost = len(h.failing) == 0
	if _, failing := h.failing[prefix]; !failing {
		h.failing[prefix] = now
	}
	h.everFailed, h.lastDisturbance = true, now
	return lost
}

// recordAnswer records a successful call and returns whether it ends the last failure
// of all prefixes.
func (h *health) recordAnswer(prefix string, now time.Duration) (regained bool) {
	since, failing := h.failing[prefix]
	if !failing {
		return false
	}
	delete(h.failing, prefix)
	h.lastDisturbance = now
	if now-since >= h.grace {
		h.deferralStart = now
	}
	return len(h.failing) == 0
}

// deferUntil returns the time until which the removal of a target is deferred.
func (h *health) deferUntil() time.Duration {
	if !h.everFailed {
		return 0
	}
	return min(h.lastDisturbance+h.grace, h.deferralStart+maxGraces*h.grace)
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
		if m.health.recordAnswer(prefix, now) && m.health.lossLogged {
			m.health.lossLogged = false
			m.log(event.RouteStoreRegained, "prefix", prefix)
		}
	})
}
