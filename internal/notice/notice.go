// Package notice keeps what targets ask, in their answers, of everybody who
// sends them requests: that they leave, how many requests a second they take
// from all instances together, and for how long they want nothing from this one.
//
// What goes wrong without it: a target in trouble has no other way to say so
// while the platform's store is away, and its answers reach only the instance
// that sent the request. One notices targets that get as much as before, from
// instances that have passed such answers on. So what is asked is kept by
// target, whatever kind of call the answer was to, heeded by the instance that
// heard it whether or not it reaches anybody, and told to the others.
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

// Bounds of what is kept.
const (
	// limitLife is how long a limit counts that no instance has heard again. A
	// target that is told of no request can't say that its limit has ended.
	limitLife = 30 * time.Second
	// unlistedLife is how long what a target asked is kept once the target is
	// listed no more: entries lapse while their targets live, and come back.
	unlistedLife = 5 * time.Minute
	// maxRows bounds the targets whose asks are kept.
	maxRows = 8192
)

// Options of a Keeper.
type Options struct {
	// Self names this life of this instance: an instance that starts again has
	// another name.
	Self  string
	Board *board.Board
	Clock clock.Clock
	// OnChange is called, with no lock held, after a target has asked for
	// something new. nil = nobody has to know.
	OnChange func(before, after board.Notice)
	Logger   *event.Logger
	Metrics  *metrics.Registry
}

// Keeper takes in what targets ask and puts it on the board's table Notices. It
// is safe for concurrent use.
type Keeper struct {
	o      Options
	seq    atomic.Uint64          // answers that spoke of a limit
	any    atomic.Bool            // the table has had a row
	cursor atomic.Pointer[string] // target last sent in a digest
}

// New returns a keeper that has heard nothing.
func New(o Options) *Keeper {
	if o.Board == nil {
		o.Board = board.New()
	}
	if o.Clock == nil {
		o.Clock = quartz.NewReal()
	}
	if o.OnChange == nil {
		o.OnChange = func(_, _ board.Notice) {}
	}
	return &Keeper{o: o}
}

// Limit returns how many requests a second the target takes from all instances
// together. named is false if it names no limit.
func (k *Keeper) Limit(target string) (rate float64, named bool) {
	row, found := k.row(target)
	if !found || !row.Limit.Named || k.o.Clock.Now().Sub(row.Limit.At) >= limitLife {
		return 0, false
	}
	return row.Limit.Rate, true
}

// Leaves reports whether the target has said that it leaves.
func (k *Keeper) Leaves(target string) bool {
	row, _ := k.row(target)
	return row.Leaving
}

// Pause returns until when the target wants nothing from this instance; zero = it
// has not said so, or the time is over.
func (k *Keeper) Pause(target string) time.Time {
	row, _ := k.row(target)
	if !k.o.Clock.Now().Before(row.PausedTo) {
		return time.Time{}
	}
	return row.PausedTo
}

// row returns what the target asks. Most of the time no target asks for
// anything, and each choice of a target looks at all of them.
func (k *Keeper) row(target string) (board.Notice, bool) {
	if !k.any.Load() {
		return board.Notice{}, false
	}
	return k.o.Board.Notices.Get(target)
}

// Exchange is a request to a target whose answer has not come.
type Exchange struct {
	keeper *Keeper
	target string
	began  time.Time
}

// Sent is told of a request that is about to be sent to the target.
func (k *Keeper) Sent(target string) Exchange {
	if _, named := k.Limit(target); named {
		k.o.Metrics.Counter(metricSentLimited).Add(1)
	}
	return Exchange{keeper: k, target: target, began: k.o.Clock.Now()}
}

// Answered takes in what the head of the answer asks. served says that the
// target served the request: only such an answer without a limit tells that
// the limit has ended, since a failure may come from a part of the target that
// does not know it.
func (x Exchange) Answered(n fleet.Notice, served bool) {
	if x.target == "" {
		return
	}
	k := x.keeper
	if n.From != "" && n.From != x.target {
		// Addresses are given again only after their target has ended. Without
		// this, while the store is away each request to it is refused and repeated
		// out of the budget, and one notices refusals by one address for seconds.
		n, served = fleet.Notice{Leaving: true}, false
	}
	if n.Unreadable != "" {
		k.o.Logger.Log(event.NoticeUnreadable, "target", x.target, "err", n.Unreadable)
	}
	if _, known := k.row(x.target); !known && !n.Leaving && n.Limit == nil && n.Pause == 0 {
		return // most answers ask nothing
	}
	now := k.o.Clock.Now()
	k.update(x.target, func(row *board.Notice) {
		if n.Leaving {
			leaves(row, now)
		}
		x.limit(&row.Limit, n, served, now)
		if n.Pause > 0 {
			row.PausedTo = now.Add(n.Pause)
		}
	})
}

// leaves notes that the target said that it leaves.
func leaves(row *board.Notice, at time.Time) {
	if !row.Leaving {
		row.Leaving, row.LeavingAt = true, at
	}
}

// limit takes in what an answer says of a limit.
//
// Answers on different connections overtake each other: one without a limit to
// a request that was sent before the limit was heard may have been given before
// it was named, and does not end it.
func (x Exchange) limit(row *board.TargetLimit, n fleet.Notice, served bool, now time.Time) {
	k := x.keeper
	switch {
	case n.Limit != nil:
		*row = board.TargetLimit{Named: true, Rate: *n.Limit, At: now, By: k.o.Self, Seq: k.seq.Add(1)}
	case row.Named && served && !x.began.Before(row.At):
		*row = board.TargetLimit{At: now, By: k.o.Self, Seq: k.seq.Add(1)}
	}
}

// update changes what is kept of a target, and tells what is new.
func (k *Keeper) update(target string, change func(*board.Notice)) {
	now := k.o.Clock.Now()
	k.any.Store(true)
	if k.o.Board.Notices.Len() >= maxRows {
		k.Forget(func(string) bool { return false })
	}
	var before, after board.Notice
	k.o.Board.Notices.Update(target, func(old board.Notice, _ bool) (board.Notice, bool) {
		before, after = old, old
		change(&after)
		if after == old {
			return old, false
		}
		after.Heard = now
		return after, true
	})
	if k.report(target, before, after) {
		k.o.OnChange(before, after)
	}
}

// Forget drops what targets asked that are not listed and were not heard for
// long.
func (k *Keeper) Forget(listed func(target string) bool) {
	if !k.any.Load() {
		return
	}
	now := k.o.Clock.Now()
	for target, row := range k.o.Board.Notices.Snapshot() {
		if now.Sub(row.Heard) >= unlistedLife && !listed(target) {
			k.o.Board.Notices.Delete(target)
		}
	}
}

// report logs and counts what has changed, and returns whether others have to
// know.
func (k *Keeper) report(target string, before, after board.Notice) (news bool) {
	if after.Leaving && !before.Leaving {
		news = true
		k.count("leaving")
		k.o.Logger.Log(event.NoticeLeaving, "target", target)
	}
	if was, is := before.Limit, after.Limit; is.Named && (!was.Named || was.Rate != is.Rate) {
		news = true
		k.count("limit")
		k.o.Logger.Log(event.NoticeLimit, "target", target, "per_second", is.Rate, "before", was.Rate, "heard_by", is.By)
	} else if was.Named && !is.Named {
		news = true
		k.count("limit_ended")
		k.o.Logger.Log(event.NoticeLimitEnded, "target", target, "before", was.Rate, "heard_by", is.By)
	}
	if after.PausedTo.After(before.PausedTo) {
		k.count("pause")
		k.o.Logger.Log(event.NoticePause, "target", target, "pause_ms", after.PausedTo.Sub(k.o.Clock.Now()).Milliseconds())
	}
	return news
}

func (k *Keeper) count(kind string) { k.o.Metrics.Labelled(metricNotices).Add(kind, 1) }
