package membership

import (
	"context"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/control/loop"
)

const (
	// eagerGap is the least time between two rounds of extra exchanges, so
	// that a burst of changes goes out in one.
	eagerGap = 100 * time.Millisecond
	// eagerBudget is the size of an extra digest: versions and the most
	// urgent rows, no bulk.
	eagerBudget = 1 << 10
)

// runEager starts extra exchanges at once when the configuration in force here
// has risen. Each instance does so once a change, so a change reaches all in a
// few round trips instead of a few heartbeats.
func (m *Manager) runEager(ctx context.Context) {
	for {
		changed := m.o.Board.Self.Changed()
		hurried := m.hurry.Wait()
		if m.syncMark() {
			m.spread(ctx)
			if !loop.Sleep(ctx, m.o.Clock, eagerGap) {
				return
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-hurried:
			m.spread(ctx)
			if !loop.Sleep(ctx, m.o.Clock, eagerGap) {
				return
			}
		}
	}
}

// Hurry starts extra exchanges at once, since a controller has rows that should
// not wait for heartbeats. It does not block.
func (m *Manager) Hurry() { m.hurry.Notify() }

// spread exchanges small digests with a few members at once.
func (m *Manager) spread(ctx context.Context) {
	ids := m.shuffled(m.view.ids(board.MemberAlive))
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
