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

// budgetParts is how finely the window of a Budget is divided. One more slot is
// kept: with as many as parts, a repeat at the end of a slot would be forgotten
// when the slot's place is used again, up to a part before the window has passed.
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
	// budgetCaution is the share of the extra repeats that is used, because windows
	// begin at different moments on different instances.
	budgetCaution = 0.8
	// budgetJoining is the share of the extra repeats that a new instance uses until a
	// window and budgetTold have passed. It adds up to 1 with budgetCaution, the
	// share that the previous process may have used.
	budgetJoining = 1 - budgetCaution
	// budgetTold is how long it takes at most until the others count an instance
	// that has joined.
	budgetTold = 3 * time.Second
)

// BudgetOptions configure a Budget.
type BudgetOptions struct {
	Ratio  float64       // repeats for each request
	Extra  float64       // repeats beside those, of all instances together
	Window time.Duration // over which both count
	// Instances returns how many instances share the extra repeats, including
	// unreachable ones; 0 = not known yet.
	Instances func() int
	Clock     clock.Clock
	Logger    *event.Logger // nil disables logging
}

// BudgetStats holds the counters of a Budget since its creation.
type BudgetStats struct {
	Allowed, Refused int64 // repeats
	Instances        int   // last divisor of the extra repeats; 0 = none yet
}

// Budget bounds how often requests are sent to a second target.
//
// What goes wrong without it: a fault fails many requests, each is sent once
// more, and the service that is short of capacity gets twice the load. One
// notices it by arrivals that outnumber requests. The budget is a share of this
// instance's own requests of the window, and an equal part of a number that all
// instances share.
//
// The sum over all instances stays within the bound during partitions, crashes,
// restarts and while traffic moves between instances. Each request counts at one
// instance only and with a single weight in each window, see currentWeight. The
// extra repeats are divided by all instances ever heard of, reachable or not. A new
// instance does not know what its previous process spent, and the others do not
// count it yet. Until a window and budgetTold have passed, it uses only the share
// budgetJoining of its part of the extra repeats, which increases linearly from 0
// over the first window: if it were granted at once, each restart would allow it to
// be spent again. The divisor decreases one window after the number of instances
// does, because the instances that are gone may have spent their parts.
//
// Parts by demand were weighed (TestEqualPartsCost). With 80 in 100 requests at
// one of five instances, an extra of 56 and a ratio of 0.2, as operators set
// them, that instance repeats 96 in 100 of what it could with a part by demand
// at 5,000 requests a window, 75 at 500 and 37 at 50: the ratio follows
// demand by itself, so that only services with few requests lose. Parts by
// demand would have to be told on each heartbeat for each service, and be as
// late as these; they are not built.
type Budget struct {
	mu       sync.Mutex // guards all below
	o        BudgetOptions
	begun    time.Time
	services map[string]*budgetWindow
	counts   budgetWindow // counts.repeats holds the most instances seen in each slot
	known    int          // last known number of instances
	stats    BudgetStats
}

// budgetWindow counts a service's requests and repeats in slots of time.
type budgetWindow struct {
	requests [requestSlots]int
	repeats  [budgetSlots]int
	newest   int64 // number of the newest slot
}

// NewBudget returns a budget of which nothing is spent.
func NewBudget(o BudgetOptions) *Budget {
	return &Budget{o: o, begun: o.Clock.Now(), services: make(map[string]*budgetWindow)}
}

// SetBounds replaces the bounds. Requests and repeats of the current window still
// count, unless the window length changes: the budget then starts over like that
// of a new instance.
func (b *Budget) SetBounds(ratio, extra float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if window != b.o.Window {
		b.begun = b.o.Clock.Now()
		b.services, b.counts = make(map[string]*budgetWindow), budgetWindow{}
	}
	b.o.Ratio, b.o.Extra, b.o.Window = ratio, extra, window
}

// Request counts a request for the service.
func (b *Budget) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.requests[w.newest%requestSlots]++
}

// Spend takes a repeat from the service's budget. It returns false if nothing
// is left.
func (b *Budget) Spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.trySpend(service) {
		b.stats.Refused++
		return false
	}
	return true
}

// spendPoll is how often SpendWithin looks again.
const spendPoll = 20 * time.Millisecond

// SpendWithin is Spend that waits for a repeat, at most for limit and until ctx
// ends.
func (b *Budget) SpendWithin(ctx context.Context, service string, limit time.Duration) bool {
	for until := b.o.Clock.Now().Add(limit); ; {
		b.mu.Lock()
		spent := b.trySpend(service)
		b.mu.Unlock()
		if spent {
			return true
		}
		if !b.o.Clock.Now().Before(until) || !loop.Sleep(ctx, b.o.Clock, spendPoll) {
			break
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.Refused++
	return false
}

// trySpend takes a repeat if one is left. b.mu is held.
func (b *Budget) trySpend(service string) bool {
	w := b.window(service)
	if float64(sum(w.repeats[:])+1) > b.o.Ratio*w.weightedRequests()+b.extra() {
		return false
	}
	w.repeats[w.newest%budgetSlots]++
	b.stats.Allowed++
	return true
}

// Stats returns a snapshot of the counters.
func (b *Budget) Stats() BudgetStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}

// window returns the service's window with the slots that have passed emptied.
func (b *Budget) window(service string) *budgetWindow {
	w := b.services[service]
	if w == nil {
		w = &budgetWindow{newest: b.slot()}
		b.services[service] = w
	}
	w.advance(b.slot(), 0)
	return w
}

// slot is the number of the present slot since the budget began. It does not
// follow the time of day: if that steps forward, what was spent within the
// window would be forgotten.
func (b *Budget) slot() int64 {
	return int64(b.o.Clock.Now().Sub(b.begun)) / max(int64(b.o.Window)/budgetParts, 1)
}

// advance moves the newest slot up to now. Each new slot starts with no requests and
// the given number of repeats.
func (w *budgetWindow) advance(now int64, repeats int) {
	w.newest = max(w.newest, now-requestSlots)
	for w.newest < now {
		w.newest++
		w.requests[w.newest%requestSlots], w.repeats[w.newest%budgetSlots] = 0, repeats
	}
}

// extra returns this instance's part of the extra repeats.
func (b *Budget) extra() float64 {
	age, share, ramp := b.o.Clock.Now().Sub(b.begun), budgetCaution, 1.0
	if age < b.o.Window+budgetTold {
		share, ramp = budgetJoining, min(age.Seconds()/b.o.Window.Seconds(), 1)
	}
	instances := b.instances()
	if instances == 0 {
		return 0
	}
	extra := share * ramp * b.o.Extra / float64(instances)
	if instances != b.stats.Instances {
		b.o.Logger.Log(event.ForwardBudgetShared, "instances", instances, "before", b.stats.Instances, "known", b.known, "part", extra, "age", age)
		b.stats.Instances = instances
	}
	return extra
}

// instances returns the largest number of instances known within the window, or
// 0 if the number is not known yet.
func (b *Budget) instances() int {
	n, w := b.o.Instances(), &b.counts
	// Nobody counted in the slots that passed since: what was last seen stands.
	w.advance(b.slot(), b.known)
	if n == 0 {
		return 0
	}
	b.known = n
	w.repeats[w.newest%budgetSlots] = max(w.repeats[w.newest%budgetSlots], n)
	return slices.Max(w.repeats[:])
}

// weightedRequests returns the number of requests to which the ratio applies for a
// repeat sent now: the sum of the requests of a window and of the window before it,
// weighted by currentWeight and previousWeight. The result is the smallest such sum
// over all windows in which the repeat may be counted.
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
