package profilesync_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/control/profilesync"
	"lynxhill.example/lynxhill/internal/gossip"
	"lynxhill.example/lynxhill/internal/virtualtest"
)

func (f *fleet) traffic() (digests, bytes int) {
	for _, n := range f.nodes {
		t := f.net.Traffic(n.addr)
		digests += t.Digests
		bytes += t.Bytes
	}
	return digests, bytes
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}

// TestTimeToForce measures how long a written change takes to be in force on each
// instance, and to be accepted.
func TestTimeToForce(t *testing.T) {
	for _, n := range virtualtest.Sizes(8, 64) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			settled(t, n, func(f *fleet) { measureForce(t, f) })
		})
	}
}

func measureForce(t *testing.T, f *fleet) {
	n := len(f.nodes)
	changes := 10
	if n > 100 {
		changes = 4
	}
	time.Sleep(3 * time.Second)
	before, bytesBefore := f.traffic()
	time.Sleep(3 * time.Second)
	quiet, bytesQuiet := f.traffic()
	quiet, bytesQuiet = quiet-before, bytesQuiet-bytesBefore
	before, bytesBefore = f.traffic()
	started := f.clock.Now()
	var inForce, accepted []time.Duration
	version := uint64(0)
	for i := range changes {
		at := rand.New(rand.NewPCG(5, uint64(i))).IntN(n)
		start := f.clock.Now()
		seen := make(chan []time.Duration, 1)
		go func() { seen <- f.watchForce(float64(i + 1)) }()
		reply := f.set(at, "check", float64(i+1), version, fmt.Sprintf("c%d", i), time.Minute)
		if reply.State != "accepted" {
			t.Errorf("%+v", reply)
		}
		version = reply.Version
		accepted = append(accepted, f.clock.Since(start))
		inForce = append(inForce, <-seen...)
		time.Sleep(2 * time.Second)
	}
	span := f.clock.Since(started).Seconds()
	after, bytesAfter := f.traffic()
	extra := float64(after-before)/2 - float64(quiet)/2/3*span
	extraBytes := float64(bytesAfter-bytesBefore) - float64(bytesQuiet)/3*span
	sort.Slice(inForce, func(i, j int) bool { return inForce[i] < inForce[j] })
	sort.Slice(accepted, func(i, j int) bool { return accepted[i] < accepted[j] })
	t.Logf("%d instances: from the call, in force p50 %v p99 %v max %v; accepted p50 %v max %v; %.1f digests and %.0f B an instance and change; quiet %.0f B/s an instance",
		n, quantile(inForce, 0.5), quantile(inForce, 0.99), quantile(inForce, 1), quantile(accepted, 0.5), quantile(accepted, 1),
		extra/float64(changes*n), extraBytes/float64(changes*n), float64(bytesQuiet)/3/float64(n))
	ages := f.confirmAges(5 * time.Second)
	t.Logf("%d instances: age of the confirmation p50 %v p99 %v max %v", n, quantile(ages, 0.5), quantile(ages, 0.99), quantile(ages, 1))
	if limit := 5 * time.Second; quantile(inForce, 0.99) > limit {
		t.Errorf("in force p99 over %v", limit)
	}
}

// confirmAges samples the age of the confirmation on all instances once a second.
func (f *fleet) confirmAges(span time.Duration) (ages []time.Duration) {
	for range int(span / time.Second) {
		time.Sleep(time.Second)
		for _, n := range f.nodes {
			var d gossip.Digest
			n.sync.Fill(&d, "", 1000)
			ages = append(ages, d.Config.ConfirmAge)
		}
	}
	sort.Slice(ages, func(i, j int) bool { return ages[i] < ages[j] })
	return ages
}

// watchForce returns how long each instance took to hold the change that set the
// weight.
func (f *fleet) watchForce(weight float64) (times []time.Duration) {
	const step = 10 * time.Millisecond
	done := make([]bool, len(f.nodes))
	for waited := time.Duration(0); len(times) < len(f.nodes) && waited < time.Minute; waited += step {
		for i, n := range f.nodes {
			if done[i] {
				continue
			}
			held, _ := n.board.Profiles.Get("check")
			if held.Version > 0 && held.Profile.Stages[0].Providers[0].Weight >= weight {
				done[i] = true
				times = append(times, waited)
			}
		}
		time.Sleep(step)
	}
	return times
}

// TestAcceptanceWhenInstancesCrash measures the time to acceptance with 8
// instances, one of which crashes before every fourth change, without other
// faults. No other instance may refuse work.
func TestAcceptanceWhenInstancesCrash(t *testing.T) {
	settled(t, 8, func(f *fleet) {
		rng := rand.New(rand.NewPCG(3, 3))
		var delays []time.Duration
		falseAlarms, samples := 0, 0
		version := uint64(0)
		for i := range 40 {
			down := -1
			if i%4 == 0 {
				down = 1 + rng.IntN(7)
				f.crash(down)
			}
			start := f.clock.Now()
			reply, err := f.nodes[0].sync.Set(context.Background(), profilesync.Change{
				Profile: draft("check", float64(i+1)), IfVersion: version, ChangeID: fmt.Sprintf("c%d", i), Wait: time.Minute,
			})
			if err != nil || reply.State != "accepted" {
				t.Fatalf("%+v %v", reply, err)
			}
			version = reply.Version
			delays = append(delays, f.clock.Since(start))
			if down >= 0 {
				f.start(down)
			}
			for range 50 {
				time.Sleep(100 * time.Millisecond)
				for j, n := range f.nodes {
					if n.up && j != down {
						samples++
						if !n.serves() {
							falseAlarms++
						}
					}
				}
			}
		}
		sort.Slice(delays, func(i, j int) bool { return delays[i] < delays[j] })
		t.Logf("a crash before every fourth change: accepted p50 %v p90 %v max %v; %d of %d samples of other instances refused work",
			quantile(delays, 0.5), quantile(delays, 0.9), quantile(delays, 1), falseAlarms, samples)
		if falseAlarms > 0 {
			t.Error("an instance refused work because another one crashed")
		}
	})
}

// TestWaysToAcceptCompared compares acceptance only when all instances hold the
// version (FenceAfter is in effect infinite) with acceptance by fencing after a
// time: one instance of 8 crashes for good, and two are cut off for an hour.
func TestWaysToAcceptCompared(t *testing.T) {
	for _, fenceAfter := range []time.Duration{6 * time.Second, 12 * time.Second, 10 * time.Hour} {
		t.Run(fenceAfter.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { compareAcceptance(t, fenceAfter) })
		})
	}
}

func compareAcceptance(t *testing.T, fenceAfter time.Duration) {
	f := newFleet(t, 8, profilesync.Options{FenceAfter: fenceAfter})
	defer f.stop()
	f.settle()
	f.crash(7)
	f.store.RemoveInstance(f.nodes[7].id)
	start := f.clock.Now()
	reply := f.set(0, "check", 1, 0, "c1", 30*time.Minute)
	crashed := f.clock.Since(start)
	f.cutOff([]int{1, 5})
	start = f.clock.Now()
	accepted := make(chan time.Duration, 1)
	go func() {
		f.set(0, "check", 2, reply.Version, "c2", 2*time.Hour)
		accepted <- f.clock.Since(start)
	}()
	refused, stale, samples := 0, 0, 0
	for range 3600 {
		time.Sleep(time.Second)
		for _, i := range []int{1, 5} {
			samples++
			if !f.nodes[i].serves() {
				refused++
			} else if f.nodes[i].version("check") == reply.Version {
				stale++
			}
		}
	}
	f.net.Heal()
	f.nodes[1].link.setCut(false)
	f.nodes[5].link.setCut(false)
	t.Logf("fence after %v: accepted %v after a crash, %v with two cut off for an hour; of their time they refused work for %.1f %% and served the old version for %.1f %%",
		fenceAfter, crashed, <-accepted, 100*float64(refused)/float64(samples), 100*float64(stale)/float64(samples))
}

// TestStoreOutageAtSizeFencesNobody measures the traffic of the liveness rows in
// digests while the store is down; they replace the store's confirmation.
func TestStoreOutageAtSizeFencesNobody(t *testing.T) {
	for _, n := range virtualtest.Sizes(64) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			settled(t, n, func(f *fleet) {
				f.set(0, "check", 1, 0, "c1", time.Minute)
				f.outage(true)
				time.Sleep(15 * time.Second)
				_, before := f.traffic()
				const span = 15
				for range span {
					time.Sleep(time.Second)
					if f.serving() != n {
						f.t.Fatalf("%d of %d serve", f.serving(), n)
					}
				}
				_, after := f.traffic()
				perSecond := float64(after-before) / span / float64(n)
				t.Logf("%d instances, store down: %.0f B/s an instance sent and received", n, perSecond)
				if perSecond > 16<<10 {
					t.Errorf("%.0f bytes a second", perSecond)
				}
			})
		})
	}
}
