package lease

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/store"
)

// holdCheck is how often a holder looks whether it should give its lease back.
const holdCheck = time.Second

// contender contends for the lease of one service. Only the goroutine of
// Manager.serve uses it.
type contender struct {
	m       *Manager
	service string
	seen    observation
	// sent holds the writes whose outcome is not settled, by token.
	sent map[string]write
}

// observation is the lease object as last read.
type observation struct {
	known   bool
	version uint64 // 0: there was no object
	record  record
	// since is the boot time after the reply that first showed this version:
	// the write cannot have been sent later.
	since time.Duration
}

// write is a write of ours.
type write struct {
	at       time.Duration // boot time before it was sent
	released bool
	// uncheckedFrom is carried over to the grant that the write makes.
	uncheckedFrom time.Duration
}

// step does what is due and returns how long to wait.
func (c *contender) step(ctx context.Context) time.Duration {
	if grant, held := c.m.grant(c.service); held {
		return c.keep(ctx, grant)
	}
	position := c.m.position(c.service)
	idle := position >= c.m.opts.Candidates || c.m.leaving()
	if idle && len(c.sent) == 0 {
		c.seen = observation{}
		return c.jittered(c.m.opts.Duration)
	}
	if !c.observe(ctx) {
		return c.jittered(retryPeriod)
	}
	if _, held := c.m.grant(c.service); held {
		return 0
	}
	return c.tryTake(ctx, position)
}

// keep renews a lease that is held.
func (c *contender) keep(ctx context.Context, grant Grant) time.Duration {
	o := c.m.opts
	now := o.Boot.SinceBoot()
	if now >= grant.Until {
		c.lapse(grant)
		return 0
	}
	if c.m.leaving() {
		c.release(ctx)
		return c.jittered(o.Duration)
	}
	renewAt := grant.Until - o.Duration + o.Duration/renewals
	if now < renewAt {
		return min(renewAt-now, c.holdWait())
	}
	if c.write(ctx, grant.Fence, grant.UncheckedFrom, false) {
		return c.holdWait()
	}
	if !c.observe(ctx) {
		return c.jittered(retryPeriod)
	}
	return c.jittered(retryPeriod / 2)
}

// lapse gives up a lease that ran out.
func (c *contender) lapse(grant Grant) {
	if c.m.dropGrant(c.service) {
		c.m.opts.Metrics.Counter(metricLapsed).Add(1)
		c.m.log(event.LeaseLapsed, c.service, grant.Fence)
	}
}

// tryTake writes a lease of our own if the one that was read has run out.
func (c *contender) tryTake(ctx context.Context, position int) time.Duration {
	o := c.m.opts
	now := o.Boot.SinceBoot()
	free := c.freeFrom() + time.Duration(position)*retryPeriod
	if now < free {
		return min(free-now, c.jittered(o.Duration/renewals))
	}
	if c.write(ctx, c.seen.version, c.uncheckedFrom(now), false) {
		return c.holdWait()
	}
	return c.jittered(retryPeriod)
}

// freeFrom is when the lease that was read has run out for its holder, too.
func (c *contender) freeFrom() time.Duration {
	if c.seen.version == 0 || c.seen.record.Released {
		return c.seen.since
	}
	return c.seen.since + c.seen.record.duration() + c.m.opts.Margin
}

// uncheckedFrom is when the last order of the holder before has run out. With
// no object to read, there may have been a holder whose object was deleted by
// hand, so that the wait is as long as for one just written.
func (c *contender) uncheckedFrom(now time.Duration) time.Duration {
	o := c.m.opts
	if c.seen.version == 0 {
		return now + o.Duration + o.OrderTimeout + o.Margin
	}
	order := max(c.seen.record.order(), o.OrderTimeout)
	if c.seen.record.Released {
		return c.seen.since + order + o.Margin
	}
	return c.seen.since + c.seen.record.duration() + order + o.Margin
}

// write makes one conditional write and returns whether it gave us the lease.
func (c *contender) write(ctx context.Context, ifVersion uint64, uncheckedFrom time.Duration, released bool) bool {
	o := c.m.opts
	token := c.m.nextToken()
	value, err := json.Marshal(record{
		Holder: o.Self, Token: token, Released: released,
		DurationMS: o.Duration.Milliseconds(), OrderMS: o.OrderTimeout.Milliseconds(),
	})
	if err != nil {
		return false
	}
	// The lease counts from before the write is sent. Counted from the reply,
	// a slow reply would let two holders overlap.
	w := write{at: o.Boot.SinceBoot(), uncheckedFrom: uncheckedFrom, released: released}
	callCtx, cancel := loop.WithTimeout(ctx, o.Clock, callTimeout)
	defer cancel()
	object, err := o.Store.Put(callCtx, KeyPrefix+c.service, value, ifVersion)
	o.Metrics.Labelled(metricWrites).Add(resultOf(err), 1)
	if err == nil {
		c.adopt(w, object.Version)
		return true
	}
	if mayHaveBeenWritten(err) {
		c.m.log(event.LeaseUnknown, c.service, ifVersion)
		if c.sent == nil {
			c.sent = make(map[string]write)
		}
		c.sent[token] = w
	}
	return false
}

// mayHaveBeenWritten is true unless the store said that nothing was written.
func mayHaveBeenWritten(err error) bool {
	for _, certain := range []error{store.ErrConflict, store.ErrUnavailable, store.ErrThrottled, store.ErrTooLarge, store.ErrNotFound} {
		if errors.Is(err, certain) {
			return false
		}
	}
	return true
}

func resultOf(err error) string {
	switch {
	case err == nil:
		return "written"
	case errors.Is(err, store.ErrConflict):
		return "conflict"
	case mayHaveBeenWritten(err):
		return "unknown"
	default:
		return "refused"
	}
}

// adopt takes over the effect of a write of ours that is in the store under
// the version.
func (c *contender) adopt(w write, version uint64) {
	o := c.m.opts
	clear(c.sent)
	c.seen = observation{known: true, version: version, since: o.Boot.SinceBoot(), record: record{
		Holder: o.Self, Released: w.released,
		DurationMS: o.Duration.Milliseconds(), OrderMS: o.OrderTimeout.Milliseconds(),
	}}
	if w.released {
		return
	}
	_, held := c.m.grant(c.service)
	c.m.setGrant(c.service, Grant{Fence: version, Until: w.at + o.Duration, UncheckedFrom: w.uncheckedFrom})
	if !held {
		c.m.log(event.LeaseAcquired, c.service, version)
	}
}

// observe reads the lease object back and settles writes whose reply was
// lost. It returns false if the object could not be read.
func (c *contender) observe(ctx context.Context) bool {
	o := c.m.opts
	callCtx, cancel := loop.WithTimeout(ctx, o.Clock, callTimeout)
	defer cancel()
	o.Metrics.Counter(metricReads).Add(1)
	object, err := o.Store.Get(callCtx, KeyPrefix+c.service)
	if errors.Is(err, store.ErrNotFound) {
		c.see(store.Object{}, record{})
		return true
	}
	if err != nil {
		return false
	}
	r, readable := parse(object.Value, o.Duration, o.OrderTimeout)
	if !readable && object.Version != c.seen.version {
		c.m.log(event.LeaseUnreadable, c.service, object.Version)
	}
	c.see(object, r)
	return true
}

// see takes in the object as read.
func (c *contender) see(object store.Object, r record) {
	if object.Version != 0 && object.Version < c.seen.version {
		return // an old state: what was seen later holds
	}
	if w, ours := c.sent[r.Token]; ours && object.Version != 0 {
		c.adopt(w, object.Version)
		return
	}
	if grant, held := c.m.grant(c.service); held && object.Version != grant.Fence {
		c.m.dropGrant(c.service)
		c.m.log(event.LeaseLost, c.service, grant.Fence)
	}
	if c.seen.known && c.seen.version == object.Version {
		return
	}
	// A write of ours that is not the object's current one was conditional on
	// a version that is past: it can no longer take effect.
	if c.seen.known {
		clear(c.sent)
	}
	c.seen = observation{known: true, version: object.Version, record: r, since: c.m.opts.Boot.SinceBoot()}
}

// release gives the lease back, so that the next holder need not wait it out.
// From the moment before the write no order is given.
func (c *contender) release(ctx context.Context) {
	grant, held := c.m.grant(c.service)
	if !held {
		return
	}
	c.m.dropGrant(c.service)
	if c.m.opts.Boot.SinceBoot() < grant.Until {
		c.write(ctx, grant.Fence, 0, true)
	}
	c.m.log(event.LeaseReleased, c.service, grant.Fence)
}

func (c *contender) holdWait() time.Duration {
	return c.jittered(min(holdCheck, c.m.opts.Duration/renewals))
}

func (c *contender) jittered(d time.Duration) time.Duration {
	return c.m.rand.Spread(d, jitter)
}
