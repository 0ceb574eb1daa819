package loadview

import (
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// clockOffsets converts timestamps of targets' clocks to the local clock.
type clockOffsets struct {
	mu       sync.Mutex // guards byTarget and the values it points to
	byTarget map[string]*offset
}

// offset estimates the difference between the local clock and a target's. The
// smallest difference observed recently is the difference of the clocks plus the
// smallest lag of a report.
type offset struct {
	smallest    time.Duration
	previous    time.Duration // smallest difference in the previous window
	windowStart time.Time     // start of the current window
}

const (
	// offsetWindow is the length of the windows in which the smallest offset is
	// tracked. An offset expires after its window and the next one unless it is
	// observed again, because clocks drift.
	offsetWindow = 5 * time.Minute
	// clockStep is the increase of the offset above which the target's clock is
	// taken to have been set, since a lag would not be that long.
	clockStep = time.Minute
)

// localTime returns the time by the local clock at which the report was true,
// never later than asked. It also returns whether the target's clock was set in
// the meantime.
//
// A constant lag cannot be distinguished from a difference of the clocks. If the
// target's clock is behind by at most maxLag, both clocks are assumed to be
// synchronised and the difference is treated as lag, the interpretation that makes
// the report look older. Beyond maxLag the target's clock is taken to be wrong,
// and only the growth of the difference counts as lag.
func (a *clockOffsets) localTime(target string, report targetapi.LoadReport, asked time.Time, maxLag time.Duration) (time.Time, bool) {
	if report.AtMS == 0 {
		return asked, false
	}
	reported := time.UnixMilli(report.AtMS)
	a.mu.Lock()
	defer a.mu.Unlock()
	smallest, stepped := a.update(target, asked, asked.Sub(reported))
	if smallest >= 0 && smallest <= maxLag {
		smallest = 0
	}
	at := reported.Add(smallest)
	if at.After(asked) {
		at = asked
	}
	return at, stepped
}

// update records a difference and returns the smallest recent one, and whether the
// target's clock was set. a.mu must be held.
func (a *clockOffsets) update(target string, now time.Time, difference time.Duration) (time.Duration, bool) {
	o := a.byTarget[target]
	if o == nil {
		o = &offset{smallest: difference, previous: difference, windowStart: now}
		a.byTarget[target] = o
		return difference, false
	}
	stepped := difference-min(o.smallest, o.previous) > clockStep
	if stepped {
		*o = offset{smallest: difference, previous: difference, windowStart: now}
	}
	if now.Sub(o.windowStart) > offsetWindow {
		*o = offset{smallest: difference, previous: o.smallest, windowStart: now}
	}
	o.smallest = min(o.smallest, difference)
	return min(o.smallest, o.previous), stepped
}

// retain drops the state of targets that are not in targets.
func (a *clockOffsets) retain(targets map[string]board.Target) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id := range a.byTarget {
		if _, there := targets[id]; !there {
			delete(a.byTarget, id)
		}
	}
}
