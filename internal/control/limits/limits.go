// Package limits enforces each organisation's limit across all instances without
// a call to the platform per request: each instance has a share of the limit,
// computed from the demand that the instances report to each other by gossip. The
// limits themselves are objects of the platform, which profile sync keeps on the
// board.
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
	// tickInterval is the interval at which the shares are computed.
	tickInterval = time.Second
	// resyncInterval is the interval at which all objects on the board are
	// checked when none has changed; resyncSettle is the minimum time between two
	// checks.
	resyncInterval = 30 * time.Second
	resyncSettle   = 500 * time.Millisecond
	// deadMemberHold is how long a member seen as dead is assumed to be serving
	// still. It covers two regions that are partitioned for an hour.
	deadMemberHold = 75 * time.Minute
	// minChange is the relative change of a rate below which the board is not
	// updated.
	minChange = 0.02
	// raiseFactor is the fraction of an increase that is applied in one tick.
	// Decreases are applied at once, so that they take effect before the
	// corresponding increases at other instances.
	raiseFactor = 0.5
	// settleTicks is the number of ticks after which an increase of any size has
	// been applied to within minChange.
	settleTicks = 8
)

var (
	metricLimits  = metrics.Define("limits_organisations", "organisations", "Organisations with a limit over all instances.")
	metricVersion = metrics.Define("limits_version", "version", "Version of the limits in force at this instance.")
	metricHeard   = metrics.Define("limits_peers_heard", "instances", "Instances whose use by organisations is known.")
)

// UsageSource returns the usage of this instance by organisation.
// *admission.InstanceAdmitter implements it.
type UsageSource interface {
	Usage() []gossip.Usage
}

// Options configure a Controller. Board, Admitter and Clock are required.
type Options struct {
	Board    *board.Board
	Admitter UsageSource
	Self     string // ID of this instance
	Clock    clock.Clock
	Logger   *event.Logger
	Metrics  *metrics.Registry
}

// Controller writes board.Limits and board.Usage.
type Controller struct {
	options Options

	mu         sync.Mutex                           // guards all below
	objects    map[string]lynxapi.OrganisationLimit // by organisation
	applied    map[string]uint64                    // last object version processed, by organisation
	version    uint64                               // of the last change of a limit
	peers      map[string]*peerUse
	peerDemand map[string]float64 // sum of the demand that peers reported, by organisation
	digestRows []gossip.Usage     // rows for the next digests
	population population
	active     map[string]bool // organisations with demand in the last tick
	// settling is the number of remaining ticks that recompute all organisations.
	settling int
}

// New returns a controller.
func New(o Options) *Controller {
	c := &Controller{
		options:    o,
		objects:    make(map[string]lynxapi.OrganisationLimit),
		applied:    make(map[string]uint64),
		peers:      make(map[string]*peerUse),
		peerDemand: make(map[string]float64),
		population: population{known: 1, visible: 1, reporting: 1},
		active:     make(map[string]bool),
	}
	o.Metrics.Func(metricLimits, func() any { return c.count() })
	o.Metrics.Func(metricVersion, func() any { return c.knownVersion() })
	o.Metrics.Func(metricHeard, func() any { return c.currentPopulation().reporting })
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

func (c *Controller) currentPopulation() population {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.population
}

// Run keeps limits and shares up to date until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { c.runTicks(ctx) })
	wg.Go(func() {
		loop.Run(ctx, loop.Options{
			Clock: c.options.Clock, Rand: loop.NewRand(nil), Period: resyncInterval, MinInterval: resyncSettle,
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

// Tick recomputes the shares from the board, the admitter and the demand that
// peers reported.
func (c *Controller) Tick() {
	now := c.options.Clock.Now()
	usage := make(map[string]gossip.Usage)
	for _, row := range c.options.Admitter.Usage() {
		usage[row.Organisation] = row
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expirePeers(now)
	members := c.countMembers(now, len(c.peers))
	if !members.sameMembers(c.population) {
		c.settling = settleTicks
	}
	c.population = members
	c.digestRows = c.selectRows(usage, c.population)
	for organisation := range c.due(usage) {
		own := usage[organisation].RatePerSecond
		c.share(organisation, own, c.peerDemand[organisation], now)
	}
}

// due returns the organisations whose shares may have changed: all of them for
// settleTicks ticks after the members or a limit changed, else those with demand
// now or in the last tick. With 19,000 limits nearly all organisations are idle,
// and recomputing them each second would cost as much as all other control work
// together. mu must be held.
func (c *Controller) due(usage map[string]gossip.Usage) map[string]bool {
	active := make(map[string]bool, len(usage)+len(c.peerDemand))
	for organisation := range usage {
		active[organisation] = true
	}
	for organisation := range c.peerDemand {
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

// share writes one organisation's limit and usage rows. mu must be held.
func (c *Controller) share(organisation string, own, peerDemand float64, now time.Time) {
	limit, found := c.objects[organisation]
	if !found {
		return
	}
	c.write(organisation, c.population.shareOf(limit, own, peerDemand, xxhash.Sum64String(organisation)))
	c.writeUsage(organisation, c.population.total(own, peerDemand)-own, now)
}

// countMembers returns the population according to the members on the board.
// peers is the number of peers whose usage is known.
func (c *Controller) countMembers(now time.Time, peers int) population {
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
			if !m.Left && now.Sub(m.Changed) < deadMemberHold {
				known++
			}
		}
	}
	sort.Strings(visible)
	rank := sort.SearchStrings(visible, c.options.Self)
	n := len(visible) + 1
	return population{known: known + 1, visible: n, reporting: min(peers+1, n), rank: rank}
}

// write puts a share on the board if it has changed by more than minChange.
func (c *Controller) write(organisation string, share board.Limit) {
	c.options.Board.Limits.Update(organisation, func(old board.Limit, found bool) (board.Limit, bool) {
		if !found {
			return share, true
		}
		if old.RatePerSecond > 0 && share.RatePerSecond > old.RatePerSecond {
			share.RatePerSecond = old.RatePerSecond + raiseFactor*(share.RatePerSecond-old.RatePerSecond)
		}
		changed := math.Abs(share.RatePerSecond-old.RatePerSecond) > minChange*old.RatePerSecond
		return share, changed || share.Concurrent != old.Concurrent
	})
}

// writeUsage puts the estimated usage at the other instances on the board.
func (c *Controller) writeUsage(organisation string, demand float64, now time.Time) {
	c.options.Board.Usage.Update(organisation, func(old board.Usage, found bool) (board.Usage, bool) {
		changed := math.Abs(demand-old.RatePerSecond) > minChange*max(demand, old.RatePerSecond)
		return board.Usage{RatePerSecond: demand, Updated: now}, changed
	})
}
