package peer

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"lynxhill.example/lynxhill/internal/event"
)

// trackedConn is a connection to another instance that records when it last received
// data.
type trackedConn struct {
	net.Conn
	opened        time.Time
	lastReadNanos atomic.Int64 // when data was last received, in ns since opened
}

func newTrackedConn(c net.Conn) *trackedConn { return &trackedConn{Conn: c, opened: time.Now()} }

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastReadNanos.Store(int64(time.Since(c.opened)))
	}
	return n, err
}

// lastRead returns when data was last received, or when the connection was opened if none
// has been.
func (c *trackedConn) lastRead() time.Time {
	return c.opened.Add(time.Duration(c.lastReadNanos.Load()))
}

// observation is the state of the connection that a call uses.
type observation struct {
	startedAt time.Time
	connected atomic.Bool // the call has a connection; before that, nothing can have been sent
	conn      atomic.Pointer[trackedConn]
	reused    atomic.Bool
}

// observe returns a context with which a call records its connection in the observation.
func observe(ctx context.Context) (context.Context, *observation) {
	o := &observation{startedAt: time.Now()}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: o.gotConn}), o
}

func (o *observation) gotConn(info httptrace.GotConnInfo) {
	conn := info.Conn
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok { // of package tls
		conn = wrapped.NetConn()
	}
	if tracked, ok := conn.(*trackedConn); ok {
		o.conn.Store(tracked)
	}
	o.reused.Store(info.Reused)
	o.connected.Store(true)
}

// silence returns for how long the call's kept connection has received nothing. It is 0
// if the call uses a new connection, or if data was received since the call began.
func (o *observation) silence() time.Duration {
	conn := o.conn.Load()
	if conn == nil || !o.reused.Load() || conn.lastRead().After(o.startedAt) {
		return 0
	}
	return time.Since(conn.lastRead())
}

// recordUnanswered handles a call that ended on a kept connection that has received
// nothing since the call began. cause is what ended the call.
func (c *Client) recordUnanswered(o *observation, method string, l *link, cause error) {
	if o.silence() > 0 && !errors.Is(cause, errOtherAttemptUsed) {
		c.recordSilent(o, method, l, time.Since(o.startedAt), cause)
	}
}

// recordSilent makes further calls use another connection if the connection of the call
// has received nothing for that long. cause is what ended the call.
func (c *Client) recordSilent(o *observation, method string, l *link, silent time.Duration, cause error) {
	conn, since := o.conn.Load(), time.Now().Add(-silent)
	if conn == nil || conn.lastRead().After(since) {
		return
	}
	l.suspect(since)
	c.o.Logger.Log(event.PeerCallUnanswered, "method", method, "address", l.address, "cause", cause,
		"waited_ms", time.Since(o.startedAt).Milliseconds(), "silent_ms", time.Since(conn.lastRead()).Milliseconds(),
		"open_ms", time.Since(conn.opened).Milliseconds())
}
