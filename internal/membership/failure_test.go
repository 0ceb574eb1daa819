package membership_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/membership"
)

// withFleet starts n instances, waits until they agree and calls run.
func withFleet(t *testing.T, n int, o membership.Options, run func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, n, o)
		defer f.stop()
		f.until(time.Minute, "all see all", func() bool { return f.agree(upTo(n)) })
		run(f)
	})
}

func TestCrashedInstanceIsDeadWithinSeconds(t *testing.T) {
	withFleet(t, 8, membership.Options{}, func(f *fleet) {
		f.crash(7)
		took := f.until(20*time.Second, "all detect the crash", func() bool { return f.agree(upTo(7)) })
		t.Logf("detected by all after %v", took)
	})
}

func TestLeavingIsKnownAtOnce(t *testing.T) {
	withFleet(t, 8, membership.Options{}, func(f *fleet) {
		f.instances[7].manager.Leave(context.Background())
		took := f.until(5*time.Second, "all know that it leaves", func() bool {
			for _, n := range f.instances[:7] {
				if m, _ := n.board.Members.Get(f.instances[7].id); m.State != board.MemberLeaving {
					return false
				}
			}
			return true
		})
		t.Logf("known to all after %v", took)
	})
}

// Guards against an instance that is removed from address responses though it serves
// requests all the time. Packets of one other instance to it are lost, in one direction,
// and the failure of a single path is mistaken for a failure of the instance.
func TestOneWayLossBetweenTwoKeepsBothAlive(t *testing.T) {
	withFleet(t, 8, membership.Options{}, func(f *fleet) {
		f.net.Block(f.instances[0].addr, f.instances[1].addr)
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			if !f.agree(upTo(8)) {
				f.t.Fatal("an instance is not seen alive by all")
			}
		}
	})
}

// Guards against two halves of a fleet that never reconnect after a network split. Each
// half declared the other dead and stopped contacting it. Dead members have to be
// contacted, and then the reports of each half that the other is dead must not prevail.
func TestSplitFleetHeals(t *testing.T) {
	shapes := []struct {
		name  string
		n     int
		parts [][]int
		lasts time.Duration
		list  bool // the instance list is unavailable as well
	}{
		{"one of three, a minute", 3, [][]int{{0}, {1, 2}}, time.Minute, false},
		{"halves, an hour, no list", 8, [][]int{{0, 1, 2, 3}, {4, 5, 6, 7}}, time.Hour, true},
		{"four parts, an hour, no list", 8, [][]int{{0, 1}, {2, 3}, {4, 5}, {6, 7}}, time.Hour, true},
		{"all apart, an hour, no list", 8, [][]int{{0}, {1}, {2}, {3}, {4}, {5}, {6}, {7}}, time.Hour, true},
	}
	for _, s := range shapes {
		t.Run(s.name, func(t *testing.T) {
			withFleet(t, s.n, membership.Options{}, func(f *fleet) {
				f.list.setDown(s.list)
				f.split(s.parts)
				time.Sleep(s.lasts)
				if f.agree(upTo(s.n)) {
					f.t.Fatal("the split was not detected")
				}
				f.net.Heal()
				took := f.until(2*time.Minute, "all see all again", func() bool { return f.agree(upTo(s.n)) })
				t.Logf("healed after %v", took)
			})
		})
	}
}

func (l *list) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (f *fleet) split(parts [][]int) {
	for i, a := range parts {
		for _, b := range parts[i+1:] {
			f.net.Split(f.addrs(a), f.addrs(b))
		}
	}
}

func TestAllRestartedAtOnceFindEachOther(t *testing.T) {
	withFleet(t, 8, membership.Options{}, func(f *fleet) {
		for i := range f.instances {
			f.crash(i)
		}
		time.Sleep(3 * time.Second)
		for i := range f.instances {
			f.start(i)
		}
		var m board.Member
		f.until(15*time.Second, "all see all", func() bool {
			m, _ = f.instances[0].board.Members.Get(f.instances[1].id)
			return f.agree(upTo(8)) && m.Incarnation > 0
		})
		if want := uint64(f.clock.Now().Add(-20 * time.Second).UnixMilli()); m.Incarnation < want {
			t.Errorf("incarnation %d is of the earlier run", m.Incarnation)
		}
	})
}

func TestPausedInstanceComesBack(t *testing.T) {
	withFleet(t, 8, membership.Options{}, func(f *fleet) {
		f.net.Pause(f.instances[5].addr)
		f.until(20*time.Second, "the others consider the paused instance dead", func() bool {
			return f.alive(0, []int{5}) == 0 && f.alive(7, []int{5}) == 0
		})
		time.Sleep(10 * time.Minute)
		f.net.Resume(f.instances[5].addr)
		took := f.until(time.Minute, "all see all", func() bool { return f.agree(upTo(8)) })
		t.Logf("back after %v", took)
	})
}
