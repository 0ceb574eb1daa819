package admission

import "time"

const (
	budgetSlices = 10
	// hedgePart is the part of the budget that hedges may use.
	hedgePart = 0.5
)

// repeatBudget grants repeats as a share of the first attempts of a sliding
// window. Without it, a slow service gets twice or thrice its load just when
// it can't bear it: the sign would be repeats that rise with failures.
type repeatBudget struct {
	slices [budgetSlices]budgetSlice
	at     int64 // number of the newest slice
}

// budgetSlice counts hedges in repeats too.
type budgetSlice struct{ first, repeats, hedges, faults int }

func (b *repeatBudget) advance(now time.Time, window time.Duration) {
	number := now.UnixNano() / max(int64(window)/budgetSlices, 1)
	if number-b.at >= budgetSlices {
		b.slices = [budgetSlices]budgetSlice{}
		b.at = number
	}
	for b.at < number {
		b.at++
		b.slices[b.at%budgetSlices] = budgetSlice{}
	}
}

func (b *repeatBudget) current() *budgetSlice {
	return &b.slices[b.at%budgetSlices]
}

func (b *repeatBudget) totals() (total budgetSlice) {
	for _, s := range b.slices {
		total.first += s.first
		total.repeats += s.repeats
		total.hedges += s.hedges
		total.faults += s.faults
	}
	return total
}

func (b *repeatBudget) countFirst(now time.Time, l *GateLimits) {
	b.advance(now, l.RepeatWindow)
	b.current().first++
}

// takeRepeat counts a repeat if the budget has room for it.
func (b *repeatBudget) takeRepeat(now time.Time, l *GateLimits) bool {
	b.advance(now, l.RepeatWindow)
	total := b.totals()
	if float64(total.repeats+1) > max(float64(l.RepeatMin), l.RepeatShare*float64(total.first)) {
		return false
	}
	b.current().repeats++
	return true
}

// takeHedge counts a hedge, of which the budget holds half at most. When
// everything is a little slow, hedges would otherwise use up all of it, and a
// call whose reply was lost could not be made again: it would wait out its
// deadline.
func (b *repeatBudget) takeHedge(now time.Time, l *GateLimits) bool {
	b.advance(now, l.RepeatWindow)
	total := b.totals()
	if float64(total.hedges+1) > hedgePart*max(float64(l.RepeatMin), l.RepeatShare*float64(total.first)) || !b.takeRepeat(now, l) {
		return false
	}
	b.current().hedges++
	return true
}

// takeFault counts a repeat after a fault that is not load. When the
// connections of half a service are lost at once, as many calls have to be made
// again, once each; that does not grow with the load as repeats after timeouts
// do, so it must not use up their budget. It is bounded all the same: a target
// that breaks every call would double the load.
func (b *repeatBudget) takeFault(now time.Time, l *GateLimits) bool {
	b.advance(now, l.RepeatWindow)
	total := b.totals()
	if float64(total.faults+1) > max(float64(l.FaultMin), l.FaultShare*float64(total.first)) {
		return false
	}
	b.current().faults++
	return true
}
