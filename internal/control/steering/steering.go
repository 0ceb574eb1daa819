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
	joined        map[string]time.Time // since when each instance has been up without a break
	computed      time.Time            // when the weights of distributions were computed
	distributions map[distributionKey]*distribution
}

// New returns a controller.
func New(opts Options) *Controller {
	return &Controller{opts: opts.withDefaults(), rand: loop.NewRand(opts.Rand), joined: make(map[string]time.Time), distributions: make(map[distributionKey]*distribution)}
}

// Run keeps board.Steering until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	loop.Run(ctx, loop.Options{
		Clock: c.opts.Clock, Rand: c.rand, Period: c.opts.Period, Settle: c.opts.Period / 2,
	}, func(context.Context) { c.Step() })
}

// Step computes the weights once.
func (c *Controller) Step() {
	b := c.opts.Board
	now := c.opts.Clock.Now()
	members := b.Members.Snapshot()
	var addresses []board.SteeringAddress
	for id, m := range members {
		if m.CallerAddr == "" || !c.takesCallers(m) {
			continue
		}
		addresses = append(addresses, board.SteeringAddress{
			ID: id, Address: m.CallerAddr, Place: m.Place, Region: m.Region, Room: m.Room,
			Weight: weight(m.Room, c.age(m, now), c.opts.Ramp),
		})
	}
	c.forget(members)
	if len(addresses) == 0 {
		addresses = c.lastResort(members)
	}
	sort.Slice(addresses, func(i, j int) bool { return addresses[i].ID < addresses[j].ID })
	b.Steering.Put(board.SteeringRow, board.Steering{Addresses: addresses, Keep: c.opts.Keep, Computed: now})
}

// takesCallers reports whether new callers are sent to the member.
func (c *Controller) takesCallers(m board.Member) bool {
	if m.State != board.MemberAlive {
		return false
	}
	b := c.opts.Board
	if b.Drained(board.DrainInstance+m.ID) || b.Drained(board.DrainPlace+m.Place) {
		return false
	}
	if m.ID != c.opts.Self {
		return true
	}
	self, _ := b.Self.Get(board.SelfRow)
	return !self.Stopping && !self.Draining && self.MayAdmit()
}

// lastResort is the answer when nobody takes callers: everybody that may
// still answer, with equal weights. A refused request is told apart from a
// lost one; no address at all helps nobody.
func (c *Controller) lastResort(members map[string]board.Member) []board.SteeringAddress {
	var addresses []board.SteeringAddress
	for id, m := range members {
		if m.CallerAddr != "" && m.State != board.MemberDead {
			addresses = append(addresses, board.SteeringAddress{ID: id, Address: m.CallerAddr, Place: m.Place, Region: m.Region, Room: m.Room, Weight: 1})
		}
	}
	if len(addresses) > 0 {
		c.opts.Logger.Log(event.SteeringNobody, "left", len(addresses))
	}
	return addresses
}

// age is how long the member has been up without a break. A member that
// membership dates from no moment counts as old.
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

// forget drops instances that went, so that one that comes back is new again
// and memory stays bounded. A suspicion alone does not make an instance new.
func (c *Controller) forget(members map[string]board.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.joined {
		state := members[id].State
		if state != board.MemberAlive && state != board.MemberSuspect {
			delete(c.joined, id)
		}
	}
}

// Answer returns the instances that a caller in the place should use, nearest
// place first. Empty place and region are allowed.
func (c *Controller) Answer(place, region string) lynxapi.AddressAnswer {
	c.opts.Metrics.Counter(metricAnswers).Add(1)
	s, found := c.opts.Board.Steering.Get(board.SteeringRow)
	if !found {
		c.Step()
		s, _ = c.opts.Board.Steering.Get(board.SteeringRow)
	}
	return lynxapi.AddressAnswer{
		Addresses: c.distribution(s, place, region).answer(c.opts.Addresses, c.rand.Float64),
		KeepMS:    c.rand.Spread(s.Keep, c.opts.Jitter).Milliseconds(),
	}
}

// distribution returns the distribution of the callers in a place, made at most once for
// each computation of the weights. Places that no instance is in share one, so
// that callers cannot fill the memory with names.
func (c *Controller) distribution(s board.Steering, place, region string) *distribution {
	place, region = known(s.Addresses, place, region)
	key := distributionKey{place, region}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.computed.Equal(s.Computed) {
		c.computed = s.Computed
		clear(c.distributions)
	}
	o := c.distributions[key]
	if o == nil {
		o = newDistribution(s.Addresses, place, region, c.opts.Addresses)
		c.distributions[key] = o
	}
	return o
}

type distributionKey struct{ place, region string }

// known returns the place and region, "" for one that no instance is in.
func known(all []board.SteeringAddress, place, region string) (string, string) {
	inPlace, inRegion := "", ""
	for _, a := range all {
		if a.Place == place {
			inPlace = place
		}
		if a.Region == region {
			inRegion = region
		}
	}
	return inPlace, inRegion
}

// LongestKeep is the longest time for which a caller may keep an answer: an
// instance that is leaving serves at least this long after it was last given.
func (c *Controller) LongestKeep() time.Duration {
	return time.Duration(float64(c.opts.Keep) * (1 + c.opts.Jitter))
}
