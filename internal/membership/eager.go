package membership

import (
	"context"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/control/loop"
)

const (
	// eagerInterval is the least time between two rounds of extra exchanges, so that
	// one round covers a burst of changes.
	eagerInterval = 100 * time.Millisecond
	// eagerBudget is the size of an extra digest: versions and the most urgent rows,
	// no bulk repair.
	eagerBudget = 1 << 10
)

// runEager starts extra exchanges at once when the version of the configuration in
// force here has risen. Each instance does so once per change, so that a change
// reaches all instances within a few round trips instead of a few heartbeats.
func (m *Manager) runEager(ctx context.Context) {
	for {
		changed := m.o.Board.Self.Changed()
		requested := m.spreadNow.Wait()
		if m.syncConfigVersion() {
			m.spread(ctx)
			if !loop.Sleep(ctx, m.o.Clock, eagerInterval) {
				return
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-requested:
			m.spread(ctx)
			if !loop.Sleep(ctx, m.o.Clock, eagerInterval) {
				return
			}
		}
	}
}

// RequestExchanges starts extra exchanges at once, for urgent rows that should not
// wait for the next heartbeats. It does not block.
func (m *Manager) RequestExchanges() { m.spreadNow.Notify() }

// spread exchanges small digests with EagerFanout random partners at once.
func (m *Manager) spread(ctx context.Context) {
	ids := m.shuffled(m.alivePartners())
	var wg sync.WaitGroup
	for i, id := range ids {
		if i == m.o.EagerFanout {
			break
		}
		member, ok := m.view.get(id)
		if !ok {
			continue
		}
		wg.Go(func() { _, _ = m.exchange(ctx, id, member.PeerAddr, nil, min(eagerBudget, m.budget())) })
	}
	wg.Wait()
}
