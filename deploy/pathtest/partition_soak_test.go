package pathtest

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

var (
	partitionSeed  = flag.Uint64("partition-seed", 1, "first seed of TestPartitionsInSeries")
	partitionSeeds = flag.Int("partition-seeds", 1, "number of seeds of TestPartitionsInSeries")
)

const (
	soakTime      = 14 * time.Second
	soakInstances = 5
)

// partition is one cut of some instances from all servers.
type partition struct {
	cut         []int // instances
	began, over time.Time
}

// partitionSoak cuts instances off in overlapping series while instances stop and the store and the configuration change.
type partitionSoak struct {
	*rig
	random *rand.Rand // used by plan only

	mu         sync.Mutex  // guards the fields below
	cuts       map[int]int // number of partitions that hold, by instance
	partitions []partition
	stopped    map[int]time.Time
}

// Guards against broken promises, and against callers of partitioned instances being served far worse, while instances
// lose and regain their way to all servers in overlapping series, beside stops, changes and outages of the store.
func TestPartitionsInSeries(t *testing.T) {
	for n := range *partitionSeeds {
		seed := *partitionSeed + uint64(n)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := &partitionSoak{rig: start(t, soakInstances, nil), random: rand.New(rand.NewPCG(seed, 23)), cuts: make(map[int]int), stopped: make(map[int]time.Time)}
			s.run()
		})
	}
}

func (s *partitionSoak) run() {
	stops := s.loadEach(4)
	end := time.Now().Add(soakTime)
	var acting sync.WaitGroup
	for _, act := range s.plan() {
		acting.Go(act)
	}
	acting.Wait()
	time.Sleep(time.Until(end))
	s.cutOff(len(s.instances), noCut)
	time.Sleep(partitionKnownAfter)
	began := time.Now()
	time.Sleep(time.Second)
	var tries [][]emulator.Attempt
	at := make(map[string]int)
	attempts := make(map[string]emulator.Attempt)
	for n, stop := range stops {
		tries = append(tries, stop())
		for _, a := range tries[n] {
			at[a.ID], attempts[a.ID] = n, a
		}
	}
	s.checkExcept(func(v emulator.Violation) bool {
		a, known := attempts[v.Attempt]
		return v.Name == emulator.NameLost && known && s.severed(at[a.ID], a)
	})
	s.judge(tries)
	for n, all := range tries {
		if _, gone := s.stopped[n]; gone {
			continue
		}
		if after := within(all, began, time.Now()); shareServed(after) < 0.9 {
			s.Errorf("after all, instance %d serves %.3f of %d: %v", n+1, shareServed(after), len(after), outcomes(after))
		}
	}
}

// plan returns what happens, each with its delay: partitions of some or all instances, some of which overlap, a stop, a
// change and a fault of the store.
func (s *partitionSoak) plan() (acts []func()) {
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(s.random.Int64N(int64(most-least)))
	}
	for at := between(500*time.Millisecond, 1500*time.Millisecond); at < soakTime-5*time.Second; at += between(1500*time.Millisecond, 6*time.Second) {
		count := 1 + s.random.IntN(soakInstances)
		chosen, kind, length := s.random.Perm(soakInstances)[:count], cutHang+cutKind(s.random.IntN(4)), between(3500*time.Millisecond, 6*time.Second)
		acts = append(acts, func() { s.partition(at, chosen, kind, length) })
	}
	change, fault, stop, who := between(time.Second, soakTime/2), between(time.Second, soakTime/2), between(2*time.Second, soakTime-4*time.Second), s.random.IntN(soakInstances)
	down := []emulator.StoreFault{{Down: emulator.Down503}, {Down: emulator.DownSilent}, {Slow: 300 * time.Millisecond}}[s.random.IntN(3)]
	return append(acts,
		func() { time.Sleep(change); s.write(addRoute("/new/")) },
		func() {
			time.Sleep(fault)
			s.world.Store.SetFault("", down)
			time.Sleep(2 * time.Second)
			s.world.Store.SetFault("", emulator.StoreFault{})
		},
		func() {
			time.Sleep(stop)
			s.mu.Lock()
			s.stopped[who] = time.Now()
			s.mu.Unlock()
			s.instances[who].stop()
		})
}

func (s *partitionSoak) partition(at time.Duration, chosen []int, kind cutKind, length time.Duration) {
	time.Sleep(at)
	p := partition{cut: chosen, began: time.Now()}
	s.mu.Lock()
	for _, n := range chosen {
		s.cuts[n]++
		s.instances[n].cut.set(kind)
	}
	s.mu.Unlock()
	time.Sleep(length)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range chosen {
		if s.cuts[n]--; s.cuts[n] == 0 {
			s.instances[n].cut.set(noCut)
		}
	}
	p.over = time.Now()
	s.partitions = append(s.partitions, p)
}

// severed reports whether a cut may have taken the attempt's connection to a server: one that began at its instance or,
// while its instance was cut off, at the one through which it led; or the stop of that one.
func (s *partitionSoak) severed(instance int, a emulator.Attempt) bool {
	inside := func(at time.Time) bool { return at.After(a.Sent.Add(-partitionKnownAfter)) && at.Before(a.Ended) }
	cutOff := false
	for _, p := range s.partitions {
		if !slices.Contains(p.cut, instance) {
			continue
		}
		if inside(p.began) {
			return true
		}
		cutOff = cutOff || a.Ended.After(p.began) && a.Sent.Before(p.over.Add(partitionKnownAfter))
	}
	return cutOff && slices.ContainsFunc(s.partitions, func(p partition) bool { return inside(p.began) })
}

// judge holds the first tries during each partition to the bounds. Those during another partition that began less than
// partitionKnownAfter before, at a stopping instance, or while nobody reaches a server don't count.
func (s *partitionSoak) judge(tries [][]emulator.Attempt) {
	for k, p := range s.partitions {
		var partitioned, others []emulator.Attempt
		for n, all := range tries {
			counts := func(a emulator.Attempt) bool {
				stopped, stops := s.stopped[n]
				return a.Sent.After(p.began.Add(partitionKnownAfter)) && a.Sent.Before(p.over) && !(stops && a.Ended.After(stopped)) && !s.unsettled(k, a)
			}
			sent := slices.DeleteFunc(slices.Clone(all), func(a emulator.Attempt) bool { return !counts(a) })
			if slices.Contains(p.cut, n) {
				partitioned = append(partitioned, sent...)
			} else if !s.cutAt(n, p.began, p.over) {
				others = append(others, sent...)
			}
		}
		share, failed := shareServed(partitioned), countFailed(partitioned)
		s.Logf("%d cut off: they served %.3f of %d first tries, the others %.3f of %d", len(p.cut), share, len(partitioned), shareServed(others), len(others))
		if len(others) > 0 && share < shareServed(others)*2/3 && failed > 10+len(partitioned)/50 {
			s.Errorf("the partitioned instances %v served %.3f of %d, the others %.3f of %d: %v", p.cut, share, len(partitioned), shareServed(others), len(others), outcomes(partitioned))
		}
	}
}

// unsettled reports whether another partition than the k-th began less than partitionKnownAfter before the attempt.
func (s *partitionSoak) unsettled(k int, a emulator.Attempt) bool {
	for n, p := range s.partitions {
		if n != k && a.Ended.After(p.began) && a.Sent.Before(p.began.Add(partitionKnownAfter)) {
			return true
		}
	}
	return false
}

// cutAt reports whether the instance was cut off at any time between the two.
func (s *partitionSoak) cutAt(instance int, from, until time.Time) bool {
	return slices.ContainsFunc(s.partitions, func(p partition) bool {
		return slices.Contains(p.cut, instance) && p.began.Before(until) && p.over.After(from)
	})
}
