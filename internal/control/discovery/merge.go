package discovery

import (
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/store"
	"lynxhill.example/lynxhill/internal/wire/platformapi"
)

// targetOf converts an entry of the list to a target without marks.
func targetOf(i store.Instance) board.Target {
	return board.Target{
		ID: i.ID, Service: i.Service, Kind: profile.Kind(i.Kind), Provider: i.Provider,
		Address: i.Address, Zone: i.Zone, Region: i.Region, ChecksFence: i.ChecksFence,
	}
}

// mergeOne merges one entry of the list.
func (c *Controller) mergeOne(instance store.Instance, asked time.Time) {
	load, hasLoad := c.opts.Board.Loads.Get(instance.ID)
	var happened event.ID
	c.opts.Board.Targets.Update(instance.ID, func(old board.Target, found bool) (board.Target, bool) {
		next := targetOf(instance)
		next.Leaving, next.LeavingSince, next.LeavingSign, next.LiveSince = old.Leaving, old.LeavingSince, old.LeavingSign, old.LiveSince
		switch {
		case instance.State == platformapi.StateLeaving:
			if marked, changed := next.MarkLeaving(asked, c.opts.Clock.Now()); changed {
				next, happened = marked, event.TargetLeavingSeen
			}
		case !found:
			happened = event.TargetJoined
		case next.Leaving && c.liveAgain(next, asked, load, hasLoad):
			next.Leaving, next.LiveSince = false, asked
			next.LeavingSince, next.LeavingSign = time.Time{}, time.Time{}
			happened = event.TargetBack
		}
		return next, !found || next != old
	})
	if happened != 0 {
		c.opts.Logger.Log(happened, "target", instance.ID, "sign", "list")
	}
}

// liveAgain decides whether a live entry of the list is newer than the leaving
// mark. The list lags, so it may show a target as live after the target reported
// that it is leaving. Load reports lag too, so a target may report itself as live
// after the list shows it leaving. Both must therefore be newer than the mark by
// more than ListLag.
func (c *Controller) liveAgain(t board.Target, asked time.Time, load board.Load, hasLoad bool) bool {
	after := t.LeavingSignTime().Add(c.opts.ListLag)
	if !asked.After(after) {
		return false
	}
	return hasLoad && !load.Report.Leaving && load.At.After(after)
}

// mergeMissing decides on the targets that the list lacks.
func (c *Controller) mergeMissing(listed map[string]bool, asked time.Time) {
	known := c.opts.Board.Targets.Snapshot()
	lacking := 0
	for id := range known {
		if !listed[id] {
			lacking++
		}
	}
	// A platform that lost its list, or is rebuilding it after a restart,
	// names few or no targets. Removing the missing targets would stop all
	// work although they are healthy. If the list lacks more than half of the
	// known targets, those that answer are therefore kept without time limit.
	shrunk := lacking*2 > len(known)
	if shrunk {
		c.opts.Logger.Log(event.TargetListShrunk, "known", len(known), "lacking", lacking)
	}
	for id, t := range known {
		if !listed[id] {
			c.checkMissing(t, asked, shrunk)
		}
	}
}

func (c *Controller) checkMissing(t board.Target, asked time.Time, shrunk bool) {
	if t.MissingSince.IsZero() {
		c.opts.Board.Targets.Update(t.ID, func(old board.Target, found bool) (board.Target, bool) {
			old.MissingSince = asked
			return old, found
		})
		return
	}
	missing := asked.Sub(t.MissingSince)
	answers := c.answers(t.ID)
	gone := !answers && missing >= c.opts.MissingGrace
	outlived := answers && !shrunk && missing >= c.opts.KeepMissing
	if gone || outlived {
		c.forget(t.ID)
	}
}

// answers reports whether the target has sent a load report within AnswerWithin.
func (c *Controller) answers(id string) bool {
	load, ok := c.opts.Board.Loads.Get(id)
	return ok && c.opts.Clock.Now().Sub(load.At) <= c.opts.AnswerWithin
}

func (c *Controller) forget(id string) {
	b := c.opts.Board
	b.Targets.Delete(id)
	b.Loads.Delete(id)
	b.Prefixes.Delete(id)
	b.Placements.Delete(id)
	c.opts.Logger.Log(event.TargetGone, "target", id)
}

// watchLoads marks targets whose load reports say that they are leaving.
func (c *Controller) watchLoads() {
	for id, load := range c.opts.Board.Loads.Snapshot() {
		if load.Report.Leaving {
			c.mark(id, load.At, "load_report")
		}
	}
}

// Refused marks a target that rejected work because it is leaving.
func (c *Controller) Refused(id string) {
	c.mark(id, c.opts.Clock.Now(), "refusal")
}

// mark sets the leaving mark for a sign seen at the given time.
func (c *Controller) mark(id string, at time.Time, sign string) {
	changed := c.opts.Board.Targets.Update(id, func(old board.Target, found bool) (board.Target, bool) {
		if !found {
			return old, false
		}
		return old.MarkLeaving(at, c.opts.Clock.Now())
	})
	if changed {
		c.opts.Logger.Log(event.TargetLeavingSeen, "target", id, "sign", sign)
	}
}
