package storeclient

import (
	"math"
	"math/rand/v2"
	"time"

	"lynxhill.example/lynxhill/internal/defaults"
	"lynxhill.example/lynxhill/internal/store"
)

// Budget is this instance's part of the platform's limits. The platform counts
// every call, a waiting watch too.
type Budget struct {
	WritesPerSecond float64 // Put, Delete and Register
	ReadsPerSecond  float64 // Get, List, Instances, and each Watch call
	Watches         int     // watches that wait at the same time
}

// DefaultBudget is an instance's part of DefaultFleetBudget at eight instances.
var DefaultBudget = Budget{WritesPerSecond: 40, ReadsPerSecond: 150, Watches: 8}

// withDefaults fills in zero fields.
func (b Budget) withDefaults() Budget {
	defaults.Positive(&b.WritesPerSecond, DefaultBudget.WritesPerSecond)
	defaults.Positive(&b.ReadsPerSecond, DefaultBudget.ReadsPerSecond)
	defaults.Positive(&b.Watches, DefaultBudget.Watches)
	return b
}

// Timing of outages and returns.
const (
	// failuresToDown consecutive calls that did not get through mean an outage.
	failuresToDown = 3
	minBackoff     = 250 * time.Millisecond
	maxBackoff     = 30 * time.Second
	// stoppingBackoff is the longest wait between the probes of a stopping
	// instance.
	stoppingBackoff = 500 * time.Millisecond
	// returnSpread is the time over which the instances' less important calls
	// come back after an outage.
	returnSpread = 10 * time.Second
	// burstSeconds is how much unused budget is kept.
	burstSeconds = 2.0
	// minRate is the least part of the budget that throttling leaves.
	minRate = 0.1
	// rateRecovery is the part of the budget won back each second after the
	// platform throttled.
	rateRecovery = 0.05
	// throttleWindow is how long refusals count as one sign: those of calls
	// that were under way together say nothing new.
	throttleWindow = 250 * time.Millisecond
)

// callKind is a kind of call, as the budget counts it.
type callKind int

const (
	callRead callKind = iota
	callWrite
	callWatch
)

// callResult is what a call tells about the platform's health.
type callResult int

const (
	resultOK        callResult = iota // the platform answered
	resultThrottled                   // it refused by its rate limit
	resultFailed                      // it refused as unavailable, or did not answer
	resultNone                        // the caller gave up first: nothing is known
)

// reserve is the share of the burst that a priority leaves for higher ones,
// so that the less important calls are refused first.
var reserve = map[store.Priority]float64{
	store.PriorityBackground: 0.50,
	store.PriorityControl:    0.25,
	store.PriorityRequest:    0.05,
	store.PriorityOperator:   0,
}

// bucket is a token bucket.
type bucket struct {
	rate   float64 // tokens a second
	tokens float64
	last   time.Time
}

func (b *bucket) burst() float64 { return math.Max(4, b.rate*burstSeconds) }

func (b *bucket) refill(now time.Time, share float64) {
	if b.last.IsZero() {
		b.tokens = b.burst()
	} else if passed := now.Sub(b.last).Seconds(); passed > 0 {
		b.tokens = math.Min(b.burst(), b.tokens+passed*b.rate*share)
	}
	b.last = now
}

func (b *bucket) take(p store.Priority) bool {
	if b.tokens-1 < reserve[p]*b.burst() {
		return false
	}
	b.tokens--
	return true
}

// governor decides which calls go out. It is not safe for concurrent use and
// reads no clock: every method is told the time.
type governor struct {
	budget  Budget
	rng     *rand.Rand
	reads   bucket
	writes  bucket
	watches int

	share     float64   // part of the rates in use, lowered when throttled
	shareAt   time.Time // when share was last adjusted
	cutAt     time.Time // when throttling last lowered it
	failures  int       // in a row
	down      bool
	probing   bool
	backoff   time.Duration
	nextProbe time.Time
	// resume holds, after an outage, when each priority may call again.
	resume map[store.Priority]time.Time
	// stopping says that the instance is about to end: it cannot wait for its
	// turn after an outage.
	stopping bool
}

func newGovernor(b Budget, seed uint64) *governor {
	b = b.withDefaults()
	return &governor{
		budget: b,
		rng:    rand.New(rand.NewPCG(seed, 2)),
		reads:  bucket{rate: b.ReadsPerSecond},
		writes: bucket{rate: b.WritesPerSecond},
		share:  1,
		resume: make(map[store.Priority]time.Time),
	}
}

// setBudget changes the rates. What was saved up under the old ones is cut to
// the new burst with the next refill.
func (g *governor) setBudget(now time.Time, b Budget) {
	g.reads.refill(now, g.share)
	g.writes.refill(now, g.share)
	g.budget = b.withDefaults()
	g.reads.rate = g.budget.ReadsPerSecond
	g.writes.rate = g.budget.WritesPerSecond
}

// admit asks to make a call now. probe says that the call is the one that
// tries a platform that was down. Every admitted call ends with done.
func (g *governor) admit(now time.Time, kind callKind, p store.Priority) (probe bool, err error) {
	if g.down {
		if g.probing || now.Before(g.nextProbe) {
			return false, store.ErrUnavailable
		}
		g.probing = true
		g.enter(kind)
		return true, nil
	}
	if now.Before(g.resume[p]) {
		return false, store.ErrThrottled
	}
	g.adjust(now)
	if kind == callWatch && g.watches >= g.budget.Watches {
		return false, store.ErrThrottled
	}
	if !g.bucketOf(kind, now).take(p) {
		return false, store.ErrThrottled
	}
	g.enter(kind)
	return false, nil
}

func (g *governor) enter(kind callKind) {
	if kind == callWatch {
		g.watches++
	}
}

func (g *governor) bucketOf(kind callKind, now time.Time) *bucket {
	b := &g.reads
	if kind == callWrite {
		b = &g.writes
	}
	b.refill(now, g.share)
	return b
}

// adjust wins back what throttling took away.
func (g *governor) adjust(now time.Time) {
	if !g.shareAt.IsZero() && g.share < 1 {
		g.share = math.Min(1, g.share+rateRecovery*now.Sub(g.shareAt).Seconds())
	}
	g.shareAt = now
}

// done reports how an admitted call ended.
func (g *governor) done(now time.Time, kind callKind, probe bool, result callResult) {
	if kind == callWatch {
		g.watches--
	}
	if probe {
		g.probing = false
	}
	switch result {
	case resultFailed:
		g.failed(now, probe)
	case resultThrottled:
		g.cut(now)
		g.answered(now)
	case resultOK:
		g.answered(now)
	case resultNone:
		if probe {
			g.schedule(now) // the next caller tries
		}
	}
}

// cut halves the rates, once for all refusals within throttleWindow. After an
// outage the platform refuses a burst of calls at once; halving for each of
// them would leave the instance at a tenth of its budget for many seconds.
func (g *governor) cut(now time.Time) {
	if !g.cutAt.IsZero() && now.Sub(g.cutAt) < throttleWindow {
		return
	}
	g.cutAt = now
	g.adjust(now)
	g.share = math.Max(minRate, g.share/2)
	g.reads.tokens, g.writes.tokens = g.reads.tokens/2, g.writes.tokens/2
}

func (g *governor) failed(now time.Time, probe bool) {
	g.failures++
	switch {
	case g.down && probe:
		g.backoff = min(g.backoff*2, maxBackoff)
	case !g.down && g.failures >= failuresToDown:
		g.down = true
		g.backoff = minBackoff
	default:
		return
	}
	g.schedule(now)
}

// schedule sets when the platform is tried next. Half of the wait is fixed, so
// that probes stay rare, and half is drawn, so that instances that lost the
// platform together try it apart.
func (g *governor) schedule(now time.Time) {
	if g.stopping {
		g.backoff = min(g.backoff, stoppingBackoff)
	}
	half := g.backoff / 2
	g.nextProbe = now.Add(half + time.Duration(g.rng.Int64N(int64(half))))
}

// answered ends an outage. All instances see the platform come back within
// seconds of one another; if each then sent all that has been waiting, the
// platform would be throttled or fall over at once. So the less important
// calls wait a drawn time first, and the budget starts without its burst.
func (g *governor) answered(now time.Time) {
	g.failures = 0
	if !g.down {
		return
	}
	g.down = false
	g.reads.refill(now, 0)
	g.writes.refill(now, 0)
	g.reads.tokens = g.reads.burst() * 0.5
	g.writes.tokens = g.writes.burst() * 0.5
	if g.stopping {
		return
	}
	g.resume[store.PriorityControl] = now.Add(g.draw(returnSpread))
	g.resume[store.PriorityBackground] = now.Add(returnSpread + g.draw(2*returnSpread))
	g.resume[store.PriorityRequest] = now.Add(g.draw(time.Second))
}

// setStopping ends every wait that is longer than a stopping instance has.
func (g *governor) setStopping(now time.Time) {
	g.stopping = true
	clear(g.resume)
	if g.down {
		g.schedule(now)
	}
}

func (g *governor) draw(limit time.Duration) time.Duration {
	return time.Duration(g.rng.Int64N(int64(limit)))
}
