package intake

import (
	"context"
	"time"
)

const (
	// minRate is the rate, in bytes per second, at which the bytes of a request have to
	// arrive if its connection is not to be closed for a new one.
	minRate = 1 << 10
	// maxAhead is how long a client that was faster than that may send nothing.
	maxAhead = 2 * time.Second
	// writeSize is the largest part of an answer, in bytes, that is written at a time,
	// and unreadAfter how long a client may take for one before its connection may be
	// closed for another.
	writeSize   = 16 << 10
	unreadAfter = 6 * time.Second
)

// advance records that n bytes have arrived.
func (c *Conn) advance(n int) {
	now := int64(c.limiter.now())
	earned := int64(n) * int64(time.Second) / c.rate.Load()
	c.paceUntil.Store(min(max(c.paceUntil.Load(), now)+earned, now+int64(maxAhead)))
}

// behindAt reports whether the connection has no whole request and its client has not sent
// what it should have. The caller must hold limiter.mu.
func (c *Conn) behindAt(now time.Duration) bool {
	return c.serving == 0 && c.blockedSince.Load() == 0 && c.dueAt() <= now
}

// dueAt is the time from which the client is behind.
func (c *Conn) dueAt() time.Duration {
	return time.Duration(max(c.graceUntil.Load(), c.paceUntil.Load()))
}

// goesBefore reports whether c is to be closed before other, both being behind. The caller
// must hold limiter.mu.
func (c *Conn) goesBefore(other *Conn) bool {
	if hadRequest := c.hadRequest.Load(); hadRequest != other.hadRequest.Load() {
		return !hadRequest
	}
	if due, otherDue := c.dueAt(), other.dueAt(); due != otherDue {
		return due < otherDue
	}
	return c.number < other.number
}

// unreadAt reports whether the client has not taken a part of its answer for so long that
// the connection may be closed.
func (c *Conn) unreadAt(now time.Duration) bool {
	since := c.blockedSince.Load()
	return since != 0 && now-time.Duration(since) >= unreadAfter
}

// expectRate sets the rate, in bytes per second, at which the rest of a request has to
// arrive.
func expectRate(ctx context.Context, rate float64) {
	if c := connOf(ctx); c != nil {
		c.rate.Store(max(int64(rate), minRate))
	}
}

// grantGrace has the client count as being on its pace for a short time.
func (c *Conn) grantGrace() { c.graceUntil.Store(int64(c.limiter.now() + c.limiter.o.Grace)) }

// abandon has the client count as being behind: its request was refused.
func abandon(ctx context.Context) {
	if c := connOf(ctx); c != nil {
		c.graceUntil.Store(0)
		c.paceUntil.Store(0)
	}
}
