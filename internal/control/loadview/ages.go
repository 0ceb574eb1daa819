package loadview

import (
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// ages turns the moments of targets' clocks into moments of ours.
type ages struct {
	mu       sync.Mutex // guards byTarget and what it points to
	byTarget map[string]*offset
}

// offset is the difference between our clock and a target's, as far as it can
// be told: the smallest one seen lately is the clocks' difference plus the
// smallest lag.
type offset struct {
	smallest time.Duration
	previous time.Duration // of the window before
	began    time.Time     // of the current window
}

const (
	// offsetWindow is how long a smallest offset is trusted without being
	// seen again: clocks drift.
	offsetWindow = 5 * time.Minute
	// clockStep is a jump of the offset that no lag explains.
	clockStep = time.Minute
)

// at returns when the report was true by our clock, never later than the given
// moment. It also returns whether the target's clock was set meanwhile.
//
// A constant lag can't be told from a difference of the clocks. Where both
// clocks are kept (a small difference, behind ours), it counts as lag, the
// reading that makes the report look older; beyond maxLag the target's clock
// is wrong, and only the growth of the difference counts.
func (a *ages) at(target string, report targetapi.LoadReport, asked time.Time, maxLag time.Duration) (time.Time, bool) {
	if report.AtMS == 0 {
		return asked, false
	}
	theirs := time.UnixMilli(report.AtMS)
	a.mu.Lock()
	defer a.mu.Unlock()
	smallest, moved := a.observe(target, asked, asked.Sub(theirs))
	if smallest >= 0 && smallest <= maxLag {
		smallest = 0
	}
	at := theirs.Add(smallest)
	if at.After(asked) {
		at = asked
	}
	return at, moved
}

// observe notes a difference and returns the smallest one. a.mu is held.
func (a *ages) observe(target string, now time.Time, difference time.Duration) (time.Duration, bool) {
	o := a.byTarget[target]
	if o == nil {
		o = &offset{smallest: difference, previous: difference, began: now}
		a.byTarget[target] = o
		return difference, false
	}
	moved := difference-min(o.smallest, o.previous) > clockStep
	if moved {
		*o = offset{smallest: difference, previous: difference, began: now}
	}
	if now.Sub(o.began) > offsetWindow {
		*o = offset{smallest: difference, previous: o.smallest, began: now}
	}
	o.smallest = min(o.smallest, difference)
	return min(o.smallest, o.previous), moved
}

// retain drops targets that are gone.
func (a *ages) retain(targets map[string]board.Target) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id := range a.byTarget {
		if _, there := targets[id]; !there {
			delete(a.byTarget, id)
		}
	}
}
