package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/gossip"
)

// Symptom: when a long split healed, members were tried and declared dead at
// once, without the time to reassert themselves. Cause: a suspicion made of the
// word of a death was as old as the death.
func TestSuspicionByHearsayStartsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := managerOf(8)
		now := m.o.Clock.Now()
		m.view.merge([]gossip.Member{{ID: "i003", State: string(board.MemberDead), DeadFor: time.Hour, Left: true, Fleet: 2}}, now)
		row, _ := m.view.get("i003")
		if row.State != string(board.MemberSuspect) || row.Left || row.Fleet != 0 {
			t.Errorf("taken as %+v", row)
		}
		if n := len(m.expired(now.Add(m.o.SuspectAfter / 2))); n != 0 {
			t.Error("the suspicion is over before its time")
		}
		if n := len(m.expired(now.Add(m.o.SuspectAfter))); n != 1 {
			t.Error("the suspicion does not end")
		}
	})
}
