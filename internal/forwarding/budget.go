package forwarding

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/event"
)

// budgetParts is the number of slots that the window of a RetryBudget is divided into.
// One slot more is kept: with budgetParts slots, a retry at the end of a slot would
// be forgotten when the slot is reused, up to the length of a slot before the
// window has passed.
const (
	budgetParts = 10
	budgetSlots = budgetParts + 1
	// requestSlots covers the current window and the one before it.
	requestSlots = 2*budgetParts + 1
)

const (
	// currentWeight and previousWeight are the weights of the requests of a window and
	// of the window before it, to which the ratio applies. The bound uses the larger of
	// the two windows. Fixed weights that add up to at most 1 keep the sum over all
	// instances, and over the processes before and after a restart, within it: traffic
	// that moves between instances within a window is not counted twice. The weights
	// add up to less than 1 because requests are counted in slots.
	currentWeight, previousWeight = 0.2, 0.7
	// extraShare is the share of the extra retries that is used, because windows
	// begin at different moments on different instances.
	extraShare = 0.8
	// joiningExtraShare is the share of the extra retries that a new instance uses
	// until a window and joinDelay have passed. It adds up to 1 with extraShare, the
	// share that the previous process may have used.
	joiningExtraShare = 1 - extraShare
	// joinDelay is the maximum time until the other instances count an instance that
	// has joined.
	joinDelay = 3 * time.Second
)

// RetryBudgetOptions configure a RetryBudget.
type RetryBudgetOptions struct {
	Ratio  float64       // retries per request
	Extra  float64       // additional retries per window, of all instances together
	Window time.Duration // period to which both limits apply
	// Instances returns how many instances share the extra retries, including
	// unreachable ones; 0 = not known yet.
	Instances func() int
	// Rank returns how many of the instances come before this one in an order, of its own
	// for each service, on which all agree. nil = there are few instances.
	Rank   func(service string) int
	Clock  clock.Clock
	Logger *event.Logger // nil disables logging
}

// RetryBudgetStats holds the counters of a RetryBudget since its creation.
type RetryBudgetStats struct {
	Allowed, Refused int64 // retries
	Instances        int   // last divisor of the extra retries; 0 = none yet
}

// RetryBudget limits how often requests are sent to a second
// target. The budget is a share of this instance's own requests in the window, plus
// an equal part of a number of extra retries that all instances share.
//
// Without it, a fault makes many requests fail, each is sent once more, and the
// service that is short of capacity gets twice the load. The symptom is that targets
// receive more requests than callers send.
//
// The sum over all instances stays within the bound during partitions, crashes,
// restarts and while traffic moves between instances. Each request counts at one
// instance only and with a single weight in each window, see currentWeight. The
// extra retries are divided by the number of all instances ever known, reachable or
// not. A new instance does not know what its previous process spent, and the others
// do not count it yet. Until a window and joinDelay have passed, it uses only the
// share joiningExtraShare of its part of the extra retries, which increases linearly
// from 0 over the first window: if it were granted at once, each restart would allow
// it to be spent again. The divisor decreases one window after the number of
// instances does, because the instances that are gone may have spent their parts.
//
// In a fleet with more instances than extra retries, equal parts are below one, and no
// instance could ever retry. The first in rank then have one each, the others none.
//
// Parts in proportion to demand were considered (TestEqualPartsCost). With 80 of 100
// requests at one of five instances, and with an extra of 56 and a ratio of 0.2 as
// operators set them, that instance can retry 96% of what it could with a
// proportional part at 5,000 requests a window, 75% at 500 and 37% at 50: the ratio
// follows demand by itself, so only services with few requests are at a
// disadvantage. Proportional parts would have to be sent with each heartbeat for each
// service, and would be as outdated as the number of instances is; they are not
// implemented.
type RetryBudget struct {
	mu             sync.Mutex // guards all below
	o              RetryBudgetOptions
	startedAt      time.Time
	services       map[string]*budgetWindow
	instanceCounts budgetWindow // its retries hold the maximum number of instances in each slot
	knownInstances int          // last known number of instances
	stats          RetryBudgetStats
}

// budgetWindow counts a service's requests and retries in time slots.
type budgetWindow struct {
	requests [requestSlots]int
	retries  [budgetSlots]int
	newest   int64 // number of the newest slot
}

// NewRetryBudget returns the budget of an instance that starts now.
func NewRetryBudget(o RetryBudgetOptions) *RetryBudget {
	return &RetryBudget{o: o, startedAt: o.Clock.Now(), services: make(map[string]*budgetWindow)}
}

// SetBounds replaces the bounds. Requests and retries of the current window still
// count, unless the window length changes: the budget then starts over like that
// of a new instance.
func (b *RetryBudget) SetBounds(ratio, extra float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if window != b.o.Window {
		b.startedAt = b.o.Clock.Now()
		b.services, b.instanceCounts = make(map[string]*budgetWindow), budgetWindow{}
	}
	b.o.Ratio, b.o.Extra, b.o.Window = ratio, extra, window
}

// Request counts a request for the service.
func (b *RetryBudget) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.requests[w.newest%requestSlots]++
}

// Spend takes a retry from the service's budget. It returns false if none is left.
func (b *RetryBudget) Spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.trySpend(service) {
		b.stats.Refused++
		return false
	}
	return true
}

// spendPollInterval is the interval at which SpendWithin checks the budget.
const spendPollInterval = 20 * time.Millisecond

// SpendWithin is like Spend, but waits for a retry to become available, for at most
// limit and until ctx ends.
func (b *RetryBudget) SpendWithin(ctx context.Context, service string, limit time.Duration) bool {
	for until := b.o.Clock.Now().Add(limit); ; {
		b.mu.Lock()
		spent := b.trySpend(service)
		b.mu.Unlock()
		if spent {
			return true
		}
		if !b.o.Clock.Now().Before(until) || !loop.Sleep(ctx, b.o.Clock, spendPollInterval) {
			break
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.Refused++
	return false
}

// trySpend takes a retry if one is left. The caller must hold b.mu.
func (b *RetryBudget) trySpend(service string) bool {
	w := b.window(service)
	if float64(sum(w.retries[:])+1) > b.o.Ratio*w.weightedRequests()+b.extra(service) {
		return false
	}
	w.retries[w.newest%budgetSlots]++
	b.stats.Allowed++
	return true
}

// Stats returns a snapshot of the counters.
func (b *RetryBudget) Stats() RetryBudgetStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}

// window returns the service's window, advanced to the current slot. The caller must
// hold b.mu.
func (b *RetryBudget) window(service string) *budgetWindow {
	w := b.services[service]
	if w == nil {
		w = &budgetWindow{newest: b.slot()}
		b.services[service] = w
	}
	w.advance(b.slot(), 0)
	return w
}

// slot returns the number of the current slot since the budget began, by the
// monotonic clock: if it followed the wall clock, a step forward would make the
// budget forget what was spent within the window.
func (b *RetryBudget) slot() int64 {
	return int64(b.o.Clock.Now().Sub(b.startedAt)) / max(int64(b.o.Window)/budgetParts, 1)
}

// advance moves the newest slot up to now. Each new slot starts with no requests and
// the given number of retries.
func (w *budgetWindow) advance(now int64, retries int) {
	w.newest = max(w.newest, now-requestSlots)
	for w.newest < now {
		w.newest++
		w.requests[w.newest%requestSlots], w.retries[w.newest%budgetSlots] = 0, retries
	}
}

// extra returns this instance's part of the extra retries for the service. The caller must
// hold b.mu.
func (b *RetryBudget) extra(service string) float64 {
	age, share, ramp := b.o.Clock.Now().Sub(b.startedAt), extraShare, 1.0
	if age < b.o.Window+joinDelay {
		share, ramp = joiningExtraShare, min(age.Seconds()/b.o.Window.Seconds(), 1)
	}
	instances := b.instances()
	if instances == 0 {
		return 0
	}
	all := share * ramp * b.o.Extra
	extra := all / float64(instances)
	if instances != b.stats.Instances {
		b.o.Logger.Log(event.ForwardBudgetShared, "instances", instances, "before", b.stats.Instances, "known", b.knownInstances, "part", extra, "age", age)
		b.stats.Instances = instances
	}
	if extra >= 1 || b.o.Rank == nil {
		return extra
	}
	if float64(b.o.Rank(service)+1) <= all {
		return 1
	}
	return 0
}

// instances returns the largest number of instances known within the window, or
// 0 if the number is not known yet. The caller must hold b.mu.
func (b *RetryBudget) instances() int {
	n, w := b.o.Instances(), &b.instanceCounts
	// The slots since the last call get the last known number.
	w.advance(b.slot(), b.knownInstances)
	if n == 0 {
		return 0
	}
	b.knownInstances = n
	w.retries[w.newest%budgetSlots] = max(w.retries[w.newest%budgetSlots], n)
	return slices.Max(w.retries[:])
}

// weightedRequests returns the number of requests to which the ratio applies for a
// retry sent now: the sum of the requests of a window and of the window before it,
// weighted by currentWeight and previousWeight. The result is the smallest such sum
// over all windows in which the retry may be counted.
func (w *budgetWindow) weightedRequests() float64 {
	smallest := math.Inf(1)
	for begin := w.newest - budgetParts + 1; begin <= w.newest; begin++ {
		current, previous := w.requestsBetween(begin, w.newest+1), w.requestsBetween(begin-budgetParts, begin)
		smallest = min(smallest, currentWeight*float64(current)+previousWeight*float64(previous))
	}
	return smallest
}

// requestsBetween returns the number of requests in the slots [from, to).
func (w *budgetWindow) requestsBetween(from, to int64) (n int) {
	for slot := max(from, 0); slot < to; slot++ {
		n += w.requests[slot%requestSlots]
	}
	return n
}

func sum(slots []int) int {
	total := 0
	for _, n := range slots {
		total += n
	}
	return total
}
