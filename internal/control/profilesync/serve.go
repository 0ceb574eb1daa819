package profilesync

import (
	"context"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/event"
)

// MayServe reports whether new work may be accepted now. Unlike the row on the
// board, it also detects a pause that has just ended. Admission calls it for each
// request.
func (m *Manager) MayServe() bool {
	m.evaluateFence(false)
	isolated, unconfirmed := m.fence.flags()
	return !isolated && !unconfirmed
}

// MayDispatch reports whether admitted work may be sent to targets. It may not
// after a pause until the configuration is confirmed. Isolation does not stop
// work that was admitted.
func (m *Manager) MayDispatch() bool {
	m.evaluateFence(false)
	_, unconfirmed := m.fence.flags()
	return !unconfirmed
}

func (m *Manager) evaluateFence(tick bool) {
	woke, changed := m.fence.evaluate(m.o.Boot.SinceBoot(), tick)
	if woke > 0 {
		m.o.Logger.Log(event.ConfigPaused, "gap", woke)
	}
	if changed {
		m.publishSelf()
	}
}

// refuses returns 1 while no new work is accepted, else 0.
func (m *Manager) refuses() int {
	if m.MayServe() {
		return 0
	}
	return 1
}

// publishSelf writes the isolated and unconfirmed flags to the board.
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

// runFence updates the members and evaluates the fence every fenceInterval.
func (m *Manager) runFence(ctx context.Context) {
	for {
		m.fence.updateMembers(m.o.Board.Members.Snapshot(), m.o.Boot.SinceBoot())
		m.evaluateFence(true)
		m.publishSelf()
		if !loop.Sleep(ctx, m.o.Clock, fenceInterval) {
			return
		}
	}
}
