package loadview

import (
	"context"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

var (
	metricPolls    = metrics.Define("load_polls_total", "polls", "Polls of targets' loads, by result.")
	metricPolled   = metrics.Define("load_targets_polled", "targets", "Targets that this instance polls.")
	metricRowsSent = metrics.Define("load_rows_sent_total", "rows", "Load rows passed on to peers.")
	metricRowsUsed = metrics.Define("load_rows_received_total", "rows", "Load rows from peers, by whether they were news.")
	metricViewAge  = metrics.Define("load_view_age_ms", "ms", "Mean age of the load reports on the board.")
	metricGaps     = metrics.Define("cache_event_gaps_total", "gaps", "Gaps in the engines' cache events.")
)

const (
	jitter       = 0.2
	assignPeriod = time.Second // interval at which the set of targets to poll is recomputed
)

// Controller maintains board.Loads and board.Prefixes. It implements gossip.Participant.
type Controller struct {
	opts     Options
	rand     *loop.Rand
	offsets  clockOffsets
	selector rowSelector
}

// New returns a controller.
func New(opts Options) *Controller {
	return &Controller{
		opts: opts.withDefaults(), rand: loop.NewRand(opts.Rand),
		offsets:  clockOffsets{byTarget: make(map[string]*offset)},
		selector: rowSelector{rows: make(map[string]*rowState)},
	}
}

// Run polls this instance's share of the targets until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	c.opts.Metrics.Func(metricViewAge, func() any { return c.MeanAge().Milliseconds() })
	polls := loop.NewTasks(c.poll)
	loop.Run(ctx, loop.Options{
		Clock: c.opts.Clock, Rand: c.rand, Period: assignPeriod, Jitter: jitter,
	}, func(ctx context.Context) { c.assign(ctx, polls) })
	polls.Stop()
}

// assign starts and stops the polling of targets as the members change, and drops
// the state of targets that are no longer on the board.
func (c *Controller) assign(ctx context.Context, polls *loop.Tasks) {
	targets := c.opts.Board.Targets.Snapshot()
	f := fleetOf(c.opts.Board, c.opts.Self, c.opts.Zone, c.opts.Region)
	var own []string
	for id, t := range targets {
		if f.isPoller(c.opts.Self, t, c.opts.PollersPerTarget) {
			own = append(own, id)
		}
	}
	polls.Keep(ctx, own)
	c.offsets.retain(targets)
	c.selector.retain(targets)
	c.opts.Metrics.Counter(metricPolled).Set(int64(polls.Len()))
}

// poll requests the load of one target, and the cache events if the target is an
// engine, periodically until ctx ends.
func (c *Controller) poll(ctx context.Context, id string) {
	if !loop.Sleep(ctx, c.opts.Clock, time.Duration(c.rand.Float64()*float64(c.opts.PollEvery))) {
		return
	}
	var cacheDue time.Time
	loop.Run(ctx, loop.Options{
		Clock: c.opts.Clock, Rand: c.rand, Period: c.opts.PollEvery, Jitter: jitter,
	}, func(ctx context.Context) {
		t, there := c.opts.Board.Targets.Get(id)
		if !there {
			return
		}
		c.pollLoad(ctx, t)
		if now := c.opts.Clock.Now(); t.Kind == profile.KindGenerate && !now.Before(cacheDue) {
			cacheDue = now.Add(c.opts.CachePollEvery)
			c.pollCache(ctx, t)
		}
	})
}

func (c *Controller) pollLoad(ctx context.Context, t board.Target) {
	asked := c.opts.Clock.Now()
	callCtx, cancel := loop.WithTimeout(ctx, c.opts.Clock, c.opts.CallTimeout)
	defer cancel()
	report, err := c.opts.Caller.Load(callCtx, stagecall.Target{ID: t.ID, Address: t.Address})
	if err != nil {
		c.opts.Metrics.Labelled(metricPolls).Add("failed", 1)
		if ctx.Err() == nil {
			c.opts.Logger.Log(event.LoadPollFailed, "target", t.ID, "error", err)
		}
		return
	}
	c.opts.Metrics.Labelled(metricPolls).Add("answered", 1)
	if report.Models == nil {
		report.Models = []targetapi.LoadedModel{} // no models; nil would mean that the report does not include them
	}
	c.mergeReport(t.ID, report, asked, "")
}

// Observe merges a report that was piggybacked on a target's response received
// now. If the report has no models, the known ones are kept, since replies need
// not include them.
func (c *Controller) Observe(target string, report targetapi.LoadReport) {
	c.mergeReport(target, report, c.opts.Clock.Now(), "")
}

// mergeReport merges a report that comes from the target itself and was true at
// the time at or earlier.
func (c *Controller) mergeReport(target string, report targetapi.LoadReport, at time.Time, via string) {
	trueAt, stepped := c.offsets.localTime(target, report, at, c.opts.MaxLag)
	if stepped {
		c.opts.Logger.Log(event.TargetClockMoved, "target", target)
	}
	c.mergeLoad(target, board.Load{Report: report, Received: c.opts.Clock.Now(), At: trueAt, Via: via})
}

// mergeLoad writes the load to the board unless the board has a later one. It
// also deletes the stored prefixes of a target that was restarted: such a target
// has an empty prefix cache and numbers its cache events from 1 again, so that a
// request for events after the old number would return none for a long time.
func (c *Controller) mergeLoad(target string, load board.Load) {
	restarted := false
	c.opts.Board.Loads.Update(target, func(old board.Load, found bool) (board.Load, bool) {
		if found && !newer(load, old) {
			return old, false
		}
		restarted = found && load.Report.Seq < old.Report.Seq
		if load.Report.Models == nil {
			load.Report.Models, load.Report.Role = old.Report.Models, old.Report.Role
		}
		return load, true
	})
	if restarted {
		c.opts.Board.Prefixes.Delete(target)
	}
}

// restartAfter is how much later a report with a lower sequence number must be
// for the target to count as restarted.
const restartAfter = 3 * time.Second

// newer reports whether load is a later report than old. The target's sequence
// numbers decide; ages decide only when the numbers seem to have restarted.
func newer(load, old board.Load) bool {
	if load.Report.Seq > old.Report.Seq {
		return true
	}
	return load.Report.Seq < old.Report.Seq && load.At.After(old.At.Add(restartAfter))
}

// MeanAge returns the mean age of the reports on the board.
func (c *Controller) MeanAge() time.Duration {
	loads := c.opts.Board.Loads.Snapshot()
	if len(loads) == 0 {
		return 0
	}
	now := c.opts.Clock.Now()
	var sum time.Duration
	for _, load := range loads {
		sum += now.Sub(load.At)
	}
	return sum / time.Duration(len(loads))
}
