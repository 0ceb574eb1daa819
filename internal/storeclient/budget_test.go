package storeclient

import (
	"errors"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/store"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestLessImportantCallsAreShedFirst(t *testing.T) {
	g := newLimiter(Budget{WritesPerSecond: 10, ReadsPerSecond: 10, Watches: 1}, 1)
	last := map[store.Priority]int{}
	for i := range 100 {
		for p := store.PriorityBackground; p <= store.PriorityOperator; p++ {
			if _, err := g.admit(start, callWrite, p); err == nil {
				last[p] = i
			}
		}
	}
	if !(last[store.PriorityBackground] < last[store.PriorityControl] &&
		last[store.PriorityControl] < last[store.PriorityRequest] &&
		last[store.PriorityRequest] <= last[store.PriorityOperator]) {
		t.Errorf("last round that each priority got through: %v", last)
	}
	if _, err := g.admit(start, callRead, store.PriorityControl); err != nil {
		t.Errorf("reads have a separate budget: %v", err)
	}
}

func TestWaitingWatchesAreLimited(t *testing.T) {
	g := newLimiter(Budget{WritesPerSecond: 10, ReadsPerSecond: 10, Watches: 1}, 1)
	if _, err := g.admit(start, callWatch, store.PriorityControl); err != nil {
		t.Fatal(err)
	}
	if _, err := g.admit(start, callWatch, store.PriorityControl); !errors.Is(err, store.ErrThrottled) {
		t.Errorf("second watch: %v", err)
	}
	g.done(start, callWatch, false, resultOK)
	if _, err := g.admit(start, callWatch, store.PriorityControl); err != nil {
		t.Errorf("after the first ended: %v", err)
	}
}

func TestThrottlingSlowsDown(t *testing.T) {
	g := newLimiter(Budget{WritesPerSecond: 100, ReadsPerSecond: 100, Watches: 1}, 1)
	second := func(at time.Time, throttle bool) (admitted int) {
		for i := range 1000 {
			now := at.Add(time.Duration(i) * time.Millisecond)
			if _, err := g.admit(now, callWrite, store.PriorityOperator); err == nil {
				admitted++
				result := resultOK
				if throttle && admitted%10 == 0 {
					result = resultThrottled
				}
				g.done(now, callWrite, false, result)
			}
		}
		return admitted
	}
	second(start, false)
	second(start.Add(time.Second), true)
	slow := second(start.Add(2*time.Second), false)
	if slow > 40 {
		t.Errorf("%d calls in the second after throttling, budget 100", slow)
	}
	for i := range 30 {
		second(start.Add(time.Duration(3+i)*time.Second), false)
	}
	if back := second(start.Add(40*time.Second), false); back < 90 {
		t.Errorf("%d calls half a minute later, budget 100", back)
	}
}

func TestOneProbeAtATime(t *testing.T) {
	g := newLimiter(Budget{}, 1)
	for range failuresToDown {
		_, _ = g.admit(start, callRead, store.PriorityControl)
		g.done(start, callRead, false, resultFailed)
	}
	if _, err := g.admit(start, callRead, store.PriorityOperator); !errors.Is(err, store.ErrUnavailable) {
		t.Fatalf("call in an outage: %v", err)
	}
	now := start.Add(minBackoff)
	if probe, err := g.admit(now, callRead, store.PriorityControl); err != nil || !probe {
		t.Fatalf("probe: %v, %v", probe, err)
	}
	if _, err := g.admit(now, callRead, store.PriorityControl); err == nil {
		t.Error("second probe beside the first")
	}
	g.done(now, callRead, true, resultNone)
	if !g.down {
		t.Error("a cancelled probe ended the outage")
	}
	now = now.Add(maxBackoff)
	if probe, err := g.admit(now, callRead, store.PriorityControl); err != nil || !probe {
		t.Fatalf("next probe: %v, %v", probe, err)
	}
	g.done(now, callRead, true, resultOK)
	if g.down {
		t.Error("still down after an answer")
	}
}

// platformSim simulates the platform with its rate limits and an outage.
type platformSim struct {
	writes, reads         int // limits a second
	second                int64
	writesNow, readsNow   int
	downFrom, downUntil   time.Time
	perSecond             map[int64]int
	throttled, throttledW int
}

func (l *platformSim) call(now time.Time, kind callKind) callResult {
	if s := now.Unix(); s != l.second {
		l.second, l.writesNow, l.readsNow = s, 0, 0
	}
	l.perSecond[l.second]++
	if !now.Before(l.downFrom) && now.Before(l.downUntil) {
		return resultFailed
	}
	if kind == callWrite {
		l.writesNow++
		if l.writesNow > l.writes {
			l.throttledW++
			return resultThrottled
		}
		return resultOK
	}
	l.readsNow++
	if l.readsNow > l.reads {
		l.throttled++
		return resultThrottled
	}
	return resultOK
}

// simClient is an instance with its periodic calls. A failed call is retried soon, as
// waiting claims and watches are.
type simClient struct {
	g    *limiter
	jobs []simJob
}

type simJob struct {
	kind  callKind
	prio  store.Priority
	every time.Duration
	retry time.Duration
	next  time.Time
}

func newSimClient(seed uint64, b Budget) *simClient {
	offset := start.Add(time.Duration(seed) * 7 * time.Millisecond)
	return &simClient{g: newLimiter(b, seed), jobs: []simJob{
		{callWatch, store.PriorityControl, 20 * time.Second, time.Second, offset},
		{callRead, store.PriorityControl, 5 * time.Second, time.Second, offset},
		{callWrite, store.PriorityBackground, 10 * time.Second, time.Second, offset},
		{callWrite, store.PriorityRequest, 2 * time.Second, 200 * time.Millisecond, offset},
	}}
}

func (c *simClient) step(now time.Time, l *platformSim) {
	for i := range c.jobs {
		job := &c.jobs[i]
		if now.Before(job.next) {
			continue
		}
		job.next = now.Add(job.retry)
		probe, err := c.g.admit(now, job.kind, job.prio)
		if err != nil {
			continue
		}
		result := l.call(now, job.kind)
		c.g.done(now, job.kind, probe, result)
		if result == resultOK {
			job.next = now.Add(job.every)
		}
	}
}

// Guards against a thundering herd after an outage. 370 instances wait for the
// platform, each with claims, watches and reports that failed. If all called as soon as
// it answers, it would throttle them at once and go on refusing calls for minutes.
func TestReturnWithoutHerd(t *testing.T) {
	for _, outage := range []time.Duration{5 * time.Second, time.Minute, time.Hour} {
		t.Run(outage.String(), func(t *testing.T) { testReturn(t, outage) })
	}
}

func testReturn(t *testing.T, outage time.Duration) {
	const instances = 370
	from := start.Add(time.Minute)
	l := &platformSim{writes: 400, reads: 2000, perSecond: make(map[int64]int), downFrom: from, downUntil: from.Add(outage)}
	var clients []*simClient
	for i := range instances {
		clients = append(clients, newSimClient(uint64(i), Budget{WritesPerSecond: 0.9, ReadsPerSecond: 5, Watches: 2}))
	}
	end := l.downUntil.Add(3 * time.Minute)
	allUp := time.Duration(0)
	for now := start; now.Before(end); now = now.Add(100 * time.Millisecond) {
		up := 0
		for _, c := range clients {
			c.step(now, l)
			if !c.g.down {
				up++
			}
		}
		if allUp == 0 && now.After(l.downUntil) && up == instances {
			allUp = now.Sub(l.downUntil)
		}
	}
	before := l.peak(start.Add(30*time.Second), l.downFrom)
	during := float64(l.total(l.downFrom, l.downUntil)) / outage.Seconds()
	peak := l.peak(l.downUntil, end)
	t.Logf("%d instances: at most %d calls/s before, %.1f calls/s on average in the outage, at most %d calls/s after it, all back after %v, throttled reads %d, writes %d",
		instances, before, during, peak, allUp, l.throttled, l.throttledW)
	for s := int64(0); s < 30; s += 5 {
		t.Logf("second %d after the return: %d calls", s, l.perSecond[l.downUntil.Unix()+s])
	}
	if allUp == 0 || allUp > maxBackoff {
		t.Errorf("all back after %v", allUp)
	}
	// Without the random delay of the less important calls, the peak after the
	// shortest outage is nine tenths of the peak before it.
	if peak > before*3/4 {
		t.Errorf("%d calls/s at the return, %d before the outage", peak, before)
	}
	if outage == time.Hour && during > instances/10 {
		t.Errorf("%.1f calls/s in the outage", during)
	}
	if l.throttled+l.throttledW > 0 {
		t.Errorf("throttled: %d reads, %d writes", l.throttled, l.throttledW)
	}
}

func (l *platformSim) peak(from, to time.Time) (calls int) {
	for s := from.Unix(); s < to.Unix(); s++ {
		calls = max(calls, l.perSecond[s])
	}
	return calls
}

func (l *platformSim) total(from, to time.Time) (calls int) {
	for s := from.Unix(); s < to.Unix(); s++ {
		calls += l.perSecond[s]
	}
	return calls
}

// Guards against an instance refusing its own calls for seconds after an outage, far
// below the platform's limits. Calls that had hung are answered together, a dozen of
// them with a refusal by the rate limit; they must not each halve the budget.
func TestRefusalsOfOneBurstSlowDownOnce(t *testing.T) {
	g := newLimiter(Budget{WritesPerSecond: 100, ReadsPerSecond: 100, Watches: 1}, 1)
	for range 12 {
		if _, err := g.admit(start, callWrite, store.PriorityOperator); err != nil {
			t.Fatal(err)
		}
	}
	for range 12 {
		g.done(start, callWrite, false, resultThrottled)
	}
	if g.share != 0.5 {
		t.Fatalf("the share in use is %g", g.share)
	}
}

// Guards against an instance that shuts down before its calls may resume after an
// outage, or before its next probe.
func TestStoppingInstanceDoesNotWaitForItsTurn(t *testing.T) {
	now := time.Unix(1000, 0)
	g := newLimiter(DefaultBudget, 1)
	for range failuresToDown {
		g.done(now, callWrite, false, resultFailed)
	}
	g.backoff = maxBackoff
	g.scheduleProbe(now)
	g.setStopping(now)
	now = now.Add(stoppingBackoff)
	probe, err := g.admit(now, callWrite, store.PriorityControl)
	if !probe || err != nil {
		t.Fatalf("no probe within %v: %v", stoppingBackoff, err)
	}
	g.done(now, callWrite, true, resultOK)
	if _, err := g.admit(now, callWrite, store.PriorityControl); err != nil {
		t.Errorf("the call after the probe: %v", err)
	}
}
