package peer

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/peer/peerpb/peerpbconnect"
)

const (
	// hedgeDelay is how long a hedged call waits for data on a kept connection before
	// it is made again on a new one.
	hedgeDelay = 150 * time.Millisecond
	// minHedgeIdleTime is how long a connection must have received nothing before a call
	// for the call to be hedged. A peer that has responded more recently is only slow.
	minHedgeIdleTime = 500 * time.Millisecond
	// maxLinks bounds the number of links kept by address. They are small, and created
	// again when needed.
	maxLinks = 2048
	// retireTimeout is how long calls may continue on a connection that gets no new
	// calls.
	retireTimeout = time.Minute
)

// link is the connection to one address: an HTTP transport, which keeps one connection.
type link struct {
	address     string
	transport   *http.Transport
	client      peerpbconnect.PeerClient
	conn        atomic.Pointer[trackedConn] // the newest; nil = none has been opened
	suspectedAt atomic.Int64                // when it was suspected to be silent, Unix ns; 0 = never
}

func (c *Client) newLink(address string) *link {
	l := &link{address: address}
	l.transport = &http.Transport{
		DialContext:     l.dialer(c.o),
		TLSClientConfig: c.o.TLS,
		Protocols:       protocols(c.o.TLS),
		HTTP2:           http2Config(),
		IdleConnTimeout: idleTimeout,
	}
	l.client = peerpbconnect.NewPeerClient(&http.Client{Transport: noRetryTransport{l.transport}}, c.scheme+"://"+address,
		connect.WithReadMaxBytes(maxMessageBytes), connect.WithSendMaxBytes(maxMessageBytes))
	return l
}

// dialer returns a function that opens connections with the Dial function of the options
// and records the newest one.
func (l *link) dialer(o Options) func(ctx context.Context, network, address string) (net.Conn, error) {
	dial := o.Dial
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		tracked := newTrackedConn(conn)
		l.conn.Store(tracked)
		return tracked, nil
	}
}

// readSince reports whether data has been received after the time.
func (l *link) readSince(t time.Time) bool {
	conn := l.conn.Load()
	return conn != nil && conn.lastRead().After(t)
}

// idle reports whether a kept connection has received nothing for minHedgeIdleTime.
func (l *link) idle() bool {
	conn := l.conn.Load()
	return conn != nil && time.Since(conn.lastRead()) >= minHedgeIdleTime
}

// suspect makes the next call use a new connection unless data is received before it.
func (l *link) suspect(now time.Time) { l.suspectedAt.Store(now.UnixNano()) }

// isSuspect reports whether nothing has been received since the link was suspected.
func (l *link) isSuspect() bool {
	at := l.suspectedAt.Load()
	return at != 0 && !l.readSince(time.Unix(0, at))
}

// retire closes the connection if it is idle, now or after retireTimeout. A silent
// connection with calls is closed when its pings fail.
func (l *link) retire() {
	l.transport.CloseIdleConnections()
	time.AfterFunc(retireTimeout, l.transport.CloseIdleConnections)
}

// link returns the link for the next call to the address.
func (c *Client) link(address string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.links[address]
	if old != nil && !old.isSuspect() {
		return old
	}
	if len(c.links) >= maxLinks {
		c.retireAll()
	}
	l := c.newLink(address)
	c.links[address] = l
	if old != nil {
		old.retire()
	}
	return l
}

// retireAll removes all links. The caller holds mu.
func (c *Client) retireAll() {
	for address, l := range c.links {
		delete(c.links, address)
		l.retire()
	}
}

// replace replaces a link whose connection is silent, and suspects all other links that
// have received nothing since then: connections often become silent at the same time.
func (c *Client) replace(silent, fresh *link, since time.Time) {
	conn := silent.conn.Load()
	c.o.Logger.Log(event.PeerConnectionSilent, "address", silent.address,
		"silent_ms", time.Since(conn.lastRead()).Milliseconds(), "open_ms", time.Since(conn.opened).Milliseconds())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[silent.address] == silent {
		c.links[silent.address] = fresh
	} else {
		fresh.retire() // another call has already replaced it
	}
	silent.retire()
	for _, l := range c.links {
		if l != fresh && l.conn.Load() != nil && !l.readSince(since) {
			l.suspect(since)
		}
	}
}
