package steering

import (
	"context"
	"sort"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

var metricAnswers = metrics.Define("steering_answers_total", "answers", "Address answers given.")

// Controller computes the weights of the instances and answers callers.
type Controller struct {
	opts Options
	rand *loop.Rand

	mu            sync.Mutex           // guards all below
	joined        map[string]time.Time // start of each instance's current uninterrupted membership
	computed      time.Time            // Steering.Computed of the weights that distributions are made from
	distributions map[distributionKey]*distribution
}

// New returns a controller.
func New(opts Options) *Controller {
	return &Controller{opts: opts.withDefaults(), rand: loop.NewRand(opts.Rand), joined: make(map[string]time.Time), distributions: make(map[distributionKey]*distribution)}
}

// Run keeps board.Steering up to date until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	loop.Run(ctx, loop.Options{
		Clock: c.opts.Clock, Rand: c.rand, Period: c.opts.Period, MinInterval: c.opts.Period / 2,
	}, func(context.Context) { c.Step() })
}

// Step computes the weights once.
func (c *Controller) Step() {
	b := c.opts.Board
	now := c.opts.Clock.Now()
	members := b.Members.Snapshot()
	var addresses []board.SteeringAddress
	for id, m := range members {
		if m.CallerAddr == "" || !c.acceptsCallers(m) {
			continue
		}
		addresses = append(addresses, board.SteeringAddress{
			ID: id, Address: m.CallerAddr, Zone: m.Zone, Region: m.Region, FreeShare: m.FreeShare,
			Weight: weight(m.FreeShare, c.age(m, now), c.opts.Ramp),
		})
	}
	c.pruneJoined(members)
	if len(addresses) == 0 {
		addresses = c.fallbackAddresses(members)
	}
	sort.Slice(addresses, func(i, j int) bool { return addresses[i].ID < addresses[j].ID })
	b.Steering.Put(board.SteeringRow, board.Steering{Addresses: addresses, Keep: c.opts.TTL, Computed: now})
}

// acceptsCallers reports whether new callers may be sent to the member.
func (c *Controller) acceptsCallers(m board.Member) bool {
	if m.State != board.MemberAlive {
		return false
	}
	b := c.opts.Board
	if b.Drained(board.DrainInstance+m.ID) || b.Drained(board.DrainZone+m.Zone) {
		return false
	}
	if m.ID != c.opts.Self {
		return true
	}
	self, _ := b.Self.Get(board.SelfRow)
	return !self.Stopping && !self.Draining && self.MayAdmit()
}

// fallbackAddresses returns the addresses to answer with when no instance accepts
// callers: all instances that may still respond, with equal weights. A caller can
// tell a refused request from a lost one, which is better than no address at all.
func (c *Controller) fallbackAddresses(members map[string]board.Member) []board.SteeringAddress {
	var addresses []board.SteeringAddress
	for id, m := range members {
		if m.CallerAddr != "" && m.State != board.MemberDead {
			addresses = append(addresses, board.SteeringAddress{ID: id, Address: m.CallerAddr, Zone: m.Zone, Region: m.Region, FreeShare: m.FreeShare, Weight: 1})
		}
	}
	if len(addresses) > 0 {
		c.opts.Logger.Log(event.SteeringNobody, "left", len(addresses))
	}
	return addresses
}

// age returns how long the member has been up without interruption. A member
// whose Changed time is zero counts as old.
func (c *Controller) age(m board.Member, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	since, known := c.joined[m.ID]
	if !known {
		since = m.Changed
		if since.After(now) {
			since = now
		}
		c.joined[m.ID] = since
	}
	return now.Sub(since)
}

// pruneJoined removes instances that are neither alive nor suspected, so that an
// instance that returns counts as new and memory stays bounded. A suspicion alone
// does not make an instance new.
func (c *Controller) pruneJoined(members map[string]board.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.joined {
		state := members[id].State
		if state != board.MemberAlive && state != board.MemberSuspect {
			delete(c.joined, id)
		}
	}
}

// Answer returns the instances that a caller in the zone should use, nearest
// first. Empty zone and region are allowed.
func (c *Controller) Answer(zone, region string) lynxapi.AddressAnswer {
	c.opts.Metrics.Counter(metricAnswers).Add(1)
	s, found := c.opts.Board.Steering.Get(board.SteeringRow)
	if !found {
		c.Step()
		s, _ = c.opts.Board.Steering.Get(board.SteeringRow)
	}
	return lynxapi.AddressAnswer{
		Addresses: c.distribution(s, zone, region).answer(c.opts.Addresses, c.rand.Float64),
		KeepMS:    c.rand.Jitter(s.Keep, c.opts.Jitter).Milliseconds(),
	}
}

// distribution returns the distribution for callers in a zone, computed at most
// once for each computation of the weights. Zones without any instance share one
// distribution, so that callers cannot exhaust memory with made-up names.
func (c *Controller) distribution(s board.Steering, zone, region string) *distribution {
	zone, region = knownLocality(s.Addresses, zone, region)
	key := distributionKey{zone, region}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.computed.Equal(s.Computed) {
		c.computed = s.Computed
		clear(c.distributions)
	}
	d := c.distributions[key]
	if d == nil {
		d = newDistribution(s.Addresses, zone, region, c.opts.Addresses)
		c.distributions[key] = d
	}
	return d
}

type distributionKey struct{ zone, region string }

// knownLocality returns the zone and region, each replaced by "" if no instance
// is in it.
func knownLocality(all []board.SteeringAddress, zone, region string) (string, string) {
	inZone, inRegion := "", ""
	for _, a := range all {
		if a.Zone == zone {
			inZone = zone
		}
		if a.Region == region {
			inRegion = region
		}
	}
	return inZone, inRegion
}

// MaxTTL returns the longest TTL of an answer. An instance that is leaving
// must keep serving at least this long after its address was last included in an
// answer.
func (c *Controller) MaxTTL() time.Duration {
	return time.Duration(float64(c.opts.TTL) * (1 + c.opts.Jitter))
}
