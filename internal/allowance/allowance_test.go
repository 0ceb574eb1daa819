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

// The sum of the shares of all instances does not exceed the limit for any
// number of instances, and the shares are spread over instances and targets.
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
				t.Errorf("%d instances: the shares of a target sum to %d, want 11 to 22", n, sum)
			}
		}
		if n <= 78 && len(byInstance) == n && slices.Min(values(byInstance)) == 0 {
			t.Errorf("%d instances: an instance has no share of any of 50 targets", n)
		}
		if s.Share("stranger", "target 0") != 0 {
			t.Errorf("%d instances: an instance that is not in the list has a share", n)
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

// incarnation is one run of an instance, from start to crash.
type incarnation struct {
	*Allowance
	instances []string
}

// maxSentWithin simulates n instances that send to one target, at random times,
// as much as they are allowed at the rate. Instances share no state, as during a
// partition, and restart at random times. If missing is above 0, the lists of some
// of them lack the first missing instances, except themselves. maxSentWithin
// returns the largest number of requests sent within any period of the length
// within.
func maxSentWithin(t *testing.T, seed uint64, n, missing int, bound Bound, rate float64, within time.Duration) int {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 11))
	mock := quartz.NewMock(t)
	all := names(n)
	start := func(i int) *incarnation {
		started := &incarnation{instances: all}
		if rng.IntN(4) == 0 && missing > 0 {
			started.instances = slices.DeleteFunc(slices.Clone(all), func(id string) bool {
				return id != all[i] && slices.Index(all, id) < missing
			})
		}
		started.Allowance = NewAllowance(Options{
			Self: all[i], Clock: mock, Instances: func() []string { return started.instances },
			Bound: bound,
		})
		return started
	}
	running := make([]*incarnation, n)
	for i := range running {
		running[i] = start(i)
	}
	began := mock.Now()
	var sent []time.Duration
	for range 4000 {
		mock.Set(mock.Now().Add(time.Duration(rng.Int64N(int64(within / 500)))))
		i := rng.IntN(n)
		if rng.IntN(50) == 0 {
			running[i] = start(i)
		}
		if running[i].Take("target", rate) {
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

// Guards against an overload of targets that have just started, which makes
// them crash again after every start. It comes about when instances are
// partitioned from each other or restart, and each enforces the limit alone or
// computes its share from the instances it considers alive: the sum then grows
// with the number of partitioned or restarted instances. Targets tolerate 1.5
// times their rate of 15 requests a second, and 5 requests more.
func TestSumOfSharesStaysWithinTheBound(t *testing.T) {
	const bound, tolerance = 22, 5
	cold := Cold(func() float64 { return 1.5 })
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 12
	properties := gopter.NewProperties(parameters)
	properties.Property("all instances have the same list", prop.ForAll(
		func(seed uint64, n int) bool { return maxSentWithin(t, seed, n, 0, cold, 15, time.Second) <= bound },
		gen.UInt64(), gen.OneConstOf(1, 3, 8, 58, 78, 295)))
	properties.Property("some lists miss as many instances as the tolerance", prop.ForAll(
		func(seed uint64, n int) bool {
			return maxSentWithin(t, seed, n, tolerance, cold, 15, time.Second) <= bound+tolerance
		},
		gen.UInt64(), gen.OneConstOf(58, 78, 295)))
	properties.TestingRun(t)
}

// Guards against a target that states a limit in requests a second and receives
// more, although all instances know the limit. It comes about as for cold
// targets; limits are low, and there are more instances than requests a second.
// Within 4 s a target tolerates 1.5 times its limit, and 5 requests more.
func TestTheSumKeepsToANamedLimit(t *testing.T) {
	const within, slack, extra = 4 * time.Second, 1.5, 5
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 20
	properties := gopter.NewProperties(parameters)
	properties.Property("some lists miss as many instances as there are extra requests", prop.ForAll(
		func(seed uint64, n int, rate float64) bool {
			most := maxSentWithin(t, seed, n, extra, Stated(), rate, within)
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
		if got := Stated().Requests(c.rate); got != c.want {
			t.Errorf("rate %v: %d in a span, want %d", c.rate, got, c.want)
		}
	}
}

// Documents a rejected alternative: each dispatcher sends up to half of the
// limit, since two dispatchers may schedule for the same target for a while. It
// needs no shares, but exceeds the limit as soon as three dispatchers schedule
// for a target, for example when instances are partitioned one after another.
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
			t.Errorf("%d dispatchers send %d requests, the limit is %d", dispatchers, sum, bound)
		}
	}
}

// A restarted instance does not know what it sent before the restart, so it
// sends nothing in its first span.
func TestNothingIsSentInTheFirstSpanAfterAStart(t *testing.T) {
	mock := quartz.NewMock(t)
	a := NewAllowance(Options{
		Self: "i-000", Clock: mock, Instances: func() []string { return names(1) },
		Bound: Cold(func() float64 { return 1 }),
	})
	if a.Take("target", 15) {
		t.Error("a request was allowed right after the start")
	}
	mock.Set(mock.Now().Add(ColdSpan))
	for k := range 20 {
		if took := a.Take("target", 15); took != (k < 15) {
			t.Errorf("request %d: taken %v", k, took)
		}
	}
	mock.Set(mock.Now().Add(ColdSpan))
	if !a.Take("target", 15) {
		t.Error("no request was allowed one span later")
	}
}
