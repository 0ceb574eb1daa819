package ingress

import (
	"bytes"
	"container/list"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/event"
)

const (
	// minWait is how long a connection has to wait for a request before it may be
	// evicted for a new one. Without it each caller of a burst would evict the one
	// before, whose request is about to arrive.
	minWait = time.Second
	// maxLingering is the maximum number of rejected connections that are kept open
	// until their response is delivered, and lingerTimeout is the time limit for each.
	maxLingering  = 32
	lingerTimeout = 200 * time.Millisecond
	// fullLogInterval is the minimum time between two log lines about a full
	// listener.
	fullLogInterval = 10 * time.Second
)

// connectionLimiter limits the number of connections at one listener.
//
// Without it, callers that connect and send little use up the file descriptors of
// the process. The symptom is failures to connect to targets, to the store and to
// other instances, which need descriptors too. At the limit, the connection is
// evicted that has waited longest for a request, whether it is idle or its first
// request has never arrived: its caller loses nothing that was read. If all
// connections have a request or are new, the new connection is rejected, since
// closing any other would lose a request.
type connectionLimiter struct {
	name         string // of the listener, for logs and metrics
	clock        clock.Clock
	logger       *event.Logger
	fullResponse []byte // response to a rejected connection

	mu         sync.Mutex // guards all below
	limit      int        // 0 = no limit
	open       int
	waiting    list.List // of *limitedConn without a request, the longest waiting first
	lingering  int       // number of rejected connections that are still open
	evictions  int       // connections evicted since the last log line
	rejections int       // connections rejected since the last log line
	lastLogged time.Time // time of the last log line
}

// limitedConn is a connection that is counted by a connectionLimiter.
type limitedConn struct {
	net.Conn
	limiter *connectionLimiter

	// The fields below are guarded by limiter.mu.
	element      *list.Element // in limiter.waiting; nil = it has a request
	waitingSince time.Time     // when it began to wait
	uncounted    bool          // it is no longer counted
	evicted      bool          // it was closed for a new connection
}

// setLimit changes the limit. Connections above it are closed as new ones arrive.
func (g *connectionLimiter) setLimit(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = limit
}

// count returns the number of open connections.
func (g *connectionLimiter) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// limitedListener accepts connections up to the limit.
type limitedListener struct {
	net.Listener
	limiter *connectionLimiter
}

// Accept implements net.Listener.
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.limiter.admit(conn); c != nil {
			return c, nil
		}
		l.limiter.reject(conn)
	}
}

// admit counts a new connection and evicts another one for it if necessary. It
// returns nil if the connection has to be rejected.
func (g *connectionLimiter) admit(conn net.Conn) *limitedConn {
	c := &limitedConn{Conn: conn, limiter: g}
	g.mu.Lock()
	var victim *limitedConn
	ok := g.limit == 0 || g.open < g.limit
	if !ok {
		victim = g.evict()
		ok = victim != nil
		g.logFull(ok)
	}
	if ok {
		g.open++
		g.setWaiting(c)
	}
	g.mu.Unlock()
	if victim != nil {
		_ = victim.Conn.Close()
	}
	if !ok {
		return nil
	}
	return c
}

// evict removes and returns the connection that has waited longest, nil if none has
// waited for minWait. The caller must hold g.mu and close the connection.
func (g *connectionLimiter) evict() *limitedConn {
	front := g.waiting.Front()
	if front == nil {
		return nil
	}
	c := front.Value.(*limitedConn)
	if g.clock.Now().Sub(c.waitingSince) < minWait {
		return nil
	}
	c.evicted = true
	g.remove(c)
	return c
}

// setWaiting records that the connection waits for a request. The caller must hold
// g.mu.
func (g *connectionLimiter) setWaiting(c *limitedConn) {
	if c.uncounted || c.element != nil {
		return
	}
	c.waitingSince = g.clock.Now()
	c.element = g.waiting.PushBack(c)
}

// setActive records that the connection has a request. The caller must hold g.mu.
func (g *connectionLimiter) setActive(c *limitedConn) {
	if c.element != nil {
		g.waiting.Remove(c.element)
		c.element = nil
	}
}

// remove stops counting the connection. The caller must hold g.mu.
func (g *connectionLimiter) remove(c *limitedConn) {
	if c.uncounted {
		return
	}
	g.setActive(c)
	c.uncounted = true
	g.open--
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.limiter.mu.Lock()
	c.limiter.remove(c)
	c.limiter.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the sending side. net/http calls it before it closes a
// connection whose response still has to reach the caller.
func (c *limitedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// stateChanged is the http.Server.ConnState hook.
func (g *connectionLimiter) stateChanged(conn net.Conn, state http.ConnState) {
	c := limitedConnOf(conn)
	if c == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch state {
	case http.StateActive:
		g.setActive(c)
	case http.StateIdle:
		g.setWaiting(c)
	}
}

// limitedConnOf returns the limitedConn that a server's connection wraps, nil if
// there is none.
func limitedConnOf(conn net.Conn) *limitedConn {
	if watch, ok := conn.(*headWatch); ok {
		conn = watch.Conn
	}
	c, _ := conn.(*limitedConn)
	return c
}

// abortIfEvicted aborts a request whose connection was evicted just as the request
// arrived: the caller could not get the response after a target had run the request.
func abortIfEvicted(ctx context.Context) {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	c := limitedConnOf(conn)
	if c == nil {
		return
	}
	c.limiter.mu.Lock()
	evicted := c.evicted
	c.limiter.mu.Unlock()
	if evicted {
		panic(http.ErrAbortHandler)
	}
}

// logFull logs that the listener is full, at most once per fullLogInterval. The
// caller must hold g.mu.
func (g *connectionLimiter) logFull(evicted bool) {
	if evicted {
		g.evictions++
	} else {
		g.rejections++
	}
	now := g.clock.Now()
	if !g.lastLogged.IsZero() && now.Sub(g.lastLogged) < fullLogInterval {
		return
	}
	g.logger.Log(event.IngressConnectionsFull, "listener", g.name, "limit", g.limit, "closed", g.evictions, "refused", g.rejections)
	g.lastLogged, g.evictions, g.rejections = now, 0, 0
}

// reject sends a response to a connection above the limit and closes it. Closing it
// with unread bytes would reset it, and the response could be lost, so the request is
// read and discarded for a short time first. That is done for at most maxLingering
// connections; any further one is closed at once, so that they can't accumulate.
func (g *connectionLimiter) reject(conn net.Conn) {
	g.mu.Lock()
	linger := g.lingering < maxLingering
	if linger {
		g.lingering++
	}
	g.mu.Unlock()
	if !linger {
		_ = conn.Close()
		return
	}
	go func() {
		defer func() {
			_ = conn.Close()
			g.mu.Lock()
			g.lingering--
			g.mu.Unlock()
		}()
		_ = conn.SetDeadline(time.Now().Add(lingerTimeout))
		_, _ = conn.Write(g.fullResponse)
		if half, ok := conn.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite()
		}
		_, _ = io.CopyN(io.Discard, conn, smallBody)
	}()
}

// encodeFullResponse returns the response to a rejected connection as bytes.
func (g *Ingress) encodeFullResponse() []byte {
	header := make(http.Header)
	g.o.Codec.SetOwnHeader(header, nil, fullRetryAfter)
	header.Set("Connection", "close")
	header.Set("Content-Length", "0")
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", http.StatusServiceUnavailable, http.StatusText(http.StatusServiceUnavailable))
	_ = header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}
