package storeclient

import (
	"math"
	"math/rand/v2"
	"time"

	"lynxhill.example/lynxhill/internal/defaults"
	"lynxhill.example/lynxhill/internal/store"
)

// Budget is this instance's part of the platform's rate limits. The platform counts
// every call, including a waiting watch.
type Budget struct {
	WritesPerSecond float64 // Put, Delete and Register
	ReadsPerSecond  float64 // Get, List, Instances, and each Watch call
	Watches         int     // watches in flight at the same time
}

// DefaultBudget is an instance's part of DefaultFleetBudget in a fleet of eight.
var DefaultBudget = Budget{WritesPerSecond: 40, ReadsPerSecond: 150, Watches: 8}

// withDefaults fills in zero fields.
func (b Budget) withDefaults() Budget {
	defaults.Positive(&b.WritesPerSecond, DefaultBudget.WritesPerSecond)
	defaults.Positive(&b.ReadsPerSecond, DefaultBudget.ReadsPerSecond)
	defaults.Positive(&b.Watches, DefaultBudget.Watches)
	return b
}

// Limits and times of outage detection, recovery and rate reduction.
const (
	// failuresToDown is the number of consecutive failed calls that mean an outage.
	failuresToDown = 3
	minBackoff     = 250 * time.Millisecond
	maxBackoff     = 30 * time.Second
	// stoppingBackoff is the longest wait between the probes of an instance that is
	// shutting down.
	stoppingBackoff = 500 * time.Millisecond
	// recoverySpread is the range of the random delay after which the instances'
	// less important calls resume after an outage.
	recoverySpread = 10 * time.Second
	// burstSeconds is how many seconds of unused budget a bucket holds.
	burstSeconds = 2.0
	// minRate is the smallest part of the budget to which throttling reduces it.
	minRate = 0.1
	// rateRecovery is the part of the budget that is restored each second after the
	// platform throttled.
	rateRecovery = 0.05
	// throttleWindow is the time within which all throttled calls count as one
	// signal: calls that were in flight together carry no further information.
	throttleWindow = 250 * time.Millisecond
)

// callKind is the kind of a call, as the budget counts it.
type callKind int

const (
	callRead callKind = iota
	callWrite
	callWatch
)

// callResult is what the end of a call says about the platform's health.
type callResult int

const (
	resultOK        callResult = iota // the platform answered
	resultThrottled                   // it refused the call by its rate limit
	resultFailed                      // it refused the call as unavailable, or did not answer
	resultNone                        // the caller gave up first, so the result says nothing
)

// reserve is the part of the burst that a priority leaves for higher priorities, so
// that the less important calls are shed first.
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

// limiter decides which calls are sent: it is the rate limiter and the circuit breaker
// of a client. It is not safe for concurrent use and reads no clock: the caller passes
// the time to every method.
type limiter struct {
	budget  Budget
	rng     *rand.Rand
	reads   bucket
	writes  bucket
	watches int

	share     float64   // part of the rates in use, lowered when throttled
	shareAt   time.Time // when share was last adjusted
	reducedAt time.Time // when throttling last reduced it
	failures  int       // consecutive
	down      bool
	probing   bool
	backoff   time.Duration
	nextProbe time.Time
	// resumeAt holds, after an outage, when each priority may call again.
	resumeAt map[store.Priority]time.Time
	// stopping is set while the instance shuts down: its calls cannot wait for
	// resumeAt after an outage.
	stopping bool
}

func newLimiter(b Budget, seed uint64) *limiter {
	b = b.withDefaults()
	return &limiter{
		budget:   b,
		rng:      rand.New(rand.NewPCG(seed, 2)),
		reads:    bucket{rate: b.ReadsPerSecond},
		writes:   bucket{rate: b.WritesPerSecond},
		share:    1,
		resumeAt: make(map[store.Priority]time.Time),
	}
}

// setBudget changes the rates. Tokens saved under the old rates are limited to the new
// burst at the next refill.
func (g *limiter) setBudget(now time.Time, b Budget) {
	g.reads.refill(now, g.share)
	g.writes.refill(now, g.share)
	g.budget = b.withDefaults()
	g.reads.rate = g.budget.ReadsPerSecond
	g.writes.rate = g.budget.WritesPerSecond
}

// admit decides whether a call may be sent now. probe reports that the call tests a
// platform that is considered down. The caller has to call done for every admitted
// call.
func (g *limiter) admit(now time.Time, kind callKind, p store.Priority) (probe bool, err error) {
	if g.down {
		if g.probing || now.Before(g.nextProbe) {
			return false, store.ErrUnavailable
		}
		g.probing = true
		g.enter(kind)
		return true, nil
	}
	if now.Before(g.resumeAt[p]) {
		return false, store.ErrThrottled
	}
	g.recoverRates(now)
	if kind == callWatch && g.watches >= g.budget.Watches {
		return false, store.ErrThrottled
	}
	if !g.bucketOf(kind, now).take(p) {
		return false, store.ErrThrottled
	}
	g.enter(kind)
	return false, nil
}

func (g *limiter) enter(kind callKind) {
	if kind == callWatch {
		g.watches++
	}
}

func (g *limiter) bucketOf(kind callKind, now time.Time) *bucket {
	b := &g.reads
	if kind == callWrite {
		b = &g.writes
	}
	b.refill(now, g.share)
	return b
}

// recoverRates restores the rates gradually after throttling reduced them.
func (g *limiter) recoverRates(now time.Time) {
	if !g.shareAt.IsZero() && g.share < 1 {
		g.share = math.Min(1, g.share+rateRecovery*now.Sub(g.shareAt).Seconds())
	}
	g.shareAt = now
}

// done records the result of an admitted call.
func (g *limiter) done(now time.Time, kind callKind, probe bool, result callResult) {
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
		g.reduceRates(now)
		g.answered(now)
	case resultOK:
		g.answered(now)
	case resultNone:
		if probe {
			g.scheduleProbe(now) // the next caller probes
		}
	}
}

// reduceRates halves the rates, once for all throttled calls within throttleWindow.
// After an outage the platform refuses a burst of calls at once; halving the rates for
// each of them would leave the instance at a tenth of its budget for many seconds.
func (g *limiter) reduceRates(now time.Time) {
	if !g.reducedAt.IsZero() && now.Sub(g.reducedAt) < throttleWindow {
		return
	}
	g.reducedAt = now
	g.recoverRates(now)
	g.share = math.Max(minRate, g.share/2)
	g.reads.tokens, g.writes.tokens = g.reads.tokens/2, g.writes.tokens/2
}

func (g *limiter) failed(now time.Time, probe bool) {
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
	g.scheduleProbe(now)
}

// scheduleProbe sets the time of the next probe. Half of the backoff is fixed, so that
// probes stay rare, and half is jitter, so that instances that lost the platform at the
// same time probe it at different times.
func (g *limiter) scheduleProbe(now time.Time) {
	if g.stopping {
		g.backoff = min(g.backoff, stoppingBackoff)
	}
	half := g.backoff / 2
	g.nextProbe = now.Add(half + time.Duration(g.rng.Int64N(int64(half))))
}

// answered ends an outage. All instances see the platform come back within seconds of
// one another; if each sent all its waiting calls at once, the platform would throttle
// them or be overloaded. The less important calls therefore wait a random time first,
// and the token buckets start at half of their burst.
func (g *limiter) answered(now time.Time) {
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
	g.resumeAt[store.PriorityControl] = now.Add(g.randomDelay(recoverySpread))
	g.resumeAt[store.PriorityBackground] = now.Add(recoverySpread + g.randomDelay(2*recoverySpread))
	g.resumeAt[store.PriorityRequest] = now.Add(g.randomDelay(time.Second))
}

// setStopping ends every wait that is longer than an instance that is shutting down
// can afford.
func (g *limiter) setStopping(now time.Time) {
	g.stopping = true
	clear(g.resumeAt)
	if g.down {
		g.scheduleProbe(now)
	}
}

func (g *limiter) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(g.rng.Int64N(int64(limit)))
}
