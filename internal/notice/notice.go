// Package notice tracks what targets request, in their responses, of every
// instance that calls them: that they are leaving, the request rate that they
// accept from all instances together, and a pause during which they accept
// nothing from this instance.
//
// A target in trouble has no other way to report it while the platform's store
// is unavailable, and a response reaches only the instance that sent the request.
// Without this package such a target goes on receiving full load from instances
// that have already received such responses. Notices are therefore kept by target,
// whatever kind of call the response belongs to. The receiving instance applies
// them whether or not it reaches another instance, and passes them on by gossip.
package notice

import (
	"sync/atomic"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/metrics"
)

// Bounds on the notices that are kept.
const (
	// limitTTL is how long a limit is in force after an instance last received
	// it. A target that receives no requests cannot report that its limit has ended.
	limitTTL = 30 * time.Second
	// unlistedTTL is how long the notices of a target are kept once it is no
	// longer listed: entries expire while their targets still run, and return.
	unlistedTTL = 5 * time.Minute
	// maxRows bounds the number of targets whose notices are kept.
	maxRows = 8192
)

// Options configure a Tracker.
type Options struct {
	// Self identifies this run of this instance: it differs after a restart.
	Self  string
	Board *board.Board
	Clock clock.Clock
	// OnChange is called, with no lock held, after a notice of a target that other
	// instances need as well has changed. nil: not called.
	OnChange func(run string, before, after board.Notice)
	// Started returns the listed start of a target, 0 if it states none: what a target
	// announced in an earlier start does not hold in a later one. nil = none states any.
	Started func(target string) int64
	Logger  *event.Logger
	Metrics *metrics.Registry
}

// Tracker records the notices of targets in the board's table Notices. It is safe
// for concurrent use.
type Tracker struct {
	o        Options
	limitSeq atomic.Uint64          // number of the last response that named or ended a limit
	nonEmpty atomic.Bool            // the table has had a row
	lastSent atomic.Pointer[string] // target of the last row sent in a digest
}

// New returns a Tracker without notices.
func New(o Options) *Tracker {
	if o.Board == nil {
		o.Board = board.New()
	}
	if o.Clock == nil {
		o.Clock = quartz.NewReal()
	}
	if o.OnChange == nil {
		o.OnChange = func(string, board.Notice, board.Notice) {}
	}
	if o.Started == nil {
		o.Started = func(string) int64 { return 0 }
	}
	return &Tracker{o: o}
}

// Limit returns the request rate, per second, that the target accepts from all
// instances together. named is false if the target has no limit in force.
func (k *Tracker) Limit(target string) (rate float64, named bool) {
	row, found := k.row(target)
	if !found || !row.Limit.Named || k.o.Clock.Now().Sub(row.Limit.At) >= limitTTL {
		return 0, false
	}
	return row.Limit.Rate, true
}

// Leaves reports whether the target has announced that it is leaving.
func (k *Tracker) Leaves(target string) bool {
	row, _ := k.row(target)
	return row.Leaving
}

// RunLeaves is Leaves of the given start of a target, which need not be the listed one.
func (k *Tracker) RunLeaves(target fleet.Target) bool {
	if !k.nonEmpty.Load() {
		return false
	}
	row, _ := k.o.Board.Notices.Get(target.Run())
	return row.Leaving
}

// Pause returns the time until which the target accepts nothing from this
// instance; zero: it requested no pause, or the pause has ended.
func (k *Tracker) Pause(target string) time.Time {
	row, _ := k.row(target)
	if !k.o.Clock.Now().Before(row.PausedTo) {
		return time.Time{}
	}
	return row.PausedTo
}

// row returns the notices of the target. It avoids the table lookup while the
// table is empty: usually no target has a notice, and each choice of a target
// checks all targets.
func (k *Tracker) row(target string) (board.Notice, bool) {
	if !k.nonEmpty.Load() {
		return board.Notice{}, false
	}
	return k.o.Board.Notices.Get(k.run(target))
}

// run returns the name of the listed start of a target, by which its notices are kept and
// passed on.
func (k *Tracker) run(target string) string { return fleet.RunOf(target, k.o.Started(target)) }

// Exchange is a request to a target whose response has not arrived.
type Exchange struct {
	tracker *Tracker
	target  string
	run     string // name of the target's start when the request was sent
	sentAt  time.Time
}

// BeginRequest records that a request is about to be sent to the target.
func (k *Tracker) BeginRequest(target string) Exchange {
	if _, named := k.Limit(target); named {
		k.o.Metrics.Counter(metricSentLimited).Add(1)
	}
	return Exchange{tracker: k, target: target, run: k.run(target), sentAt: k.o.Clock.Now()}
}

// ResponseReceived records the notices in the header of the response. served reports that
// the target served the request. Only such a response ends a limit by not naming
// one, since a failure may come from a part of the target that does not know the
// limit.
func (x Exchange) ResponseReceived(n fleet.Notice, served bool) {
	if x.target == "" {
		return
	}
	k := x.tracker
	if n.From != "" && n.From != x.target {
		// An address is reassigned only after its target has ended. Otherwise each
		// request to that address would be refused and retried out of the retry budget
		// for seconds while the store is unavailable.
		n, served = fleet.Notice{Leaving: true}, false
	}
	if n.Unreadable != "" {
		k.o.Logger.Log(event.NoticeUnreadable, "target", x.target, "err", n.Unreadable)
	}
	if !k.known(x.run) && !n.Leaving && n.Limit == nil && n.Pause == 0 {
		return // most responses carry no notice
	}
	now := k.o.Clock.Now()
	k.updateRow(x.run, func(row *board.Notice) {
		if n.Leaving {
			markLeaving(row, now)
		}
		x.updateLimit(&row.Limit, n, served, now)
		if n.Pause > 0 {
			row.PausedTo = now.Add(n.Pause)
		}
	})
}

// known reports whether there are notices of the start of a target.
func (k *Tracker) known(run string) bool {
	if !k.nonEmpty.Load() {
		return false
	}
	_, known := k.o.Board.Notices.Get(run)
	return known
}

// markLeaving records that the target announced that it is leaving.
func markLeaving(row *board.Notice, at time.Time) {
	if !row.Leaving {
		row.Leaving, row.LeavingAt = true, at
	}
}

// updateLimit applies the limit in a response, or the absence of one.
//
// Responses on different connections can arrive out of order. A response without
// a limit, to a request that was sent before the limit was received, may have been
// sent before the target named the limit, so it does not end the limit.
func (x Exchange) updateLimit(row *board.TargetLimit, n fleet.Notice, served bool, now time.Time) {
	k := x.tracker
	switch {
	case n.Limit != nil:
		*row = board.TargetLimit{Named: true, Rate: *n.Limit, At: now, By: k.o.Self, Seq: k.limitSeq.Add(1)}
	case row.Named && served && !x.sentAt.Before(row.At):
		*row = board.TargetLimit{At: now, By: k.o.Self, Seq: k.limitSeq.Add(1)}
	}
}

// updateRow changes the notices of a target's start and reports the change.
func (k *Tracker) updateRow(target string, change func(*board.Notice)) {
	now := k.o.Clock.Now()
	k.nonEmpty.Store(true)
	if k.o.Board.Notices.Len() >= maxRows {
		k.RemoveExpired(func(string) bool { return false })
	}
	var before, after board.Notice
	k.o.Board.Notices.Update(target, func(old board.Notice, _ bool) (board.Notice, bool) {
		before, after = old, old
		change(&after)
		if after == old {
			return old, false
		}
		after.ChangedAt = now
		return after, true
	})
	if k.reportChange(target, before, after) {
		k.o.OnChange(target, before, after)
	}
}

// RemoveExpired removes the notices of starts of targets that are not listed and whose
// notices have not changed for unlistedTTL. listed is given fleet.Target.Run.
func (k *Tracker) RemoveExpired(listed func(run string) bool) {
	if !k.nonEmpty.Load() {
		return
	}
	now := k.o.Clock.Now()
	for target, row := range k.o.Board.Notices.Snapshot() {
		if now.Sub(row.ChangedAt) >= unlistedTTL && !listed(target) {
			k.o.Board.Notices.Delete(target)
		}
	}
}

// reportChange logs and counts the change, and returns whether other instances
// need it.
func (k *Tracker) reportChange(target string, before, after board.Notice) (propagate bool) {
	if after.Leaving && !before.Leaving {
		propagate = true
		k.count("leaving")
		k.o.Logger.Log(event.NoticeLeaving, "target", target)
	}
	if was, is := before.Limit, after.Limit; is.Named && (!was.Named || was.Rate != is.Rate) {
		propagate = true
		k.count("limit")
		k.o.Logger.Log(event.NoticeLimit, "target", target, "per_second", is.Rate, "before", was.Rate, "heard_by", is.By)
	} else if was.Named && !is.Named {
		propagate = true
		k.count("limit_ended")
		k.o.Logger.Log(event.NoticeLimitEnded, "target", target, "before", was.Rate, "heard_by", is.By)
	}
	if after.PausedTo.After(before.PausedTo) {
		k.count("pause")
		k.o.Logger.Log(event.NoticePause, "target", target, "pause_ms", after.PausedTo.Sub(k.o.Clock.Now()).Milliseconds())
	}
	return propagate
}

func (k *Tracker) count(kind string) { k.o.Metrics.Labelled(metricNotices).Add(kind, 1) }
