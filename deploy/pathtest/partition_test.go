package pathtest

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

// Bounds for instances that are partitioned from all servers.
const (
	partitionKnownAfter = 3 * time.Second        // within which the others stand in for them
	partitionLastsFor   = 3 * time.Second        // after that
	rejectWithin        = 500 * time.Millisecond // a request that nobody can serve
)

// Guards against callers of instances that lost their way to all servers being served far worse than those of others,
// and against such instances harming the others.
func TestPartitionedInstancesServe(t *testing.T) {
	for _, c := range []struct {
		name string
		kind cutKind
		cut  int // instances of four
	}{
		{"hang", cutHang, 1}, {"hang", cutHang, 3}, {"reset", cutReset, 1}, {"reset", cutReset, 3},
		{"refuse", cutRefuse, 3}, {"reset and refuse", cutResetOnly, 1}, {"reset and refuse", cutResetOnly, 3},
	} {
		t.Run(fmt.Sprintf("%s/%d", c.name, c.cut), func(t *testing.T) {
			r := start(t, 4, nil)
			stops := r.loadEach(8)
			time.Sleep(time.Second)
			began := time.Now()
			r.cutOff(c.cut, c.kind)
			time.Sleep(partitionKnownAfter)
			from := time.Now()
			time.Sleep(partitionLastsFor)
			until := time.Now()
			r.cutOff(c.cut, noCut)
			time.Sleep(2 * time.Second)
			var partitioned, others []emulator.Attempt
			severed := make(map[string]bool) // attempts whose connection to a server the cut may have taken
			for n, stop := range stops {
				all := stop()
				if n >= c.cut {
					others = append(others, within(all, from, until)...)
					continue
				}
				partitioned = append(partitioned, within(all, from, until)...)
				for _, a := range all {
					severed[a.ID] = a.Sent.Before(from) && a.Ended.After(began)
				}
			}
			r.checkExcept(func(v emulator.Violation) bool { return v.Name == emulator.NameLost && severed[v.Attempt] })
			if share := shareServed(others); share < 0.95 {
				t.Errorf("the others served %.3f of %d", share, len(others))
			}
			if share, failed := shareServed(partitioned), countFailed(partitioned); share < shareServed(others)*2/3 || failed > 10+len(partitioned)/50 {
				t.Errorf("the partitioned instances served %.3f of %d, %d failed: %v", share, len(partitioned), failed, outcomes(partitioned))
			}
		})
	}
}

// Guards against requests that wait in vain while no instance reaches a server.
func TestAllInstancesPartitioned(t *testing.T) {
	r := start(t, 4, nil)
	stops := r.loadEach(8)
	time.Sleep(time.Second)
	began := time.Now()
	r.cutOff(4, cutHang)
	time.Sleep(partitionKnownAfter)
	from := time.Now()
	time.Sleep(2 * time.Second)
	until := time.Now()
	r.cutOff(4, noCut)
	time.Sleep(partitionKnownAfter)
	again := time.Now()
	time.Sleep(time.Second)
	severed := make(map[string]bool)
	for n, stop := range stops {
		all := stop()
		for _, a := range all {
			severed[a.ID] = a.Sent.Before(from) && a.Ended.After(began)
		}
		sent := within(all, from, until.Add(-rejectWithin))
		for _, a := range sent {
			if took := a.Ended.Sub(a.Sent); a.Status != http.StatusServiceUnavailable || a.Header.Get("Retry-After") == "" || took > rejectWithin {
				t.Errorf("instance %d: %s got %d after %v: %v", n+1, a.Ask.Path, a.Status, took, a.Err)
				break
			}
		}
		if after := within(all, again, time.Now()); len(sent) == 0 || shareServed(after) < 0.95 {
			t.Errorf("instance %d: %d rejected during the cut, %.3f of %d served after it: %v", n+1, len(sent), shareServed(after), len(after), outcomes(after))
		}
	}
	r.checkExcept(func(v emulator.Violation) bool { return v.Name == emulator.NameLost && severed[v.Attempt] })
}

// loadEach loads each instance by itself; the functions end it.
func (r *rig) loadEach(workers int) (stops []func() []emulator.Attempt) {
	for _, i := range r.instances {
		stops = append(stops, r.load(workers, emulator.ClientOptions{Addresses: []string{i.address}}, mixed()...))
	}
	return stops
}

// cutOff cuts the first instances off from the servers, or ends that.
func (r *rig) cutOff(count int, kind cutKind) {
	for _, i := range r.instances[:count] {
		i.cut.set(kind)
	}
}

// within returns the attempts that were sent within the time.
func within(all []emulator.Attempt, from, until time.Time) []emulator.Attempt {
	return slices.DeleteFunc(slices.Clone(all), func(a emulator.Attempt) bool { return a.Sent.Before(from) || a.Sent.After(until) })
}

func countFailed(all []emulator.Attempt) int {
	return len(slices.DeleteFunc(slices.Clone(all), served))
}

// outcomes counts attempts by path and status.
func outcomes(all []emulator.Attempt) map[string]int {
	counts := make(map[string]int)
	for _, a := range all {
		counts[fmt.Sprintf("%s %d", a.Ask.Path, a.Status)]++
	}
	return counts
}
