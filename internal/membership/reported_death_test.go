package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/gossip"
)

// Guards against members that are verified and declared dead as soon as a long split
// heals, without time to refute the suspicion. A suspicion that results from a reported
// death took over the age of the death.
func TestReportedDeathStartsNewSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newManagerWithMembers(8)
		now := m.o.Clock.Now()
		m.view.merge([]gossip.Member{{ID: "i003", State: string(board.MemberDead), DeadFor: time.Hour, Left: true, KnownInstances: 2}}, now)
		row, _ := m.view.get("i003")
		if row.State != string(board.MemberSuspect) || row.Left || row.KnownInstances != 0 {
			t.Errorf("merged as %+v", row)
		}
		if n := len(m.expiredSuspects(now.Add(m.o.SuspectAfter / 2))); n != 0 {
			t.Error("the suspicion expired early")
		}
		if n := len(m.expiredSuspects(now.Add(m.o.SuspectAfter))); n != 1 {
			t.Error("the suspicion did not expire")
		}
	})
}
