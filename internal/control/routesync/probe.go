package routesync

import (
	"context"
	"errors"
	"time"

	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/store"
)

// runProbes probes the store while Options.Probes allows it and no list or watch has
// been answered for about Times.ProbeEvery. A pending watch looks the same whether
// nothing changes or the store's answers no longer arrive. After a failed probe,
// StoreLost makes other instances call the store in place of this one. If the probe
// got no answer at all, this instance lists again, since its watches may also wait on
// connections that no longer carry data.
func (m *Manager) runProbes(ctx context.Context) {
	for m.sleepUnanswered(ctx, m.rand.Jitter(m.o.Times().ProbeEvery, probeJitter)) {
		if m.Synced() && m.o.Probes(m.ConfirmedAge()) {
			m.probe(ctx)
		}
	}
}

// sleepUnanswered sleeps for d, and then until the store has not answered a list or
// watch for d. It returns false if ctx ends.
func (m *Manager) sleepUnanswered(ctx context.Context, d time.Duration) bool {
	for left := d; left > 0; left = d - m.sinceAnswer() {
		if !loop.Sleep(ctx, m.o.Clock, left) {
			return false
		}
	}
	return true
}

// sinceAnswer returns the time since the store last answered a list or watch.
func (m *Manager) sinceAnswer() time.Duration {
	return m.o.Boot.SinceBoot() - time.Duration(m.answeredAt.Load())
}

// probe reads ProbeKey once. An object that does not exist counts as an answer.
func (m *Manager) probe(ctx context.Context) {
	started := m.o.Boot.SinceBoot()
	call, cancel := loop.WithTimeout(ctx, m.o.Clock, m.o.Times().ProbeTimeout)
	defer cancel()
	_, err := m.o.Store.Get(store.AllowStale(call), m.o.ProbeKey)
	if err == nil || errors.Is(err, store.ErrNotFound) {
		m.probeFailedAt.Store(0)
		return
	}
	if ctx.Err() != nil || time.Duration(m.answeredAt.Load()) > started {
		return // the store answered another call in the meantime
	}
	now := m.o.Boot.SinceBoot()
	lost := m.probeFailed(now)
	m.probeFailedAt.Store(max(int64(now), 1))
	if lost {
		return
	}
	m.o.Logger.Log(event.RouteStoreSilent, "err", err)
	if call.Err() != nil {
		m.Refresh()
		return
	}
	m.o.RequestExchanges()
}

// probeFailed reports whether the newest probe failed and the failure has not expired.
func (m *Manager) probeFailed(now time.Duration) bool {
	failedAt := m.probeFailedAt.Load()
	return failedAt != 0 && now < time.Duration(failedAt)+storeLossExpiry
}
