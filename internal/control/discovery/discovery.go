package discovery

import (
	"context"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/control/rendezvous"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/store"
)

var (
	metricLists   = metrics.Define("target_lists_total", "reads", "Reads of the platform's instance list, by result.")
	metricTargets = metrics.Define("targets_known", "targets", "Targets on the board.")
	metricLeaving = metrics.Define("targets_leaving", "targets", "Targets with a leaving mark.")
)

const (
	jitter      = 0.25
	callTimeout = 5 * time.Second
	watchPeriod = 500 * time.Millisecond // how often load reports are checked
	// unknownSpread is the range of the random delay before the reads that a new
	// target causes on instances that are not listers.
	unknownSpread = 4 * time.Second
	// unknownEvery is the shortest time between two such reads.
	unknownEvery = 15 * time.Second
	rankKey      = "discovery/"
)

// Controller maintains board.Targets. It is also a gossip.Participant, which
// disseminates leaving marks.
type Controller struct {
	opts    Options
	rand    *loop.Rand
	unknown board.Signal // a peer has named a target that is not on the board
	cursor  markCursor
}

// New returns a controller.
func New(opts Options) *Controller {
	return &Controller{opts: opts.withDefaults(), rand: loop.NewRand(opts.Rand)}
}

// Run maintains the targets until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var watching sync.WaitGroup
	watching.Go(func() {
		loop.Run(ctx, loop.Options{
			Clock: c.opts.Clock, Rand: c.rand, Period: watchPeriod, Jitter: jitter,
		}, func(context.Context) { c.watchLoads() })
	})
	watching.Go(func() { c.spreadNewMarks(ctx) })
	defer watching.Wait()
	for ctx.Err() == nil {
		unknown := c.unknown.Wait()
		c.list(ctx)
		c.pause(ctx, unknown)
	}
}

// isLister reports whether this instance is one of the listers of its zone, that
// is, the instances that read the list at the fast rate.
func (c *Controller) isLister() bool {
	live := c.opts.Board.LiveMembersIn(c.opts.Zone, c.opts.Self)
	return rendezvous.Position(rankKey+c.opts.Zone, c.opts.Self, live) < c.opts.Listers
}

// pause waits until the next read is due. If all instances read at the rate of a
// lister, the platform would get 185 reads a second from 370 instances.
func (c *Controller) pause(ctx context.Context, unknown <-chan struct{}) {
	if c.isLister() || c.opts.Board.Targets.Len() == 0 {
		loop.Sleep(ctx, c.opts.Clock, c.rand.Jitter(c.opts.ListEvery, jitter))
		return
	}
	if !loop.Sleep(ctx, c.opts.Clock, c.rand.Jitter(min(unknownEvery, c.opts.SlowListEvery), jitter)) {
		return
	}
	timer := c.opts.Clock.NewTimer(c.rand.Jitter(c.opts.SlowListEvery, jitter))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-unknown:
		loop.Sleep(ctx, c.opts.Clock, time.Duration(c.rand.Float64()*float64(unknownSpread)))
	}
}

// list reads the list once and merges it. If the read fails, the board stays as it
// is.
func (c *Controller) list(ctx context.Context) {
	began := c.opts.Clock.Now()
	callCtx, cancel := loop.WithTimeout(ctx, c.opts.Clock, callTimeout)
	defer cancel()
	instances, err := c.opts.Lister.Instances(callCtx)
	if err != nil {
		c.opts.Metrics.Labelled(metricLists).Add("failed", 1)
		if ctx.Err() == nil {
			c.opts.Logger.Log(event.TargetListFailed, "error", err)
			c.queryPeers(ctx)
		}
		return
	}
	c.opts.Metrics.Labelled(metricLists).Add("read", 1)
	c.Merge(instances, began)
}

// Merge merges a list that was requested at the given time into the board.
func (c *Controller) Merge(instances []store.Instance, asked time.Time) {
	listed := make(map[string]bool)
	for _, instance := range instances {
		if instance.Kind == KindInstance {
			continue
		}
		listed[instance.ID] = true
		c.mergeOne(instance, asked)
	}
	c.mergeMissing(listed, asked)
	c.count()
}

// KindInstance is the kind of lynxhill's own instances in the platform's list.
const KindInstance = "lynxhill"

// count publishes the numbers of targets as metrics.
func (c *Controller) count() {
	targets := c.opts.Board.Targets.Snapshot()
	leaving := 0
	for _, t := range targets {
		if t.Leaving {
			leaving++
		}
	}
	c.opts.Metrics.Counter(metricTargets).Set(int64(len(targets)))
	c.opts.Metrics.Counter(metricLeaving).Set(int64(leaving))
}
