package intake

import (
	"context"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
)

// closeEvicted closes a connection that takeVictim has returned. A request whose body is
// being read fails, and its handler gets a short time to tell the client that the request
// has not run.
func (c *Conn) closeEvicted() {
	c.mu.Lock()
	answers := c.phase == hasHead && c.blockedSince.Load() == 0 && c.limiter.mayLinger()
	c.mu.Unlock()
	if !answers {
		_ = c.Conn.Close() // the server closes c when its read fails
		return
	}
	_ = c.SetReadDeadline(time.Unix(1, 0))
	_ = c.SetWriteDeadline(time.Now().Add(lingerTimeout))
	time.AfterFunc(lingerTimeout, func() {
		_ = c.Conn.Close()
		c.limiter.lingered()
	})
}

// pause keeps the connection from being closed for another while its request waits for
// memory. It returns false if that has happened already. resume ends it.
func (c *Conn) pause() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.evicted {
		return false
	}
	c.serving++
	return true
}

func (c *Conn) resume() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.serving--
}

// errEvicted is the error for a request whose connection was closed for another before it
// was whole.
var errEvicted = errkind.WithRetryAfter(errkind.New(errkind.Overloaded, "the connection was closed in favour of others, since the request did not arrive"), FullRetryAfter)

// evicted reports whether the request's connection was closed for another.
func evicted(ctx context.Context) bool {
	c := connOf(ctx)
	if c == nil {
		return false
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return c.evicted
}

// errAhead is the error for a request that was sent before the answer to the one before.
var errAhead = errkind.WithRetryAfter(errkind.New(errkind.Overloaded, "requests that are sent ahead are not served while others wait for a connection"), FullRetryAfter)

// Serving records that the request is whole and is going to be served: its connection is not
// closed for another until done is called, unless its client does not read the answer.
//
// The error is of kind Overloaded if the connection has been closed before: a target must not
// run the request, since the caller could not get the answer. It is of the same kind if the
// request was sent ahead and new connections are rejected: with requests ahead a client never
// gives up its connection. The connection has to be closed after either.
func Serving(ctx context.Context) (done func(), err error) {
	c := connOf(ctx)
	if c == nil {
		return func() {}, nil
	}
	if c.sentAhead.Load() && c.limiter.rejects() {
		c.count(limitAhead)
		return nil, errAhead
	}
	if !c.pause() {
		return nil, errEvicted
	}
	c.finishHead()
	c.hadRequest.Store(true)
	return func() {
		c.grantGrace()
		c.resume()
	}, nil
}
