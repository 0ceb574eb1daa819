package profilesync_test

import (
	"fmt"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// listLost removes instances from the platform's list, as happens to those that
// do not refresh their entries.
func (f *fleet) listLost(part []int) {
	for _, i := range part {
		f.store.RemoveInstance(f.nodes[i].id)
	}
}

// grow starts n more instances that cannot reach the lost ones.
func (f *fleet) grow(n int, lost []int) {
	for range n {
		i := len(f.nodes)
		f.nodes = append(f.nodes, &node{id: fmt.Sprintf("lynxhill-%03d", i), addr: fmt.Sprintf("10.0.%d.%d:7300", i/250, i%250)})
		for _, l := range lost {
			f.net.Split([]string{f.nodes[i].addr}, []string{f.nodes[l].addr})
		}
		f.start(i)
	}
}

// servingOld counts the instances that serve a version below the given one.
func (f *fleet) servingOld(name string, version uint64) int {
	count := 0
	for _, n := range f.nodes {
		if n.up && n.serves() && n.version(name) < version {
			count++
		}
	}
	return count
}

// Guards against accepting a change while a majority that is cut off serves the old
// profile. The larger part of the fleet loses its links to the platform and to
// the smaller part, and its entries expire from the instance list. The smaller
// part must not consider itself the whole fleet once it forgets, after ten
// minutes, dead instances that the list lacks. Nor must it count as a majority
// because new instances join it: the lost instances do not know those.
func TestNoChangeIsAcceptedWhileALostMajorityServes(t *testing.T) {
	shapes := []struct {
		name     string
		cut      []int
		grow     int
		accepted bool // from the first change on
	}{
		{"3 of 8", []int{5, 6, 7}, 0, true},
		{"4 of 8", []int{4, 5, 6, 7}, 0, false},
		{"5 of 8", []int{3, 4, 5, 6, 7}, 0, false},
		{"5 of 8, 6 new ones", []int{3, 4, 5, 6, 7}, 6, false},
	}
	for _, s := range shapes {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			settled(t, 8, func(f *fleet) {
				first := f.set(0, "check", 1, 0, "c1", time.Minute)
				f.cutOff(s.cut)
				f.listLost(s.cut)
				f.changesDuringCut(t, first.Version, s.cut, s.grow, s.accepted)
				f.healAll(t, s.cut)
			})
		})
	}
}

// changesDuringCut makes a change after 1, 21 and 60 minutes.
func (f *fleet) changesDuringCut(t *testing.T, version uint64, cut []int, grow int, accepted bool) {
	for i, wait := range []time.Duration{time.Minute, 20 * time.Minute, 39 * time.Minute} {
		time.Sleep(wait)
		if i == 1 {
			f.grow(grow, cut)
			time.Sleep(10 * time.Second)
		}
		reply := f.set(0, "check", float64(version+1), version, "c"+wait.String(), 30*time.Second)
		version = reply.Version
		old := f.servingOld("check", version)
		t.Logf("%v later: %s, in force at %d of %d, %d fenced; %d serve, %d of them an older version",
			wait, reply.State, reply.Force.InForce, reply.Force.Total, len(reply.Force.Fenced), f.serving(), old)
		if isAccepted := reply.State == lynxapi.ChangeAccepted; isAccepted && old > 0 {
			t.Errorf("accepted while %d instances serve an older version", old)
		} else if isAccepted != accepted {
			t.Errorf("change is %s", reply.State)
		}
	}
}

func (f *fleet) healAll(t *testing.T, cut []int) {
	f.net.Heal()
	for _, i := range cut {
		f.nodes[i].link.setCut(false)
	}
	view, _ := f.nodes[0].sync.View("check")
	took := f.until(time.Minute, "all serve the newest", func() bool {
		return f.serving() == len(f.nodes) && f.inForce("check", view.Version) == len(f.nodes)
	})
	t.Logf("all serve the newest %v after the heal", took)
}
