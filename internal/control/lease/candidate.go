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

// drainCheckPeriod is how often a holder checks whether it should release its
// lease.
const drainCheckPeriod = time.Second

// candidate contends for the lease of one service. Only the goroutine of
// Manager.serve uses it.
type candidate struct {
	m       *Manager
	service string
	seen    observation
	// unresolved holds the writes of this instance whose outcome is unknown, by
	// token.
	unresolved map[string]write
}

// observation is the lease object as last read.
type observation struct {
	known   bool
	version uint64 // 0 if there was no object
	record  record
	// since is the boot time after the reply that first showed this version. The
	// write cannot have been sent later than that.
	since time.Duration
}

// write is a write of the lease object by this instance.
type write struct {
	at       time.Duration // boot time before it was sent
	released bool
	// uncheckedFrom is UncheckedFrom of the grant if the write takes effect.
	uncheckedFrom time.Duration
}

// step performs the next action and returns the time until the next call.
func (c *candidate) step(ctx context.Context) time.Duration {
	if grant, held := c.m.grant(c.service); held {
		return c.maintain(ctx, grant)
	}
	position := c.m.position(c.service)
	idle := position >= c.m.opts.Candidates || c.m.stoppingOrDraining()
	if idle && len(c.unresolved) == 0 {
		c.seen = observation{}
		return c.jittered(c.m.opts.Duration)
	}
	if !c.observe(ctx) {
		return c.jittered(retryPeriod)
	}
	if _, held := c.m.grant(c.service); held {
		return 0
	}
	return c.tryAcquire(ctx, position)
}

// maintain renews, releases or expires the lease that this instance holds.
func (c *candidate) maintain(ctx context.Context, grant Grant) time.Duration {
	o := c.m.opts
	now := o.Boot.SinceBoot()
	if now >= grant.Until {
		c.expire(grant)
		return 0
	}
	if c.m.stoppingOrDraining() {
		c.release(ctx)
		return c.jittered(o.Duration)
	}
	renewAt := grant.Until - o.Duration + o.Duration/renewals
	if now < renewAt {
		return min(renewAt-now, c.holderWait())
	}
	if c.write(ctx, grant.Fence, grant.UncheckedFrom, false) {
		return c.holderWait()
	}
	if !c.observe(ctx) {
		return c.jittered(retryPeriod)
	}
	return c.jittered(retryPeriod / 2)
}

// expire drops the grant of a lease that has expired.
func (c *candidate) expire(grant Grant) {
	if c.m.dropGrant(c.service) {
		c.m.opts.Metrics.Counter(metricLapsed).Add(1)
		c.m.log(event.LeaseLapsed, c.service, grant.Fence)
	}
}

// tryAcquire attempts to acquire the lease if the observed one has expired.
func (c *candidate) tryAcquire(ctx context.Context, position int) time.Duration {
	o := c.m.opts
	now := o.Boot.SinceBoot()
	free := c.availableFrom() + time.Duration(position)*retryPeriod
	if now < free {
		return min(free-now, c.jittered(o.Duration/renewals))
	}
	if c.write(ctx, c.seen.version, c.uncheckedFrom(now), false) {
		return c.holderWait()
	}
	return c.jittered(retryPeriod)
}

// availableFrom returns the time at which the observed lease has certainly expired
// for its holder as well.
func (c *candidate) availableFrom() time.Duration {
	if c.seen.version == 0 || c.seen.record.Released {
		return c.seen.since
	}
	return c.seen.since + c.seen.record.duration() + c.m.opts.Margin
}

// uncheckedFrom returns the time at which the last order of the previous holder has
// certainly ended. If there is no lease object, there may be a holder whose object
// was deleted manually, so the wait is as long as for a lease written just now.
func (c *candidate) uncheckedFrom(now time.Duration) time.Duration {
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

// write makes one conditional write of the lease object and returns whether it was
// confirmed.
func (c *candidate) write(ctx context.Context, ifVersion uint64, uncheckedFrom time.Duration, released bool) bool {
	o := c.m.opts
	token := c.m.nextToken()
	value, err := json.Marshal(record{
		Holder: o.Self, Token: token, Released: released,
		DurationMS: o.Duration.Milliseconds(), OrderMS: o.OrderTimeout.Milliseconds(),
	})
	if err != nil {
		return false
	}
	// The lease is measured from before the write is sent. If it were measured
	// from the reply, a slow reply would make the leases of two holders overlap.
	w := write{at: o.Boot.SinceBoot(), uncheckedFrom: uncheckedFrom, released: released}
	callCtx, cancel := loop.WithTimeout(ctx, o.Clock, callTimeout)
	defer cancel()
	object, err := o.Store.Put(callCtx, KeyPrefix+c.service, value, ifVersion)
	o.Metrics.Labelled(metricWrites).Add(resultOf(err), 1)
	if err == nil {
		c.applyWrite(w, object.Version)
		return true
	}
	if mayHaveBeenWritten(err) {
		c.m.log(event.LeaseUnknown, c.service, ifVersion)
		if c.unresolved == nil {
			c.unresolved = make(map[string]write)
		}
		c.unresolved[token] = w
	}
	return false
}

// mayHaveBeenWritten reports whether a write that returned err may have taken
// effect. It is false only for errors that rule that out.
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

// applyWrite updates the state for a write of this instance that is in the store with
// the given version.
func (c *candidate) applyWrite(w write, version uint64) {
	o := c.m.opts
	clear(c.unresolved)
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

// observe reads the lease object and resolves writes whose outcome is unknown. It
// returns false if the object could not be read.
func (c *candidate) observe(ctx context.Context) bool {
	o := c.m.opts
	callCtx, cancel := loop.WithTimeout(ctx, o.Clock, callTimeout)
	defer cancel()
	o.Metrics.Counter(metricReads).Add(1)
	object, err := o.Store.Get(callCtx, KeyPrefix+c.service)
	if errors.Is(err, store.ErrNotFound) {
		c.applyObservation(store.Object{}, record{})
		return true
	}
	if err != nil {
		return false
	}
	r, readable := parse(object.Value, o.Duration, o.OrderTimeout)
	if !readable && object.Version != c.seen.version {
		c.m.log(event.LeaseUnreadable, c.service, object.Version)
	}
	c.applyObservation(object, r)
	return true
}

// applyObservation updates the state with the lease object as read.
func (c *candidate) applyObservation(object store.Object, r record) {
	if object.Version != 0 && object.Version < c.seen.version {
		return // stale read: a later version has been observed already
	}
	if w, ours := c.unresolved[r.Token]; ours && object.Version != 0 {
		c.applyWrite(w, object.Version)
		return
	}
	if grant, held := c.m.grant(c.service); held && object.Version != grant.Fence {
		c.m.dropGrant(c.service)
		c.m.log(event.LeaseLost, c.service, grant.Fence)
	}
	if c.seen.known && c.seen.version == object.Version {
		return
	}
	// An unresolved write that is not the object's current version was conditional
	// on an earlier version. It can no longer take effect.
	if c.seen.known {
		clear(c.unresolved)
	}
	c.seen = observation{known: true, version: object.Version, record: r, since: c.m.opts.Boot.SinceBoot()}
}

// release releases the lease, so that the next holder need not wait until it
// expires. The grant is dropped before the write is sent, so that no order is given
// from then on.
func (c *candidate) release(ctx context.Context) {
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

func (c *candidate) holderWait() time.Duration {
	return c.jittered(min(drainCheckPeriod, c.m.opts.Duration/renewals))
}

func (c *candidate) jittered(d time.Duration) time.Duration {
	return c.m.rand.Jitter(d, jitter)
}
