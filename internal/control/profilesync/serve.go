package profilesync

import (
	"context"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/event"
)

// MayServe reports whether new work may be taken now. Unlike the row on the
// board it also sees a pause that ended this moment; admission may ask it for
// each request.
func (m *Manager) MayServe() bool {
	m.look(false)
	isolated, unconfirmed := m.fence.flags()
	return !isolated && !unconfirmed
}

// MayDispatch reports whether work that was admitted may be sent to targets: not
// after a pause until the configuration is confirmed. Isolation ends nothing
// that was admitted.
func (m *Manager) MayDispatch() bool {
	m.look(false)
	_, unconfirmed := m.fence.flags()
	return !unconfirmed
}

func (m *Manager) look(tick bool) {
	woke, changed := m.fence.look(m.o.Boot.SinceBoot(), tick)
	if woke > 0 {
		m.o.Logger.Log(event.ConfigPaused, "gap", woke)
	}
	if changed {
		m.publishSelf()
	}
}

// refuses is 1 while no new work is taken, else 0.
func (m *Manager) refuses() int {
	if m.MayServe() {
		return 0
	}
	return 1
}

// publishSelf writes the flags to the board.
func (m *Manager) publishSelf() {
	isolated, unconfirmed := m.fence.flags()
	changed := m.o.Board.Self.Update(board.SelfRow, func(self board.Self, _ bool) (board.Self, bool) {
		if self.Isolated == isolated && self.Unconfirmed == unconfirmed {
			return self, false
		}
		self.Isolated, self.Unconfirmed = isolated, unconfirmed
		return self, true
	})
	if !changed {
		return
	}
	m.o.Logger.Log(event.ConfigState, "isolated", isolated, "unconfirmed", unconfirmed)
}

// runFence checks periodically.
func (m *Manager) runFence(ctx context.Context) {
	for {
		m.fence.learn(m.o.Board.Members.Snapshot(), m.o.Boot.SinceBoot())
		m.look(true)
		m.publishSelf()
		if !loop.Sleep(ctx, m.o.Clock, fenceEvery) {
			return
		}
	}
}
