package profilesync_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/control/profilesync"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/store/memstore"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// settled runs a test on n instances that serve and know one another.
func settled(t *testing.T, n int, run func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, n, profilesync.Options{})
		defer f.stop()
		f.settle()
		run(f)
	})
}

func (f *fleet) set(i int, name string, weight float64, ifVersion uint64, id string, wait time.Duration) lynxapi.ChangeReply {
	f.t.Helper()
	reply, err := f.nodes[i].sync.Set(context.Background(), profilesync.Change{
		Profile: draft(name, weight), IfVersion: ifVersion, ChangeID: id, Operator: "op", Wait: wait,
	})
	if err != nil {
		f.t.Fatalf("set %s: %v", name, err)
	}
	return reply
}

func (f *fleet) outage(down bool) {
	f.store.SetFaults(memstore.Faults{Outage: down, Delay: 2 * time.Millisecond, Jitter: 3 * time.Millisecond})
}

// cutOff separates instances from the other ones and from the store.
func (f *fleet) cutOff(part []int) {
	in := make(map[int]bool)
	var cut, rest []string
	for _, i := range part {
		in[i] = true
		f.nodes[i].link.setCut(true)
		cut = append(cut, f.nodes[i].addr)
	}
	for i, n := range f.nodes {
		if !in[i] {
			rest = append(rest, n.addr)
		}
	}
	f.net.Split(cut, rest)
}

// Guards against serving the old version of a profile after a change was accepted.
// A zone loses its links to the platform and to the other zones, and the change
// is accepted outside it. The instances of the zone still have one another as
// peers, which must not be enough to go on serving.
func TestPlaceCutOffTakesNoWorkOnceAChangeIsAccepted(t *testing.T) {
	settled(t, 8, func(f *fleet) {
		first := f.set(0, "check", 1, 0, "c1", time.Minute)
		f.cutOff([]int{1, 5})
		start := f.clock.Now()
		reply := f.set(0, "check", 2, first.Version, "c2", time.Minute)
		if reply.State != lynxapi.ChangeAccepted || len(reply.Force.Fenced) != 2 {
			f.t.Fatalf("%+v", reply)
		}
		f.t.Logf("accepted after %v with %v fenced", f.clock.Since(start), reply.Force.Fenced)
		for _, n := range f.nodes {
			if n.serves() && n.version("check") < reply.Version {
				f.t.Errorf("%s serves version %d after %d was accepted", n.id, n.version("check"), reply.Version)
			}
		}
		if f.serving() != 6 {
			f.t.Errorf("%d instances serve, not the 6 of the majority", f.serving())
		}
		f.net.Heal()
		f.nodes[1].link.setCut(false)
		f.nodes[5].link.setCut(false)
		f.until(30*time.Second, "all serve the new version", func() bool {
			return f.serving() == 8 && f.inForce("check", reply.Version) == 8
		})
	})
}

func TestStoreOutageAloneFencesNobody(t *testing.T) {
	for _, n := range []int{1, 2, 8} {
		settled(t, n, func(f *fleet) {
			f.set(0, "check", 1, 0, "c1", time.Minute)
			f.outage(true)
			for range 3000 {
				time.Sleep(200 * time.Millisecond)
				if f.serving() != n {
					f.t.Fatalf("%d of %d serve", f.serving(), n)
				}
			}
			_, err := f.nodes[0].sync.Set(context.Background(), profilesync.Change{Profile: draft("check", 2), IfVersion: 1, ChangeID: "c2"})
			if !errkind.Is(err, errkind.StoreUnavailable) {
				f.t.Errorf("a change in an outage: %v", err)
			}
		})
	}
}

func TestStoreOutageAndSplitFencesTheMinority(t *testing.T) {
	settled(t, 8, func(f *fleet) {
		f.outage(true)
		time.Sleep(time.Minute)
		f.cutOff([]int{0, 1, 2})
		f.until(20*time.Second, "the minority accepts no work", func() bool { return f.serving() == 5 })
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			if f.serving() != 5 {
				f.t.Fatalf("%d serve", f.serving())
			}
		}
	})
}

// Guards against serving a replaced profile just after a pause. The instance's
// host was suspended for an hour in which the profile was replaced; to the
// process no time has passed.
func TestPausedInstanceServesNothingBeforeItHasConfirmed(t *testing.T) {
	settled(t, 8, func(f *fleet) {
		first := f.set(0, "check", 1, 0, "c1", time.Minute)
		paused := f.nodes[4]
		f.net.Pause(paused.addr)
		reply := f.set(0, "check", 2, first.Version, "c2", time.Minute)
		if reply.State != lynxapi.ChangeAccepted {
			f.t.Fatalf("%+v", reply)
		}
		time.Sleep(time.Hour)
		f.net.Resume(paused.addr)
		if paused.serves() {
			f.t.Error("serves on resuming")
		}
		took := f.until(10*time.Second, "serves again", func() bool {
			if paused.serves() && paused.version("check") < reply.Version {
				f.t.Fatal("serves the old version")
			}
			return paused.serves()
		})
		f.t.Logf("served again %v after waking", took)
	})
}

// A short pause ends before the fence would act. Even so the instance may have
// missed a change that was accepted meanwhile, so it has to confirm itself.
func TestShortPauseIsConfirmedToo(t *testing.T) {
	settled(t, 8, func(f *fleet) {
		paused := f.nodes[4]
		f.net.Pause(paused.addr)
		time.Sleep(4 * time.Second)
		f.net.Resume(paused.addr)
		if paused.serves() {
			f.t.Error("serves on resuming")
		}
		f.until(5*time.Second, "serves again", paused.serves)
	})
}

func TestNewInstanceIsServedByPeersWhileTheStoreIsDown(t *testing.T) {
	settled(t, 8, func(f *fleet) {
		reply := f.set(0, "check", 1, 0, "c1", time.Minute)
		f.outage(true)
		time.Sleep(time.Minute)
		f.crash(7)
		f.start(7) // the instance list is unavailable: the others find it among their dead members
		f.until(10*time.Second, "the new instance serves", func() bool { return f.nodes[7].serves() })
		if v := f.nodes[7].version("check"); v != reply.Version {
			f.t.Errorf("version %d, not %d", v, reply.Version)
		}
	})
}

// Guards against config_isolated being 0 while the instance refuses all work
// because its configuration is not yet confirmed.
func TestIsolatedMetricCoversTheUnconfirmed(t *testing.T) {
	settled(t, 4, func(f *fleet) {
		registry := metrics.NewRegistry()
		n := f.nodes[3]
		f.options.Metrics = registry
		f.crash(3)
		f.start(3)
		shown := func() string { return registry.Value(metrics.Definition{Name: "config_isolated"}) }
		if v := shown(); v != "1" {
			f.t.Errorf("%s at the start", v)
		}
		f.until(10*time.Second, "serves", n.serves)
		if v := shown(); v != "0" {
			f.t.Errorf("%s while it serves", v)
		}
		f.net.Pause(n.addr)
		time.Sleep(10 * time.Second)
		f.net.Resume(n.addr)
		if v := shown(); v != "1" {
			f.t.Errorf("%s on resuming", v)
		}
		f.until(10*time.Second, "serves again", n.serves)
		f.cutOff([]int{3})
		f.until(30*time.Second, "isolated", func() bool { return shown() == "1" })
	})
}

// Guards against an instance confirming itself after a pause right after its
// start. It has loaded its configuration from a peer and is paused before its
// next check, while the instance list lags. Until the check updates its members,
// the instance would count as alone.
func TestPauseRightAfterTheStartIsConfirmedByOthers(t *testing.T) {
	settled(t, 4, func(f *fleet) {
		n := f.nodes[3]
		f.crash(3)
		f.start(3)
		f.until(10*time.Second, "serves", n.serves)
		f.net.Pause(n.addr)
		time.Sleep(10 * time.Second)
		f.net.Resume(n.addr)
		if n.serves() {
			f.t.Error("serves on resuming")
		}
		f.until(10*time.Second, "serves again", n.serves)
	})
}

// Guards against the last instance of a deployment refusing all work when the
// store becomes unavailable. It was started beside another instance, which then
// left deliberately; the instance list as read at the start must no longer count.
func TestLastInstanceServesWithoutTheStore(t *testing.T) {
	settled(t, 2, func(f *fleet) {
		f.set(0, "check", 1, 0, "c1", time.Minute)
		f.crash(1)
		f.start(1) // its first read of the instance list shows the other one
		f.until(10*time.Second, "serves", f.nodes[1].serves)
		f.nodes[0].members.Leave(context.Background())
		time.Sleep(2 * time.Second)
		f.crash(0)
		f.store.RemoveInstance(f.nodes[0].id)
		time.Sleep(15 * time.Minute)
		f.outage(true)
		time.Sleep(10 * time.Minute)
		if !f.nodes[1].serves() {
			f.t.Error("accepts no work")
		}
	})
}
