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

// settled runs a test on n instances that have met and serve.
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

// cutOff separates instances from the rest and from the store.
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

// Symptom: callers in one place got answers under the old meaning of a profile
// long after the operator was told that the new one was in force. Events: the
// place lost its link to the platform and to the other places; the change was
// accepted outside. Cause: the place went on serving; each of its instances
// had peers, its own.
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
		f.until(20*time.Second, "the minority takes no work", func() bool { return f.serving() == 5 })
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			if f.serving() != 5 {
				f.t.Fatalf("%d serve", f.serving())
			}
		}
	})
}

// Symptom: for some milliseconds after waking an instance served a profile
// that had been replaced an hour before. Events: its machine was suspended.
// Cause: to the process no time had passed.
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
			f.t.Error("serves on waking")
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

// A short pause is over before the fence would act; still the instance may have
// slept through a change that others were told of.
func TestShortPauseIsConfirmedToo(t *testing.T) {
	settled(t, 8, func(f *fleet) {
		paused := f.nodes[4]
		f.net.Pause(paused.addr)
		time.Sleep(4 * time.Second)
		f.net.Resume(paused.addr)
		if paused.serves() {
			f.t.Error("serves on waking")
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
		f.start(7) // the list is down: the others find it among their dead
		f.until(10*time.Second, "the new instance serves", func() bool { return f.nodes[7].serves() })
		if v := f.nodes[7].version("check"); v != reply.Version {
			f.t.Errorf("version %d, not %d", v, reply.Version)
		}
	})
}

// Symptom: a new instance refused all work as isolated while its metric
// config_isolated was 0. Cause: the metric left out the time before the
// configuration is confirmed.
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
			f.t.Errorf("%s on waking", v)
		}
		f.until(10*time.Second, "serves again", n.serves)
		f.cutOff([]int{3})
		f.until(30*time.Second, "isolated", func() bool { return shown() == "1" })
	})
}

// Symptom: an instance that had just started confirmed itself on waking from a
// pause. Events: it had loaded its configuration from a peer and was paused
// before its next check; the instance list lagged. Cause: it counted as alone
// until the check took in its members.
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
			f.t.Error("serves on waking")
		}
		f.until(10*time.Second, "serves again", n.serves)
	})
}

// Symptom: the last instance of a deployment refused all work when the store
// went away. Events: it had been started beside another one, which was stopped
// in order. Cause: what the instance list had shown at the start still counted.
func TestLastInstanceServesWithoutTheStore(t *testing.T) {
	settled(t, 2, func(f *fleet) {
		f.set(0, "check", 1, 0, "c1", time.Minute)
		f.crash(1)
		f.start(1) // its first reading of the list shows the other one
		f.until(10*time.Second, "serves", f.nodes[1].serves)
		f.nodes[0].members.Leave(context.Background())
		time.Sleep(2 * time.Second)
		f.crash(0)
		f.store.RemoveInstance(f.nodes[0].id)
		time.Sleep(15 * time.Minute)
		f.outage(true)
		time.Sleep(10 * time.Minute)
		if !f.nodes[1].serves() {
			f.t.Error("takes no work")
		}
	})
}
