package membership_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/membership"
	"lynxhill.example/lynxhill/internal/wire/platformapi"
)

func (l *list) remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.entries, id)
}

// crashAndUnlist crashes an instance whose list entry then expires.
func (f *fleet) crashAndUnlist(i int) {
	f.crash(i)
	f.list.remove(f.instances[i].id)
}

// countKnowing returns how many of the observers have a row of the instance.
func (f *fleet) countKnowing(observers []int, i int) int {
	count := 0
	for _, o := range observers {
		if _, ok := f.instances[o].board.Members.Get(f.instances[i].id); ok {
			count++
		}
	}
	return count
}

func (f *fleet) add() int {
	i := len(f.instances)
	f.instances = append(f.instances, &instance{id: fmt.Sprintf("lynxhill-%03d", i), addr: fmt.Sprintf("10.0.%d.%d:7300", i/250, i%250)})
	f.start(i)
	return i
}

// Guards against dead members that are removed too early, which leads to the failure
// in TestNoChangeIsAcceptedWhileALostMajorityServes of package profilesync. Instances
// that crashed are kept for 90 minutes, also by instances that never knew them, and
// not longer because each new instance learns of them later.
func TestDeadMembersAreKeptForNinetyMinutes(t *testing.T) {
	withFleet(t, 8, membership.Options{}, func(f *fleet) {
		f.instances[6].manager.Leave(context.Background())
		time.Sleep(2 * time.Second)
		f.crashAndUnlist(6)
		f.crashAndUnlist(7)
		time.Sleep(20 * time.Minute)
		if n := f.countKnowing(upTo(6), 6); n != 0 {
			f.t.Errorf("%d still have a member that announced its leaving 20 min ago", n)
		}
		f.add()
		time.Sleep(65 * time.Minute)
		f.add()
		live := append(upTo(6), 8, 9)
		time.Sleep(time.Minute)
		if n := f.countKnowing(append(upTo(6), 8), 7); n != 7 {
			f.t.Errorf("%d of 7 have the dead member after 86 min", n)
		}
		if m, _ := f.instances[8].board.Members.Get(f.instances[7].id); m.KnownInstances != 7 || m.State != board.MemberDead {
			f.t.Errorf("the new instance has %+v", m)
		}
		time.Sleep(7 * time.Minute)
		if n := f.countKnowing(live, 7); n != 0 {
			f.t.Errorf("%d have the dead member after 93 min", n)
		}
	})
}

func TestOperatorDeclaresADeadInstanceGone(t *testing.T) {
	withFleet(t, 4, membership.Options{}, func(f *fleet) {
		f.crash(3)
		time.Sleep(3 * time.Minute)
		f.list.mu.Lock()
		entry := f.list.entries[f.instances[3].id]
		entry.State = platformapi.StateLeaving
		f.list.entries[entry.ID] = entry
		f.list.mu.Unlock()
		time.Sleep(time.Minute)
		for _, n := range f.instances[:3] {
			if m, _ := n.board.Members.Get(entry.ID); !m.Left {
				f.t.Errorf("%s does not regard it as having left: %+v", n.id, m)
			}
		}
	})
}

// TestBytesOfFrequentDeaths replaces an instance every four minutes by one with another
// id, as with 370 restarts a day, and logs the number of rows kept and the bytes sent.
func TestBytesOfFrequentDeaths(t *testing.T) {
	const n = 8
	for _, keep := range []time.Duration{10 * time.Minute, 90 * time.Minute} {
		t.Run(keep.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, n, membership.Options{KeepDead: keep})
				defer f.stop()
				f.until(time.Minute, "all see all", func() bool { return f.agree(upTo(n)) })
				const warm, span = 25, 10
				before := 0
				for i := range warm + span {
					if i == warm {
						_, before = f.total()
					}
					f.crashAndUnlist(i)
					f.add()
					time.Sleep(4 * time.Minute)
				}
				_, after := f.total()
				last := f.instances[len(f.instances)-1].board.Members.Snapshot()
				perSecond := float64(after-before) / (span * 4 * 60) / n
				t.Logf("kept for %v: %d dead rows at the newest instance, %.0f B/s per instance", keep, len(last)-n, perSecond)
				if len(last)-n > int(keep/(4*time.Minute))+2 {
					t.Error("more dead rows than deaths in the period")
				}
			})
		})
	}
}
