package allowance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func names(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("i-%03d", i)
	}
	return list
}

func TestColdRequests(t *testing.T) {
	for _, c := range []struct {
		rate, overage float64
		want          int
	}{{15, 1.5, 22}, {15, 1, 15}, {15, 0, 15}, {0.5, 1.5, 0}, {2, 1.25, 2}, {4, 1.25, 5}} {
		if got := coldRequests(c.rate, c.overage); got != c.want {
			t.Errorf("rate %v, overage %v: %d, want %d", c.rate, c.overage, got, c.want)
		}
	}
}

// The shares of all instances together are the limit at most, whatever their
// number, and are spread over instances and targets.
func TestSharesSumToTheLimit(t *testing.T) {
	for _, n := range []int{1, 2, 7, 8, 21, 22, 23, 58, 78, 295, 370} {
		instances := names(n)
		var s Shares
		s.Set(instances, 22)
		byInstance := make(map[string]int)
		for k := range 50 {
			sum, target := 0, fmt.Sprint("target ", k)
			for _, i := range instances {
				share := s.Share(i, target)
				sum += share
				byInstance[i] += share
			}
			if sum > 22 || sum < 11 {
				t.Errorf("%d instances: %d for a target, want 22 or nearly", n, sum)
			}
		}
		if n <= 78 && len(byInstance) == n && slices.Min(values(byInstance)) == 0 {
			t.Errorf("%d instances: one has no share of any of 50 targets", n)
		}
		if s.Share("stranger", "target 0") != 0 {
			t.Errorf("%d instances: one that nobody knows has a share", n)
		}
	}
}

func values(m map[string]int) []int {
	var list []int
	for _, v := range m {
		list = append(list, v)
	}
	return list
}

// incarnation is one life of an instance.
type incarnation struct {
	*Allowance
	heard []string
}

// sendings plays instances that send to a target as much as they may at the
// rate, at random moments. Instances are cut off from others, hold them for dead, die and
// start again at any moment; a few lack some of the others in their lists. It
// returns the largest number of requests in any such time.
func sendings(t *testing.T, seed uint64, n, lacking int, bound Bound, rate float64, within time.Duration) int {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 11))
	mock := quartz.NewMock(t)
	all := names(n)
	start := func(i int) *incarnation {
		life := &incarnation{heard: all}
		if rng.IntN(4) == 0 && lacking > 0 {
			life.heard = slices.DeleteFunc(slices.Clone(all), func(id string) bool {
				return id != all[i] && slices.Index(all, id) < lacking
			})
		}
		life.Allowance = NewAllowance(Options{
			Self: all[i], Clock: mock, Instances: func() []string { return life.heard },
			Bound: bound,
		})
		return life
	}
	lives := make([]*incarnation, n)
	for i := range lives {
		lives[i] = start(i)
	}
	began := mock.Now()
	var sent []time.Duration
	for range 4000 {
		mock.Set(mock.Now().Add(time.Duration(rng.Int64N(int64(within / 500)))))
		i := rng.IntN(n)
		if rng.IntN(50) == 0 {
			lives[i] = start(i)
		}
		if lives[i].Take("target", rate) {
			sent = append(sent, mock.Now().Sub(began))
		}
	}
	most := 0
	for k, at := range sent {
		first, _ := slices.BinarySearch(sent, at-within)
		most = max(most, k-first+1)
	}
	return most
}

// Symptom: targets crash again right after their start, each time.
// Events: a target is cold; instances are cut off from each other, die, start
// again and send as much as they find they may.
// Cause: each counts by itself, or by whom it holds for alive, so that the sum
// grows with the number of those that are cut off or start again.
// What is borne is 15 requests a second times 1.5, and 5.
func TestTheSumKeepsToTheBound(t *testing.T) {
	const bound, tolerance = 22, 5
	cold := Cold(func() float64 { return 1.5 })
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 12
	properties := gopter.NewProperties(parameters)
	properties.Property("instances that have heard of the same", prop.ForAll(
		func(seed uint64, n int) bool { return sendings(t, seed, n, 0, cold, 15, time.Second) <= bound },
		gen.UInt64(), gen.OneConstOf(1, 3, 8, 58, 78, 295)))
	properties.Property("some that lack as many as the tolerance", prop.ForAll(
		func(seed uint64, n int) bool {
			return sendings(t, seed, n, tolerance, cold, 15, time.Second) <= bound+tolerance
		},
		gen.UInt64(), gen.OneConstOf(58, 78, 295)))
	properties.TestingRun(t)
}

// Symptom: a target that names how many requests a second it takes gets more,
// from instances that all know it.
// Events and cause: as of cold targets; limits are low, and there are more
// instances than requests in a second.
// What is borne in 4 s is 1.5 times what the limit allows, and 5.
func TestTheSumKeepsToANamedLimit(t *testing.T) {
	const within, slack, extra = 4 * time.Second, 1.5, 5
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 20
	properties := gopter.NewProperties(parameters)
	properties.Property("some lack as many as the extra requests", prop.ForAll(
		func(seed uint64, n int, rate float64) bool {
			most := sendings(t, seed, n, extra, Named(), rate, within)
			return float64(most) <= slack*rate*within.Seconds()+extra
		},
		gen.UInt64(), gen.OneConstOf(1, 3, 7, 8, 58, 78, 295), gen.OneConstOf(0.0, 0.1, 0.5, 1.0, 1.2, 7.5, 40.0)))
	properties.TestingRun(t)
}

func TestNamedRequests(t *testing.T) {
	for _, c := range []struct {
		rate float64
		want int
	}{{0, 1}, {0.1, 1}, {0.5, 2}, {1.2, 4}, {1.25, 5}, {40, 160}, {1e300, 4e6}} {
		if got := Named().Requests(c.rate); got != c.want {
			t.Errorf("rate %v: %d in a span, want %d", c.rate, got, c.want)
		}
	}
}

// The other way that was built and not kept: each dispatcher sends up to half
// of the bound, since two schedule for a target for a while. It needs no shares,
// and breaks the bound as soon as three do, as when a part of the fleet is cut
// off one by one.
func TestHalfOfTheBoundEachIsNotEnough(t *testing.T) {
	const bound, each = 22, 11
	for dispatchers := 1; dispatchers <= 4; dispatchers++ {
		sum := 0
		now := time.Unix(0, 0)
		windows := make([]Window, dispatchers)
		for k := range windows {
			windows[k] = NewWindow(ColdSpan)
		}
		for k := range windows {
			for windows[k].Count("target", now) < each {
				windows[k].Add("target", now)
				sum++
			}
		}
		if within := sum <= bound; within != (dispatchers <= 2) {
			t.Errorf("%d dispatchers send %d, the bound is %d", dispatchers, sum, bound)
		}
	}
}

// An instance that starts again has forgotten what it sent.
func TestNothingIsSentInTheFirstSpan(t *testing.T) {
	mock := quartz.NewMock(t)
	a := NewAllowance(Options{
		Self: "i-000", Clock: mock, Instances: func() []string { return names(1) },
		Bound: Cold(func() float64 { return 1 }),
	})
	if a.Take("target", 15) {
		t.Error("sent at once")
	}
	mock.Set(mock.Now().Add(ColdSpan))
	for k := range 20 {
		if took := a.Take("target", 15); took != (k < 15) {
			t.Errorf("request %d: taken %v", k, took)
		}
	}
	mock.Set(mock.Now().Add(ColdSpan))
	if !a.Take("target", 15) {
		t.Error("nothing is sent a span later")
	}
}
