package stagework

import (
	"errors"
	"maps"
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
)

// A target that is listed under its id with a later start is a new target: it holds no
// results and no prompt parts, and runs no calls. The record of the earlier start is kept
// only by what still refers to it. Counts of what was sent within the last span of a rate
// limit are kept: it may be that the later start got it.

// newStageTarget returns the state of a stage target of which nothing is known.
func newStageTarget(t fleet.Target, v *service) *stageTarget {
	return &stageTarget{info: t, service: v, latencyRatio: v.latencyRatio, limitWindow: v.bounds.window()}
}

// replaceStageTarget replaces the record of a stage target by one of its later start. The
// results of the earlier start are lost: the next plan has those made again that are still
// needed. Its calls end by themselves.
func (p *Planner) replaceStageTarget(s *stageTarget, later fleet.Target) {
	p.dueNow()
	s.removed = true
	maps.DeleteFunc(p.pendingReleases, func(_ string, l pendingRelease) bool { return l.target == s })
	if later.Service != s.service.name {
		delete(s.service.targets, later.ID)
		return
	}
	next := newStageTarget(later, s.service)
	next.limitWindow = s.limitWindow
	s.limitWindow = s.service.bounds.window()
	s.service.targets[later.ID] = next
}

// replaceEngine replaces the record of an engine by one of its later start. The jobs of the
// earlier start refer to its record until they end.
func (p *pool) replaceEngine(e *engine, later fleet.Target) {
	e.removed = true
	if later.Service != p.name {
		delete(p.engines, later.ID)
		return
	}
	next := newEngine(later, p.bounds)
	next.limitWindow, next.sentWindow = e.limitWindow, e.sentWindow
	p.engines[later.ID] = next
}

// startedAfter reports whether the target states that it started after the given time. If
// the clocks of the platform and of this instance differ, a result may be made again that
// is there, or be used although it is lost, as those are of targets that state no start.
func (s *stageTarget) startedAfter(at time.Time) bool {
	return s.info.Started != 0 && at.UnixMilli() < s.info.Started
}

// pending returns the batch without the results that need no release any more: they were
// of a start of a target that has ended, and the later one may give the same handles to
// its own results.
func (b releaseBatch) pending() releaseBatch {
	left := make(releaseBatch, len(b))
	for at, handles := range b {
		handles = slices.DeleteFunc(handles, func(h string) bool {
			_, pending := at.planner.pendingReleases[h]
			return !pending
		})
		if len(handles) > 0 {
			left[at] = handles
		}
	}
	return left
}

// logReport logs that a target's report is one of another start and is not applied.
func (d *Dispatcher) logReport(t fleet.Target, err error) {
	if errors.Is(err, relay.ErrOtherStart) {
		d.o.Logger.Log(event.StageReportOfOtherStart, "target", t.ID, "started", t.Started, "err", err)
	}
}
