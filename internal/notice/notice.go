// Package notice keeps what targets ask, in their answers, of everybody who
// sends them requests: that they leave, how many requests a second they take
// from all instances together, and for how long they want nothing from this one.
//
// A target in trouble has no other way to say so while the platform's store is
// away, and its answers reach only the instance that sent the request. So what
// is asked is kept here by target, whatever kind of call the answer was to.
package notice

import (
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/metrics"
)

// Options of a Keeper.
type Options struct {
	Board   *board.Board
	Clock   clock.Clock
	Logger  *event.Logger
	Metrics *metrics.Registry
}

// Keeper takes in what targets ask and puts it on the board's table Notices.
type Keeper struct {
	o Options
}

// New returns a keeper that has heard nothing.
func New(o Options) *Keeper {
	if o.Board == nil {
		o.Board = board.New()
	}
	if o.Clock == nil {
		o.Clock = quartz.NewReal()
	}
	return &Keeper{o: o}
}

// Exchange is a request to a target whose answer has not come.
type Exchange struct {
	keeper *Keeper
	target string
	began  time.Time
}

// Sent is told of a request that is about to be sent to the target.
func (k *Keeper) Sent(target string) Exchange {
	if row, found := k.o.Board.Notices.Get(target); found && row.Limit.Named {
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
	if n.Unreadable != "" {
		k.o.Logger.Log(event.NoticeUnreadable, "target", x.target, "err", n.Unreadable)
	}
	if _, known := k.o.Board.Notices.Get(x.target); !known && !n.Leaving && n.Limit == nil && n.Pause == 0 {
		return // most answers ask nothing
	}
	now := k.o.Clock.Now()
	var before, after board.Notice
	k.o.Board.Notices.Update(x.target, func(old board.Notice, _ bool) (board.Notice, bool) {
		before, after = old, old
		after.Leaving = old.Leaving || n.Leaving
		after.Limit = x.limit(old.Limit, n, served, now)
		if n.Pause > 0 {
			after.PausedTo = now.Add(n.Pause)
		}
		return after, after != old
	})
	k.report(x.target, before, after)
}

// limit returns the limit after an answer.
//
// Answers on different connections overtake each other: one without a limit to
// a request that was sent before the limit was heard may have been given before
// it was named, and does not end it.
func (x Exchange) limit(old board.TargetLimit, n fleet.Notice, served bool, now time.Time) board.TargetLimit {
	switch {
	case n.Limit != nil:
		return board.TargetLimit{Named: true, Rate: *n.Limit, At: now}
	case old.Named && served && !x.began.Before(old.At):
		return board.TargetLimit{At: now}
	}
	return old
}

// report logs and counts what has changed.
func (k *Keeper) report(target string, before, after board.Notice) {
	if after.Leaving && !before.Leaving {
		k.count("leaving")
		k.o.Logger.Log(event.NoticeLeaving, "target", target)
	}
	if was, is := before.Limit, after.Limit; is.Named && (!was.Named || was.Rate != is.Rate) {
		k.count("limit")
		k.o.Logger.Log(event.NoticeLimit, "target", target, "per_second", is.Rate, "before", was.Rate)
	} else if was.Named && !is.Named {
		k.count("limit_ended")
		k.o.Logger.Log(event.NoticeLimitEnded, "target", target, "before", was.Rate)
	}
	if after.PausedTo.After(before.PausedTo) {
		k.count("pause")
		k.o.Logger.Log(event.NoticePause, "target", target, "pause_ms", after.PausedTo.Sub(k.o.Clock.Now()).Milliseconds())
	}
}

func (k *Keeper) count(kind string) { k.o.Metrics.Labelled(metricNotices).Add(kind, 1) }
