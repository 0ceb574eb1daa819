package forwarding

import (
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/clock"
)

// budgetParts is how finely the window of a Budget is divided. One more slot is
// kept: with as many as parts, a repeat at the end of a slot would be forgotten
// when the slot's place is used again, up to a part before the window has passed.
const (
	budgetParts = 10
	budgetSlots = budgetParts + 1
)

// budgetCaution is the share of the budget that is used: windows of the
// instances do not begin at the same moment.
const budgetCaution = 0.8

// BudgetOptions configure a Budget.
type BudgetOptions struct {
	Ratio  float64       // repeats for each request
	Extra  float64       // repeats beside those, of all instances together
	Window time.Duration // over which both count
	// Instances returns how many instances share the extra repeats.
	Instances func() int
	Clock     clock.Clock
}

// Budget bounds how often requests are sent to a second target.
//
// What goes wrong without it: a fault fails many requests, each is sent once
// more, and the service that is short of capacity gets twice the load. One
// notices it by arrivals that outnumber requests. The budget is a share of this
// instance's own requests of the window, and an equal part of a number that all
// instances share.
type Budget struct {
	o BudgetOptions

	mu       sync.Mutex // guards services
	services map[string]*budgetWindow
}

// budgetWindow counts a service's requests and repeats in slots of time.
type budgetWindow struct {
	requests, repeats [budgetSlots]int
	newest            int64 // number of the newest slot
}

// NewBudget returns a budget of which nothing is spent.
func NewBudget(o BudgetOptions) *Budget {
	return &Budget{o: o, services: make(map[string]*budgetWindow)}
}

// Request counts a request for the service.
func (b *Budget) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.requests[w.newest%budgetSlots]++
}

// Spend takes a repeat from the service's budget. It returns false if nothing
// is left.
func (b *Budget) Spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	requests, repeats := sum(w.requests), sum(w.repeats)
	share := b.o.Extra / float64(max(b.o.Instances(), 1))
	if float64(repeats+1) > budgetCaution*(b.o.Ratio*float64(requests)+share) {
		return false
	}
	w.repeats[w.newest%budgetSlots]++
	return true
}

// window returns the service's window with the slots that have passed emptied.
func (b *Budget) window(service string) *budgetWindow {
	w := b.services[service]
	now := b.o.Clock.Now().UnixNano() / max(int64(b.o.Window)/budgetParts, 1)
	if w == nil {
		w = &budgetWindow{newest: now}
		b.services[service] = w
	}
	for ; w.newest < now; w.newest++ {
		if now-w.newest > budgetSlots {
			*w = budgetWindow{newest: now}
			break
		}
		next := (w.newest + 1) % budgetSlots
		w.requests[next], w.repeats[next] = 0, 0
	}
	return w
}

func sum(slots [budgetSlots]int) int {
	total := 0
	for _, n := range slots {
		total += n
	}
	return total
}
