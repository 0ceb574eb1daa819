// Package limits makes an organisation's limit hold over all instances without
// a call to the platform: each instance gets a share of the limit, by the demand
// that the instances tell one another. The limits themselves are objects of the
// platform, which profile sync keeps on the board.
package limits

import (
	"context"
	"math"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/gossip"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

const (
	// tickInterval is how often the shares are computed.
	tickInterval = time.Second
	// lookInterval is how often the board's objects are looked through without
	// a change of them, lookSettle the least time between two looks.
	lookInterval = 30 * time.Second
	lookSettle   = 500 * time.Millisecond
	// deadHold is how long a dead member may still be serving unseen. It
	// covers two regions that lose each other for an hour.
	deadHold = 75 * time.Minute
	// changeWorthWriting is the relative change of a rate that is written.
	changeWorthWriting = 0.02
	// raise is the part of a rise that is taken up in one tick. Falls are
	// taken at once, so that others' rises find them done.
	raise = 0.5
	// settleTicks is how many ticks a rise of any size takes, to within
	// changeWorthWriting.
	settleTicks = 8
)

var (
	metricLimits  = metrics.Define("limits_organisations", "organisations", "Organisations with a limit over all instances.")
	metricVersion = metrics.Define("limits_version", "version", "Version of the limits in force at this instance.")
	metricHeard   = metrics.Define("limits_peers_heard", "instances", "Instances whose use by organisations is known.")
)

// UsageSource tells the use of this instance; *admission.InstanceAdmitter is one.
type UsageSource interface {
	Usage() []gossip.Usage
}

// Options are the parts of the controller. Board, Admitter and Clock are required.
type Options struct {
	Board    *board.Board
	Admitter UsageSource
	Self     string // id of this instance
	Clock    clock.Clock
	Logger   *event.Logger
	Metrics  *metrics.Registry
}

// Controller writes board.Limits and board.Usage.
type Controller struct {
	options Options

	mu      sync.Mutex                           // guards all below
	objects map[string]lynxapi.OrganisationLimit // by organisation
	taken   map[string]uint64                    // version that was taken up, by organisation
	version uint64                               // of the last change of a limit
	peers   map[string]*peerUse
	heard   map[string]float64 // demand that the peers told, by organisation
	told    []gossip.Usage     // rows for the next digests
	crowd   crowd
	active  map[string]bool // organisations with demand in the last tick
	// settling is how many more ticks go through all organisations.
	settling int
}

// New returns a controller.
func New(o Options) *Controller {
	c := &Controller{
		options: o,
		objects: make(map[string]lynxapi.OrganisationLimit),
		taken:   make(map[string]uint64),
		peers:   make(map[string]*peerUse),
		heard:   make(map[string]float64),
		crowd:   crowd{known: 1, visible: 1, heard: 1},
		active:  make(map[string]bool),
	}
	o.Metrics.Func(metricLimits, func() any { return c.count() })
	o.Metrics.Func(metricVersion, func() any { return c.knownVersion() })
	o.Metrics.Func(metricHeard, func() any { return c.crowdNow().heard })
	return c
}

func (c *Controller) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.objects)
}

func (c *Controller) knownVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

func (c *Controller) crowdNow() crowd {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crowd
}

// Run keeps limits and shares up to date until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { c.runTicks(ctx) })
	wg.Go(func() {
		loop.Run(ctx, loop.Options{
			Clock: c.options.Clock, Rand: loop.NewRand(nil), Period: lookInterval, Settle: lookSettle,
			Changed: c.options.Board.Objects.Changed,
		}, func(context.Context) { c.Step() })
	})
	wg.Wait()
}

func (c *Controller) runTicks(ctx context.Context) {
	ticker := c.options.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		c.Tick()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Tick computes the shares anew from the board, the admitter and what peers told.
func (c *Controller) Tick() {
	now := c.options.Clock.Now()
	usage := make(map[string]gossip.Usage)
	for _, row := range c.options.Admitter.Usage() {
		usage[row.Organisation] = row
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgetSilent(now)
	seen := c.countMembers(now, len(c.peers))
	if !seen.sameMembers(c.crowd) {
		c.settling = settleTicks
	}
	c.crowd = seen
	c.told = c.tellRows(usage, c.crowd)
	for organisation := range c.due(usage) {
		own := usage[organisation].RatePerSecond
		c.share(organisation, own, c.heard[organisation], now)
	}
}

// due returns the organisations whose shares may have changed: all for some
// ticks after the members or a limit changed, else those with demand now or in
// the last tick. At 19,000 limits nearly all are idle, and going through them
// each second would cost as much as all other control together. mu is held.
func (c *Controller) due(usage map[string]gossip.Usage) map[string]bool {
	active := make(map[string]bool, len(usage)+len(c.heard))
	for organisation := range usage {
		active[organisation] = true
	}
	for organisation := range c.heard {
		active[organisation] = true
	}
	due := c.active
	c.active = active
	if c.settling > 0 {
		c.settling--
		due = make(map[string]bool, len(c.objects))
		for organisation := range c.objects {
			due[organisation] = true
		}
	}
	for organisation := range active {
		due[organisation] = true
	}
	return due
}

// share writes one organisation's rows. mu is held.
func (c *Controller) share(organisation string, own, heard float64, now time.Time) {
	limit, found := c.objects[organisation]
	if !found {
		return
	}
	c.write(organisation, c.crowd.shareOf(limit, own, heard, xxhash.Sum64String(organisation)))
	c.writeUsage(organisation, c.crowd.total(own, heard)-own, now)
}

// countMembers reads the crowd off the board.
func (c *Controller) countMembers(now time.Time, peers int) crowd {
	var visible []string
	known := 0
	for id, m := range c.options.Board.Members.Snapshot() {
		if id == c.options.Self {
			continue
		}
		switch m.State {
		case board.MemberAlive, board.MemberLeaving:
			visible = append(visible, id)
			known++
		case board.MemberSuspect:
			known++
		case board.MemberDead:
			if !m.Left && now.Sub(m.Changed) < deadHold {
				known++
			}
		}
	}
	sort.Strings(visible)
	rank := sort.SearchStrings(visible, c.options.Self)
	n := len(visible) + 1
	return crowd{known: known + 1, visible: n, heard: min(peers+1, n), rank: rank}
}

// write puts a share on the board if it has changed enough.
func (c *Controller) write(organisation string, share board.Limit) {
	c.options.Board.Limits.Update(organisation, func(old board.Limit, found bool) (board.Limit, bool) {
		if !found {
			return share, true
		}
		if old.RatePerSecond > 0 && share.RatePerSecond > old.RatePerSecond {
			share.RatePerSecond = old.RatePerSecond + raise*(share.RatePerSecond-old.RatePerSecond)
		}
		changed := math.Abs(share.RatePerSecond-old.RatePerSecond) > changeWorthWriting*old.RatePerSecond
		return share, changed || share.Concurrent != old.Concurrent
	})
}

// writeUsage puts the estimated use at the other instances on the board.
func (c *Controller) writeUsage(organisation string, demand float64, now time.Time) {
	c.options.Board.Usage.Update(organisation, func(old board.Usage, found bool) (board.Usage, bool) {
		changed := math.Abs(demand-old.RatePerSecond) > changeWorthWriting*max(demand, old.RatePerSecond)
		return board.Usage{RatePerSecond: demand, Updated: now}, changed
	})
}
