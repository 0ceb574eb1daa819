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
	// settleTime is how long a connection may wait for its request before it
	// may be closed for another. Without it each caller of a burst would close
	// the one before, whose request is on its way.
	settleTime = time.Second
	// lingerers bounds how many connections are turned away with patience, and
	// lingerTime for how long each.
	lingerers  = 32
	lingerTime = 200 * time.Millisecond
	// fullLogEvery is the shortest time between two reports of a full listener.
	fullLogEvery = 10 * time.Second
)

// connections bounds the connections at one listener.
//
// What goes wrong without it: callers that connect and send little use up the
// descriptors of the process. One notices it by failures to connect to
// targets, to the store and to other instances, which all need descriptors
// too. Beyond the bound the connection goes that has waited longest for a
// request, be it idle or one whose request never came: its caller loses
// nothing that was read. If all are at work or new, the new connection is
// refused, since every other would lose a request.
type connections struct {
	name   string // of the listener, for the log
	clock  clock.Clock
	logger *event.Logger
	full   []byte // the answer to a connection that is turned away

	mu      sync.Mutex // guards all below
	limit   int        // 0 = not bounded
	open    int
	waiting list.List // of *boundConn without a request, the longest first
	linger  int       // connections that are being turned away
	closed  int       // for others, since the last report
	refused int       // since the last report
	logged  time.Time // of the last report
}

// boundConn is a connection that counts.
type boundConn struct {
	net.Conn
	of *connections

	// The fields below are guarded by of.mu.
	place *list.Element // among those that wait; nil = it has a request
	since time.Time     // when it began to wait
	gone  bool          // it counts no more
	cut   bool          // it was closed for another
}

// setLimit changes the bound; connections above it end as new ones come.
func (g *connections) setLimit(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = limit
}

// count returns how many connections there are.
func (g *connections) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// boundListener hands out connections within the bound.
type boundListener struct {
	net.Listener
	of *connections
}

// Accept implements net.Listener.
func (l boundListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.of.take(conn); c != nil {
			return c, nil
		}
		l.of.turnAway(conn)
	}
}

// take counts a new connection, closing another for it if need be. It returns
// nil if there is no room.
func (g *connections) take(conn net.Conn) *boundConn {
	c := &boundConn{Conn: conn, of: g}
	g.mu.Lock()
	var victim *boundConn
	ok := g.limit == 0 || g.open < g.limit
	if !ok {
		victim = g.victim()
		ok = victim != nil
		g.report(ok)
	}
	if ok {
		g.open++
		g.wait(c)
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

// victim takes out the connection that has waited longest, if it has waited
// long enough. The lock is held.
func (g *connections) victim() *boundConn {
	front := g.waiting.Front()
	if front == nil {
		return nil
	}
	c := front.Value.(*boundConn)
	if g.clock.Now().Sub(c.since) < settleTime {
		return nil
	}
	c.cut = true
	g.forget(c)
	return c
}

// wait notes that the connection waits for a request. The lock is held.
func (g *connections) wait(c *boundConn) {
	if c.gone || c.place != nil {
		return
	}
	c.since = g.clock.Now()
	c.place = g.waiting.PushBack(c)
}

// work notes that the connection has a request. The lock is held.
func (g *connections) work(c *boundConn) {
	if c.place != nil {
		g.waiting.Remove(c.place)
		c.place = nil
	}
}

// forget takes the connection out of the count. The lock is held.
func (g *connections) forget(c *boundConn) {
	if c.gone {
		return
	}
	g.work(c)
	c.gone = true
	g.open--
}

// Close implements net.Conn.
func (c *boundConn) Close() error {
	c.of.mu.Lock()
	c.of.forget(c)
	c.of.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite ends what is sent, as the library does before it closes a
// connection with an answer that its caller has to get.
func (c *boundConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// stateChanged is the server's hook.
func (g *connections) stateChanged(conn net.Conn, state http.ConnState) {
	c := boundOf(conn)
	if c == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch state {
	case http.StateActive:
		g.work(c)
	case http.StateIdle:
		g.wait(c)
	}
}

// boundOf returns the counted connection behind a server's, nil if none is.
func boundOf(conn net.Conn) *boundConn {
	if watch, ok := conn.(*headWatch); ok {
		conn = watch.Conn
	}
	c, _ := conn.(*boundConn)
	return c
}

// abortIfCut ends a request whose connection was closed for another just as
// the request came. Its caller would get no answer to what a target had done.
func abortIfCut(ctx context.Context) {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	c := boundOf(conn)
	if c == nil {
		return
	}
	c.of.mu.Lock()
	cut := c.cut
	c.of.mu.Unlock()
	if cut {
		panic(http.ErrAbortHandler)
	}
}

// report logs a full listener now and then. The lock is held.
func (g *connections) report(madeRoom bool) {
	if madeRoom {
		g.closed++
	} else {
		g.refused++
	}
	now := g.clock.Now()
	if !g.logged.IsZero() && now.Sub(g.logged) < fullLogEvery {
		return
	}
	g.logger.Log(event.IngressConnectionsFull, "listener", g.name, "limit", g.limit, "closed", g.closed, "refused", g.refused)
	g.logged, g.closed, g.refused = now, 0, 0
}

// turnAway answers a connection beyond the bound and closes it. Closed with
// bytes that were not read it would be reset, and the answer lost on its way, so
// a few are read out for a moment first; the others are closed at once, since
// they must not become too many in their turn.
func (g *connections) turnAway(conn net.Conn) {
	g.mu.Lock()
	patient := g.linger < lingerers
	if patient {
		g.linger++
	}
	g.mu.Unlock()
	if !patient {
		_ = conn.Close()
		return
	}
	go func() {
		defer func() {
			_ = conn.Close()
			g.mu.Lock()
			g.linger--
			g.mu.Unlock()
		}()
		_ = conn.SetDeadline(time.Now().Add(lingerTime))
		_, _ = conn.Write(g.full)
		if half, ok := conn.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite()
		}
		_, _ = io.CopyN(io.Discard, conn, smallBody)
	}()
}

// fullAnswer is the answer to a connection that is turned away, as bytes.
func (g *Ingress) fullAnswer() []byte {
	header := make(http.Header)
	g.o.Codec.Own(header, nil, fullPause)
	header.Set("Connection", "close")
	header.Set("Content-Length", "0")
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", http.StatusServiceUnavailable, http.StatusText(http.StatusServiceUnavailable))
	_ = header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}
